package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/wire"
)

// outbox holds the outgoing work: the actions decided since the last step, the machines that
// wait for a direct command, and the number of direct commands in flight. Other states add
// actions and machines; Step returns and clears the actions.
type outbox struct {
	actions          []Action // decided since the last step
	commandQueue     []*machine
	commandsInFlight int
}

// requestCommand queues a machine for a direct command. The next step sends the machine its
// pending commands, unless the reply to a heartbeat carries them earlier.
func (q *outbox) requestCommand(m *machine) {
	m.commandWanted = true
	if !m.commandQueued {
		m.commandQueued = true
		q.commandQueue = append(q.commandQueue, m)
	}
}

// sendDirectCommands sends pending commands directly to the machines in the queue. With
// scanFleet it also checks every machine for starts without effect and for due probes. The
// scan runs only in some steps, so that the cost of the other steps does not grow with the
// fleet.
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
// for due probes. The number of probes in a step is limited, so that many machines that are
// unreachable at the same time do not delay commands to other machines.
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

// canSendCommand reports whether the limit on direct commands in flight allows another one.
func (q *outbox) canSendCommand(v *fleetView) bool {
	limit := v.cfg.MaxDirectCommands
	if v.partitioned {
		limit = min(limit, constants.MaxCommandsWhilePartitioned)
	}
	return q.commandsInFlight < limit
}

// mustProbeFirst reports whether a machine must be probed before commands can be sent to it:
// a probe is due, or commands are pending and its epoch is unknown.
func (v *fleetView) mustProbeFirst(now time.Time, m *machine) bool {
	return m.epoch == 0 && m.commandWanted || v.needsProbe(now, m)
}

// needsProbe reports whether a machine has to be probed: an inherited machine to learn its
// attempts, once the machine has had time to send a heartbeat unprompted; a machine with an
// overdue heartbeat, or whose lease expired without a heartbeat, to learn whether it runs;
// and an unconfirmed machine to learn whether it receives commands.
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

// hasOverdueStart reports whether a start that was sent to a machine has had no effect within
// constants.CommandRetryInterval.
func (k *knownState) hasOverdueStart(now time.Time, m *machine) bool {
	if k.usageOf(m).pendingStarts == 0 {
		return false // the usual case, kept cheap because every scan of the fleet checks every machine
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

// sendDirectCommand sends a request with commands to a machine. A probe is a request without
// commands other than the stops of cancelled tasks; all other commands wait until the machine
// has answered the probe.
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

// CommandResult handles the reply to a direct command, which is the machine's status. status
// is nil if there was no reply; the machine may then still carry out the commands later.
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
	if status.Machine != name || c.fenced {
		return
	}
	if err := c.checkStatus(status); err != nil {
		slog.Debug("reply to a direct command ignored", logkey.Machine, name, logkey.Err, err)
		return
	}
	c.updateMachine(now, m, status)
	c.reconcile(now, m, status, viaDirectCommand)
	c.needsPlacement = c.needsPlacement || c.attemptEnded
	// The reply proves that commands reach the machine. It does not count as a heartbeat,
	// because only a heartbeat renews the machine's lease. The exception is the first reply
	// of a machine from which no heartbeat was received yet.
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

// commandUnanswered records that a direct command had no reply. A probe is repeated at once,
// because the rebuild after a failover, or the tasks that were on the machine, wait for its
// result. If the machine's heartbeat is missing, the next probe is sent no earlier than
// constants.ProbeTimeout after the last one, however soon that one failed: a short moment
// without replies must not count as several unanswered probes.
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
