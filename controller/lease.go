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
func (c *control) advanceFreshness(now time.Time) {
	kept := c.reads[:0]
	for _, r := range c.reads {
		if r.revision > c.revision {
			kept = append(kept, r)
		} else if r.sent.After(c.fresh) {
			c.fresh = r.sent
		}
	}
	c.reads = kept
	c.spreadAuthority(now)
}

// until is when this controller's authority ends: its lease, and its
// knowledge of cancellations, both counted from before they were asked for.
func (c *control) until() time.Time {
	if c.lease == 0 || c.leaseSent.IsZero() || c.fresh.IsZero() {
		return time.Time{}
	}
	t := c.leaseSent
	if c.fresh.Before(t) {
		t = c.fresh
	}
	return t.Add(c.authority)
}

func (c *control) settled(now time.Time) bool { return c.synced && now.Before(c.until()) }

func (c *control) spreadAuthority(now time.Time) {
	for _, o := range c.owners {
		o.ref.Tell(authority(c.ownersUntil()))
	}
	if c.leaderRef != nil {
		c.leaderRef.ref.Tell(authority(c.until()))
	}
}

// keepLease renews the lease, or gets one and puts this controller's key.
func (c *control) keepLease(ctx context.Context, now time.Time) {
	if c.leaseBusy || now.Before(c.nextLease) || !c.synced || c.detect.resigned {
		return
	}
	c.leaseBusy = true
	life := c.set.Operator.LeaseTTL
	c.nextLease = now.Add(life / constants.RenewalsPerTTL)
	sent := now
	if c.lease == 0 {
		inc := rand.Uint64()>>1 | 1
		version := c.member.RegistrationVersion(c.set.Controller)
		record := records.Controller{Incarnation: inc, ReadsPacked: true}
		if c.detect.monitor != nil {
			record.LeaseTTLMS = life.Milliseconds()
		}
		go func() {
			lease, err := c.io.Store.Grant(ctx, life)
			if err == nil {
				// Conditional, so that a late copy from an earlier process can
				// never replace this one's.
				key := records.KeyController(c.set.Controller)
				_, err = c.io.Unthrottled.Commit(ctx, wire.Txn{
					Conditions: []wire.Condition{{Key: key, Version: version}},
					Changes:    []wire.Change{{Put: key, Value: records.Encode(record), Lease: lease}},
				})
			}
			c.self.Tell(leased{lease, inc, sent, err})
		}()
		return
	}
	lease := c.lease
	go func() {
		err := c.io.Store.Renew(ctx, lease)
		c.self.Tell(renewed{lease, sent, err})
		if err == nil {
			at := time.Now()
			rev, err := c.io.Store.Revision(ctx)
			c.self.Tell(revisionRead{rev, at, err})
		}
	}()
}

func (c *control) leased(now time.Time, m leased) {
	c.leaseBusy = false
	if m.err != nil {
		slog.Info("no lease yet", "err", m.err)
		c.nextLease = now.Add(constants.RetryBackoffMin + rand.N(constants.RetryBackoffMin))
		return
	}
	c.heardAt = now
	c.lease, c.incarnation, c.leaseSent = m.lease, m.incarnation, m.sent
	c.nextLease = now
	slog.Info("lease obtained", "lease", m.lease)
	if c.member.IsRevoked(c.set.Controller) && c.detect.monitor != nil {
		slog.Warn("this process was revoked before it knew of its lease")
		c.endLease(c.authorityGiven().Add(constants.AuthorityMargin))
		return
	}
	c.spreadAuthority(now)
}

func (c *control) renewed(now time.Time, m renewed) {
	c.leaseBusy = false
	switch {
	case m.lease != c.lease: // given up meanwhile
	case m.err == nil:
		c.heardAt = now
		if m.sent.After(c.leaseSent) {
			c.leaseSent = m.sent
		}
		c.spreadAuthority(now)
	case errors.Is(m.err, kvstore.ErrLeaseExpired):
		// Others may hold this controller's terms by now. It begins anew.
		slog.Warn("lease ended", "lease", m.lease)
		c.endLease(now)
	default:
		slog.Info("renewal failed", "err", m.err)
		c.nextLease = now.Add(constants.RetryBackoffMin + rand.N(constants.RetryBackoffMin))
	}
}
