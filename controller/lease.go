package controller

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"ravenport/constants"
	"ravenport/kvstore"
	"ravenport/records"
	"ravenport/wire"
)

// freshen notes up to when the feed is known to hold every change.
func (c *controlActor) advanceFreshness(now time.Time) {
	kept := c.revisionReads[:0]
	for _, r := range c.revisionReads {
		if r.revision > c.revision {
			kept = append(kept, r)
		} else if r.sentAt.After(c.feedFreshAt) {
			c.feedFreshAt = r.sentAt
		}
	}
	c.revisionReads = kept
	c.broadcastAuthority(now)
}

// authorityEnd is when this controller's authority ends: its lease, and its
// knowledge of cancellations, both counted from before they were asked for.
func (c *controlActor) authorityEnd() time.Time {
	if c.leaseID == 0 || c.leaseRequestedAt.IsZero() || c.feedFreshAt.IsZero() {
		return time.Time{}
	}
	t := c.leaseRequestedAt
	if c.feedFreshAt.Before(t) {
		t = c.feedFreshAt
	}
	return t.Add(c.authorityPeriod)
}

func (c *controlActor) hasAuthority(now time.Time) bool {
	return c.synced && now.Before(c.authorityEnd())
}

func (c *controlActor) broadcastAuthority(now time.Time) {
	for _, o := range c.owners {
		o.ref.Tell(authorityExtended(c.ownerAuthorityEnd()))
	}
	if c.leader != nil {
		c.leader.ref.Tell(authorityExtended(c.authorityEnd()))
	}
}

// keepLease renews the lease, or gets one and puts this controller's key.
func (c *controlActor) keepLease(ctx context.Context, now time.Time) {
	if c.leaseCallInFlight || now.Before(c.nextLeaseCall) || !c.synced || c.detection.resigned {
		return
	}
	c.leaseCallInFlight = true
	life := c.set.Operator.LeaseTTL
	c.nextLeaseCall = now.Add(life / constants.RenewalsPerTTL)
	sent := now
	if c.leaseID == 0 {
		inc := rand.Uint64()>>1 | 1
		version := c.member.RegistrationVersion(c.set.Controller)
		record := records.Controller{Incarnation: inc, ReadsPacked: true}
		if c.detection.monitor != nil {
			record.LeaseTTLMS = life.Milliseconds()
		}
		go func() {
			lease, err := c.dependencies.Store.Grant(ctx, life)
			if err == nil {
				// Conditional, so that a late copy from an earlier process can
				// never replace this one's.
				key := records.KeyController(c.set.Controller)
				_, err = c.dependencies.Unthrottled.Commit(ctx, wire.Txn{
					Conditions: []wire.Condition{{Key: key, Version: version}},
					Changes:    []wire.Change{{Put: key, Value: records.Encode(record), Lease: lease}},
				})
			}
			c.self.Tell(leaseGranted{lease, inc, sent, err})
		}()
		return
	}
	lease := c.leaseID
	go func() {
		err := c.dependencies.Store.Renew(ctx, lease)
		c.self.Tell(leaseRenewed{lease, sent, err})
		if err == nil {
			at := time.Now()
			rev, err := c.dependencies.Store.Revision(ctx)
			c.self.Tell(revisionRead{rev, at, err})
		}
	}()
}

func (c *controlActor) handleLeaseGranted(now time.Time, m leaseGranted) {
	c.leaseCallInFlight = false
	if m.err != nil {
		slog.Info("no lease yet", "err", m.err)
		c.nextLeaseCall = now.Add(constants.RetryBackoffMin + rand.N(constants.RetryBackoffMin))
		return
	}
	c.storeContactAt = now
	c.leaseID, c.incarnation, c.leaseRequestedAt = m.lease, m.incarnation, m.sentAt
	c.nextLeaseCall = now
	slog.Info("lease obtained", "lease", m.lease)
	if c.member.IsRevoked(c.set.Controller) && c.detection.monitor != nil {
		slog.Warn("this process was revoked before it knew of its lease")
		c.endLease(c.latestAuthorityEnd().Add(constants.AuthorityMargin))
		return
	}
	c.broadcastAuthority(now)
}

func (c *controlActor) handleLeaseRenewed(now time.Time, m leaseRenewed) {
	c.leaseCallInFlight = false
	switch {
	case m.lease != c.leaseID: // given up meanwhile
	case m.err == nil:
		c.storeContactAt = now
		if m.sentAt.After(c.leaseRequestedAt) {
			c.leaseRequestedAt = m.sentAt
		}
		c.broadcastAuthority(now)
	case errors.Is(m.err, kvstore.ErrLeaseExpired):
		// Others may hold this controller's terms by now. It begins anew.
		slog.Warn("lease ended", "lease", m.lease)
		c.endLease(now)
	default:
		slog.Info("renewal failed", "err", m.err)
		c.nextLeaseCall = now.Add(constants.RetryBackoffMin + rand.N(constants.RetryBackoffMin))
	}
}
