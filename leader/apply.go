package leader

import (
	"time"

	"ravenport/constants"
	"ravenport/records"
)

// Tasks that an owner offloaded to the leader are assigned again after a delay. The delay
// is zero the first time that tasks of the job are offloaded. It grows by reassignmentDelay
// each further time, up to maxDelaySteps times reassignmentDelay.
const (
	reassignmentDelay = 500 * time.Millisecond
	maxDelaySteps     = 8
)

// capacityReservation is the capacity of a shard that an assignment uses and that the
// shard's aggregate does not reflect yet.
type capacityReservation struct {
	revision             uint64 // of the key-value store at which the assignment was written; 0: in flight
	cpus, gpus, memoryGB float64
	spot, gang           bool
	types                []string // allowed machine types; empty: any type
	jobID                string
}

// ApplyAggregate applies the aggregate that a shard's owner pushed. Aggregates from earlier
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

// ApplyJob applies a job's record from the feed. The leader keeps a job until it has ended
// and all its assignments are closed: until then tasks of the job may be running.
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
	// An in-flight commit was based on an older version of the record. The commit has
	// either been written by now or can only fail, so the newer record determines what
	// the team uses.
	job.isInFlight = false
	c.setReservedQuota(id, record.Spec.Team, quotaAmount{})
	hasUnassigned := record.End == "" && len(record.Unassigned()) > 0
	if job.record != nil && hasUnassigned && !job.hasUnassigned {
		// An owner offloaded tasks: other shards are tried after a delay that grows each
		// time.
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

// removeJob removes a job that has ended and frees its quota.
func (c *Core) removeJob(id string) {
	if job := c.jobs[id]; job != nil {
		c.setOpenQuota(job, quotaAmount{})
		c.setReservedQuota(id, job.record.Spec.Team, quotaAmount{})
	}
	delete(c.jobs, id)
	delete(c.unassigned, id)
}

// openTasks returns the number of a job's tasks in assignments that are not closed.
func openTasks(record *records.Job) int {
	n := 0
	for _, a := range record.Assignments {
		if !a.Closed {
			n += a.Tasks()
		}
	}
	return n
}

// ApplyCommitResult applies the result of a commit: the revision of the key-value store at
// which the commit was written, or 0 if the commit is not known to have been written.
func (c *Core) ApplyCommitResult(now time.Time, id string, urgent bool, revision uint64) {
	if urgent {
		c.urgentInFlight--
	} else {
		c.nonUrgentInFlight--
	}
	for _, shard := range c.shards {
		shard.settleReservations(id, revision)
	}
	job := c.jobs[id]
	if revision != 0 || job == nil {
		return
	}
	// The commit is not known to have been written. If the feed delivers a newer record,
	// the leader continues from that record; otherwise it assigns the tasks again. The
	// quota stays reserved until a newer record arrives, since the transaction may still
	// be applied late.
	job.isInFlight = false
	job.retryAt = now.Add(constants.LeaderTickInterval)
}

// settleReservations records the revision at which a job's in-flight reservations were
// written. It drops the reservations if the commit is not known to have been written
// (revision 0) or if the shard's aggregate reflects them already.
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
