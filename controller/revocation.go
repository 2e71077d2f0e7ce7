package controller

import (
	"context"
	"log/slog"
	"time"

	"ravenport/actor"
	"ravenport/constants"
	"ravenport/detector"
	"ravenport/history"
	"ravenport/records"
	"ravenport/watchdog"
)

// Messages between the monitor and the control actor.
type (
	resignLease    struct{} // an actor is stalled: this process must end its lease
	membershipView struct { // what the monitor sees
		members []MemberStatus
		dropped MessageCounts
		events  []string
	}
	revocationDone struct{ err error }
)

// detectionState is what the control actor keeps for failure detection.
type detectionState struct {
	monitor    *actor.Ref // nil: failure detection is off
	membership membershipView
	redirects  *redirectTracker
	revoking   bool // a revocation is being written
	resigned   bool
}

// receiveDetectionMessage takes in what comes of failure detection.
func (c *controlActor) receiveDetectionMessage(ctx context.Context, now time.Time, msg any) {
	switch m := msg.(type) {
	case []detector.RevocationProposal:
		c.revokeFailed(ctx, now, m)
	case revocationDone:
		c.handleRevocationDone(m)
	case membershipView:
		c.detection.membership = m
	case resignLease:
		c.detection.resigned = true
	}
}

// revokeFailed revokes the first of the controllers that were declared failed. Without
// authority of its own a controller proposes nothing.
func (c *controlActor) revokeFailed(ctx context.Context, now time.Time, proposals []detector.RevocationProposal) {
	if c.detection.revoking || c.detection.resigned || !c.hasAuthority(now) || c.acquisitionsBlocked(now) {
		return
	}
	for _, p := range proposals {
		txn, ok := c.member.Revoke(records.Revocation{Controller: p.Controller, Incarnation: p.Incarnation, Evidence: evidenceNames(p.Evidence), Accusers: p.Accusers})
		if !ok {
			continue
		}
		slog.Warn("controller is revoked", "node", p.Controller, "evidence", p.Evidence, "accusers", p.Accusers)
		c.detection.revoking = true
		go func() {
			_, err := c.dependencies.Unthrottled.Commit(ctx, txn)
			c.self.Tell(revocationDone{err})
		}()
		return
	}
}

func (c *controlActor) handleRevocationDone(m revocationDone) {
	c.detection.revoking = false
	if m.err != nil {
		slog.Info("revocation not written", "err", m.err) // proposed again if it still holds
	}
}

// applyRevocation takes in a stored revocation. If it is this process's, everything
// done here under its lease ends.
func (c *controlActor) applyRevocation(now time.Time, r *records.Revocation) {
	if c.detection.monitor == nil {
		return
	}
	c.detection.monitor.Tell(revocationSeen(history.Event{At: now, Observer: r.RevokedBy, Controller: r.Controller, Incarnation: r.Incarnation, To: "revoked", Evidence: r.Evidence, Accusers: r.Accusers}))
	if r.Controller == c.set.Controller && r.Incarnation == c.incarnation && c.incarnation != 0 {
		slog.Warn("this process was revoked", "by", r.RevokedBy, "evidence", r.Evidence)
		c.endLease(c.latestAuthorityEnd().Add(constants.AuthorityMargin))
	}
}

// latestAuthorityEnd is the latest authority that any actor here may still hold.
func (c *controlActor) latestAuthorityEnd() time.Time {
	latest := c.authorityEnd()
	if extended := c.ownerAuthorityEnd(); extended.After(latest) {
		latest = extended
	}
	return latest
}

// endLease stops everything that is done under the lease. The next one is asked for
// at again at the earliest.
func (c *controlActor) endLease(again time.Time) {
	c.leaseID, c.incarnation = 0, 0
	c.leaseRequestedAt = time.Time{}
	c.nextLeaseCall = again
	clear(c.extensions)
	for shard := range c.owners {
		c.stopOwner(shard)
	}
	c.stopLeader()
}

// updateMonitor tells the monitor what it needs to know of the cluster.
func (c *controlActor) updateMonitor(now time.Time) {
	if c.detection.monitor == nil || !c.synced {
		return
	}
	v := clusterView{process: c.incarnation, leases: map[string]uint64{}, unserved: c.unservedBy(now), actors: map[string]*actor.Ref{"control": c.self, "api server": c.api},
		feed: watchdog.Sample{Name: "feed", Handled: c.revision, Pending: c.overdueReads(now)}}
	for _, p := range c.set.Peers {
		v.leases[p.Controller] = c.member.Incarnation(p.Controller)
	}
	for shard, o := range c.owners {
		v.actors["owner of "+shard] = o.ref
	}
	if c.leader != nil {
		v.actors["leader"] = c.leader.ref
	}
	c.detection.monitor.Tell(v)
}

// overdueReads counts revisions that were read and that the feed has not reached
// though it had time.
func (c *controlActor) overdueReads(now time.Time) int {
	overdue := 0
	for _, r := range c.revisionReads {
		if now.Sub(r.sentAt) > constants.WatchTimeout {
			overdue++
		}
	}
	return overdue
}

// unservedBy says whose workers come back to this controller after they were sent to
// their owner. It is not held against anybody while this controller cannot know
// who the owner is, nor for a while after.
func (c *controlActor) unservedBy(now time.Time) map[string]bool {
	if !c.hasAuthority(now) {
		c.detection.redirects.reset()
		return nil
	}
	out := map[string]bool{}
	for node, machines := range c.detection.redirects.countReturned(now) {
		out[node] = machines >= max(constants.MinUnservedMachines, (c.machinesOf(node)+constants.RecentHeartbeatShare-1)/constants.RecentHeartbeatShare)
	}
	return out
}

// machinesOf counts the machines of the shards that a controller owns.
func (c *controlActor) machinesOf(node string) int {
	owned := map[string]bool{}
	for _, zone := range c.set.Deployment.Zones {
		holder, held := c.member.Holder(records.KeyShard(zone))
		owned[zone] = held && holder == node
	}
	machines := 0
	for _, zone := range c.shardByMachine {
		if owned[zone] {
			machines++
		}
	}
	return machines
}
