package controller

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"ravenport/constants"
	"ravenport/kvstore"
	"ravenport/logkey"
	"ravenport/records"
	"ravenport/wire"
)

// receiveLeaseMessage handles the result of a call that requests or renews the lease or
// reads the store's revision. It returns false if msg is of another kind.
func (c *controlActor) receiveLeaseMessage(now time.Time, msg any) bool {
	switch m := msg.(type) {
	case leaseGranted:
		c.handleLeaseGranted(now, m)
	case leaseRenewed:
		c.handleLeaseRenewed(now, m)
	case revisionRead:
		c.handleRevisionRead(now, m)
	default:
		return false
	}
	return true
}

// keepLease renews the lease. If there is none, it requests a lease and registers this
// controller under that lease.
func (c *controlActor) keepLease(ctx context.Context, now time.Time) {
	if c.lease.callInFlight || now.Before(c.lease.nextCall) || !c.feed.synced || c.detection.resigned {
		return
	}
	ttl := c.settings.Operator.LeaseTTL
	c.lease.callInFlight = true
	c.lease.nextCall = now.Add(ttl / constants.RenewalsPerTTL)
	if c.lease.id == 0 {
		c.startRegistration(ctx, now, ttl)
		return
	}
	lease := c.lease.id
	go c.renewLease(ctx, now, lease)
}

// startRegistration requests a lease and then writes this controller's record under that
// lease.
func (c *controlActor) startRegistration(ctx context.Context, now time.Time, ttl time.Duration) {
	incarnation := rand.Uint64()>>1 | 1
	record := records.Controller{Incarnation: incarnation, ReadsPacked: true}
	if c.detection.monitor != nil {
		record.LeaseTTLMS = ttl.Milliseconds()
	}
	version := c.member.RegistrationVersion(c.settings.Controller)
	go func() {
		lease, err := c.register(ctx, record, version, ttl)
		c.self.Tell(leaseGranted{lease, incarnation, now, err})
	}()
}

// register requests a lease and commits this controller's record under that lease. It
// runs on a goroutine other than the actor's.
func (c *controlActor) register(ctx context.Context, record records.Controller, version uint64, ttl time.Duration) (uint64, error) {
	lease, err := c.dependencies.Store.Grant(ctx, ttl)
	if err != nil {
		return lease, err
	}
	// The write is conditional, so that a delayed copy of an earlier process's write can
	// never replace the record of this process.
	key := records.KeyController(c.settings.Controller)
	_, err = c.dependencies.Unthrottled.Commit(ctx, wire.Txn{
		Conditions: []wire.Condition{{Key: key, Version: version}},
		Changes:    []wire.Change{{Put: key, Value: records.Encode(record), Lease: lease}},
	})
	return lease, err
}

// renewLease renews the lease and then reads the store's revision, with which the
// freshness of the feed is determined. It runs on a goroutine other than the actor's.
func (c *controlActor) renewLease(ctx context.Context, sentAt time.Time, lease uint64) {
	err := c.dependencies.Store.Renew(ctx, lease)
	c.self.Tell(leaseRenewed{lease, sentAt, err})
	if err != nil {
		return
	}
	readAt := time.Now()
	revision, err := c.dependencies.Store.Revision(ctx)
	c.self.Tell(revisionRead{revision, readAt, err})
}

// handleLeaseGranted handles the result of a registration.
func (c *controlActor) handleLeaseGranted(now time.Time, m leaseGranted) {
	c.lease.callInFlight = false
	if m.err != nil {
		slog.Info("registration under a lease failed", logkey.Err, m.err)
		c.retryLeaseCall(now)
		return
	}
	c.lastStoreContact = now
	c.lease.id = m.lease
	c.lease.incarnation = m.incarnation
	c.lease.requestedAt = m.sentAt
	c.lease.nextCall = now
	slog.Info("lease granted", logkey.Lease, m.lease)
	if c.detection.monitor != nil && c.member.IsRevoked(c.settings.Controller) {
		slog.Warn("this process was revoked before it knew of its lease")
		c.endLease(c.latestAuthorityEnd().Add(constants.AuthorityMargin))
		return
	}
	c.broadcastAuthority()
}

// handleLeaseRenewed handles the result of a renewal.
func (c *controlActor) handleLeaseRenewed(now time.Time, m leaseRenewed) {
	c.lease.callInFlight = false
	switch {
	case m.lease != c.lease.id: // this process ended the lease in the meantime
	case m.err == nil:
		c.lastStoreContact = now
		if m.sentAt.After(c.lease.requestedAt) {
			c.lease.requestedAt = m.sentAt
		}
		c.broadcastAuthority()
	case errors.Is(m.err, kvstore.ErrLeaseExpired):
		// Other controllers may hold this controller's terms by now, so it stops all
		// roles and requests a new lease.
		slog.Warn("lease expired", logkey.Lease, m.lease)
		c.endLease(now)
	default:
		slog.Info("lease renewal failed", logkey.Err, m.err)
		c.retryLeaseCall(now)
	}
}

// retryLeaseCall schedules the next call for the lease after a short random delay.
func (c *controlActor) retryLeaseCall(now time.Time) {
	c.lease.nextCall = now.Add(constants.RetryBackoffMin + rand.N(constants.RetryBackoffMin))
}

// endLease drops the lease and stops the leader and the owners that run under it. A new
// lease is requested at retryAt at the earliest.
func (c *controlActor) endLease(retryAt time.Time) {
	c.lease.id = 0
	c.lease.incarnation = 0
	c.lease.requestedAt = time.Time{}
	c.lease.nextCall = retryAt
	clear(c.extension.grantedAt)
	for shard := range c.roles.owners {
		c.stopOwner(shard)
	}
	c.stopLeader()
}
