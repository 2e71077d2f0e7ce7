package controller

import (
	"context"
	"log/slog"
	"time"

	"ravenport/actor"
	"ravenport/apiserver"
	"ravenport/constants"
	"ravenport/leader"
	"ravenport/logkey"
	"ravenport/records"
)

// runningActor is the actor of a role, leader or shard owner, that runs on this
// controller under one term.
type runningActor struct {
	ref    *actor.Ref
	cancel context.CancelFunc
	term   uint64
	// version is the version of the term's record in the key-value store. It is set for
	// shard owners only.
	version uint64
}

// heldTerm is a term that this process holds, and the version of its record in the
// key-value store.
type heldTerm struct {
	number  uint64
	version uint64
}

// term returns the term stored under key, and whether this process holds the term.
func (c *controlActor) term(key string) (heldTerm, bool) {
	term, version := c.member.Term(key)
	held := version != 0 && c.lease.incarnation != 0 &&
		term.Controller == c.settings.Controller && term.Incarnation == c.lease.incarnation
	return heldTerm{number: term.Number, version: version}, held
}

// reconcileRoles starts and stops the leader and the owners according to the stored
// terms.
func (c *controlActor) reconcileRoles(ctx context.Context, now time.Time) {
	for _, shard := range c.settings.Deployment.Zones {
		c.reconcileOwner(ctx, now, shard)
	}
	c.reconcileLeader(ctx, now)
}

func (c *controlActor) reconcileOwner(ctx context.Context, now time.Time, shard string) {
	key := records.KeyShard(shard)
	current, held := c.term(key)
	owner := c.roles.owners[shard]
	if owner != nil && !held {
		term, _ := c.member.Term(key)
		slog.Info("shard lost", logkey.Shard, shard, logkey.Term, owner.term, logkey.Controller, term.Controller)
		c.stopOwner(shard)
	}
	if current.number > c.terms.relinquished[key] {
		delete(c.terms.successors, shard)
	}
	if !held || c.terms.relinquished[key] >= current.number {
		return
	}
	if owner != nil {
		if owner.term == current.number {
			return
		}
		c.stopOwner(shard) // each term has its own actor, also if the controller is the same
	}
	slog.Info("shard acquired", logkey.Shard, shard, logkey.Term, current.number)
	c.startOwner(ctx, now, shard, current)
}

func (c *controlActor) reconcileLeader(ctx context.Context, now time.Time) {
	current, held := c.term(records.KeyLeader)
	held = held && c.terms.relinquished[records.KeyLeader] < current.number
	if c.roles.leader != nil && (!held || c.roles.leader.term != current.number) {
		slog.Info("leadership lost", logkey.Term, c.roles.leader.term)
		c.stopLeader()
	}
	if held && c.roles.leader == nil {
		slog.Info("leadership acquired", logkey.Term, current.number)
		c.startLeader(ctx, now, current)
	}
}

// startLeader starts the leader of a term.
func (c *controlActor) startLeader(ctx context.Context, now time.Time, term heldTerm) {
	ctx, cancel := context.WithCancel(ctx)
	a := newLeaderActor(c, term.version, now)
	c.roles.leaderSince = now
	c.roles.leader = &runningActor{ref: a.self, cancel: cancel, term: term.number}
	for _, s := range c.roles.shardStatuses {
		a.self.Tell(s.aggregate)
	}
	go a.self.Run(ctx, a)
}

// startOwner starts the owner of a shard in a term.
func (c *controlActor) startOwner(ctx context.Context, now time.Time, shard string, term heldTerm) {
	ctx, cancel := context.WithCancel(ctx)
	a := newShardActor(c, shard, term, now)
	for _, cancellation := range c.cancellations.since(c.feed.revision) {
		a.self.Tell(apiserver.JobCancelled{JobID: cancellation.JobID, Revision: cancellation.Revision})
	}
	c.roles.owners[shard] = &runningActor{ref: a.self, cancel: cancel, term: term.number, version: term.version}
	clear(c.extension.grantedAt) // the lease extensions were granted for other terms
	go func() {
		defer a.workers.Close()
		a.self.Run(ctx, a)
	}()
}

// stopLeader stops the leader if it runs on this controller. Its forecasts are no longer
// sent.
func (c *controlActor) stopLeader() {
	if c.roles.leader == nil {
		return
	}
	c.roles.forecasts = nil
	c.roles.leader.cancel()
	c.roles.leader = nil
}

// stopOwner stops the owner of a shard if it runs on this controller.
func (c *controlActor) stopOwner(shard string) {
	owner := c.roles.owners[shard]
	if owner == nil {
		return
	}
	owner.ref.Tell(authorityChanged{})
	owner.cancel()
	delete(c.roles.owners, shard)
	delete(c.roles.shardStatuses, shard)
	delete(c.drains.shardStatuses, shard)
}

// tellOwners sends a message to every owner on this controller.
func (c *controlActor) tellOwners(msg any) {
	for _, owner := range c.roles.owners {
		owner.ref.Tell(msg)
	}
}

// tellLeader sends a message to the leader if it runs on this controller.
func (c *controlActor) tellLeader(msg any) {
	if c.roles.leader != nil {
		c.roles.leader.ref.Tell(msg)
	}
}

// receiveShardMessage handles a message from an owner on this controller. It returns
// false if msg is of another kind.
func (c *controlActor) receiveShardMessage(now time.Time, msg any) bool {
	switch m := msg.(type) {
	case shardStatus:
		c.handleShardStatus(now, m)
	case newTermRequest:
		c.renewTerm(now, m.shard)
	case shardUnreachable:
		c.transferUnreachableShard(now, m)
	default:
		return false
	}
	return true
}

// handleShardStatus stores an owner's status and passes it on to the API server, the
// leader and the other owners on this controller.
func (c *controlActor) handleShardStatus(now time.Time, m shardStatus) {
	c.push.changed = true
	if m.counts != nil {
		if m.summary.Partitioned || !m.summary.Rebuilt {
			c.terms.unstableAt[records.KeyShard(m.shard)] = now
		}
		c.apiServer.Tell(apiserver.ShardCounts{Shard: m.shard, ByJob: m.counts})
	} else {
		previous := c.roles.shardStatuses[m.shard]
		m.counts = previous.counts
		m.summary = previous.summary
		m.drains = previous.drains
	}
	c.drains.shardStatuses[m.shard] = m.drains
	c.roles.shardStatuses[m.shard] = m
	c.tellLeader(m.aggregate)
	c.tellOwners([]leader.Aggregate{m.aggregate})
}

// lacksPeerContact reports whether no other controller made contact within
// PeerContactTimeout although at least one is alive.
func (c *controlActor) lacksPeerContact(now time.Time) bool {
	return c.havePeersTimedOut(now, func(v peerView) time.Time { return v.lastContact })
}

// lacksPeerStatus reports whether no other controller sent its status within
// PeerContactTimeout although at least one is alive. The others may still answer this
// controller's status. The check guards against a leader that other controllers cannot
// call: the leader would have the aggregates of its own shards only, and would assign
// all work to those shards.
func (c *controlActor) lacksPeerStatus(now time.Time) bool {
	return c.havePeersTimedOut(now, func(v peerView) time.Time { return v.lastStatus })
}

// havePeersTimedOut reports whether at least one other controller is alive, and the time
// that lastReceived returns is longer ago than PeerContactTimeout for every other
// controller.
func (c *controlActor) havePeersTimedOut(now time.Time, lastReceived func(peerView) time.Time) bool {
	someAlive := false
	for _, p := range c.settings.Peers {
		if now.Sub(lastReceived(c.peers[p.Controller])) < constants.PeerContactTimeout {
			return false
		}
		someAlive = someAlive || c.member.IsAlive(p.Controller)
	}
	return someAlive
}
