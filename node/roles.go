package node

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ravenport/actor"
	"ravenport/constants"
	"ravenport/frontdoor"
	"ravenport/leader"
	"ravenport/member"
	"ravenport/state"
)

type child struct {
	ref    *actor.Ref
	cancel context.CancelFunc
	term   uint64

	version uint64
}

// roles starts and stops the leader and the owners as the terms say.
func (c *control) roles(ctx context.Context, now time.Time) {
	for _, part := range c.set.Params.Zones {
		key := state.KeyPart(part)
		t, version := c.member.Term(key)
		mine := version != 0 && t.Node == c.set.Node && t.Incarnation == c.incarnation && c.incarnation != 0
		o := c.owners[part]
		if o != nil && !mine {
			slog.Info("part lost", "part", part, "term", o.term, "to", t.Node)
			c.stopOwner(part)
		}
		if t.Number > c.yielded[key] {
			delete(c.successor, part)
		}
		if !mine || c.yielded[key] >= t.Number {
			continue
		}
		if o = c.owners[part]; o != nil {
			if o.term == t.Number {
				continue
			}
			c.stopOwner(part) // a term of its own begins anew, like any other's
		}
		slog.Info("part owned", "part", part, "term", t.Number)
		c.startOwner(ctx, now, part, t.Number, version)
	}
	t, version := c.member.Term(state.KeyLeader)
	mine := version != 0 && t.Node == c.set.Node && t.Incarnation == c.incarnation && c.incarnation != 0 &&
		c.yielded[state.KeyLeader] < t.Number
	if c.leaderRef != nil && (!mine || c.leaderRef.term != t.Number) {
		slog.Info("leadership lost", "term", c.leaderRef.term)
		c.forecast = nil
		c.leaderRef.cancel()
		c.leaderRef = nil
	}
	if mine && c.leaderRef == nil {
		slog.Info("leading", "term", t.Number)
		c.ledSince = now
		ctx, cancel := context.WithCancel(ctx)
		a := &leaderActor{core: leader.New(c.set, version, now, c.jobs, c.versions), store: c.io.Later, urgent: c.io.Urgent, self: actor.NewRef(), control: c.self, revision: c.revision}
		a.core.SetAuthority(c.until())
		if c.packs {
			a.core.SetPacks()
		}
		c.leaderRef = &child{ref: a.self, cancel: cancel, term: t.Number}
		for _, s := range c.status {
			a.self.Tell(s.aggregate)
		}
		go a.self.Run(ctx, a)
	}
}

func (c *control) startOwner(ctx context.Context, now time.Time, part string, term, version uint64) {
	ctx, cancel := context.WithCancel(ctx)
	roster, rosterV := map[string]*state.Page{}, map[string]uint64{}
	for k, r := range c.roster {
		if r.Part == part {
			roster[k], rosterV[k] = r, c.rosterV[k]
		}
	}
	a := newPartActor(c, part, term, version, now, roster, rosterV)
	for _, x := range c.cancels.since(c.revision) {
		a.self.Tell(frontdoor.Cancelled{ID: x.Job, Revision: x.Revision})
	}
	c.owners[part] = &child{ref: a.self, cancel: cancel, term: term, version: version}
	clear(c.grants) // they were given for other terms
	go func() {
		a.self.Run(ctx, a)
		a.workers.Close()
	}()
}

func (c *control) stopOwner(part string) {
	if o := c.owners[part]; o != nil {
		o.ref.Tell(authority(time.Time{}))
		o.cancel()
		delete(c.owners, part)
		delete(c.status, part)
	}
}

// peersAway says that no other controller was heard from, though some live.
func (c *control) peersAway(now time.Time) bool {
	alive := false
	for _, p := range c.set.Peers {
		alive = alive || c.member.Alive(p.Node)
		if now.Sub(c.peersState[p.Node].at) < constants.PeersAway {
			return false
		}
	}
	return alive
}

// handOn gives up a term that this controller cannot make use of.
func (c *control) handOn(ctx context.Context, now time.Time, key string) {
	cl, ok := c.member.HandOn(now, key)
	if !ok || c.claimBusy(now, key) || !c.settled(now) {
		return
	}
	slog.Warn("cut off: handing on", "key", key, "to", cl.To)
	c.yield(now, cl)
}

// renewTerm gives an owner here a new term before the numbers of its own run out. Like
// any hand-over it begins with the owner's stop.
func (c *control) renewTerm(now time.Time, part string) {
	key := state.KeyPart(part)
	if c.owners[part] == nil || c.claimBusy(now, key) || !c.settled(now) || c.claimsHeld(now) {
		return // it asks again
	}
	slog.Info("the term's numbers are used up: claiming a new one", "part", part, "term", c.owners[part].term)
	incarnation, version := c.member.NodeKey(c.set.Node)
	c.yield(now, c.member.ClaimOf(key, c.set.Node, incarnation, version))
}

// yield ends what this controller does under a term before another begins.
// The claim that hands the term on is sent only once the actor has said that
// it stopped: reports that still wait in its mailbox must not be answered
// after the next owner has begun to count the workers' leases.
func (c *control) yield(now time.Time, cl member.Claim) {
	t, _ := c.member.Term(cl.Key)
	c.yielded[cl.Key] = t.Number
	c.claiming[cl.Key] = now
	done := func(end context.CancelFunc) func() {
		return func() { end(); c.self.Tell(halted{cl}) }
	}
	for _, part := range c.set.Params.Zones {
		if o := c.owners[part]; state.KeyPart(part) == cl.Key && o != nil {
			o.ref.Tell(halt{done(o.cancel)})
			delete(c.owners, part)
			delete(c.status, part)
			return
		}
	}
	if cl.Key == state.KeyLeader && c.leaderRef != nil {
		c.leaderRef.ref.Tell(halt{done(c.leaderRef.cancel)})
		c.leaderRef = nil
		return
	}
	c.self.Tell(halted{cl})
}

// claimBusy says that a claim for key is under way, or was made a moment ago. It
// must end by itself: an owner that once claimed its part could never hand it on.
func (c *control) claimBusy(now time.Time, key string) bool {
	at, ok := c.claiming[key]
	return ok && now.Sub(at) < constants.StateTimeout+time.Second
}

func (c *control) send(ctx context.Context, now time.Time, cl member.Claim) {
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
// once: until it stands nobody owns the part. It runs beside the actor.
func (c *control) claim(ctx context.Context, cl member.Claim) error {
	return state.RetryLimited(ctx, constants.ClaimRetry, constants.RetryMin/4, constants.RetryMin/4, func() error {
		_, err := c.io.First.Commit(ctx, cl.Txn)
		return err
	})
}

func (c *control) claimed(now time.Time, m claimed) {
	if m.err == nil || errors.Is(m.err, state.ErrUnknown) {
		// The feed tells what came of it; until then nothing else is tried,
		// for a little while.
		c.claiming[m.claim.Key] = now.Add(-constants.StateTimeout)
		return
	}
	delete(c.claiming, m.claim.Key)
	slog.Info("claim failed", "key", m.claim.Key, "to", m.claim.To, "err", m.err)
}
