package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/wire"
)

// Heartbeat answers a worker's report; ok is false when the owner must not.
func (c *Core) Heartbeat(now time.Time, r *wire.Heartbeat) (reply wire.HeartbeatReply, ok bool) {
	if r.Zone != c.cfg.Shard {
		return reply, false
	}
	c.observeToken(r)
	if !c.mayAct(now) && (!c.mayExtendLeases(now) || r.FencingToken>>constants.TokenCounterBits > c.term) {
		return reply, false
	}
	if _, gone := c.terminated[r.Machine]; gone {
		return reply, false // held back on its way: the machine is gone for good
	}
	// A machine whose return was asked for is answered like any other until
	// the cloud confirms it: an answer that renews its lease without counting
	// it would let the owner believe that the lease had ended.
	m := c.ensureMachine(r.Machine)
	if !m.isNew(r) {
		return reply, false // late or repeated: nothing in it counts
	}
	c.updateMachine(now, m, r)
	c.reconcile(now, m, r, true)
	c.noteHeartbeat(&c.fleetView, now, m)
	m.leaseExpiresAt = c.leaseExpiry(now, m)
	if !c.mayAct(now) {
		return wire.HeartbeatReply{FencingToken: c.fencingToken(m), Commands: []wire.Command{}}, true
	}
	if c.isSchedulable(now, m) && !c.fillFreedMachine(now, m) || m.reservedForGangs && c.attemptEnded {
		c.needsPlacement = true
	}
	if (m.needsHigherToken || c.exitsNeedingHigherToken(m) >= constants.ExitsBeforeTokenRaise) && m.reportedToken == c.fencingToken(m) {
		c.counters.raiseToken(m) // once the machine shows the new token they can be forgotten
	}
	reply = wire.HeartbeatReply{FencingToken: c.fencingToken(m), Commands: c.pendingCommands(now, m, true)}
	return reply, true
}

// updateMachine notes what a report says of the machine itself.
func (c *Core) updateMachine(now time.Time, m *machine, r *wire.Heartbeat) {
	if !m.up {
		m.up, m.leaseExpired = true, false
		m.idleSince = now
		c.needsPlacement, c.aggregateChanged = true, true
		if m.typeName == "" {
			slog.Info("unknown machine adopted", logkey.Machine, m.name)
			m.requestedAt = now
		}
	}
	if m.typeName != r.Type {
		m.typeName = r.Type
		m.typ, m.capacity = nil, resources{}
		c.resolveType(m)
	}
	m.spot, m.addr = r.Spot, r.Addr
	if !m.scalingIn && (!m.durable || m.durableAddr != m.addr) {
		c.enroll(m)
	}
}

// noteHeartbeat takes note that a machine lives. Whether it hears is another matter:
// a machine whose reports arrive while answers and commands do not reach it
// loses its lease unnoticed. One that does not show the token it was answered
// with, that made reports elsewhere though it was answered here, or leaves a
// direct command unanswered, is unconfirmed until it shows a token that is sent to
// it from then on. A late copy of a report cannot: it is older than that token.
func (p *placement) noteHeartbeat(v *fleetView, now time.Time, m *machine) {
	if v.isUnreachable(now, m) {
		m.unansweredUnconfirmed = 0 // it was out of reach: what was asked meanwhile says nothing of its ears
	}
	m.lastHeartbeat, m.unansweredCommands = now, 0
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

// confirm confirms a machine: the machine has shown that it hears.
func (p *placement) confirm(m *machine) {
	m.unconfirmedSince, m.unansweredUnconfirmed = time.Time{}, 0
	p.needsPlacement = true
}

// exitsNeedingHigherToken is how many exited attempts the machine's token keeps from being
// forgotten. Those that it does not, but that wait for their assignment to be closed,
// would have every answer carry a higher token, which a machine reports at once.
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
