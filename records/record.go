package records

// Record is implemented by the records of this package: *Controller, *Revocation, *Term,
// *InventoryPage, *Job, *Drain and *DisruptionClaim, and by *DamagedRecord, which stands
// for one of the last three. Records are shared between actors and must not be changed.
type Record interface {
	isRecord()
}

func (*Controller) isRecord()      {}
func (*Revocation) isRecord()      {}
func (*Term) isRecord()            {}
func (*InventoryPage) isRecord()   {}
func (*Job) isRecord()             {}
func (*Drain) isRecord()           {}
func (*DisruptionClaim) isRecord() {}
func (*DamagedRecord) isRecord()   {}
