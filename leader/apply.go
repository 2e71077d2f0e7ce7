package leader

import (
	"time"

	"ravenport/constants"
	"ravenport/records"
)

// Tasks that an owner sent back are assigned again after a delay that grows by
// reassignmentDelay with each time, up to maxDelaySteps times that.
const (
	reassignmentDelay = 500 * time.Millisecond
	maxDelaySteps     = 8
)

// capacityReservation is an assignment's share of a shard's capacity that the shard's
// aggregate does not reflect yet.
type capacityReservation struct {
	revision        uint64 // of the store, at which the assignment was written; 0: in flight
	cpus, gpus, mem float64
	spot, gang      bool
	jobID           string
}

// ApplyAggregate applies the aggregate that a shard's owner pushed. Aggregates of earlier
// terms of the shard are ignored.
func (c *Core) ApplyAggregate(now time.Time, a Aggregate) {
	shard := c.shards[a.Shard]
	if shard == nil || a.Term < shard.aggregate.Term {
		return
	}
	shard.aggregate = a
	shard.updatedAt = now
	kept := shard.reservations[:0]
	for _, r := range shard.reservations {
		if r.revision == 0 || r.revision > a.Revision {
			kept = append(kept, r)
		}
	}
	shard.reservations = kept
}

// ApplyJob applies a job's record from the feed. A job counts until it has ended and all
// its assignments are closed: until then tasks of it may be running.
func (c *Core) ApplyJob(now time.Time, id string, record *records.Job, version uint64) {
	if record.End != "" && record.AllAssignmentsClosed() {
		c.removeJob(id)
		return
	}
	job := c.jobs[id]
	if job == nil {
		job = &jobState{}
		c.jobs[id] = job
	}
	if version <= job.version {
		return
	}
	// An in-flight commit was based on an older record: it has been written by now or
	// can only fail, so the newer record says what the team uses.
	job.isInFlight = false
	c.setReservedQuota(id, record.Spec.Team, quotaAmount{})
	hasUnassigned := record.End == "" && len(record.Unassigned()) > 0
	if job.record != nil && hasUnassigned && !job.hasUnassigned {
		// An owner sent tasks back: try other shards, a little later each time.
		job.reassignments++
		job.retryAt = now.Add(time.Duration(min(job.reassignments-1, maxDelaySteps)) * reassignmentDelay)
	}
	job.record = record
	job.version = version
	job.hasUnassigned = hasUnassigned
	if hasUnassigned {
		c.unassigned[id] = job
	} else {
		delete(c.unassigned, id)
	}
	c.setOpenQuota(job, quotaOf(&record.Spec, openTasks(record)))
}

// removeJob forgets a job that has ended, with its quota.
func (c *Core) removeJob(id string) {
	if job := c.jobs[id]; job != nil {
		c.setOpenQuota(job, quotaAmount{})
		c.setReservedQuota(id, job.record.Spec.Team, quotaAmount{})
	}
	delete(c.jobs, id)
	delete(c.unassigned, id)
}

// openTasks is the number of a job's tasks in assignments that are not closed.
func openTasks(record *records.Job) int {
	n := 0
	for _, a := range record.Assignments {
		if !a.Closed {
			n += a.Tasks()
		}
	}
	return n
}

// ApplyCommitResult applies the result of a commit: the revision of the store at which it
// was written, or 0 if it is not known to have been written.
func (c *Core) ApplyCommitResult(now time.Time, id string, urgent bool, revision uint64) {
	if urgent {
		c.urgentInFlight--
	} else {
		c.inFlight--
	}
	for _, shard := range c.shards {
		shard.settleReservations(id, revision)
	}
	job := c.jobs[id]
	if revision != 0 || job == nil {
		return
	}
	// Not known to have been written: if the feed brings a newer record, that one
	// decides; if not, the same is tried again. The quota stays reserved until then,
	// since a late transaction may still be applied.
	job.isInFlight = false
	job.retryAt = now.Add(constants.LeaderTickInterval)
}

// settleReservations dates a job's in-flight reservations by the revision at which they
// were written, and drops them if they failed or the aggregate reflects them already.
func (sh *shardState) settleReservations(jobID string, revision uint64) {
	kept := sh.reservations[:0]
	for _, r := range sh.reservations {
		if r.jobID == jobID && r.revision == 0 {
			if revision == 0 || revision <= sh.aggregate.Revision {
				continue
			}
			r.revision = revision
		}
		kept = append(kept, r)
	}
	sh.reservations = kept
}
