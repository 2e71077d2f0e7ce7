package shard

import (
	"log/slog"
	"slices"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// reconcileGangRecord brings a gang in line with a newer record.
func (c *Core) reconcileGangRecord(j *job) {
	if slices.ContainsFunc(j.rec.Assignments, func(ch records.Assignment) bool { return ch.Closed }) && j.rec.End == "" {
		c.markGangDone(j) // another shard has seen a task of it done
	} else if len(j.rec.Unassigned()) > 0 && j.gang.attempt == j.rec.Attempt {
		c.failGangAttempt(j, "another share was given back")
	}
}

// markGangDone notes that a gang has completed: if one task is done, all are.
func (c *Core) markGangDone(j *job) {
	j.gang.done = true
	for _, t := range j.tasks {
		if t.done = true; t.attempt != nil {
			t.attempt.machine.usageStale = true
		}
	}
	c.markWaitingStale(j)
	c.queueForClose(j)
}

// reconcileGangAttempt brings a gang in line with an attempt of one of its tasks that a
// report showed.
func (c *Core) reconcileGangAttempt(t *task, a *attempt) {
	j, g := t.job, t.job.gang
	if a.hasExited() {
		if t.attempt == a {
			t.attempt = nil
		}
		switch {
		case a.cause == wire.CauseDone:
			t.uncertain = false
			c.markGangDone(j)
		case isRefusal(a.cause) && !g.hasRun:
		case a.key.number == g.attempt:
			c.failGangAttempt(j, a.cause)
		case a.key.number == j.rec.Attempt && g.attempt == 0:
			// Left by an earlier owner: the leader's number is used up.
			*g = gang{attempt: a.key.number, failed: true}
		}
		c.queueForClose(j)
		return
	}
	switch {
	case g.done || a.key.number < g.attempt:
		return // a stray: to be stopped
	case a.key.number > g.attempt:
		// Left by an earlier owner; the highest number is the last.
		for _, o := range j.tasks {
			if o.attempt != nil && o.attempt.key.number != a.key.number {
				c.requestCommand(o.attempt.machine)
				o.attempt.machine.usageStale = true
				o.attempt = nil
			}
		}
		*g = gang{attempt: a.key.number, startedAt: c.lastStepAt}
		if c.lastStepAt.Before(c.acquiredAt) {
			g.startedAt = c.acquiredAt // found before the first step
		}
	}
	if t.attempt == nil {
		t.attempt = a
		t.uncertain = t.uncertain && !a.machine.hasSeenTerm(c.term)
	}
	if a.state == wire.TaskRunning || a.state == wire.TaskSaving {
		g.hasRun = true
	}
	if g.failed {
		c.stopWithoutCheckpoint(a)
	}
}

// isRefusal says that a start was refused, so that the attempt lost nothing by it.
func isRefusal(cause string) bool {
	return cause == wire.CauseNoCapacity || cause == wire.CauseOtherAttempt || cause == wire.CauseUnknownTask
}

// failGangAttempt gives up the attempt under way: a task of it is gone. Nothing that
// the others still do is of use; what they saved is safe once one has exited.
func (c *Core) failGangAttempt(j *job, why string) {
	g := j.gang
	if g.failed || g.done || g.attempt == 0 {
		return
	}
	g.failed = true
	slog.Info("gang's attempt ends", "job", j.rec.ID, "attempt", g.attempt, "why", why, "begun", g.hasRun)
	for _, t := range j.tasks {
		if a := t.attempt; a != nil && !a.hasExited() {
			if why == wire.CauseGangIncomplete && (a.state == stateSent || a.state == wire.TaskFetching) {
				a.machine.avoidUntil = c.lastStepAt.Add(constants.FaultyMachinePause) // the others waited for it in vain
			}
			c.stopWithoutCheckpoint(a)
		}
	}
	c.markWaitingStale(j)
	c.needsPlacement, c.aggregateChanged = true, true
}

// stopWithoutCheckpoint stops an attempt with no time to save.
func (q *outbox) stopWithoutCheckpoint(a *attempt) {
	a.stopsInstantly = true
	q.evict(a)
}

// stopGangWithCheckpoint stops a gang whole, with time to save: all its tasks are told at once.
func (q *outbox) stopGangWithCheckpoint(j *job, why string) {
	slog.Info("gang stops and saves", "job", j.rec.ID, "why", why)
	for _, t := range j.tasks {
		if a := t.attempt; a != nil && !a.hasExited() {
			q.evict(a)
		}
	}
}

// handleLostGangTask notes that a task of the attempt under way is surely gone. Before the
// gang has begun another may take its place; after it the rest is ending.
func (c *Core) handleLostGangTask(j *job, a *attempt) {
	if g := j.gang; a.key.number == g.attempt && g.hasRun && !a.hasExited() {
		c.failGangAttempt(j, "a machine is gone")
	}
}
