package records

// Change is the change of one key.
type Change struct {
	Key     string
	Version uint64
	// Record is nil if the key was deleted or is of no known kind.
	Record Record
}

// Update is a list of changes in the order in which the key-value store applied them. After
// an update the receiver has received every change up to Revision.
type Update struct {
	Changes  []Change
	Revision uint64
}

// DecodeChange decodes the record of a changed key. If the record cannot be decoded,
// DecodeChange returns the error together with a change. For the key of a drain or a
// disruption claim, the change contains a *DamagedRecord, because a receiver that acted on
// the previous record must not continue. For the key of a job, the change contains a
// *DamagedRecord as well, because the job must not be treated as unknown. For any other key
// the change contains no record, and the caller has to drop the change.
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
