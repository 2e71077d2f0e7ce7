package records

import "strings"

// DamagedRecord takes the place of the record of a job, a drain or a disruption claim that
// cannot be decoded.
type DamagedRecord struct{ Key string }

// JobID is the id of the damaged job; ok is false if it is no job.
func (d *DamagedRecord) JobID() (id string, ok bool) {
	return strings.CutPrefix(d.Key, jobPrefix)
}

// IsDrainOrClaim says whether it is the record of a drain or a disruption claim.
func (d *DamagedRecord) IsDrainOrClaim() bool { return newDrainOrClaim(d.Key) != nil }

// DrainNumber is the number of the damaged drain; ok is false if it is no drain.
func (d *DamagedRecord) DrainNumber() (number int, ok bool) {
	drain, ok := newDrainOrClaim(d.Key).(*Drain)
	if !ok {
		return 0, false
	}
	return drain.Number, true
}

// ClaimedShard is the shard of the damaged claim; ok is false if it is no claim.
func (d *DamagedRecord) ClaimedShard() (shard string, ok bool) {
	return strings.CutPrefix(d.Key, claimPrefix)
}
