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

type child struct {
	ref    *actor.Ref
	cancel context.CancelFunc
	term   uint64

	version uint64
}

// roles starts and stops the leader and the owners as the terms say.
func (c *control) roles(ctx context.Context, now time.Time) {
	for _, shard := range c.set.Deployment.Zones {
		key := records.KeyShard(shard)
		t, version := c.member.Term(key)
		mine := version != 0 && t.Controller == c.set.Controller && t.Incarnation == c.incarnation && c.incarnation != 0
		o := c.owners[shard]
		if o != nil && !mine {
			slog.Info("shard lost", "shard", shard, "term", o.term, "to", t.Controller)
			c.stopOwner(shard)
		}
		if t.Number > c.yielded[key] {
			delete(c.successor, shard)
		}
		if !mine || c.yielded[key] >= t.Number {
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
		c.yielded[records.KeyLeader] < t.Number
	if c.leaderRef != nil && (!mine || c.leaderRef.term != t.Number) {
		slog.Info("leadership lost", "term", c.leaderRef.term)
		c.stopLeader()
	}
	if mine && c.leaderRef == nil {
		slog.Info("leading", "term", t.Number)
		c.ledSince = now
		ctx, cancel := context.WithCancel(ctx)
		a := &leaderActor{core: leader.New(c.set, version, now, c.jobs, c.versions), store: c.io.Background, urgent: c.io.Urgent, self: actor.NewRef(), control: c.self, revision: c.revision}
		a.core.SetAuthority(c.until())
		if c.packs {
			a.core.EnablePacking()
		}
		c.leaderRef = &child{ref: a.self, cancel: cancel, term: t.Number}
		for _, s := range c.status {
			a.self.Tell(s.aggregate)
		}
		go a.self.Run(ctx, a)
	}
}

func (c *control) startOwner(ctx context.Context, now time.Time, shard string, term, version uint64) {
	ctx, cancel := context.WithCancel(ctx)
	inventory, inventoryV := map[string]*records.Page{}, map[string]uint64{}
	for k, r := range c.inventory {
		if r.Shard == shard {
			inventory[k], inventoryV[k] = r, c.inventoryV[k]
		}
	}
	a := newShardActor(c, shard, term, version, now, inventory, inventoryV)
	for _, x := range c.cancels.since(c.revision) {
		a.self.Tell(apiserver.JobCancelled{JobID: x.Job, Revision: x.Revision})
	}
	c.owners[shard] = &child{ref: a.self, cancel: cancel, term: term, version: version}
	clear(c.grants) // they were given for other terms
	go func() {
		a.self.Run(ctx, a)
		a.workers.Close()
	}()
}

// stopLeader ends the leader here, if there is one. Its forecast is told no more.
func (c *control) stopLeader() {
	if c.leaderRef == nil {
		return
	}
	c.forecast = nil
	c.leaderRef.cancel()
	c.leaderRef = nil
}

// stopOwner ends the owner of a shard here, if there is one.
func (c *control) stopOwner(shard string) {
	if o := c.owners[shard]; o != nil {
		o.ref.Tell(authority(time.Time{}))
		o.cancel()
		delete(c.owners, shard)
		delete(c.status, shard)
		delete(c.drains.views, shard)
	}
}

// peersAway says that no other controller was heard from, though some live.
func (c *control) peersAway(now time.Time) bool {
	return c.silentPeers(now, func(v peerView) time.Time { return v.at })
}

// toldByNobody says that no other controller has told its status, though some live and
// may answer. Guards against a leader that others cannot call: it would know the
// figures of its own shards alone, and give those all work.
func (c *control) toldByNobody(now time.Time) bool {
	return c.silentPeers(now, func(v peerView) time.Time { return v.told })
}

// silentPeers says that some other controller lives, and that the last sign of each was
// too long ago.
func (c *control) silentPeers(now time.Time, last func(peerView) time.Time) bool {
	alive := false
	for _, p := range c.set.Peers {
		alive = alive || c.member.IsAlive(p.Controller)
		if now.Sub(last(c.peersState[p.Controller])) < constants.PeerSilenceTimeout {
			return false
		}
	}
	return alive
}

// handOn gives up a term that this controller cannot make use of.
func (c *control) handOn(ctx context.Context, now time.Time, key string) {
	cl, ok := c.member.TransferAway(now, key)
	if !ok || c.claimBusy(now, key) || !c.settled(now) {
		return
	}
	slog.Warn("cut off: handing on", "key", key, "to", cl.NewHolder)
	c.yield(now, cl)
}

// renewTerm gives an owner here a new term before the numbers of its own run out. Like
// any hand-over it begins with the owner's stop.
func (c *control) renewTerm(now time.Time, shard string) {
	key := records.KeyShard(shard)
	if c.owners[shard] == nil || c.claimBusy(now, key) || !c.settled(now) || c.claimsHeld(now) {
		return // it asks again
	}
	slog.Info("the term's numbers are used up: claiming a new one", "shard", shard, "term", c.owners[shard].term)
	c.yield(now, c.member.AcquisitionFor(key, c.set.Controller))
}

// yield ends what this controller does under a term before another begins.
// The claim that hands the term on is sent only once the actor has said that
// it stopped: reports that still wait in its mailbox must not be answered
// after the next owner has begun to count the workers' leases.
func (c *control) yield(now time.Time, cl member.TermAcquisition) {
	t, _ := c.member.Term(cl.Key)
	c.yielded[cl.Key] = t.Number
	c.claiming[cl.Key] = now
	done := func(end context.CancelFunc) func() {
		return func() { end(); c.self.Tell(halted{cl}) }
	}
	for _, shard := range c.set.Deployment.Zones {
		if o := c.owners[shard]; records.KeyShard(shard) == cl.Key && o != nil {
			o.ref.Tell(halt{done(o.cancel)})
			delete(c.owners, shard)
			delete(c.status, shard)
			return
		}
	}
	if cl.Key == records.KeyLeader && c.leaderRef != nil {
		c.leaderRef.ref.Tell(halt{done(c.leaderRef.cancel)})
		c.leaderRef = nil
		return
	}
	c.self.Tell(halted{cl})
}

// claimBusy says that a claim for key is under way, or was made a moment ago. It
// must end by itself: an owner that once claimed its shard could never hand it on.
func (c *control) claimBusy(now time.Time, key string) bool {
	at, ok := c.claiming[key]
	return ok && now.Sub(at) < constants.StoreTimeout+time.Second
}

func (c *control) send(ctx context.Context, now time.Time, cl member.TermAcquisition) {
	if c.claimBusy(now, cl.Key) {
		return
	}
	c.claiming[cl.Key] = now
	go func() {
		err := c.claim(ctx, cl)
		c.self.Tell(claimed{cl, err})
	}()
}

// claim writes a claim. One that is refused for rate alone is tried again at
// once: until it stands nobody owns the shard. It runs beside the actor.
func (c *control) claim(ctx context.Context, cl member.TermAcquisition) error {
	return kvstore.RetryRateLimited(ctx, constants.AcquisitionRetryTime, constants.RetryBackoffMin/4, constants.RetryBackoffMin/4, func() error {
		_, err := c.io.Unthrottled.Commit(ctx, cl.Txn)
		return err
	})
}

func (c *control) claimed(now time.Time, m claimed) {
	if m.err == nil || errors.Is(m.err, kvstore.ErrOutcomeUnknown) {
		// The feed tells what came of it; until then nothing else is tried,
		// for a little while.
		c.claiming[m.claim.Key] = now.Add(-constants.StoreTimeout)
		return
	}
	delete(c.claiming, m.claim.Key)
	slog.Info("claim failed", "key", m.claim.Key, "to", m.claim.NewHolder, "err", m.err)
}
