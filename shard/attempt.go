package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// hold is an attempt that is, or may be, on a machine.
type hold struct {
	key      holdKey
	jobID    string
	index    int
	m        *machine
	state    string // a state of wire, or stateSent
	cause    string
	needs    resources
	image    string
	listed   bool   // a report of this session has shown it
	seen     uint64 // the look at a report that last showed it
	adopted  bool   // it ran already when this owner first heard of it
	direct   bool   // a direct command may have carried its start; such a one can be repeated late
	directed uint64 // the highest token under which one may have
	sentSeq  uint64 // the report whose answer last carried the start
	stop     bool   // to be stopped though its task is still wanted
	instant  bool   // stopping takes no saving
	told     time.Time
	sentAt   time.Time
	runSince time.Time
}

// holdKey names one attempt of a task on one machine.
type holdKey struct {
	task    string
	attempt uint64
}

// stateSent: a start was decided and may have been sent, and no report has
// shown the attempt yet.
const stateSent = "sent"

func (h *hold) exited() bool { return h.state == wire.TaskExited }

func (h *hold) isRunning() bool { return h.state == wire.TaskRunning }

// fill takes in what the job says of its tasks.
func (h *hold) fill(j *job) {
	s := &j.rec.Spec
	h.needs, h.image = need(s), s.Image
	h.instant = s.CheckpointS == 0
	h.m.stale = true
}

// adoptKnown looks for a task that is already known to be on a machine.
func (c *Core) adoptKnown(t *task) {
	for _, h := range c.byTask[taskKey{t.job.rec.ID, t.index}] {
		h.fill(t.job)
		c.matchHold(t, h)
	}
}

// matchHold brings a task in line with an attempt that a report showed.
func (c *Core) matchHold(t *task, h *hold) {
	h.m.stale = true
	c.touch(t.job)
	if t.job.gang != nil {
		c.reconcileGangAttempt(t, h)
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

// release takes an attempt that is surely gone off its machine and its task.
func (c *Core) release(now time.Time, h *hold) {
	c.dropHold(h)
	if !h.exited() {
		c.needsPlacement = true
	}
	c.pushDirty = true
	if j := c.jobs[h.jobID]; j != nil {
		if t := j.tasks[h.index]; t != nil && t.hold == h {
			t.hold = nil
			t.waitSince = now
			t.keep = false // lost its machine: what does not fit here goes up at once
			if j.gang != nil {
				c.handleLostGangTask(j, h)
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

// failed notes that an attempt ended without its task being done.
func (c *Core) failed(now time.Time, t *task, h *hold) {
	t.waitSince = now
	switch h.cause {
	case wire.CauseStopped, wire.CauseGangPeerLost, wire.CauseGangIncomplete:
		return // nobody's fault
	case wire.CauseError, wire.CauseUnknown:
		slog.Warn("task failed", "task", h.key.task, "machine", h.m.name, "cause", h.cause)
		j := t.job
		if j.errors == nil {
			j.errors = map[string]bool{}
		}
		j.errors[h.m.name] = true
		t.fails++
		// Failing on several machines, the job is at fault, not they.
		if len(j.errors) < constants.FaultyJobMachines {
			h.m.avoidUntil = now.Add(constants.FaultyMachinePause)
		}
		wait := time.Second << min(t.fails, 5)
		t.notBefore = now.Add(min(wait, constants.MaxFailedTaskRetry))
		c.draining.migrationFailed(t, h.m.name)
	default: // refused for room, or as busy
		slog.Warn("start refused", "task", h.key.task, "machine", h.m.name, "cause", h.cause)
		t.notBefore = now.Add(constants.RefusedStartRetry)
	}
}
