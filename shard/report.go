package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// Heartbeat answers a worker's report; ok is false when the owner must not.
func (c *Core) Heartbeat(now time.Time, r *wire.Heartbeat) (reply wire.HeartbeatReply, ok bool) {
	if r.Zone != c.cfg.Shard {
		return reply, false
	}
	c.outranked(r)
	if !c.may(now) && (!c.extendsLeases(now) || r.FencingToken>>constants.EpochBits > c.term) {
		return reply, false
	}
	if _, gone := c.gone[r.Machine]; gone {
		return reply, false // held back on its way: the machine is gone for good
	}
	// A machine whose return was asked for is answered like any other until
	// the cloud confirms it: an answer that renews its lease without counting
	// it would let the owner believe that the lease had ended.
	m := c.machine(r.Machine)
	if !m.isNew(r) {
		return reply, false // late or repeated: nothing in it counts
	}
	c.arrive(now, m, r)
	c.absorb(now, m, r, true)
	c.heard(&c.fleetView, now, m)
	m.leaseUntil = c.leaseEnd(now, m)
	if !c.may(now) {
		return wire.HeartbeatReply{FencingToken: c.token(m), Commands: []wire.Command{}}, true
	}
	if c.usable(now, m) && !c.fill(now, m) || m.forGangs && c.freed {
		c.dirty = true
	}
	if (m.lost || c.heldBack(m) >= constants.ExitedRaise) && m.token == c.token(m) {
		c.numbers.raise(m) // once the machine shows the new token they can be forgotten
	}
	reply = wire.HeartbeatReply{FencingToken: c.token(m), Commands: c.orders(now, m, true)}
	return reply, true
}

// heldBack is how many exited attempts the machine's token keeps from being
// forgotten. Those that it does not, but that wait for their assignment to be closed,
// would have every answer carry a higher token, which a machine reports at once.
func (k *knowledge) heldBack(m *machine) int {
	if k.sumsOf(m).exited < constants.ExitedRaise {
		return 0
	}
	n := 0
	for _, h := range m.holds {
		if h.exited() && h.direct && h.directed >= m.token {
			n++
		}
	}
	return n
}

// outranked stops the owner for good once a machine has seen a later term.
func (o *ownership) outranked(r *wire.Heartbeat) {
	if r.FencingToken>>constants.EpochBits <= o.term {
		return
	}
	if !o.deposed {
		slog.Warn("a machine has seen a higher token", "machine", r.Machine, "token", r.FencingToken, "term", o.term)
	}
	o.deposed = true
}

// isNew says whether a report was made after all that are known of the machine.
func (m *machine) isNew(r *wire.Heartbeat) bool {
	if r.Epoch < m.minSession {
		return false
	}
	return r.Epoch > m.session || r.Epoch == m.session && r.Seq > m.seq
}

// heard takes note that a machine lives. Whether it hears is another matter:
// a machine whose reports arrive while answers and commands do not reach it
// loses its lease unnoticed. One that does not show the token it was answered
// with, that made reports elsewhere though it was answered here, or leaves a
// direct command unanswered, is unconfirmed until it shows a token that is sent to
// it from then on. A late copy of a report cannot: it is older than that token.
func (p *placement) heard(v *fleetView, now time.Time, m *machine) {
	if v.silent(now, m) {
		m.unheeded = 0 // it was out of reach: what was asked meanwhile says nothing of its ears
	}
	m.heard, m.unanswered = now, 0
	switch {
	case m.unconfirmed() && m.token >= m.confirmingToken:
		p.trust(m)
	case !m.unconfirmed() && (m.missed || m.answersSince > 0 && m.token < v.token(m)):
		v.requestConfirmation(now, m)
	}
	m.answersSince++
	if m.token == v.token(m) {
		m.answersSince = 0
	}
}

// trust confirms a machine: the machine has shown that it hears.
func (p *placement) trust(m *machine) {
	m.unconfirmedSince, m.unheeded = time.Time{}, 0
	p.dirty = true
}

// requestConfirmation asks a machine to show that answers or commands reach it.
func (o *ownership) requestConfirmation(now time.Time, m *machine) {
	if m.unconfirmed() || !m.up {
		return
	}
	o.numbers.raise(m)
	m.unconfirmedSince, m.confirmingToken, m.unheeded = now, o.token(m), 0
}

// arrive notes what a report says of the machine itself.
func (c *Core) arrive(now time.Time, m *machine, r *wire.Heartbeat) {
	if !m.up {
		m.up, m.lapsed = true, false
		m.idleSince = now
		c.dirty, c.pushDirty = true, true
		if m.typeName == "" {
			slog.Info("unexpected machine adopted", "machine", m.name)
			m.rentedAt = now
		}
	}
	if m.typeName != r.Type {
		m.typeName = r.Type
		m.typ, m.capacity = nil, resources{}
		c.size(m)
	}
	m.spot, m.addr = r.Spot, r.Addr
	if !m.returning && (!m.durable || m.inventoryAddr != m.addr) {
		c.enrol(m)
	}
}

// absorb takes in a report's task list. beat tells an own report of the
// worker from the answer to a direct command.
func (c *Core) absorb(now time.Time, m *machine, r *wire.Heartbeat, beat bool) {
	if r.Epoch > m.session {
		// The earlier session's end killed and forgot everything.
		c.releaseAll(now, m)
		m.session = r.Epoch
		m.token = 0
		m.answersSince = 0
		// A session has a lease of its own from its first moment on, also when
		// the owner hears of it by a direct command's answer.
		m.leaseUntil = c.leaseEnd(now, m)
	}
	// Who is answered stays, and its next report is the next in number.
	m.missed = beat && m.answeredAt != 0 && r.Epoch == m.lastSession && r.Seq > m.answeredAt+1
	if beat {
		m.lastSession, m.lastSequence, m.answeredAt = r.Epoch, r.Seq, r.Seq
	} else if r.Epoch == m.lastSession && r.Seq == m.seq+1 {
		m.answeredAt = r.Seq // the answer to a direct command counts as well
	}
	m.seq = r.Seq
	if was := m.token; r.FencingToken > was {
		m.token = r.FencingToken
		if !(m.up && was>>constants.EpochBits == c.term) && m.verified(c.term) {
			c.dirty = true // it may take tasks now
		}
	}
	if r.NoticeS != nil && m.notice.IsZero() {
		m.notice = now.Add(time.Duration(*r.NoticeS * float64(time.Second)))
		slog.Info("machine will be taken back", "machine", m.name, "in_s", *r.NoticeS)
	} else if r.NoticeS == nil {
		m.notice = time.Time{}
	}
	c.look++
	c.freed, m.lost = false, false
	for i := range r.Tasks {
		c.absorbTask(now, m, &r.Tasks[i])
	}
	for i := len(m.holds) - 1; i >= 0; i-- {
		h := m.holds[i]
		if h.seen == c.look {
			continue
		}
		switch {
		case h.listed:
			c.release(now, h) // forgotten on our command
		case beat && r.Seq > h.sentSeq && (!h.direct || h.directed < m.token):
			// The answer that carried the start was dropped or lost, and an
			// answer is never carried out late; nor is a direct command under a
			// token lower than the machine's: it is not there. A wanted one is
			// sent again, to the same machine, under the same attempt.
			if !c.wanted(h) {
				c.release(now, h)
			}
		case beat && !c.wanted(h):
			m.lost = true // a higher token will settle it
		}
	}
	if c.busy(m) {
		m.idleSince = time.Time{}
	} else if m.idleSince.IsZero() {
		m.idleSince = now
	}
	if !c.rebuilt {
		c.checkRebuilt(now)
	}
}

// absorbTask takes in one task of a report.
func (c *Core) absorbTask(now time.Time, m *machine, ts *wire.TaskStatus) {
	h := m.find(holdKey{ts.Task, ts.Attempt})
	if h == nil {
		jobID, index, ok := wire.SplitTask(ts.Task)
		if !ok {
			if !m.warned {
				m.warned = true
				slog.Warn("a machine reports what is no task", "machine", m.name)
			}
			return
		}
		// Left by an earlier owner, or by a command whose answer was lost. The
		// term in its number bounds the tokens under which it was ever sent.
		h = &hold{key: holdKey{ts.Task, ts.Attempt}, jobID: jobID, index: index, m: m, adopted: ts.State == wire.TaskRunning, direct: true, instant: true}
		h.directed = (ts.Attempt>>constants.AttemptBits+1)<<constants.EpochBits - 1
		if ts.Attempt>>constants.AttemptBits == 0 {
			h.directed = c.term<<constants.EpochBits - 1 // a gang's shared number names no term
		}
		if j := c.jobs[jobID]; j != nil {
			h.fill(j)
		}
		c.addHold(h)
	}
	was := h.state
	h.seen = c.look
	if h.listed && was == ts.State {
		if t := c.taskOf(h); t != nil && t.hold == nil && !t.done && !h.exited() {
			c.matchHold(t, h) // a stray whose task has lost its own attempt
		}
		return
	}
	h.listed = true
	h.state, h.cause = ts.State, ts.Cause
	m.stale = true
	if h.state == wire.TaskRunning && was != wire.TaskRunning {
		h.runSince = now
		if j := c.jobs[h.jobID]; j != nil {
			slog.Debug("task runs", "task", ts.Task, "class", j.rec.Spec.Class, "machine", m.name, "spot", m.spot,
				"accepted_s", float64(now.UnixMilli()-j.rec.AcceptedMS)/1000, "sent_s", now.Sub(h.sentAt).Seconds(), "cached", m.images[h.image])
		}
	}
	if (h.state == wire.TaskRunning || h.state == wire.TaskWaitingForGang) && h.image != "" {
		m.images[h.image] = true
	}
	if h.exited() && was != wire.TaskExited && !h.runSince.IsZero() {
		if j := c.jobs[h.jobID]; j != nil {
			slog.Debug("task ended", "task", ts.Task, "cause", h.cause, "machine", m.name, "ran_s", now.Sub(h.runSince).Seconds(), "estimate_s", j.rec.Spec.EstimateS)
		}
	}
	c.pushDirty = true
	c.freed = c.freed || h.exited()
	t := c.taskOf(h)
	if t == nil {
		if j := c.jobs[h.jobID]; j != nil && h.exited() {
			c.check(j)
		}
		return
	}
	if h.exited() && was != wire.TaskExited && h.cause != wire.CauseDone {
		c.dirty = true
		if t.hold == h {
			c.failed(now, t, h)
		}
	}
	c.matchHold(t, h)
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
		if len(j.errors) < constants.JobFaultMachines {
			h.m.avoidUntil = now.Add(constants.FaultPause)
		}
		wait := time.Second << min(t.fails, 5)
		t.notBefore = now.Add(min(wait, constants.JobFaultRetry))
		c.draining.moveFailed(t, h.m.name)
	default: // refused for room, or as busy
		slog.Warn("start refused", "task", h.key.task, "machine", h.m.name, "cause", h.cause)
		t.notBefore = now.Add(constants.RefusedRetry)
	}
}

// CommandResult takes in what came of a direct command. r is nil without an
// answer; the commands may then still be carried out.
func (c *Core) CommandResult(now time.Time, name string, r *wire.Heartbeat) {
	m := c.machines[name]
	if m == nil {
		return
	}
	c.landed(m)
	if r == nil {
		m.unanswered++
		m.unheeded++
		m.nextDirect = now.Add(constants.RepeatCommand)
		if !m.up || c.questionable(now, m) {
			m.nextDirect = now // a takeover waits for it, or what was on it
		}
		c.requestConfirmation(now, m)
		return
	}
	c.outranked(r)
	if r.Machine != name || c.deposed || !m.isNew(r) {
		return
	}
	c.arrive(now, m, r)
	c.absorb(now, m, r, false)
	c.dirty = c.dirty || c.freed
	// It answered a call: commands do reach it. But only a report of its own
	// renews its lease, so an answer does not count for one, except at first.
	m.unanswered, m.unheeded = 0, 0
	if m.heard.IsZero() {
		m.heard = now
	}
	if c.overdueReport(now, m) {
		m.nextDirect = now.Add(c.cfg.HeartbeatPeriod / 2)
	}
	if m.unconfirmed() && m.token >= m.confirmingToken {
		c.trust(m)
	}
}

// orders lists what a machine should do: stops, then forgets, then starts, so
// that room is free when a start needs it.
func (v *fleetView) orders(now time.Time, m *machine, beat bool) []wire.Command {
	out := []wire.Command{}
	var starts []wire.Command
	for _, h := range m.holds {
		switch {
		case h.exited():
			if beat && v.forgettable(h) {
				out = append(out, wire.Command{Op: wire.OpForget, Task: h.key.task, Attempt: h.key.attempt})
			}
		case !v.wanted(h):
			// A saving task is left to finish unless its time is up.
			// A gang's tasks save together, and show it only by their exits: until
			// their time is up they are told the same again, should they have missed it.
			together := v.together(h)
			if h.state == wire.TaskSaving && now.Sub(h.told) < v.grace(h)+together {
				continue
			}
			g := 0.0
			if h.told.IsZero() {
				h.told = now
				g = v.grace(h).Seconds()
			} else if together > 0 && now.Sub(h.told) < v.grace(h)+together {
				g = v.grace(h).Seconds()
			}
			out = append(out, wire.Command{Op: wire.OpStop, Task: h.key.task, Attempt: h.key.attempt, GraceS: &g})
		case h.state == stateSent && m.verified(v.term):
			if beat {
				h.sentSeq = m.seq
			} else {
				h.direct = true
				h.directed = max(h.directed, v.token(m))
			}
			h.sentAt = now
			starts = append(starts, wire.Command{Op: wire.OpStart, Task: h.key.task, Attempt: h.key.attempt})
		}
	}
	m.wantCommand = false
	return append(out, starts...)
}

// grace is the time a stopped attempt gets to save: its saving time, if it
// can save and something may come of it.
func (k *knowledge) grace(h *hold) time.Duration {
	t := k.taskOf(h)
	if h.instant || t == nil || t.job.rec.End != "" {
		return 0
	}
	return time.Duration((t.job.rec.Spec.SaveS + 0.5) * float64(time.Second))
}

// together is how much longer an attempt takes to save because a gang's tasks
// wait for each other.
func (v *fleetView) together(h *hold) time.Duration {
	if j := v.jobs[h.jobID]; j == nil || j.gang == nil || h.instant || j.rec.End != "" {
		return 0
	}
	return v.cfg.GangPeer
}

// forgettable says whether an exited attempt may be forgotten by its machine.
// An attempt started by a direct command must be kept while that command
// could arrive once more, late: forgotten, it would start again. A done task
// must be kept until its assignment is closed, or a new owner would run it again.
func (k *knowledge) forgettable(h *hold) bool {
	if h.direct && h.directed >= h.m.token {
		return false
	}
	if h.cause != wire.CauseDone {
		return true
	}
	t := k.taskOf(h)
	return t == nil || t.job.rec.Spec.IsService()
}
