package shard

import (
	"log/slog"
	"slices"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/records"
	"ravenport/wire"
)

// reconcileGangRecord brings a gang in line with a newer record.
func (c *Core) reconcileGangRecord(j *job) {
	isClosed := func(a records.Assignment) bool { return a.Closed }
	switch {
	case j.rec.End == "" && slices.ContainsFunc(j.rec.Assignments, isClosed):
		c.markGangDone(j) // another shard has seen a task of it done
	case len(j.rec.Unassigned()) > 0 && j.gang.attempt == j.rec.Attempt:
		c.failGangAttempt(j, "another share was offloaded")
	}
}

// markGangDone notes that a gang has completed: if one task is done, all are.
func (c *Core) markGangDone(j *job) {
	j.gang.done = true
	for _, t := range j.tasks {
		t.done = true
		if t.attempt != nil {
			t.attempt.machine.usageStale = true
		}
	}
	c.markWaitingStale(j)
	c.queueForClose(j)
}

// reconcileGangAttempt brings a gang in line with an attempt of one of its tasks that a
// heartbeat has shown.
func (c *Core) reconcileGangAttempt(t *task, a *attempt) {
	if a.hasExited() {
		c.reconcileGangExit(t, a)
		return
	}
	g := t.job.gang
	if g.done || a.key.number < g.attempt {
		return // superseded: it is stopped
	}
	if a.key.number > g.attempt {
		c.adoptGangAttempt(t.job, a.key.number)
	}
	if t.attempt == nil {
		t.attempt = a
		t.possiblyRunning = t.possiblyRunning && !a.machine.hasSeenTerm(c.term)
	}
	if a.state == wire.TaskRunning || a.state == wire.TaskSaving {
		g.hasRun = true
	}
	if g.failed {
		c.stopWithoutCheckpoint(a)
	}
}

// reconcileGangExit takes in that a task of a gang has exited: the gang is done, or its
// attempt has failed, unless the start was refused before the gang ran.
func (c *Core) reconcileGangExit(t *task, a *attempt) {
	j, g := t.job, t.job.gang
	if t.attempt == a {
		t.attempt = nil
	}
	switch {
	case a.cause == wire.CauseDone:
		t.possiblyRunning = false
		c.markGangDone(j)
	case isRefusal(a.cause) && !g.hasRun:
	case a.key.number == g.attempt:
		c.failGangAttempt(j, string(a.cause))
	case a.key.number == j.rec.Attempt && g.attempt == 0:
		// Left by an earlier owner: the leader's number is used up.
		*g = gang{attempt: a.key.number, failed: true}
	}
	c.queueForClose(j)
}

// adoptGangAttempt takes an attempt that an earlier owner started as the gang's current
// one: the highest number is the last. What runs under other numbers is stopped.
func (c *Core) adoptGangAttempt(j *job, number uint64) {
	for _, t := range j.tasks {
		if t.attempt != nil && t.attempt.key.number != number {
			c.requestCommand(t.attempt.machine)
			t.attempt.machine.usageStale = true
			t.attempt = nil
		}
	}
	startedAt := c.lastStepAt
	if startedAt.Before(c.acquiredAt) {
		startedAt = c.acquiredAt // found before the first step
	}
	*j.gang = gang{attempt: number, startedAt: startedAt}
}

// isRefusal says whether a cause of exit is that the machine refused the start, so that
// nothing was lost.
func isRefusal(cause wire.ExitCause) bool {
	return cause == wire.CauseNoCapacity || cause == wire.CauseOtherAttempt || cause == wire.CauseUnknownTask
}

// failGangAttempt gives up the current attempt because a task of it is gone: what the
// others still do is of no use, and their last checkpoint is safe once one has exited. The
// reason is for the log; a task's cause of exit is one.
func (c *Core) failGangAttempt(j *job, reason string) {
	g := j.gang
	if g.failed || g.done || g.attempt == 0 {
		return
	}
	g.failed = true
	slog.Info("gang attempt failed", logkey.JobID, j.rec.ID, "attempt", g.attempt, "reason", reason, "has_run", g.hasRun)
	for _, t := range j.tasks {
		a := t.attempt
		if a == nil || a.hasExited() {
			continue
		}
		if reason == string(wire.CauseGangIncomplete) && (a.state == stateSent || a.state == wire.TaskFetching) {
			a.machine.avoidUntil = c.lastStepAt.Add(constants.FaultyMachinePause) // the others waited for it in vain
		}
		c.stopWithoutCheckpoint(a)
	}
	c.markWaitingStale(j)
	c.needsPlacement = true
	c.aggregateChanged = true
}

// stopWithoutCheckpoint stops an attempt with no time for a checkpoint.
func (q *outbox) stopWithoutCheckpoint(a *attempt) {
	a.stopsInstantly = true
	q.evict(a)
}

// stopGangWithCheckpoint stops all tasks of a gang at once, with time for a checkpoint. The
// reason is for the log.
func (q *outbox) stopGangWithCheckpoint(j *job, reason string) {
	slog.Info("stopping gang with checkpoint", logkey.JobID, j.rec.ID, "reason", reason)
	for _, t := range j.tasks {
		if t.attempt != nil && !t.attempt.hasExited() {
			q.evict(t.attempt)
		}
	}
}

// handleLostGangTask notes that a task of the current attempt is surely gone. Before the
// gang runs, another attempt of the task may take its place; afterwards all of it fails.
func (c *Core) handleLostGangTask(j *job, a *attempt) {
	if a.key.number == j.gang.attempt && j.gang.hasRun && !a.hasExited() {
		c.failGangAttempt(j, "machine lost")
	}
}
