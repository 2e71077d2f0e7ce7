package shard

import (
	"time"

	"ravenport/records"
	"ravenport/wire"
)

// applyJob updates the tasks that are assigned to the shard from a job's record. inherited
// marks records from before the term, whose tasks may be running already.
func (c *Core) applyJob(now time.Time, id string, record *records.Job, version uint64, inherited bool) {
	c.recordGangShape(now, record)
	assigned := c.assignedTasks(record)
	j := c.jobs[id]
	if j == nil && assigned == 0 {
		return
	}
	if j == nil {
		j = c.addJob(now, id, record, assigned)
	}
	if version <= j.version {
		return
	}
	j.record, j.version = record, version
	j.writeInFlight, j.awaitsRecord = false, false
	for _, t := range j.tasks {
		t.offloading = false // a pending write is based on an older record and can only fail now
		if t.attempt != nil {
			t.attempt.machine.usageStale = true
		}
	}
	added := c.applyAssignments(now, j, assigned, inherited)
	if added > 0 && !inherited {
		c.assignedSinceForecast = append(c.assignedSinceForecast, assignedWork{version, record.Spec.Spot, float64(added) * record.Spec.CPUs})
	}
	if record.End != "" {
		c.stopJob(j)
	}
	if j.gang != nil {
		c.reconcileGangRecord(j)
	}
	c.markWaitingStale(j)
	c.queueForClose(j)
	c.needsPlacement, c.aggregateChanged = true, true
	if len(j.tasks) == 0 {
		delete(c.jobs, id)
	}
}

// assignedTasks counts the tasks of a job's open assignments to the shard.
func (o *ownership) assignedTasks(record *records.Job) int {
	n := 0
	for i := range record.Assignments {
		if assignment := &record.Assignments[i]; assignment.Shard == o.cfg.Shard && !assignment.Closed {
			n += assignment.Tasks()
		}
	}
	return n
}

// addJob adds a job to the known state.
func (c *Core) addJob(now time.Time, id string, record *records.Job, assigned int) *job {
	j := &job{record: record, tasks: make(map[int]*task, assigned)}
	c.jobs[id] = j
	if record.Spec.IsGang() {
		j.gang, j.gangArrivedAt = &gang{}, now
		c.gangArrivals.add(now, sinceAccepted(now, record), taskResources(&record.Spec).times(record.Spec.Tasks))
	}
	return j
}

// sinceAccepted returns the time since a job was accepted.
func sinceAccepted(now time.Time, record *records.Job) time.Duration {
	return time.Duration(now.UnixMilli()-record.AcceptedMS) * time.Millisecond
}

// applyAssignments adds and removes tasks of a job so that the known tasks are those of its
// open assignments to the shard. It returns the number of added tasks.
func (c *Core) applyAssignments(now time.Time, j *job, assigned int, inherited bool) (added int) {
	keep := make(map[int]bool, assigned)
	for _, assignment := range j.record.Assignments {
		if assignment.Shard != c.cfg.Shard || assignment.Closed {
			continue
		}
		for i := assignment.From; i < assignment.To; i++ {
			keep[i] = true
			t := j.tasks[i]
			if t == nil {
				t = &task{job: j, index: i, possiblyRunning: inherited && !c.rebuilt, waitingSince: now}
				j.tasks[i] = t
				added++
				c.adoptAttempts(t)
				if j.record.Spec.Priority == wire.PriorityProduction {
					c.productionArrivals.add(now, sinceAccepted(now, j.record), taskResources(&j.record.Spec))
				}
			}
			t.keepWaiting, t.withinGuarantee = assignment.KeepWaiting, assignment.Guaranteed
		}
	}
	for i, t := range j.tasks {
		if !keep[i] {
			if t.attempt != nil {
				c.requestCommand(t.attempt.machine) // to stop the attempt
			}
			t.attempt = nil
			delete(j.tasks, i)
		}
	}
	return added
}

// stopJob requests that the attempts of a job that has ended are stopped.
func (q *outbox) stopJob(j *job) {
	for _, t := range j.tasks {
		if t.attempt != nil && !t.attempt.hasExited() {
			t.attempt.machine.usageStale = true
			q.requestCommand(t.attempt.machine)
		}
	}
}

// ApplyCancellation handles a message of another controller that a job is stored as
// cancelled. The message may come before the feed brings the record. The job's tasks are
// stopped and no task is started. An owner whose requests the key-value store refuses can
// thus follow cancellations that other controllers confirm. The version of the record is not
// changed, so a write that is based on the changed record fails until the feed brings the
// stored record.
func (c *Core) ApplyCancellation(id string) {
	j := c.jobs[id]
	if j == nil || j.record.End != "" {
		return
	}
	j.record = j.record.Clone()
	j.record.End = wire.JobCancelled
	j.awaitsRecord = true
	c.stopJob(j)
	c.markWaitingStale(j)
	c.needsPlacement, c.aggregateChanged = true, true
}

// assignedWork is the amount of work that a version of a job's record assigned to the shard.
type assignedWork struct {
	version uint64
	spot    bool
	cpus    float64
}
