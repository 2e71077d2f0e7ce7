package shard

import (
	"log/slog"
	"slices"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/records"
	"ravenport/wire"
)

// reconcileGangRecord updates a gang's state from a newer record of its job.
func (c *Core) reconcileGangRecord(j *job) {
	isClosed := func(a records.Assignment) bool { return a.Closed }
	switch {
	case j.record.End == "" && slices.ContainsFunc(j.record.Assignments, isClosed):
		c.markGangDone(j) // a shard has closed its assignment: a task is done
	case len(j.record.Unassigned()) > 0 && j.gang.attempt == j.record.Attempt:
		c.failGangAttempt(j, "another share was offloaded")
	}
}

// markGangDone records that a gang is done. If one task of a gang is done, all its tasks
// are.
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

// reconcileGangAttempt updates a gang's state from an attempt of one of its tasks that a
// heartbeat or reply has listed.
func (c *Core) reconcileGangAttempt(t *task, a *attempt) {
	if a.hasExited() {
		c.reconcileGangExit(t, a)
		return
	}
	g := t.job.gang
	if g.done || a.key.number < g.attempt {
		return // a superseded attempt, which is stopped
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

// reconcileGangExit handles the exit of a gang's task: the gang is done, or its attempt
// has failed, unless the worker refused the start before the gang ran.
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
	case a.key.number == j.record.Attempt && g.attempt == 0:
		// An earlier owner started this attempt, so the leader's attempt number cannot
		// be used again.
		*g = gang{attempt: a.key.number, failed: true}
	}
	c.queueForClose(j)
}

// adoptGangAttempt makes an attempt that an earlier owner started the current attempt of
// the gang. The attempt with the highest number is the latest; tasks that run under
// other numbers are stopped.
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
		startedAt = c.acquiredAt // the attempt was found before the first step
	}
	*j.gang = gang{attempt: number, startedAt: startedAt}
}

// isRefusal reports whether an exit cause means that the worker refused the start, in
// which case no work was lost.
func isRefusal(cause wire.ExitCause) bool {
	return cause == wire.CauseNoCapacity || cause == wire.CauseOtherAttempt || cause == wire.CauseUnknownTask
}

// failGangAttempt marks the current attempt as failed because one of its tasks is gone,
// and stops the other tasks. Their further work is of no use, and their last checkpoint
// is safe once a task has exited, so the tasks get no time for another one. The reason is
// logged; it may be the exit cause of a task.
func (c *Core) failGangAttempt(j *job, reason string) {
	g := j.gang
	if g.failed || g.done || g.attempt == 0 {
		return
	}
	g.failed = true
	slog.Info("gang attempt failed", logkey.JobID, j.record.ID, "attempt", g.attempt, "reason", reason, "has_run", g.hasRun)
	for _, t := range j.tasks {
		a := t.attempt
		if a == nil || a.hasExited() {
			continue
		}
		if reason == string(wire.CauseGangIncomplete) && (a.state == stateSent || a.state == wire.TaskFetching) {
			a.machine.avoidUntil = c.lastStepAt.Add(constants.FaultyMachinePause) // the other tasks timed out waiting for the task on this machine
		}
		c.stopWithoutCheckpoint(a)
	}
	c.markWaitingStale(j)
	c.needsPlacement = true
	c.aggregateChanged = true
}

// stopWithoutCheckpoint stops an attempt without time for a checkpoint.
func (q *outbox) stopWithoutCheckpoint(a *attempt) {
	a.stopsInstantly = true
	q.evict(a)
}

// stopGangWithCheckpoint stops all tasks of a gang at the same time, with time for a
// checkpoint. The reason is logged.
func (q *outbox) stopGangWithCheckpoint(j *job, reason string) {
	slog.Info("stopping gang with checkpoint", logkey.JobID, j.record.ID, "reason", reason)
	for _, t := range j.tasks {
		if t.attempt != nil && !t.attempt.hasExited() {
			q.evict(t.attempt)
		}
	}
}

// handleLostGangTask handles the certain loss of a task of the current attempt. Before
// the gang has run, another attempt of the task may replace the lost one. After that,
// the whole attempt of the gang fails.
func (c *Core) handleLostGangTask(j *job, a *attempt) {
	if a.key.number == j.gang.attempt && j.gang.hasRun && !a.hasExited() {
		c.failGangAttempt(j, "machine lost")
	}
}
