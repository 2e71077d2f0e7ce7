package controller

import (
	"context"
	"time"

	"ravenport/actor"
	"ravenport/constants"
	"ravenport/detector"
	"ravenport/watchdog"
)

// detectionState is the control actor's state for failure detection.
type detectionState struct {
	monitor    *actor.Ref // nil: failure detection is off
	membership membershipView
	redirects  *redirectTracker
	revoking   bool // a write of a revocation is in flight
	resigned   bool // this process no longer renews its lease because an actor is stalled
}

// receiveDetectionMessage handles a message about failure detection.
func (c *controlActor) receiveDetectionMessage(ctx context.Context, now time.Time, msg any) {
	switch m := msg.(type) {
	case []detector.RevocationProposal:
		c.revokeFailedController(ctx, now, m)
	case revocationDone:
		c.handleRevocationDone(m)
	case membershipView:
		c.detection.membership = m
	case resignLease:
		c.detection.resigned = true
	}
}

// updateMonitor sends the monitor the control actor's current view of the cluster.
func (c *controlActor) updateMonitor(now time.Time) {
	if c.detection.monitor == nil || !c.feed.synced {
		return
	}
	view := clusterView{
		incarnation:  c.lease.incarnation,
		incarnations: map[string]uint64{},
		unserved:     c.controllersWithUnservedWorkers(now),
		actors:       map[string]*actor.Ref{"control": c.self, "api server": c.apiServer},
		feed:         watchdog.Sample{Name: "feed", Handled: c.feed.revision, Pending: c.overdueReads(now)},
	}
	for _, p := range c.settings.Peers {
		view.incarnations[p.Controller] = c.member.Incarnation(p.Controller)
	}
	for shard, owner := range c.roles.owners {
		view.actors["owner of "+shard] = owner.ref
	}
	if c.roles.leader != nil {
		view.actors["leader"] = c.roles.leader.ref
	}
	c.detection.monitor.Tell(view)
}

// overdueReads counts the pending revision reads that were sent more than WatchTimeout
// ago: the feed should have reached their revisions by now.
func (c *controlActor) overdueReads(now time.Time) int {
	overdue := 0
	for _, read := range c.authority.revisionReads {
		if now.Sub(read.sentAt) > constants.WatchTimeout {
			overdue++
		}
	}
	return overdue
}
