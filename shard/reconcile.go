package shard

import (
	"log/slog"
	"time"

	"ravenport/logkey"
	"ravenport/wire"
)

// exchangeKind is the kind of message exchange in which a machine's status reaches the owner
// and commands reach the machine.
type exchangeKind int

const (
	viaHeartbeat     exchangeKind = iota // the worker's own heartbeat and the reply to it
	viaDirectCommand                     // a direct command and the reply to it
)

// checkStatus returns the reason why a status must not change the known state, whichever
// exchange it came by: ErrMachineTerminated or ErrStaleHeartbeat. nil: the status is current.
func (v *fleetView) checkStatus(status *wire.Heartbeat) error {
	if v.isTerminated(status.Machine) {
		return ErrMachineTerminated
	}
	if m := v.machines[status.Machine]; m != nil && !m.isNewer(status) {
		return ErrStaleHeartbeat
	}
	return nil
}

// reconcile updates the known state of a machine and its attempts from the machine's status,
// which a heartbeat or the reply to a direct command contained.
func (c *Core) reconcile(now time.Time, m *machine, status *wire.Heartbeat, via exchangeKind) {
	if status.Epoch > m.epoch {
		c.beginEpoch(now, m, status.Epoch)
	}
	m.updateSeq(status, via)
	c.updateReportedToken(m, status.FencingToken)
	m.updateSpotNotice(now, status.NoticeS)
	c.reconcileCount++
	c.attemptEnded, m.needsHigherToken = false, false
	for i := range status.Tasks {
		c.reconcileTask(now, m, &status.Tasks[i])
	}
	c.reconcileUnlisted(now, m, status.Seq, via)
	if c.isBusy(m) {
		m.idleSince = time.Time{}
	} else if m.idleSince.IsZero() {
		m.idleSince = now
	}
	if !c.rebuilt {
		c.finishRebuild(now)
	}
}

// beginEpoch records a new epoch of a machine. When the earlier epoch ended, the worker
// killed and removed every task on the machine.
func (c *Core) beginEpoch(now time.Time, m *machine, epoch uint64) {
	c.releaseAttempts(now, m)
	m.epoch = epoch
	m.reportedToken = 0
	m.repliesSinceToken = 0
	// Each epoch has its own lease from its begin on, also if the owner learns of the epoch
	// by the reply to a direct command.
	m.leaseExpiresAt = c.leaseExpiry(now, m)
}

// updateSeq records the sequence number of a status, and whether the machine has sent
// heartbeats to other controllers since its last one. A worker whose heartbeat is answered
// stays with that controller, and its next heartbeat has the next number.
func (m *machine) updateSeq(status *wire.Heartbeat, via exchangeKind) {
	m.skippedSeq = via == viaHeartbeat && m.answeredSeq != 0 && status.Epoch == m.lastHeartbeatEpoch && status.Seq > m.answeredSeq+1
	if via == viaHeartbeat {
		m.lastHeartbeatEpoch = status.Epoch
		m.lastHeartbeatSeq = status.Seq
		m.answeredSeq = status.Seq
	} else if status.Epoch == m.lastHeartbeatEpoch && status.Seq == m.seq+1 {
		m.answeredSeq = status.Seq // heartbeats and replies to direct commands share one sequence of numbers
	}
	m.seq = status.Seq
}

// updateReportedToken records the fencing token that a machine has reported.
func (c *Core) updateReportedToken(m *machine, token uint64) {
	previous := m.reportedToken
	if token <= previous {
		return
	}
	m.reportedToken = token
	hadSeenTerm := m.up && tokenTerm(previous) == c.term
	if !hadSeenTerm && m.hasSeenTerm(c.term) {
		c.needsPlacement = true // the machine can receive tasks now
	}
}

// updateSpotNotice records when the cloud will reclaim the machine. noticeS is nil if the
// machine has no spot notice.
func (m *machine) updateSpotNotice(now time.Time, noticeS *float64) {
	if noticeS == nil {
		m.reclaimAt = time.Time{}
		return
	}
	if m.reclaimAt.IsZero() {
		m.reclaimAt = now.Add(time.Duration(*noticeS * float64(time.Second)))
		slog.Info("spot notice: machine will be reclaimed", logkey.Machine, m.name, "in_s", *noticeS)
	}
}

// reconcileUnlisted handles the attempts that a status does not list.
func (c *Core) reconcileUnlisted(now time.Time, m *machine, seq uint64, via exchangeKind) {
	for i := len(m.attempts) - 1; i >= 0; i-- {
		a := m.attempts[i]
		if a.lastReconcile == c.reconcileCount {
			continue
		}
		switch {
		case a.reported:
			c.releaseAttempt(now, a) // the machine has forgotten the attempt on a command of the owner
		case via != viaHeartbeat:
			// Only a heartbeat proves that a start command had no effect.
		case seq > a.startSentSeq && (!a.sentDirectly || a.maxDirectToken < m.reportedToken):
			// The attempt is not on the machine. The reply that carried the start was dropped
			// or lost, and a reply is never carried out late. A direct command with a token
			// lower than the machine's is not carried out either. The start of a wanted
			// attempt is sent again, to the same machine and with the same attempt number.
			if !c.isWanted(a) {
				c.releaseAttempt(now, a)
			}
		case !c.isWanted(a):
			m.needsHigherToken = true // a higher token fences the start
		}
	}
}

// reconcileTask updates one attempt from its status.
func (c *Core) reconcileTask(now time.Time, m *machine, status *wire.TaskStatus) {
	a := m.findAttempt(attemptKey{status.Task, status.Attempt})
	if a == nil {
		if a = c.adoptUnknownAttempt(m, status); a == nil {
			return
		}
	}
	previous := a.state
	a.lastReconcile = c.reconcileCount
	if a.reported && previous == status.State {
		if t := c.taskOf(a); t != nil && t.attempt == nil && !t.done && !a.hasExited() {
			c.matchAttempt(t, a) // the attempt that the task had was released
		}
		return
	}
	a.reported = true
	a.state, a.cause = status.State, status.Cause
	m.usageStale = true
	if a.isRunning() && previous != wire.TaskRunning {
		c.recordRunning(now, a)
	}
	if (a.isRunning() || a.state == wire.TaskWaitingForGang) && a.image != "" {
		m.cachedImages[a.image] = true
	}
	if a.hasExited() && previous != wire.TaskExited && !a.runningSince.IsZero() {
		c.logExit(now, a)
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
	if a.hasExited() && previous != wire.TaskExited && a.cause != wire.CauseDone {
		c.needsPlacement = true
		if t.attempt == a {
			c.attemptFailed(now, t, a)
		}
	}
	c.matchAttempt(t, a)
}

// adoptUnknownAttempt adds an attempt that the owner did not know: an earlier owner started
// it, or a command whose reply was lost. It returns nil if the status has no valid task name.
func (c *Core) adoptUnknownAttempt(m *machine, status *wire.TaskStatus) *attempt {
	jobID, index, ok := wire.ParseTaskName(status.Task)
	if !ok {
		if !m.invalidTaskLogged {
			m.invalidTaskLogged = true
			slog.Warn("heartbeat with an invalid task name", logkey.Machine, m.name)
		}
		return nil
	}
	a := &attempt{
		key:            attemptKey{status.Task, status.Attempt},
		jobID:          jobID,
		taskIndex:      index,
		machine:        m,
		resources:      resources{messageBytes: float64(taskEntryBytes(len(status.Task)))},
		adopted:        status.State == wire.TaskRunning,
		sentDirectly:   true,
		stopsInstantly: true,
	}
	// The attempt number contains the term, which bounds the tokens of every command that
	// started the attempt.
	if term := attemptTerm(status.Attempt); term != 0 {
		a.maxDirectToken = lastToken(term)
	} else {
		a.maxDirectToken = lastToken(c.term - 1) // the shared attempt number of a gang contains no term
	}
	if j := c.jobs[jobID]; j != nil {
		a.applySpec(j)
	}
	c.addAttempt(a)
	return a
}

// recordRunning records that an attempt has begun to run.
func (k *knownState) recordRunning(now time.Time, a *attempt) {
	a.runningSince = now
	if j := k.jobs[a.jobID]; j != nil {
		slog.Debug("task runs", logkey.TaskID, a.key.task, "class", j.record.Spec.Class,
			logkey.Machine, a.machine.name, "spot", a.machine.spot,
			"accepted_s", float64(now.UnixMilli()-j.record.AcceptedMS)/1000,
			"sent_s", now.Sub(a.startSentAt).Seconds(), "cached", a.machine.cachedImages[a.image])
	}
}

// logExit logs the end of an attempt that has run.
func (k *knownState) logExit(now time.Time, a *attempt) {
	if j := k.jobs[a.jobID]; j != nil {
		slog.Debug("task ended", logkey.TaskID, a.key.task, "cause", a.cause,
			logkey.Machine, a.machine.name, "ran_s", now.Sub(a.runningSince).Seconds(), "estimate_s", j.record.Spec.EstimateS)
	}
}

// finishRebuild ends the rebuild after a failover once every inherited machine has reported
// all attempts that are on it, or those attempts have ended for certain.
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
			t.possiblyRunning = false
		}
		c.markWaitingStale(j)
		c.queueForClose(j)
	}
	c.needsPlacement = true
	slog.Info("shard rebuilt", logkey.Shard, c.cfg.Shard, logkey.Term, c.term,
		"after_ms", now.Sub(c.acquiredAt).Milliseconds(), "machines", len(c.machines))
}
