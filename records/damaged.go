package records

import "strings"

// DamagedRecord stands for the record of a job, a drain or a disruption claim that cannot
// be decoded.
type DamagedRecord struct{ Key string }

// JobID returns the job id; ok is false if the key is not that of a job.
func (d *DamagedRecord) JobID() (id string, ok bool) {
	return strings.CutPrefix(d.Key, jobPrefix)
}

// IsDrainOrClaim reports whether the key is that of a drain or a disruption claim.
func (d *DamagedRecord) IsDrainOrClaim() bool { return newDrainOrClaim(d.Key) != nil }

// DrainNumber returns the number of the drain; ok is false if the key is not that of a
// drain.
func (d *DamagedRecord) DrainNumber() (number int, ok bool) {
	drain, ok := newDrainOrClaim(d.Key).(*Drain)
	if !ok {
		return 0, false
	}
	return drain.Number, true
}

// ClaimedShard returns the shard of the disruption claim; ok is false if the key is not
// that of a claim.
func (d *DamagedRecord) ClaimedShard() (shard string, ok bool) {
	return strings.CutPrefix(d.Key, claimPrefix)
}
