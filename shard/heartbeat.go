package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/wire"
)

// Heartbeat handles a worker's heartbeat and returns the reply to it. An error says why the
// owner must not answer it, or that it proves nothing: ErrUnknownShard, ErrFenced,
// ErrNoAuthority, ErrMachineTerminated or ErrStaleHeartbeat.
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
	if _, terminated := c.terminated[heartbeat.Machine]; terminated {
		return reply, ErrMachineTerminated // delayed in the network: the machine is gone for good
	}
	// A machine whose termination was requested is answered like any other until
	// the cloud confirms it: a reply that renews its lease without being counted
	// would let the owner believe that the lease had expired.
	m := c.ensureMachine(heartbeat.Machine)
	if !m.isNewer(heartbeat) {
		return reply, ErrStaleHeartbeat // late or duplicate: nothing in it counts
	}
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
		c.counters.raiseToken(m) // once the machine shows the new token they can be forgotten
	}
	reply = wire.HeartbeatReply{FencingToken: c.fencingToken(m), Commands: c.pendingCommands(now, m, viaHeartbeat)}
	return reply, nil
}

// updateMachine records what a status says of the machine itself.
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

// recordHeartbeat records that a machine is alive, and checks whether it receives replies: the
// lease of a machine whose heartbeats arrive while replies and commands do not reach it
// expires unnoticed. A machine that does not show the fencing token of the last reply, that
// sent heartbeats to other controllers though it was answered here, or that leaves a direct
// command unanswered, is unconfirmed until it shows a token that is sent to it from then on.
// A late copy of a heartbeat cannot: it is older than that token.
func (p *placement) recordHeartbeat(v *fleetView, now time.Time, m *machine) {
	if v.isUnreachable(now, m) {
		m.unansweredUnconfirmed = 0 // it was unreachable: unanswered commands of that time do not count
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

// confirm records that a machine has shown that replies or commands reach it.
func (p *placement) confirm(m *machine) {
	m.unconfirmedSince = time.Time{}
	m.unansweredUnconfirmed = 0
	p.needsPlacement = true
}

// exitsNeedingHigherToken is how many exited attempts must not be forgotten because the
// machine has shown no higher token than the command that may start them again. Exited
// attempts that only wait for their assignment to be closed do not count: they would have
// every reply carry a higher token, for which a machine sends a heartbeat at once.
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
