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
	c.noteGang(now, rec)
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
			j.gang, j.gangSince = &gang{}, now
			c.gangs.add(now, time.Duration(now.UnixMilli()-rec.AcceptedMS)*time.Millisecond, need(&rec.Spec).times(rec.Spec.Tasks))
		}
	}
	if version <= j.version {
		return
	}
	j.rec, j.version = rec, version
	j.writing, j.awaited = false, false
	for _, t := range j.tasks {
		t.leaving = false // a write that was based on an older record can only fail now
		if t.hold != nil {
			t.hold.m.stale = true
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
				t = &task{job: j, index: i, uncertain: inherited && !c.rebuilt, waitSince: now}
				j.tasks[i] = t
				fresh++
				c.adoptKnown(t)
				if rec.Spec.Priority == wire.PriorityProduction {
					c.prod.add(now, time.Duration(now.UnixMilli()-rec.AcceptedMS)*time.Millisecond, need(&rec.Spec))
				}
			}
			t.keep, t.guarantee = ch.KeepWaiting, ch.Guaranteed
		}
	}
	for i, t := range j.tasks {
		if !keep[i] {
			if t.hold != nil {
				c.requestCommand(t.hold.m) // to be stopped
			}
			t.hold = nil
			delete(j.tasks, i)
		}
	}
	if fresh > 0 && !inherited {
		c.since = append(c.since, given{version, rec.Spec.Spot, float64(fresh) * rec.Spec.CPUs})
	}
	if rec.End != "" {
		c.stopAll(j)
	}
	if j.gang != nil {
		c.gangRecord(j)
	}
	c.touch(j)
	c.check(j)
	c.dirty, c.pushDirty = true, true
	if len(j.tasks) == 0 {
		delete(c.jobs, id)
	}
}

// stopAll has the attempts of a job that ended stopped.
func (q *outgoing) stopAll(j *job) {
	for _, t := range j.tasks {
		if t.hold != nil && !t.hold.exited() {
			t.hold.m.stale = true
			q.requestCommand(t.hold.m)
		}
	}
}

// Cancelled takes in another controller's word that a job is stored as cancelled,
// before the feed brings the record: its tasks are stopped and none is started.
// Guards against an owner that the state service refuses while others confirm
// cancellations. The record keeps its version, so nothing written of it before the
// feed brings the stored one can be carried out.
func (c *Core) Cancelled(id string) {
	j := c.jobs[id]
	if j == nil || j.rec.End != "" {
		return
	}
	j.rec = j.rec.Clone()
	j.rec.End = wire.JobCancelled
	j.awaited = true
	c.stopAll(j)
	c.touch(j)
	c.dirty, c.pushDirty = true, true
}

// adoptKnown looks for a task that is already known to be on a machine.
func (c *Core) adoptKnown(t *task) {
	for _, h := range c.byTask[taskKey{t.job.rec.ID, t.index}] {
		h.fill(t.job)
		c.matchHold(t, h)
	}
}

// wanted says whether an attempt is the one its task should have.
func (k *knowledge) wanted(h *hold) bool {
	t := k.taskOf(h)
	return t != nil && t.hold == h && !t.done && !h.stop && t.job.rec.End == ""
}

func (k *knowledge) taskOf(h *hold) *task {
	j := k.jobs[h.jobID]
	if j == nil {
		return nil
	}
	return j.tasks[h.index]
}

// fill takes in what the job says of its tasks.
func (h *hold) fill(j *job) {
	s := &j.rec.Spec
	h.needs, h.image = need(s), s.Image
	h.instant = s.CheckpointS == 0
	h.m.stale = true
}

// release takes an attempt that is surely gone off its machine and its task.
func (c *Core) release(now time.Time, h *hold) {
	c.dropHold(h)
	if !h.exited() {
		c.dirty = true
	}
	c.pushDirty = true
	if j := c.jobs[h.jobID]; j != nil {
		if t := j.tasks[h.index]; t != nil && t.hold == h {
			t.hold = nil
			t.waitSince = now
			t.keep = false // lost its machine: what does not fit here goes up at once
			if j.gang != nil {
				c.lostOne(j, h)
			}
		}
		c.touch(j)
		c.check(j)
	}
}

// releaseAll is release for all that was on a machine.
func (c *Core) releaseAll(now time.Time, m *machine) {
	for len(m.holds) > 0 {
		c.release(now, m.holds[len(m.holds)-1])
	}
}

// matchHold brings a task in line with an attempt that a report showed.
func (c *Core) matchHold(t *task, h *hold) {
	h.m.stale = true
	c.touch(t.job)
	if t.job.gang != nil {
		c.matchGang(t, h)
		return
	}
	if h.exited() {
		if h.cause == wire.CauseDone && !t.job.rec.Spec.IsService() {
			t.done = true
			t.uncertain = false
		}
		if t.hold == h {
			t.hold = nil
		}
		c.check(t.job)
		return
	}
	if t.hold == nil && !t.done {
		t.hold = h
		// Only a machine that shows this term's token speaks of now. A late copy
		// may name a machine that the task has left since, for another that has
		// not reported yet.
		t.uncertain = t.uncertain && !h.m.verified(c.term)
	}
}
