package records

// Change is one key that changed. Record is nil when the key was deleted.
// Records are shared between actors and must not be changed.
type Change struct {
	Key     string
	Version uint64
	Record  any
}

// Update is a run of changes in the order of the key-value store. After it the
// receiver knows every change up to Revision.
type Update struct {
	Changes  []Change
	Revision uint64
}

// DecodeChange reads the record of a changed key. When the record cannot be read, the
// change carries *Damaged in its place if the key is that of a drain or a claim, since
// whoever went by the record before must not go on; any other change carries no record
// and is to be dropped.
func DecodeChange(key string, data []byte, version uint64) (Change, error) {
	record, err := Decode(key, data)
	if err == nil {
		return Change{Key: key, Version: version, Record: record}, nil
	}
	change := Change{Key: key, Version: version}
	if newDrainingRecord(key) != nil {
		change.Record = &DamagedRecord{key}
	}
	return change, err
}
