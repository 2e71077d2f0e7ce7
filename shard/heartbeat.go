package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/wire"
)

// Heartbeat handles a worker's heartbeat and returns the reply to it. An error is the reason
// why the owner must not answer the heartbeat, or why it ignores the heartbeat as outdated:
// ErrUnknownShard, ErrFenced, ErrNoAuthority, ErrMachineTerminated or ErrStaleHeartbeat.
func (c *Core) Heartbeat(now time.Time, heartbeat *wire.Heartbeat) (reply wire.HeartbeatReply, err error) {
	if heartbeat.Zone != c.cfg.Shard {
		return reply, ErrUnknownShard
	}
	c.observeToken(heartbeat)
	if !c.mayAct(now) {
		if tokenTerm(heartbeat.FencingToken) > c.term {
			return reply, ErrFenced
		}
		if !c.mayExtendLeases(now) {
			return reply, ErrNoAuthority
		}
	}
	// The heartbeats of a machine whose termination was requested are answered as before
	// until the cloud confirms the termination. Otherwise a reply could renew the machine's
	// lease while the owner does not count the reply and assumes that the lease has
	// expired.
	if err := c.checkStatus(heartbeat); err != nil {
		return reply, err
	}
	m := c.ensureMachine(heartbeat.Machine)
	c.updateMachine(now, m, heartbeat)
	c.reconcile(now, m, heartbeat, viaHeartbeat)
	c.recordHeartbeat(&c.fleetView, now, m)
	m.leaseExpiresAt = c.leaseExpiry(now, m)
	if !c.mayAct(now) {
		return wire.HeartbeatReply{FencingToken: c.fencingToken(m), Commands: c.cancellationStops(now, m)}, nil
	}
	if c.isSchedulable(now, m) && !c.fillFreedMachine(now, m) || m.reservedForGangs && c.attemptEnded {
		c.needsPlacement = true
	}
	manyExits := c.exitsNeedingHigherToken(m) >= constants.ExitsBeforeTokenRaise
	if (m.needsHigherToken || manyExits) && m.reportedToken == c.fencingToken(m) {
		c.counters.raiseToken(m) // once the machine reports the new token, these attempts can be forgotten
	}
	reply = wire.HeartbeatReply{FencingToken: c.fencingToken(m), Commands: c.pendingCommands(now, m, viaHeartbeat)}
	return reply, nil
}

// updateMachine records the properties of the machine that a status contains.
func (c *Core) updateMachine(now time.Time, m *machine, status *wire.Heartbeat) {
	if !m.up {
		m.up, m.leaseExpired = true, false
		m.idleSince = now
		c.needsPlacement, c.aggregateChanged = true, true
		if m.typeName == "" {
			slog.Info("unknown machine adopted", logkey.Machine, m.name)
			m.requestedAt = now
		}
	}
	if m.typeName != status.Type {
		m.typeName = status.Type
		m.machineType, m.capacity = nil, resources{}
		c.resolveType(m)
	}
	m.spot, m.addr = status.Spot, status.Addr
	if !m.scalingIn && (!m.durable || m.durableAddr != m.addr) {
		c.addToInventory(m)
	}
}

// recordHeartbeat records that a machine is alive, and checks whether the machine receives
// replies. If its heartbeats arrive while replies and commands do not reach it, its lease
// expires although the owner assumes that each reply renews it. A machine becomes
// unconfirmed if it does not report the fencing token of the last reply, if it sent
// heartbeats to other controllers although this owner answered it, or if it leaves a direct
// command unanswered. It stays unconfirmed until it reports a token that is first sent to
// it after that. A late copy of a heartbeat cannot contain such a token, because the copy
// is older than the token.
func (p *placement) recordHeartbeat(v *fleetView, now time.Time, m *machine) {
	if v.isUnreachable(now, m) {
		m.unansweredUnconfirmed = 0 // commands that were unanswered while the machine was unreachable do not count
	}
	m.lastHeartbeat, m.unansweredProbes = now, 0
	switch {
	case m.isUnconfirmed() && m.reportedToken >= m.confirmationToken:
		p.confirm(m)
	case !m.isUnconfirmed() && (m.skippedSeq || m.repliesSinceToken > 0 && m.reportedToken < v.fencingToken(m)):
		v.requestConfirmation(now, m)
	}
	m.repliesSinceToken++
	if m.reportedToken == v.fencingToken(m) {
		m.repliesSinceToken = 0
	}
}

// confirm records that a machine has proved that replies or commands reach it.
func (p *placement) confirm(m *machine) {
	m.unconfirmedSince = time.Time{}
	m.unansweredUnconfirmed = 0
	p.needsPlacement = true
}

// exitsNeedingHigherToken returns the number of exited attempts that must not be forgotten
// yet, because the machine has reported no token higher than that of the command that may
// start them again. Exited attempts that only wait until their assignment is closed do not
// count: otherwise every reply would carry a higher token, and the machine answers a higher
// token with an immediate heartbeat.
func (k *knownState) exitsNeedingHigherToken(m *machine) int {
	if k.usageOf(m).exitedDirect < constants.ExitsBeforeTokenRaise {
		return 0
	}
	n := 0
	for _, a := range m.attempts {
		if a.hasExited() && a.sentDirectly && a.maxDirectToken >= m.reportedToken {
			n++
		}
	}
	return n
}
