package records

import (
	"encoding/json"

	"ravenport/wire"
)

// SizeLimits are the limits on the size of a job's record before and after an upgrade to
// a version with smaller limits.
type SizeLimits struct {
	Current int // bytes
	Next    int // bytes, at most Current
	// PackingEnabled means that every process can read packed records, and that no process
	// of the previous version, which cannot read them, can start any more.
	PackingEnabled bool
}

// Encode encodes a job's record for storage. ok is false if the record exceeds the size
// limits. previous is the stored record, or nil for a new job. A record within the next
// limit is encoded as plain JSON. The previous version may have stored a larger record.
// While processes of that version may still read the record, the current limit applies
// and the record stays plain JSON; afterwards it is packed.
func (l SizeLimits) Encode(job, previous *Job) (value json.RawMessage, ok bool) {
	plain := Encode(job)
	if len(plain) <= l.Next {
		return plain, true
	}
	if !l.PackingEnabled {
		return plain, len(plain) <= l.Current && previous != nil && maxSizeUntilEnd(previous) > l.Next
	}
	packed := packJob(job)
	if len(packed) > l.Next && job.End != "" {
		// Tasks of an ended job are not placed any more, so the fields that restrict
		// their placement can be dropped. This way every job can be ended.
		reduced := *job
		reduced.Spec.Types = nil
		reduced.Spec.Image = ""
		reduced.Spec.Zone = ""
		packed = packJob(&reduced)
	}
	return packed, len(packed) <= l.Next
}

// EncodeWithHeadroom is like Encode, for a record with new assignments. ok is false unless
// the record fits the size limits now and until the job's end.
func (l SizeLimits) EncodeWithHeadroom(job, previous *Job) (value json.RawMessage, ok bool) {
	value, ok = l.Encode(job, previous)
	if !ok || l.PackingEnabled {
		return value, ok
	}
	return value, maxSizeUntilEnd(job) <= max(l.Next, maxSizeUntilEnd(previous))
}

// maxSizeUntilEnd returns the largest size in plain JSON (bytes) that a record can reach
// without new assignments: with all assignments closed and the job ended.
func maxSizeUntilEnd(job *Job) int {
	size := len(Encode(job)) + len(`,"end":"cancelled"`)
	for _, assignment := range job.Assignments {
		if !assignment.Closed {
			size += len(`,"c":true`)
		}
	}
	return size
}

// longestEnd is at least as long as every value of Job.End.
const longestEnd = wire.JobCancelled + " "

// FitsUntilEnd reports whether a new job's record can be stored as plain JSON until the
// job's end. It assumes one assignment in each shard, open or closed, and an ended job.
func (l SizeLimits) FitsUntilEnd(job *Job, shards []string) bool {
	largest := *job
	largest.End = longestEnd
	largest.Attempt = 1 << 32
	for i, shard := range shards {
		largest.Assignments = append(largest.Assignments, Assignment{
			From:        job.Spec.Tasks - i,
			To:          job.Spec.Tasks,
			Shard:       shard,
			Closed:      true,
			KeepWaiting: true,
			Guaranteed:  true,
		})
	}
	return len(Encode(largest)) <= l.Next
}
