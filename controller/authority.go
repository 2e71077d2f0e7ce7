package controller

import (
	"time"

	"ravenport/constants"
)

// handleRevisionRead notes a revision of the store that the feed is measured by.
func (c *controlActor) handleRevisionRead(now time.Time, m revisionRead) {
	if m.err != nil {
		return
	}
	c.lastStoreContact = now
	c.authority.revisionReads = append(c.authority.revisionReads, m)
	c.advanceFreshness()
}

// advanceFreshness notes up to when the feed is known to hold every change.
func (c *controlActor) advanceFreshness() {
	ahead := c.authority.revisionReads[:0]
	for _, read := range c.authority.revisionReads {
		if read.revision > c.feed.revision {
			ahead = append(ahead, read)
		} else if read.sentAt.After(c.authority.feedFreshAt) {
			c.authority.feedFreshAt = read.sentAt
		}
	}
	c.authority.revisionReads = ahead
	c.broadcastAuthority()
}

// authorityEnd is when this controller's authority ends. It rests on the lease and on the
// knowledge of cancellations, both counted from before they were requested. It is zero
// where there is none.
func (c *controlActor) authorityEnd() time.Time {
	if c.lease.id == 0 || c.lease.requestedAt.IsZero() || c.authority.feedFreshAt.IsZero() {
		return time.Time{}
	}
	start := c.lease.requestedAt
	if c.authority.feedFreshAt.Before(start) {
		start = c.authority.feedFreshAt
	}
	return start.Add(c.authority.period)
}

// hasAuthority says whether this controller may act now.
func (c *controlActor) hasAuthority(now time.Time) bool {
	return c.feed.synced && now.Before(c.authorityEnd())
}

// ownerAuthorityEnd is when the authority of the owners here ends. It is later than
// authorityEnd where all other controllers have granted lease extensions.
func (c *controlActor) ownerAuthorityEnd() time.Time {
	end := c.authorityEnd()
	if end.IsZero() || len(c.settings.Peers) == 0 {
		return end
	}
	var firstGrant time.Time
	for _, p := range c.settings.Peers {
		grantedAt, ok := c.extension.grantedAt[p.Controller]
		if !ok {
			return end
		}
		if firstGrant.IsZero() || grantedAt.Before(firstGrant) {
			firstGrant = grantedAt
		}
	}
	if extended := firstGrant.Add(c.extensionPeriod()); extended.After(end) {
		return extended
	}
	return end
}

// extensionPeriod is how long an owner may count on a lease extension, by the slowest
// clock that the protocol allows.
func (c *controlActor) extensionPeriod() time.Duration {
	granted := min(c.authority.period, constants.ExtensionTTL)
	return time.Duration(float64(granted)*(1-constants.MaxClockDrift)) - constants.AuthorityMargin
}

// latestAuthorityEnd is the latest authority that any actor here may still hold.
func (c *controlActor) latestAuthorityEnd() time.Time {
	latest := c.authorityEnd()
	if extended := c.ownerAuthorityEnd(); extended.After(latest) {
		latest = extended
	}
	return latest
}

// broadcastAuthority tells the leader and the owners here until when they may act.
func (c *controlActor) broadcastAuthority() {
	c.tellOwners(authorityChanged{until: c.ownerAuthorityEnd()})
	c.tellLeader(authorityChanged{until: c.authorityEnd()})
}
