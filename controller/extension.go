package controller

import (
	"time"

	"ravenport/constants"
	"ravenport/peer"
	"ravenport/records"
)

// While nobody reaches the key-value store, controllers promise each other to acquire no
// term, so that owners may go on answering their workers. The argument is point 12 of
// docs/safety.md.

// isStoreSilent says whether nothing has come from the key-value store for a moment.
func (c *controlActor) isStoreSilent(now time.Time) bool {
	return c.feed.synced && now.Sub(c.lastStoreContact) > constants.ExtensionStoreContactTimeout
}

// termsToExtend lists the terms for which lease extensions are requested now.
func (c *controlActor) termsToExtend(now time.Time) []peer.HeldTerm {
	if !c.isStoreSilent(now) || c.lease.id == 0 || len(c.settings.Peers) == 0 {
		return nil
	}
	var held []peer.HeldTerm
	for shard, owner := range c.roles.owners {
		held = append(held, peer.HeldTerm{Key: records.KeyShard(shard), Term: owner.term, Version: owner.version})
	}
	return held
}

// grantExtension answers whether this controller promises to acquire nothing for a while.
func (c *controlActor) grantExtension(now time.Time, s peer.Status) peer.StatusReply {
	reply := peer.StatusReply{Controller: c.settings.Controller, LatestCancellation: c.cancellations.latest}
	if c.cancellations.isCompleteSince(s.Revision) {
		reply.AllCancellationsListed = true
		reply.Cancellations = c.cancellations.since(s.Revision)
	}
	if !c.isStoreSilent(now) {
		return reply // this one reaches the key-value store, and so could the other one
	}
	for _, held := range s.ExtensionRequest {
		if c.isAcquiring(now, held.Key) || !c.isCurrentHolder(s.Controller, held) {
			return reply
		}
	}
	c.extension.noAcquisitionUntil = now.Add(constants.ExtensionTTL)
	reply.ExtensionGranted = true
	return reply
}

// isCurrentHolder says whether a controller holds a term as far as the feed has shown.
func (c *controlActor) isCurrentHolder(controller string, held peer.HeldTerm) bool {
	holder, alive := c.member.Holder(held.Key)
	if !alive || holder != controller || c.member.IsRevoked(holder) {
		return false
	}
	term, version := c.member.Term(held.Key)
	return term.Number == held.Term && version == held.Version
}

// isAcquisitionBlocked says whether no term may be acquired: this process has promised not
// to, or the one before it, which ended a moment ago, may have.
func (c *controlActor) isAcquisitionBlocked(now time.Time) bool {
	return now.Before(c.extension.noAcquisitionUntil) || now.Sub(c.startedAt) < constants.ExtensionTTL
}

// applyExtensionReply takes over what another controller answered. A lease extension
// counts from before it was requested, and only if this controller knows of every
// cancellation that the other one may have confirmed: by its feed, or because the other
// one listed them. They reach the owners here before the authority that they are a
// condition of.
func (c *controlActor) applyExtensionReply(m peerStatusReply) {
	if !m.extensionRequested {
		return
	}
	for _, cancellation := range m.reply.Cancellations {
		c.applyCancellation(cancellation)
	}
	knowsAll := m.reply.AllCancellationsListed || m.reply.LatestCancellation <= c.feed.revision
	if m.err != nil || !m.reply.ExtensionGranted || !knowsAll {
		delete(c.extension.grantedAt, m.controller)
		return
	}
	c.extension.grantedAt[m.controller] = m.sentAt
	c.broadcastAuthority()
}
