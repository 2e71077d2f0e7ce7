package controller

import (
	"time"

	"ravenport/constants"
	"ravenport/peer"
	"ravenport/records"
)

// While nobody reaches the state service, controllers promise each other to
// claim nothing, so that owners may go on answering their workers. The argument
// is point 12 of docs/safety.md.

// quiet says that nothing has come from the state service for a moment.
func (c *control) quiet(now time.Time) bool {
	return c.synced && now.Sub(c.heardAt) > constants.ExtensionStoreSilence
}

// asks lists the terms for which lease extensions are asked now.
func (c *control) asks(now time.Time) []peer.HeldTerm {
	if !c.quiet(now) || c.lease == 0 || len(c.set.Peers) == 0 {
		return nil
	}
	var out []peer.HeldTerm
	for shard, o := range c.owners {
		out = append(out, peer.HeldTerm{Key: records.KeyShard(shard), Term: o.term, Version: o.version})
	}
	return out
}

// grantExtension answers whether this controller claims nothing for a while.
func (c *control) grantExtension(now time.Time, s peer.Status) peer.StatusReply {
	r := peer.StatusReply{Controller: c.set.Controller, LatestCancellation: c.cancels.latest}
	if c.cancels.all(s.Revision) {
		r.AllCancellationsListed, r.Cancellations = true, c.cancels.since(s.Revision)
	}
	if !c.quiet(now) {
		return r // it can ask the state service, and so could the other one
	}
	for _, h := range s.ExtensionRequest {
		t, version := c.member.Term(h.Key)
		holder, alive := c.member.Holder(h.Key)
		if !alive || c.member.IsRevoked(holder) || holder != s.Controller || t.Number != h.Term || version != h.Version {
			return r
		}
		if c.claimBusy(now, h.Key) {
			return r
		}
	}
	c.noClaimsUntil = now.Add(constants.ExtensionTTL)
	r.ExtensionGranted = true
	return r
}

// claimsHeld says that no claim may be made: this controller has promised, or
// its forerunner, ended a moment ago, may have.
func (c *control) claimsHeld(now time.Time) bool {
	return now.Before(c.noClaimsUntil) || now.Sub(c.started) < constants.ExtensionTTL
}

// granted takes in what another controller answered. A lease extension counts from
// before it was asked for, and only if this one knows of every cancellation that
// the other may have told of: by its feed, or because the other named them. They
// reach the owners here before the authority that they are a condition of.
func (c *control) granted(now time.Time, m peerReply) {
	if !m.asked {
		return
	}
	for _, x := range m.reply.Cancellations {
		c.cancelled(x)
	}
	if m.err != nil || !m.reply.ExtensionGranted || !m.reply.AllCancellationsListed && m.reply.LatestCancellation > c.revision {
		delete(c.grants, m.node)
		return
	}
	c.grants[m.node] = m.sent
	c.spreadAuthority(now)
}

// ownersUntil is when the authority of the owners here ends: as drawn out by
// lease extensions of all other controllers, if there are.
func (c *control) ownersUntil() time.Time {
	u := c.until()
	if u.IsZero() || len(c.set.Peers) == 0 {
		return u
	}
	var first time.Time
	for _, p := range c.set.Peers {
		q, ok := c.grants[p.Controller]
		if !ok {
			return u
		}
		if first.IsZero() || q.Before(first) {
			first = q
		}
	}
	life := time.Duration(float64(min(c.authority, constants.ExtensionTTL))*(1-constants.MaxClockDrift)) - constants.AuthorityMargin
	if x := first.Add(life); x.After(u) {
		return x
	}
	return u
}
