package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

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
			c.needsPlacement = true // it may take tasks now
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
		c.needsPlacement = true
		if t.hold == h {
			c.failed(now, t, h)
		}
	}
	c.matchHold(t, h)
}

// checkRebuilt ends the rebuild once every inherited machine has shown all
// that is on it or has surely lost it.
func (c *Core) checkRebuilt(now time.Time) {
	if c.rebuilt {
		return
	}
	for _, m := range c.fleet {
		if m.inherited && !m.verified(c.term) {
			return
		}
	}
	c.rebuilt = true
	for _, j := range c.jobs {
		for _, t := range j.tasks {
			t.uncertain = false
		}
		c.touch(j)
		c.check(j)
	}
	c.needsPlacement = true
	slog.Info("shard rebuilt", "shard", c.cfg.Shard, "term", c.term, "after_ms", now.Sub(c.claimed).Milliseconds(), "machines", len(c.machines))
}
