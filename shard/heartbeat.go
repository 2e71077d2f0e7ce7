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
	m := c.ensureMachine(r.Machine)
	if !m.isNew(r) {
		return reply, false // late or repeated: nothing in it counts
	}
	c.arrive(now, m, r)
	c.absorb(now, m, r, true)
	c.heard(&c.fleetView, now, m)
	m.leaseExpiresAt = c.leaseEnd(now, m)
	if !c.may(now) {
		return wire.HeartbeatReply{FencingToken: c.token(m), Commands: []wire.Command{}}, true
	}
	if c.isSchedulable(now, m) && !c.fillFreedMachine(now, m) || m.reservedForGangs && c.attemptEnded {
		c.needsPlacement = true
	}
	if (m.needsHigherToken || c.exitsNeedingHigherToken(m) >= constants.ExitedRaise) && m.reportedToken == c.token(m) {
		c.numbers.raise(m) // once the machine shows the new token they can be forgotten
	}
	reply = wire.HeartbeatReply{FencingToken: c.token(m), Commands: c.orders(now, m, true)}
	return reply, true
}

// arrive notes what a report says of the machine itself.
func (c *Core) arrive(now time.Time, m *machine, r *wire.Heartbeat) {
	if !m.up {
		m.up, m.leaseExpired = true, false
		m.idleSince = now
		c.needsPlacement, c.pushDirty = true, true
		if m.typeName == "" {
			slog.Info("unexpected machine adopted", "machine", m.name)
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
		c.enrol(m)
	}
}

// heard takes note that a machine lives. Whether it hears is another matter:
// a machine whose reports arrive while answers and commands do not reach it
// loses its lease unnoticed. One that does not show the token it was answered
// with, that made reports elsewhere though it was answered here, or leaves a
// direct command unanswered, is unconfirmed until it shows a token that is sent to
// it from then on. A late copy of a report cannot: it is older than that token.
func (p *placement) heard(v *fleetView, now time.Time, m *machine) {
	if v.silent(now, m) {
		m.unansweredUnconfirmed = 0 // it was out of reach: what was asked meanwhile says nothing of its ears
	}
	m.lastHeartbeat, m.unansweredCommands = now, 0
	switch {
	case m.isUnconfirmed() && m.reportedToken >= m.confirmationToken:
		p.trust(m)
	case !m.isUnconfirmed() && (m.skippedSeq || m.repliesSinceToken > 0 && m.reportedToken < v.token(m)):
		v.requestConfirmation(now, m)
	}
	m.repliesSinceToken++
	if m.reportedToken == v.token(m) {
		m.repliesSinceToken = 0
	}
}

// trust confirms a machine: the machine has shown that it hears.
func (p *placement) trust(m *machine) {
	m.unconfirmedSince, m.unansweredUnconfirmed = time.Time{}, 0
	p.needsPlacement = true
}

// exitsNeedingHigherToken is how many exited attempts the machine's token keeps from being
// forgotten. Those that it does not, but that wait for their assignment to be closed,
// would have every answer carry a higher token, which a machine reports at once.
func (k *knownState) exitsNeedingHigherToken(m *machine) int {
	if k.usageOf(m).exitedDirect < constants.ExitedRaise {
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
