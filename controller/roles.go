package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ravenport/actor"
	"ravenport/apiserver"
	"ravenport/constants"
	"ravenport/kvstore"
	"ravenport/leader"
	"ravenport/member"
	"ravenport/records"
)

type runningActor struct {
	ref    *actor.Ref
	cancel context.CancelFunc
	term   uint64

	version uint64
}

// reconcileRoles starts and stops the leader and the owners as the terms say.
func (c *controlActor) reconcileRoles(ctx context.Context, now time.Time) {
	for _, shard := range c.set.Deployment.Zones {
		key := records.KeyShard(shard)
		t, version := c.member.Term(key)
		mine := version != 0 && t.Controller == c.set.Controller && t.Incarnation == c.incarnation && c.incarnation != 0
		o := c.owners[shard]
		if o != nil && !mine {
			slog.Info("shard lost", "shard", shard, "term", o.term, "to", t.Controller)
			c.stopOwner(shard)
		}
		if t.Number > c.handedOver[key] {
			delete(c.successors, shard)
		}
		if !mine || c.handedOver[key] >= t.Number {
			continue
		}
		if o = c.owners[shard]; o != nil {
			if o.term == t.Number {
				continue
			}
			c.stopOwner(shard) // a term of its own begins anew, like any other's
		}
		slog.Info("shard owned", "shard", shard, "term", t.Number)
		c.startOwner(ctx, now, shard, t.Number, version)
	}
	t, version := c.member.Term(records.KeyLeader)
	mine := version != 0 && t.Controller == c.set.Controller && t.Incarnation == c.incarnation && c.incarnation != 0 &&
		c.handedOver[records.KeyLeader] < t.Number
	if c.leader != nil && (!mine || c.leader.term != t.Number) {
		slog.Info("leadership lost", "term", c.leader.term)
		c.stopLeader()
	}
	if mine && c.leader == nil {
		slog.Info("leading", "term", t.Number)
		c.leaderSince = now
		ctx, cancel := context.WithCancel(ctx)
		a := &leaderActor{core: leader.New(c.set, version, now, c.jobs, c.jobVersions), store: c.dependencies.Background, urgentStore: c.dependencies.Urgent, self: actor.NewRef(), control: c.self, revision: c.revision}
		a.core.SetAuthority(c.authorityEnd())
		if c.packing {
			a.core.EnablePacking()
		}
		c.leader = &runningActor{ref: a.self, cancel: cancel, term: t.Number}
		for _, s := range c.shardStatuses {
			a.self.Tell(s.aggregate)
		}
		go a.self.Run(ctx, a)
	}
}

func (c *controlActor) startOwner(ctx context.Context, now time.Time, shard string, term, version uint64) {
	ctx, cancel := context.WithCancel(ctx)
	inventory, inventoryV := map[string]*records.InventoryPage{}, map[string]uint64{}
	for k, r := range c.inventory {
		if r.Shard == shard {
			inventory[k], inventoryV[k] = r, c.inventoryVersions[k]
		}
	}
	a := newShardActor(c, shard, term, version, now, inventory, inventoryV)
	for _, x := range c.cancellations.since(c.revision) {
		a.self.Tell(apiserver.JobCancelled{JobID: x.JobID, Revision: x.Revision})
	}
	c.owners[shard] = &runningActor{ref: a.self, cancel: cancel, term: term, version: version}
	clear(c.extensions) // they were given for other terms
	go func() {
		a.self.Run(ctx, a)
		a.workers.Close()
	}()
}

// stopLeader ends the leader here, if there is one. Its forecast is told no more.
func (c *controlActor) stopLeader() {
	if c.leader == nil {
		return
	}
	c.forecasts = nil
	c.leader.cancel()
	c.leader = nil
}

// stopOwner ends the owner of a shard here, if there is one.
func (c *controlActor) stopOwner(shard string) {
	if o := c.owners[shard]; o != nil {
		o.ref.Tell(authorityExtended(time.Time{}))
		o.cancel()
		delete(c.owners, shard)
		delete(c.shardStatuses, shard)
		delete(c.drainRecords.views, shard)
	}
}

// allPeersSilent says that no other controller was heard from, though some live.
func (c *controlActor) allPeersSilent(now time.Time) bool {
	return c.allPeersSilentBy(now, func(v peerView) time.Time { return v.lastContact })
}

// noPeerStatus says that no other controller has told its status, though some live and
// may answer. Guards against a leader that others cannot call: it would know the
// figures of its own shards alone, and give those all work.
func (c *controlActor) noPeerStatus(now time.Time) bool {
	return c.allPeersSilentBy(now, func(v peerView) time.Time { return v.lastStatus })
}

// allPeersSilentBy says that some other controller lives, and that the last sign of each was
// too long ago.
func (c *controlActor) allPeersSilentBy(now time.Time, last func(peerView) time.Time) bool {
	alive := false
	for _, p := range c.set.Peers {
		alive = alive || c.member.IsAlive(p.Controller)
		if now.Sub(last(c.peerViews[p.Controller])) < constants.PeerSilenceTimeout {
			return false
		}
	}
	return alive
}

// handOverUnusable gives up a term that this controller cannot make use of.
func (c *controlActor) handOverUnusable(ctx context.Context, now time.Time, key string) {
	cl, ok := c.member.TransferAway(now, key)
	if !ok || c.isAcquiring(now, key) || !c.hasAuthority(now) {
		return
	}
	slog.Warn("cut off: handing on", "key", key, "to", cl.NewHolder)
	c.handOver(now, cl)
}

// renewTerm gives an owner here a new term before the numbers of its own run out. Like
// any hand-over it begins with the owner's stop.
func (c *controlActor) renewTerm(now time.Time, shard string) {
	key := records.KeyShard(shard)
	if c.owners[shard] == nil || c.isAcquiring(now, key) || !c.hasAuthority(now) || c.acquisitionsBlocked(now) {
		return // it asks again
	}
	slog.Info("the term's numbers are used up: claiming a new one", "shard", shard, "term", c.owners[shard].term)
	c.handOver(now, c.member.AcquisitionFor(key, c.set.Controller))
}

// handOver ends what this controller does under a term before another begins.
// The claim that hands the term on is sent only once the actor has said that
// it stopped: reports that still wait in its mailbox must not be answered
// after the next owner has begun to count the workers' leases.
func (c *controlActor) handOver(now time.Time, cl member.TermAcquisition) {
	t, _ := c.member.Term(cl.Key)
	c.handedOver[cl.Key] = t.Number
	c.acquiring[cl.Key] = now
	done := func(end context.CancelFunc) func() {
		return func() { end(); c.self.Tell(actorStopped{cl}) }
	}
	for _, shard := range c.set.Deployment.Zones {
		if o := c.owners[shard]; records.KeyShard(shard) == cl.Key && o != nil {
			o.ref.Tell(stopRequest{done(o.cancel)})
			delete(c.owners, shard)
			delete(c.shardStatuses, shard)
			return
		}
	}
	if cl.Key == records.KeyLeader && c.leader != nil {
		c.leader.ref.Tell(stopRequest{done(c.leader.cancel)})
		c.leader = nil
		return
	}
	c.self.Tell(actorStopped{cl})
}

// isAcquiring says that a claim for key is under way, or was made a moment ago. It
// must end by itself: an owner that once claimed its shard could never hand it on.
func (c *controlActor) isAcquiring(now time.Time, key string) bool {
	at, ok := c.acquiring[key]
	return ok && now.Sub(at) < constants.StoreTimeout+time.Second
}

func (c *controlActor) startAcquisition(ctx context.Context, now time.Time, cl member.TermAcquisition) {
	if c.isAcquiring(now, cl.Key) {
		return
	}
	c.acquiring[cl.Key] = now
	go func() {
		err := c.acquire(ctx, cl)
		c.self.Tell(acquisitionDone{cl, err})
	}()
}

// acquire writes a claim. One that is refused for rate alone is tried again at
// once: until it stands nobody owns the shard. It runs beside the actor.
func (c *controlActor) acquire(ctx context.Context, cl member.TermAcquisition) error {
	return kvstore.RetryRateLimited(ctx, constants.AcquisitionRetryTime, constants.RetryBackoffMin/4, constants.RetryBackoffMin/4, func() error {
		_, err := c.dependencies.Unthrottled.Commit(ctx, cl.Txn)
		return err
	})
}

func (c *controlActor) handleAcquisitionDone(now time.Time, m acquisitionDone) {
	if m.err == nil || errors.Is(m.err, kvstore.ErrOutcomeUnknown) {
		// The feed tells what came of it; until then nothing else is tried,
		// for a little while.
		c.acquiring[m.acquisition.Key] = now.Add(-constants.StoreTimeout)
		return
	}
	delete(c.acquiring, m.acquisition.Key)
	slog.Info("claim failed", "key", m.acquisition.Key, "to", m.acquisition.NewHolder, "err", m.err)
}
