package records

// Change is one key that changed.
type Change struct {
	Key     string
	Version uint64
	// Record is nil when the key was deleted or is of no known kind.
	Record Record
}

// Update is a run of changes in the order of the key-value store. After it the receiver
// knows every change up to Revision.
type Update struct {
	Changes  []Change
	Revision uint64
}

// DecodeChange reads the record of a changed key. When the record cannot be decoded it
// returns the error with a change that carries *DamagedRecord in its place if the key is
// that of a drain or a disruption claim, since whoever acted on the previous record must
// not go on, or that of a job, which must not be taken for unknown. Any other change then
// carries no record and is to be dropped.
func DecodeChange(key string, data []byte, version uint64) (Change, error) {
	record, err := Decode(key, data)
	if err == nil {
		return Change{Key: key, Version: version, Record: record}, nil
	}
	change := Change{Key: key, Version: version}
	damaged := &DamagedRecord{Key: key}
	if _, isJob := damaged.JobID(); isJob || damaged.IsDrainOrClaim() {
		change.Record = damaged
	}
	return change, err
}
