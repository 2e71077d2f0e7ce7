package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/wire"
)

// reconcile takes in a report's task list. beat tells an own report of the
// worker from the answer to a direct command.
func (c *Core) reconcile(now time.Time, m *machine, r *wire.Heartbeat, beat bool) {
	if r.Epoch > m.epoch {
		// The earlier session's end killed and forgot everything.
		c.releaseAttempts(now, m)
		m.epoch = r.Epoch
		m.reportedToken = 0
		m.repliesSinceToken = 0
		// A session has a lease of its own from its first moment on, also when
		// the owner hears of it by a direct command's answer.
		m.leaseExpiresAt = c.leaseExpiry(now, m)
	}
	// Who is answered stays, and its next report is the next in number.
	m.skippedSeq = beat && m.answeredSeq != 0 && r.Epoch == m.lastHeartbeatEpoch && r.Seq > m.answeredSeq+1
	if beat {
		m.lastHeartbeatEpoch, m.lastHeartbeatSeq, m.answeredSeq = r.Epoch, r.Seq, r.Seq
	} else if r.Epoch == m.lastHeartbeatEpoch && r.Seq == m.seq+1 {
		m.answeredSeq = r.Seq // the answer to a direct command counts as well
	}
	m.seq = r.Seq
	if was := m.reportedToken; r.FencingToken > was {
		m.reportedToken = r.FencingToken
		if !(m.up && was>>constants.TokenCounterBits == c.term) && m.hasSeenTerm(c.term) {
			c.needsPlacement = true // it may take tasks now
		}
	}
	if r.NoticeS != nil && m.reclaimAt.IsZero() {
		m.reclaimAt = now.Add(time.Duration(*r.NoticeS * float64(time.Second)))
		slog.Info("spot notice: machine will be reclaimed", logkey.Machine, m.name, "in_s", *r.NoticeS)
	} else if r.NoticeS == nil {
		m.reclaimAt = time.Time{}
	}
	c.reconcileCount++
	c.attemptEnded, m.needsHigherToken = false, false
	for i := range r.Tasks {
		c.reconcileTask(now, m, &r.Tasks[i])
	}
	for i := len(m.attempts) - 1; i >= 0; i-- {
		a := m.attempts[i]
		if a.lastReconcile == c.reconcileCount {
			continue
		}
		switch {
		case a.reported:
			c.releaseAttempt(now, a) // forgotten on our command
		case beat && r.Seq > a.startSentSeq && (!a.sentDirectly || a.maxDirectToken < m.reportedToken):
			// The answer that carried the start was dropped or lost, and an
			// answer is never carried out late; nor is a direct command under a
			// token lower than the machine's: it is not there. A wanted one is
			// sent again, to the same machine, under the same attempt.
			if !c.isWanted(a) {
				c.releaseAttempt(now, a)
			}
		case beat && !c.isWanted(a):
			m.needsHigherToken = true // a higher token will settle it
		}
	}
	if c.isBusy(m) {
		m.idleSince = time.Time{}
	} else if m.idleSince.IsZero() {
		m.idleSince = now
	}
	if !c.rebuilt {
		c.finishRebuild(now)
	}
}

// reconcileTask takes in one task of a report.
func (c *Core) reconcileTask(now time.Time, m *machine, ts *wire.TaskStatus) {
	a := m.findAttempt(attemptKey{ts.Task, ts.Attempt})
	if a == nil {
		jobID, index, ok := wire.ParseTaskName(ts.Task)
		if !ok {
			if !m.invalidTaskLogged {
				m.invalidTaskLogged = true
				slog.Warn("heartbeat with an invalid task name", logkey.Machine, m.name)
			}
			return
		}
		// Left by an earlier owner, or by a command whose answer was lost. The
		// term in its number bounds the tokens under which it was ever sent.
		a = &attempt{key: attemptKey{ts.Task, ts.Attempt}, jobID: jobID, taskIndex: index, machine: m, adopted: ts.State == wire.TaskRunning, sentDirectly: true, stopsInstantly: true}
		a.maxDirectToken = (ts.Attempt>>constants.AttemptBits+1)<<constants.TokenCounterBits - 1
		if ts.Attempt>>constants.AttemptBits == 0 {
			a.maxDirectToken = c.term<<constants.TokenCounterBits - 1 // a gang's shared number names no term
		}
		if j := c.jobs[jobID]; j != nil {
			a.applySpec(j)
		}
		c.addAttempt(a)
	}
	was := a.state
	a.lastReconcile = c.reconcileCount
	if a.reported && was == ts.State {
		if t := c.taskOf(a); t != nil && t.attempt == nil && !t.done && !a.hasExited() {
			c.matchAttempt(t, a) // a stray whose task has lost its own attempt
		}
		return
	}
	a.reported = true
	a.state, a.cause = ts.State, ts.Cause
	m.usageStale = true
	if a.state == wire.TaskRunning && was != wire.TaskRunning {
		a.runningSince = now
		if j := c.jobs[a.jobID]; j != nil {
			slog.Debug("task runs", "task", ts.Task, "class", j.rec.Spec.Class, "machine", m.name, "spot", m.spot,
				"accepted_s", float64(now.UnixMilli()-j.rec.AcceptedMS)/1000, "sent_s", now.Sub(a.startSentAt).Seconds(), "cached", m.cachedImages[a.image])
		}
	}
	if (a.state == wire.TaskRunning || a.state == wire.TaskWaitingForGang) && a.image != "" {
		m.cachedImages[a.image] = true
	}
	if a.hasExited() && was != wire.TaskExited && !a.runningSince.IsZero() {
		if j := c.jobs[a.jobID]; j != nil {
			slog.Debug("task ended", "task", ts.Task, "cause", a.cause, "machine", m.name, "ran_s", now.Sub(a.runningSince).Seconds(), "estimate_s", j.rec.Spec.EstimateS)
		}
	}
	c.aggregateChanged = true
	c.attemptEnded = c.attemptEnded || a.hasExited()
	t := c.taskOf(a)
	if t == nil {
		if j := c.jobs[a.jobID]; j != nil && a.hasExited() {
			c.queueForClose(j)
		}
		return
	}
	if a.hasExited() && was != wire.TaskExited && a.cause != wire.CauseDone {
		c.needsPlacement = true
		if t.attempt == a {
			c.attemptFailed(now, t, a)
		}
	}
	c.matchAttempt(t, a)
}

// finishRebuild ends the rebuild once every inherited machine has shown all
// that is on it or has surely lost it.
func (c *Core) finishRebuild(now time.Time) {
	if c.rebuilt {
		return
	}
	for _, m := range c.fleet {
		if m.inherited && !m.hasSeenTerm(c.term) {
			return
		}
	}
	c.rebuilt = true
	for _, j := range c.jobs {
		for _, t := range j.tasks {
			t.uncertain = false
		}
		c.markWaitingStale(j)
		c.queueForClose(j)
	}
	c.needsPlacement = true
	slog.Info("shard rebuilt", "shard", c.cfg.Shard, "term", c.term, "after_ms", now.Sub(c.acquiredAt).Milliseconds(), "machines", len(c.machines))
}
