package records

import (
	"encoding/json"

	"ravenport/wire"
)

// SizeLimits are the limits on the size of a job's record, before and after an upgrade
// to a version with smaller ones.
type SizeLimits struct {
	Current int // bytes
	Next    int // bytes, at most Current
	// PackingEnabled: every process reads packed records, and no process of the version
	// before, which does not, can start any more.
	PackingEnabled bool
}

// Encode writes a job's record so that it can be stored; ok is false if it cannot be.
// previous is the stored record, nil for a new one. A record of usual size is written as
// plain JSON. One that the version before left larger than the next limit stays plain
// while that version may still read it, as the current limit holds as long, and is
// packed afterwards.
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
		// A job that has ended is not placed any more: what says where it may run can be
		// left out, so that every job can end.
		reduced := *job
		reduced.Spec.Types = nil
		reduced.Spec.Image = ""
		reduced.Spec.Zone = ""
		packed = packJob(&reduced)
	}
	return packed, len(packed) <= l.Next
}

// EncodeWithHeadroom writes a record with new assignments like Encode; ok is false
// unless it can be stored now and until the job's end.
func (l SizeLimits) EncodeWithHeadroom(job, previous *Job) (value json.RawMessage, ok bool) {
	value, ok = l.Encode(job, previous)
	if !ok || l.PackingEnabled {
		return value, ok
	}
	return value, maxSizeUntilEnd(job) <= max(l.Next, maxSizeUntilEnd(previous))
}

// maxSizeUntilEnd is the largest plain size (bytes) that a record reaches without new
// assignments: with all of them closed and the job's end.
func maxSizeUntilEnd(job *Job) int {
	size := len(Encode(job)) + len(`,"end":"cancelled"`)
	for _, assignment := range job.Assignments {
		if !assignment.Closed {
			size += len(`,"c":true`)
		}
	}
	return size
}

// longestEnd takes no less space than any value of Job.End.
const longestEnd = wire.JobCancelled + " "

// FitsUntilEnd says whether a new job's record could be stored, as plain JSON, until the
// job's end: with an assignment in each of the shards, closed or not, and with its end.
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
