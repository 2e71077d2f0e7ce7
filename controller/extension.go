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

// isStoreSilent says that nothing has come from the state service for a moment.
func (c *controlActor) isStoreSilent(now time.Time) bool {
	return c.synced && now.Sub(c.storeContactAt) > constants.ExtensionStoreSilence
}

// termsToExtend lists the terms for which lease extensions are asked now.
func (c *controlActor) termsToExtend(now time.Time) []peer.HeldTerm {
	if !c.isStoreSilent(now) || c.leaseID == 0 || len(c.set.Peers) == 0 {
		return nil
	}
	var out []peer.HeldTerm
	for shard, o := range c.owners {
		out = append(out, peer.HeldTerm{Key: records.KeyShard(shard), Term: o.term, Version: o.version})
	}
	return out
}

// grantExtension answers whether this controller claims nothing for a while.
func (c *controlActor) grantExtension(now time.Time, s peer.Status) peer.StatusReply {
	r := peer.StatusReply{Controller: c.set.Controller, LatestCancellation: c.cancellations.latest}
	if c.cancellations.isCompleteSince(s.Revision) {
		r.AllCancellationsListed, r.Cancellations = true, c.cancellations.since(s.Revision)
	}
	if !c.isStoreSilent(now) {
		return r // it can ask the state service, and so could the other one
	}
	for _, h := range s.ExtensionRequest {
		t, version := c.member.Term(h.Key)
		holder, alive := c.member.Holder(h.Key)
		if !alive || c.member.IsRevoked(holder) || holder != s.Controller || t.Number != h.Term || version != h.Version {
			return r
		}
		if c.isAcquiring(now, h.Key) {
			return r
		}
	}
	c.noAcquisitionUntil = now.Add(constants.ExtensionTTL)
	r.ExtensionGranted = true
	return r
}

// acquisitionsBlocked says that no claim may be made: this controller has promised, or
// its forerunner, ended a moment ago, may have.
func (c *controlActor) acquisitionsBlocked(now time.Time) bool {
	return now.Before(c.noAcquisitionUntil) || now.Sub(c.startedAt) < constants.ExtensionTTL
}

// applyExtensionReply takes in what another controller answered. A lease extension counts from
// before it was asked for, and only if this one knows of every cancellation that
// the other may have told of: by its feed, or because the other named them. They
// reach the owners here before the authority that they are a condition of.
func (c *controlActor) applyExtensionReply(now time.Time, m peerStatusReply) {
	if !m.extensionRequested {
		return
	}
	for _, x := range m.reply.Cancellations {
		c.applyCancellation(x)
	}
	if m.err != nil || !m.reply.ExtensionGranted || !m.reply.AllCancellationsListed && m.reply.LatestCancellation > c.revision {
		delete(c.extensions, m.controller)
		return
	}
	c.extensions[m.controller] = m.sentAt
	c.broadcastAuthority(now)
}

// ownerAuthorityEnd is when the authority of the owners here ends: as drawn out by
// lease extensions of all other controllers, if there are.
func (c *controlActor) ownerAuthorityEnd() time.Time {
	u := c.authorityEnd()
	if u.IsZero() || len(c.set.Peers) == 0 {
		return u
	}
	var first time.Time
	for _, p := range c.set.Peers {
		q, ok := c.extensions[p.Controller]
		if !ok {
			return u
		}
		if first.IsZero() || q.Before(first) {
			first = q
		}
	}
	life := time.Duration(float64(min(c.authorityPeriod, constants.ExtensionTTL))*(1-constants.MaxClockDrift)) - constants.AuthorityMargin
	if x := first.Add(life); x.After(u) {
		return x
	}
	return u
}
