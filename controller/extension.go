package controller

import (
	"time"

	"ravenport/constants"
	"ravenport/peer"
	"ravenport/records"
)

// While no controller reaches the key-value store, controllers grant each other lease
// extensions: a controller that grants one acquires no term until the extension expires,
// so that owners may continue to answer their workers. Point 12 of docs/safety.md shows
// why this is safe.

// hasStoreTimedOut reports whether the key-value store has answered no call for longer than
// ExtensionStoreContactTimeout. It returns false until the feed has read the whole store
// once.
func (c *controlActor) hasStoreTimedOut(now time.Time) bool {
	return c.feed.synced && now.Sub(c.lastStoreContact) > constants.ExtensionStoreContactTimeout
}

// termsToExtend returns the terms for which lease extensions are to be requested now.
func (c *controlActor) termsToExtend(now time.Time) []peer.HeldTerm {
	if !c.hasStoreTimedOut(now) || c.lease.id == 0 || len(c.settings.Peers) == 0 {
		return nil
	}
	var held []peer.HeldTerm
	for shard, owner := range c.roles.owners {
		held = append(held, peer.HeldTerm{Key: records.KeyShard(shard), Term: owner.term, Version: owner.version})
	}
	return held
}

// grantExtension answers a request for a lease extension. If this controller grants the
// extension, it acquires no term for ExtensionTTL.
func (c *controlActor) grantExtension(now time.Time, s peer.Status) peer.StatusReply {
	reply := peer.StatusReply{Controller: c.settings.Controller, LatestCancellation: c.cancellations.latest}
	if c.cancellations.isCompleteSince(s.Revision) {
		reply.AllCancellationsListed = true
		reply.Cancellations = c.cancellations.since(s.Revision)
	}
	if !c.hasStoreTimedOut(now) {
		return reply // this controller reaches the key-value store, so the requester may reach it too
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

// isCurrentHolder reports whether a controller holds a term according to the records that
// the feed has delivered.
func (c *controlActor) isCurrentHolder(controller string, held peer.HeldTerm) bool {
	holder, alive := c.member.Holder(held.Key)
	if !alive || holder != controller || c.member.IsRevoked(holder) {
		return false
	}
	term, version := c.member.Term(held.Key)
	return term.Number == held.Term && version == held.Version
}

// isAcquisitionBlocked reports whether this controller must not acquire a term because a
// lease extension may be in force. Either this process granted the extension, or the
// previous process of this controller may have granted it shortly before this process
// started.
func (c *controlActor) isAcquisitionBlocked(now time.Time) bool {
	return now.Before(c.extension.noAcquisitionUntil) || now.Sub(c.startedAt) < constants.ExtensionTTL
}

// applyExtensionReply applies another controller's reply to a request for a lease
// extension. The extension is counted from before its request was sent. It is valid only
// if this controller knows every cancellation that the other controller may have
// confirmed, either from the feed or because the reply lists them. The owners on this
// controller receive the cancellations before the extended authority, which depends on
// them.
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
