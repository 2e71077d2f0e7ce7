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

// runningActor is the actor of a role that runs here, under one term.
type runningActor struct {
	ref    *actor.Ref
	cancel context.CancelFunc
	term   uint64
	// version is the store's version of an owner's term.
	version uint64
}

// heldTerm is a term that this process holds, and the store's version of it.
type heldTerm struct {
	number  uint64
	version uint64
}

// term returns the term under key, and whether this process holds it.
func (c *controlActor) term(key string) (heldTerm, bool) {
	term, version := c.member.Term(key)
	held := version != 0 && c.lease.incarnation != 0 &&
		term.Controller == c.settings.Controller && term.Incarnation == c.lease.incarnation
	return heldTerm{number: term.Number, version: version}, held
}

// reconcileRoles starts and stops the leader and the owners as the terms say.
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
		c.stopOwner(shard) // a further term of this controller's begins anew, like any other
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
	clear(c.extension.grantedAt) // they were granted for other terms
	go func() {
		defer a.workers.Close()
		a.self.Run(ctx, a)
	}()
}

// stopLeader ends the leader here, if there is one. Its forecasts are sent no more.
func (c *controlActor) stopLeader() {
	if c.roles.leader == nil {
		return
	}
	c.roles.forecasts = nil
	c.roles.leader.cancel()
	c.roles.leader = nil
}

// stopOwner ends the owner of a shard here, if there is one.
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

// tellOwners sends a message to every owner here.
func (c *controlActor) tellOwners(msg any) {
	for _, owner := range c.roles.owners {
		owner.ref.Tell(msg)
	}
}

// tellLeader sends a message to the leader, if it runs here.
func (c *controlActor) tellLeader(msg any) {
	if c.roles.leader != nil {
		c.roles.leader.ref.Tell(msg)
	}
}

// receiveShardMessage handles a message that comes from an owner here, and returns
// whether it is one.
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

// handleShardStatus keeps an owner's figures and passes them on.
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

// areAllPeersSilent says whether no other controller made contact lately, though some live.
func (c *controlActor) areAllPeersSilent(now time.Time) bool {
	return c.isEveryPeerSilent(now, func(v peerView) time.Time { return v.lastContact })
}

// lacksPeerStatus says whether no other controller has sent its status lately, though some
// live and may answer this one's. Guards against a leader that others cannot call: it
// would know the figures of its own shards alone, and give those all work.
func (c *controlActor) lacksPeerStatus(now time.Time) bool {
	return c.isEveryPeerSilent(now, func(v peerView) time.Time { return v.lastStatus })
}

// isEveryPeerSilent says whether some other controller lives, and the last sign of each
// other one was too long ago.
func (c *controlActor) isEveryPeerSilent(now time.Time, lastSign func(peerView) time.Time) bool {
	someAlive := false
	for _, p := range c.settings.Peers {
		if now.Sub(lastSign(c.peers[p.Controller])) < constants.PeerSilenceTimeout {
			return false
		}
		someAlive = someAlive || c.member.IsAlive(p.Controller)
	}
	return someAlive
}
