package shard

import (
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// outbox owns what goes out: the actions decided since the last step, the machines that wait
// for a direct command, and the number of commands in flight. Other states add to it; Step
// empties it.
type outbox struct {
	actions          []Action // decided since the last step
	commandQueue     []*machine
	commandsInFlight int
}

// requestCommand has the next step send a machine its pending commands, unless the reply to
// a heartbeat carries them before.
func (q *outbox) requestCommand(m *machine) {
	m.commandWanted = true
	if !m.commandQueued {
		m.commandQueued = true
		q.commandQueue = append(q.commandQueue, m)
	}
}

// sendDirectCommands sends pending commands straight to the machines in the queue. Only with
// scanFleet it also checks every machine, for starts without effect and for due probes: the
// cost of other steps does not grow with the fleet.
func (q *outbox) sendDirectCommands(v *fleetView, now time.Time, scanFleet bool) {
	queue := q.commandQueue
	q.commandQueue = q.commandQueue[:0]
	for _, m := range queue {
		if m.commandWanted && m.isReadyForCommand(now) && !v.mustProbeFirst(now, m) && q.canSendCommand(v) {
			q.sendPendingCommands(v, now, m)
		}
		m.commandQueued = m.commandWanted
		if m.commandWanted {
			q.commandQueue = append(q.commandQueue, m)
		}
	}
	if scanFleet {
		q.scanForCommands(v, now)
	}
}

// scanForCommands checks every machine for starts without effect, which are sent again, and
// for due probes, of which only some are sent in a step: many unreachable machines at once
// must not delay commands to others.
func (q *outbox) scanForCommands(v *fleetView, now time.Time) {
	probes := 0
	for _, m := range v.fleet {
		if !m.isReadyForCommand(now) {
			continue
		}
		probe := v.mustProbeFirst(now, m)
		if !probe && !v.hasOverdueStart(now, m) {
			continue
		}
		if !q.canSendCommand(v) {
			return
		}
		if !probe {
			q.sendPendingCommands(v, now, m)
		} else if probes < constants.MaxProbesPerStep {
			probes++
			q.sendDirectCommand(v, now, m, v.cancellationStops(now, m))
		}
	}
}

// isReadyForCommand reports whether a direct command may be sent to a machine now.
func (m *machine) isReadyForCommand(now time.Time) bool {
	return !m.commandInFlight && !m.scalingIn && m.addr != "" && !now.Before(m.nextCommandAt)
}

// canSendCommand reports whether one more direct command may be in flight.
func (q *outbox) canSendCommand(v *fleetView) bool {
	limit := v.cfg.MaxDirectCommands
	if v.partitioned {
		limit = min(limit, constants.MaxCommandsWhilePartitioned)
	}
	return q.commandsInFlight < limit
}

// mustProbeFirst reports whether a machine must be probed before commands can be sent to it:
// a probe is due, or commands are wanted and its epoch is not known yet.
func (v *fleetView) mustProbeFirst(now time.Time, m *machine) bool {
	return m.epoch == 0 && m.commandWanted || v.needsProbe(now, m)
}

// needsProbe reports whether a machine is to be probed: an inherited one for its attempts,
// once it had the time to send a heartbeat by itself; one whose heartbeat is overdue, whether
// it still is there; one whose lease expired without a heartbeat, whether it is back; and an
// unconfirmed one, whether it receives commands.
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

// hasOverdueStart reports whether a start that was sent to a machine has had no effect.
func (k *knownState) hasOverdueStart(now time.Time, m *machine) bool {
	if k.usageOf(m).pendingStarts == 0 {
		return false // as nearly always: every scan of the fleet checks every machine
	}
	for _, a := range m.attempts {
		if a.state == stateSent && now.Sub(a.startSentAt) > constants.CommandRetryInterval && k.isWanted(a) {
			return true
		}
	}
	return false
}

// sendPendingCommands sends a machine its pending commands, if there are any.
func (q *outbox) sendPendingCommands(v *fleetView, now time.Time, m *machine) {
	if commands := v.pendingCommands(now, m, viaDirectCommand); len(commands) > 0 {
		q.sendDirectCommand(v, now, m, commands)
	}
}

// sendDirectCommand sends a request with commands to a machine. A probe has none but the stops
// of cancelled tasks: whatever else the machine should be told waits for its answer.
func (q *outbox) sendDirectCommand(v *fleetView, now time.Time, m *machine, commands []wire.Command) {
	m.commandInFlight = true
	q.commandsInFlight++
	m.commandSentAt = now
	m.nextCommandAt = now.Add(constants.CommandRetryInterval / 4)
	req := wire.CommandRequest{FencingToken: v.fencingToken(m), Epoch: max(m.epoch, 1), Commands: commands}
	q.actions = append(q.actions, SendCommands{Machine: m.name, Addr: m.addr, Request: req})
}

// directCommandDone records that a direct command to a machine is no longer in flight.
func (q *outbox) directCommandDone(m *machine) {
	if m.commandInFlight {
		m.commandInFlight = false
		q.commandsInFlight--
	}
}

// CommandResult handles the reply to a direct command: the machine's status. r is nil without
// a reply; the commands may then still be carried out, late.
func (c *Core) CommandResult(now time.Time, name string, status *wire.Heartbeat) {
	m := c.machines[name]
	if m == nil {
		return
	}
	c.directCommandDone(m)
	if status == nil {
		c.commandUnanswered(now, m)
		return
	}
	c.observeToken(status)
	if status.Machine != name || c.fenced || !m.isNewer(status) {
		return
	}
	c.updateMachine(now, m, status)
	c.reconcile(now, m, status, viaDirectCommand)
	c.needsPlacement = c.needsPlacement || c.attemptEnded
	// It answered: commands do reach it. But only a heartbeat of its own renews its
	// lease, so a reply does not count for one, except the first.
	m.unansweredProbes, m.unansweredUnconfirmed = 0, 0
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

// commandUnanswered records that a direct command had no reply. A probe is repeated at once:
// the rebuild after a failover, or the tasks that were on the machine, wait for it. But one to
// a silent machine stands for the whole time of a probe, however soon it failed: a moment in
// which nothing is answered must not count as several unanswered probes.
func (c *Core) commandUnanswered(now time.Time, m *machine) {
	m.unansweredUnconfirmed++
	m.nextCommandAt = now.Add(constants.CommandRetryInterval)
	if !m.up || c.needsProbe(now, m) {
		m.nextCommandAt = now
	}
	if c.isHeartbeatMissing(now, m) {
		m.unansweredProbes++
		m.nextCommandAt = m.commandSentAt.Add(constants.ProbeTimeout)
	}
	c.requestConfirmation(now, m)
}
