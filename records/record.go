package records

// Record is one of the records of this package: *Controller, *Revocation, *Term,
// *InventoryPage, *Job, *Drain or *DisruptionClaim, or *DamagedRecord in place of one of
// the last two. Records are shared between actors and must not be changed.
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
