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
	resign     struct{} // an actor is stalled: this process must end its lease
	membership struct { // what the monitor sees
		members []MemberStatus
		dropped MessageCounts
		events  []string
	}
	revocationDone struct{ err error }
)

// detection is what the control actor keeps for failure detection.
type detection struct {
	monitor   *actor.Ref // nil: failure detection is off
	seen      membership
	returning *returningWorkers
	revoking  bool // a revocation is being written
	resigned  bool
}

// receiveOfDetection takes in what comes of failure detection.
func (c *control) receiveOfDetection(ctx context.Context, now time.Time, msg any) {
	switch m := msg.(type) {
	case []detector.RevocationProposal:
		c.propose(ctx, now, m)
	case revocationDone:
		c.revocationDone(m)
	case membership:
		c.detect.seen = m
	case resign:
		c.detect.resigned = true
	}
}

// propose revokes the first of the controllers that were declared failed. Without
// authority of its own a controller proposes nothing.
func (c *control) propose(ctx context.Context, now time.Time, proposals []detector.RevocationProposal) {
	if c.detect.revoking || c.detect.resigned || !c.settled(now) || c.claimsHeld(now) {
		return
	}
	for _, p := range proposals {
		txn, ok := c.member.Revoke(records.Revocation{Controller: p.Controller, Incarnation: p.Incarnation, Evidence: evidenceNames(p.Evidence), Accusers: p.Accusers})
		if !ok {
			continue
		}
		slog.Warn("controller is revoked", "node", p.Controller, "evidence", p.Evidence, "accusers", p.Accusers)
		c.detect.revoking = true
		go func() {
			_, err := c.io.Unthrottled.Commit(ctx, txn)
			c.self.Tell(revocationDone{err})
		}()
		return
	}
}

func (c *control) revocationDone(m revocationDone) {
	c.detect.revoking = false
	if m.err != nil {
		slog.Info("revocation not written", "err", m.err) // proposed again if it still holds
	}
}

// noteRevocation takes in a stored revocation. If it is this process's, everything
// done here under its lease ends.
func (c *control) noteRevocation(now time.Time, r *records.Revocation) {
	if c.detect.monitor == nil {
		return
	}
	c.detect.monitor.Tell(revocationSeen(history.Event{At: now, Observer: r.By, Node: r.Controller, Process: r.Incarnation, To: "revoked", Evidence: r.Evidence, Accusers: r.Accusers}))
	if r.Controller == c.set.Controller && r.Incarnation == c.incarnation && c.incarnation != 0 {
		slog.Warn("this process was revoked", "by", r.By, "evidence", r.Evidence)
		c.endLease(c.authorityGiven().Add(constants.AuthorityMargin))
	}
}

// authorityGiven is the latest authority that any actor here may still hold.
func (c *control) authorityGiven() time.Time {
	latest := c.until()
	if extended := c.ownersUntil(); extended.After(latest) {
		latest = extended
	}
	return latest
}

// endLease stops everything that is done under the lease. The next one is asked for
// at again at the earliest.
func (c *control) endLease(again time.Time) {
	c.lease, c.incarnation = 0, 0
	c.leaseSent = time.Time{}
	c.nextLease = again
	clear(c.grants)
	for shard := range c.owners {
		c.stopOwner(shard)
	}
	c.stopLeader()
}

// tellMonitor tells the monitor what it needs to know of the cluster.
func (c *control) tellMonitor(now time.Time) {
	if c.detect.monitor == nil || !c.synced {
		return
	}
	v := clusterView{process: c.incarnation, leases: map[string]uint64{}, unserved: c.unserved(now), actors: map[string]*actor.Ref{"control": c.self, "api server": c.api},
		feed: watchdog.Sample{Name: "feed", Handled: c.revision, Pending: c.overdueReads(now)}}
	for _, p := range c.set.Peers {
		v.leases[p.Controller] = c.member.Incarnation(p.Controller)
	}
	for shard, o := range c.owners {
		v.actors["owner of "+shard] = o.ref
	}
	if c.leaderRef != nil {
		v.actors["leader"] = c.leaderRef.ref
	}
	c.detect.monitor.Tell(v)
}

// overdueReads counts revisions that were read and that the feed has not reached
// though it had time.
func (c *control) overdueReads(now time.Time) int {
	overdue := 0
	for _, r := range c.reads {
		if now.Sub(r.sent) > constants.WatchTimeout {
			overdue++
		}
	}
	return overdue
}

// unserved says whose workers come back to this controller after they were sent to
// their owner. It is not held against anybody while this controller cannot know
// who the owner is, nor for a while after.
func (c *control) unserved(now time.Time) map[string]bool {
	if !c.settled(now) {
		c.detect.returning.forget()
		return nil
	}
	out := map[string]bool{}
	for node, machines := range c.detect.returning.count(now) {
		out[node] = machines >= max(constants.MinUnservedMachines, (c.workersOf(node)+constants.HearingShare-1)/constants.HearingShare)
	}
	return out
}

// workersOf counts the machines of the shards that a controller owns.
func (c *control) workersOf(node string) int {
	owned := map[string]bool{}
	for _, zone := range c.set.Deployment.Zones {
		holder, held := c.member.Holder(records.KeyShard(zone))
		owned[zone] = held && holder == node
	}
	machines := 0
	for _, zone := range c.shardOf {
		if owned[zone] {
			machines++
		}
	}
	return machines
}
