package controller

import (
	"time"

	"ravenport/constants"
)

// handleRevisionRead records a revision of the store, with which the freshness of the feed
// is determined.
func (c *controlActor) handleRevisionRead(now time.Time, m revisionRead) {
	if m.err != nil {
		return
	}
	c.lastStoreContact = now
	c.authority.revisionReads = append(c.authority.revisionReads, m)
	c.advanceFreshness()
}

// advanceFreshness updates the time up to which the feed is known to have delivered every
// change.
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

// authorityEnd returns when this controller's authority ends, or zero if the controller
// has none. Authority requires the lease and a feed that is known to hold all
// cancellations. The validity of both is counted from before their request was sent.
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

// hasAuthority reports whether this controller has authority to act now.
func (c *controlActor) hasAuthority(now time.Time) bool {
	return c.feed.synced && now.Before(c.authorityEnd())
}

// ownerAuthorityEnd returns when the authority of the owners on this controller ends. It
// may be later than authorityEnd if all other controllers have granted lease extensions.
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

// extensionPeriod returns how long an owner may rely on a lease extension, under the
// greatest clock drift that the protocol allows.
func (c *controlActor) extensionPeriod() time.Duration {
	granted := min(c.authority.period, constants.ExtensionTTL)
	return time.Duration(float64(granted)*(1-constants.MaxClockDrift)) - constants.AuthorityMargin
}

// latestAuthorityEnd returns the latest time at which any actor on this controller may
// still have authority.
func (c *controlActor) latestAuthorityEnd() time.Time {
	latest := c.authorityEnd()
	if extended := c.ownerAuthorityEnd(); extended.After(latest) {
		latest = extended
	}
	return latest
}

// broadcastAuthority tells the leader and the owners on this controller when their
// authority ends.
func (c *controlActor) broadcastAuthority() {
	c.tellOwners(authorityChanged{until: c.ownerAuthorityEnd()})
	c.tellLeader(authorityChanged{until: c.authorityEnd()})
}
