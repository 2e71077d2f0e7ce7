package shard

import (
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// outbox is what goes out: which machines wait for a direct command, how many of those
// are under way, and what the actor is to do.
type outbox struct {
	actions          []Action // gathered since the last step
	commandQueue     []*machine
	commandsInFlight int
}

// requestCommand has the next step send a machine what it should do, unless an
// answer to a report carries it before.
func (q *outbox) requestCommand(m *machine) {
	m.commandWanted = true
	if !m.commandQueued {
		m.commandQueued = true
		q.commandQueue = append(q.commandQueue, m)
	}
}

// sendDirectCommands sends waiting commands straight to the machines. Which machines wait for
// one is kept in a queue; only a slow step looks at all of them, for starts without
// effect and for machines to be asked what is on them. Guards against a shard whose
// every step costs as much as it has machines.
func (q *outbox) sendDirectCommands(v *fleetView, now time.Time, slow bool) {
	queue := q.commandQueue
	q.commandQueue = q.commandQueue[:0]
	for _, m := range queue {
		if m.commandWanted && m.isCallable(now) && !v.mustProbeFirst(now, m) && q.canSendCommand(v) {
			q.sendPendingCommands(v, now, m)
		}
		if m.commandQueued = m.commandWanted; m.commandWanted {
			q.commandQueue = append(q.commandQueue, m)
		}
	}
	if slow {
		q.scanForCommands(v, now)
	}
}

// scanForCommands looks at the whole fleet for commands that were sent without effect and for
// questions, of which a few go out at a time so that a wave of silent machines
// holds nobody up.
func (q *outbox) scanForCommands(v *fleetView, now time.Time) {
	asked := 0
	for _, m := range v.fleet {
		if !m.isCallable(now) {
			continue
		}
		question := v.mustProbeFirst(now, m)
		if !question && !v.hasOverdueStart(now, m) {
			continue
		}
		if !q.canSendCommand(v) {
			return
		}
		if !question {
			q.sendPendingCommands(v, now, m)
		} else if asked < constants.MaxProbesPerStep {
			asked++
			q.sendDirectCommand(v, now, m, []wire.Command{})
		}
	}
}

// isCallable says whether a machine may be called now.
func (m *machine) isCallable(now time.Time) bool {
	return !m.commandInFlight && !m.scalingIn && m.addr != "" && !now.Before(m.nextCommandAt)
}

// canSendCommand says whether one more direct command may be under way.
func (q *outbox) canSendCommand(v *fleetView) bool {
	most := v.cfg.MaxDirectCommands
	if v.partitioned {
		most = min(most, constants.MaxCommandsWhilePartitioned)
	}
	return q.commandsInFlight < most
}

// mustProbeFirst says whether a machine must be asked what is on it before it can be told
// anything: it is questionable, or wanted while its session is not known yet.
func (v *fleetView) mustProbeFirst(now time.Time, m *machine) bool {
	return m.epoch == 0 && m.commandWanted || v.needsProbe(now, m)
}

// needsProbe says whether a machine is asked directly: an inherited one for
// what is on it, once it had the time to report by itself, one that missed its
// report whether it still is there, one whose lease ended unheard whether it is
// back, and an unconfirmed one whether it hears.
func (v *fleetView) needsProbe(now time.Time, m *machine) bool {
	switch {
	case m.inherited && !m.hasSeenTerm(v.term):
		return len(v.fleet) <= constants.MaxProbesPerStep || now.Sub(v.acquiredAt) > constants.FailoverProbeDelay
	case m.leaseExpired:
		return true
	case !m.up:
		return false
	case m.isUnconfirmed():
		return true
	}
	return v.isHeartbeatOverdue(now, m)
}

// hasOverdueStart says whether a machine has a decided start without effect.
func (k *knownState) hasOverdueStart(now time.Time, m *machine) bool {
	if k.usageOf(m).unreportedStarts == 0 {
		return false // as nearly always: this is asked of every machine in every slow step
	}
	for _, a := range m.attempts {
		if a.state == stateSent && now.Sub(a.startSentAt) > constants.CommandRetryInterval && k.isWanted(a) {
			return true
		}
	}
	return false
}

// sendPendingCommands sends a machine what it should do, if there is anything.
func (q *outbox) sendPendingCommands(v *fleetView, now time.Time, m *machine) {
	if commands := v.pendingCommands(now, m, false); len(commands) > 0 {
		q.sendDirectCommand(v, now, m, commands)
	}
}

// sendDirectCommand makes a direct command.
func (q *outbox) sendDirectCommand(v *fleetView, now time.Time, m *machine, commands []wire.Command) {
	m.commandInFlight = true
	q.commandsInFlight++
	m.nextCommandAt = now.Add(constants.CommandRetryInterval / 4)
	req := wire.CommandRequest{FencingToken: v.fencingToken(m), Epoch: max(m.epoch, 1), Commands: commands}
	q.actions = append(q.actions, SendCommands{Machine: m.name, Addr: m.addr, Request: req})
}

// directCommandDone notes that a direct command to a machine is no longer under way.
func (q *outbox) directCommandDone(m *machine) {
	if m.commandInFlight {
		m.commandInFlight = false
		q.commandsInFlight--
	}
}

// CommandResult takes in what came of a direct command. r is nil without an
// answer; the commands may then still be carried out.
func (c *Core) CommandResult(now time.Time, name string, r *wire.Heartbeat) {
	m := c.machines[name]
	if m == nil {
		return
	}
	c.directCommandDone(m)
	if r == nil {
		m.unansweredCommands++
		m.unansweredUnconfirmed++
		m.nextCommandAt = now.Add(constants.CommandRetryInterval)
		if !m.up || c.needsProbe(now, m) {
			m.nextCommandAt = now // a takeover waits for it, or what was on it
		}
		c.requestConfirmation(now, m)
		return
	}
	c.observeToken(r)
	if r.Machine != name || c.fenced || !m.isNew(r) {
		return
	}
	c.updateMachine(now, m, r)
	c.reconcile(now, m, r, false)
	c.needsPlacement = c.needsPlacement || c.attemptEnded
	// It answered a call: commands do reach it. But only a report of its own
	// renews its lease, so an answer does not count for one, except at first.
	m.unansweredCommands, m.unansweredUnconfirmed = 0, 0
	if m.lastHeartbeat.IsZero() {
		m.lastHeartbeat = now
	}
	if c.isHeartbeatOverdue(now, m) {
		m.nextCommandAt = now.Add(c.cfg.HeartbeatPeriod / 2)
	}
	if m.isUnconfirmed() && m.reportedToken >= m.confirmationToken {
		c.confirm(m)
	}
}
