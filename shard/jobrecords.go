package shard

import (
	"time"

	"ravenport/records"
	"ravenport/wire"
)

// applyJob brings the tasks that the shard looks after in line with a record.
// inherited marks records from before the term: their tasks may be running.
func (c *Core) applyJob(now time.Time, id string, rec *records.Job, version uint64, inherited bool) {
	j := c.jobs[id]
	mine := 0
	c.recordGangShape(now, rec)
	for _, ch := range rec.Assignments {
		if ch.Shard == c.cfg.Shard && !ch.Closed {
			mine += ch.Tasks()
		}
	}
	if j == nil && mine == 0 {
		return
	}
	if j == nil {
		j = &job{rec: rec, tasks: make(map[int]*task, mine)}
		c.jobs[id] = j
		if rec.Spec.IsGang() {
			j.gang, j.gangArrivedAt = &gang{}, now
			c.gangArrivals.add(now, time.Duration(now.UnixMilli()-rec.AcceptedMS)*time.Millisecond, taskResources(&rec.Spec).times(rec.Spec.Tasks))
		}
	}
	if version <= j.version {
		return
	}
	j.rec, j.version = rec, version
	j.writeInFlight, j.awaitsRecord = false, false
	for _, t := range j.tasks {
		t.sendingBack = false // a write that was based on an older record can only fail now
		if t.attempt != nil {
			t.attempt.machine.usageStale = true
		}
	}
	keep := make(map[int]bool, mine)
	fresh := 0
	for _, ch := range rec.Assignments {
		if ch.Shard != c.cfg.Shard || ch.Closed {
			continue
		}
		for i := ch.From; i < ch.To; i++ {
			keep[i] = true
			t := j.tasks[i]
			if t == nil {
				t = &task{job: j, index: i, uncertain: inherited && !c.rebuilt, waitingSince: now}
				j.tasks[i] = t
				fresh++
				c.adoptAttempts(t)
				if rec.Spec.Priority == wire.PriorityProduction {
					c.productionArrivals.add(now, time.Duration(now.UnixMilli()-rec.AcceptedMS)*time.Millisecond, taskResources(&rec.Spec))
				}
			}
			t.keepWaiting, t.withinGuarantee = ch.KeepWaiting, ch.Guaranteed
		}
	}
	for i, t := range j.tasks {
		if !keep[i] {
			if t.attempt != nil {
				c.requestCommand(t.attempt.machine) // to be stopped
			}
			t.attempt = nil
			delete(j.tasks, i)
		}
	}
	if fresh > 0 && !inherited {
		c.assignedSinceForecast = append(c.assignedSinceForecast, assignedWork{version, rec.Spec.Spot, float64(fresh) * rec.Spec.CPUs})
	}
	if rec.End != "" {
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

// stopJob has the attempts of a job that ended stopped.
func (q *outbox) stopJob(j *job) {
	for _, t := range j.tasks {
		if t.attempt != nil && !t.attempt.hasExited() {
			t.attempt.machine.usageStale = true
			q.requestCommand(t.attempt.machine)
		}
	}
}

// ApplyCancellation takes in another controller's word that a job is stored as cancelled,
// before the feed brings the record: its tasks are stopped and none is started.
// Guards against an owner that the state service refuses while others confirm
// cancellations. The record keeps its version, so nothing written of it before the
// feed brings the stored one can be carried out.
func (c *Core) ApplyCancellation(id string) {
	j := c.jobs[id]
	if j == nil || j.rec.End != "" {
		return
	}
	j.rec = j.rec.Clone()
	j.rec.End = wire.JobCancelled
	j.awaitsRecord = true
	c.stopJob(j)
	c.markWaitingStale(j)
	c.needsPlacement, c.aggregateChanged = true, true
}

// assignedWork is work that a record brought.
type assignedWork struct {
	version uint64
	spot    bool
	cpus    float64
}
