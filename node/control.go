// Package node puts a controller together: its actors, their inputs and
// outputs, and the servers that users, workers and peers call.
package node

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"ravenport/actor"
	"ravenport/constants"
	"ravenport/frontdoor"
	"ravenport/httpwire"
	"ravenport/leader"
	"ravenport/member"
	"ravenport/part"
	"ravenport/peer"
	"ravenport/settings"
	"ravenport/state"
	"ravenport/wire"
)

// Messages to the control actor.
type (
	tick time.Time
	beat struct {
		req    request
		report *wire.Report
	}
	health      struct{ req request }
	statusAsked struct{ req request }
	peerStatus  peer.Status
	peerAsk     struct { // a status that asks for a promise
		status peer.Status
		answer chan<- peer.Reply // has room for the answer
	}
	peerReply struct {
		node  string
		sent  time.Time
		asked bool
		reply peer.Reply
		err   error
	}
	leased struct { // a lease and its key were obtained
		lease, incarnation uint64
		sent               time.Time
		err                error
	}
	renewed struct {
		lease uint64
		sent  time.Time
		err   error
	}
	revisionRead struct {
		revision uint64
		sent     time.Time
		err      error
	}
	claimed struct {
		claim member.Claim
		err   error
	}
	typesRead struct {
		types []wire.MachineType
		err   error
	}
	partStatus struct { // from a part's actor
		part      string
		aggregate leader.Aggregate
		counts    map[string][2]int
		summary   part.Summary
	}
	halted struct{ claim member.Claim } // the actor stopped: the claim may go
	cutOff struct {                     // a part's machines fell silent together
		part   string
		strays bool // and report to other controllers
	}
)

// request is one HTTP request's way back.
type request interface {
	Answer(*httpwire.Response)
}

// control keeps the lease, makes claims, starts and stops the leader and the
// owners, and routes reports.
type control struct {
	set    *settings.Settings
	io     Outside
	self   *actor.Ref
	door   *actor.Ref
	member *member.Core

	jobs     map[string]*state.Job // not over, or with open chunks
	versions map[string]uint64
	roster   map[string]*state.Page // by key
	rosterV  map[string]uint64
	partOf   map[string]string // by machine on the roster
	odd      map[string]bool   // machines whose impossible reports were logged
	revision uint64
	synced   bool
	heardAt  time.Time // last answer of the state service

	packs       bool // no process of the version before can come any more
	incarnation uint64
	lease       uint64
	leaseSent   time.Time
	leaseBusy   bool
	nextLease   time.Time
	fresh       time.Time // the feed held all changes made before
	reads       []revisionRead
	authority   time.Duration
	claiming    map[string]time.Time
	yielded     map[string]uint64 // term given up while handing on, or known from a sibling to be over
	successor   map[string]string // by part: who a sibling says owns it, beyond what the feed shows
	types       []wire.MachineType
	typesNext   time.Time // when they are read next
	typesBusy   bool

	cancels       cancellations
	started       time.Time
	promisedUntil time.Time            // until then nothing is claimed
	grants        map[string]time.Time // by controller: when what it promised was asked for

	owners     map[string]*child
	leaderRef  *child
	ledSince   time.Time
	status     map[string]partStatus
	unsettled  map[string]time.Time // by key: when a part here last was not rebuilt, or out of reach
	forecast   forecast             // of the leader here
	pushAt     time.Time            // when anybody was last told
	pushAllAt  time.Time            // and when everybody was
	pushNow    bool
	pushing    map[string]bool
	peersState map[string]peerView
	strays     map[string]stray
}

// stray is a report that was made here though another controller owns its
// machine.
type stray struct {
	part.Stray
	at time.Time
}

type peerView struct {
	stateOK bool
	at      time.Time
}

type child struct {
	ref    *actor.Ref
	cancel context.CancelFunc
	term   uint64

	version uint64
}

func newControl(set *settings.Settings, out Outside, self, door *actor.Ref) *control {
	c := &control{
		set: set, io: out, self: self, door: door, started: time.Now(), grants: map[string]time.Time{},
		jobs: map[string]*state.Job{}, versions: map[string]uint64{}, roster: map[string]*state.Page{}, rosterV: map[string]uint64{}, partOf: map[string]string{}, odd: map[string]bool{},
		claiming: map[string]time.Time{}, yielded: map[string]uint64{}, successor: map[string]string{}, unsettled: map[string]time.Time{}, owners: map[string]*child{},
		status: map[string]partStatus{}, pushing: map[string]bool{}, peersState: map[string]peerView{}, strays: map[string]stray{},
	}
	var short bool
	if c.authority, short = set.Authority(); short {
		slog.Warn("cancel_s leaves little room: authority shortened", "authority", c.authority)
	}
	var all []member.Controller
	for _, n := range set.Nodes() {
		all = append(all, member.Controller{Name: n.Node, Zone: n.Zone})
	}
	c.member = member.New(set.Node, all, set.Params.Zones, time.Now())
	c.member.SetSecondPartWait(set.SecondPartWait())
	return c
}

// Receive implements actor.Handler.
func (c *control) Receive(ctx context.Context, msg any) {
	now := time.Now()
	switch m := msg.(type) {
	case state.Update:
		c.update(ctx, now, m)
	case beat:
		c.beat(now, m)
	case health:
		c.health(now, m)
	case statusAsked:
		c.tellStatus(now, m.req)
	case tick:
		c.tick(ctx, now)
	case peerStatus:
		c.peerStatus(now, peer.Status(m))
	case peerAsk:
		c.peerStatus(now, m.status)
		m.answer <- c.promise(now, m.status)
	case peerReply:
		c.pushing[m.node] = false
		c.granted(now, m)
		if m.err == nil {
			// It was heard; what it can reach it tells in its own status.
			c.peersState[m.node] = peerView{c.peersState[m.node].stateOK, now}
		}
	case leased:
		c.leased(now, m)
	case renewed:
		c.renewed(now, m)
	case revisionRead:
		if m.err == nil {
			c.heardAt = now
			c.reads = append(c.reads, m)
			c.freshen(now)
		}
	case frontdoor.Cancelled:
		c.cancelled(peer.Cancellation{Job: m.ID, Revision: m.Revision})
	case claimed:
		c.claimed(now, m)
	case typesRead:
		c.typesBusy = false
		if m.err != nil {
			slog.Info("machine types not read", "err", m.err)
			c.typesNext = now.Add(constants.RetryMax / 2)
			return
		}
		c.typesNext = now.Add(constants.TypesEvery)
		c.types = m.types
		c.door.Tell(frontdoor.Types(m.types))
		for _, o := range c.owners {
			o.ref.Tell(m)
		}
	case partStatus:
		c.pushNow = true
		if m.counts != nil && (m.summary.Dark || !m.summary.Rebuilt) {
			c.unsettled[state.KeyPart(m.part)] = now
		}
		if m.counts != nil {
			c.door.Tell(frontdoor.Counts{Part: m.part, Jobs: m.counts})
		} else {
			m.counts, m.summary = c.status[m.part].counts, c.status[m.part].summary
		}
		c.status[m.part] = m
		if c.leaderRef != nil {
			c.leaderRef.ref.Tell(m.aggregate)
		}
		for _, o := range c.owners {
			o.ref.Tell([]leader.Aggregate{m.aggregate})
		}
	case forecast:
		c.forecast = m
		c.pushNow = c.pushNow || m != nil
		c.foretell(m)
	case halted:
		delete(c.claiming, m.claim.Key)
		c.send(ctx, now, m.claim)
	case cutOff:
		if o := c.owners[m.part]; o != nil && (m.strays || c.peersAway(now)) {
			c.handOn(ctx, now, state.KeyPart(m.part))
		}
	}
}

func (c *control) update(ctx context.Context, now time.Time, up state.Update) {
	for _, ch := range up.Changes {
		c.member.Apply(now, ch)
		switch r := ch.Record.(type) {
		case *state.Job:
			c.noteRecord(r, ch.Version)
			if r.End != "" && r.AllOver() {
				delete(c.jobs, r.ID)
				delete(c.versions, r.ID)
			} else {
				c.jobs[r.ID], c.versions[r.ID] = r, ch.Version
			}
		case *state.Page:
			if old := c.roster[ch.Key]; old != nil {
				for _, m := range old.Machines() {
					delete(c.partOf, m.Name)
				}
			}
			for _, m := range r.Machines() {
				c.partOf[m.Name] = r.Part
			}
			c.roster[ch.Key], c.rosterV[ch.Key] = r, ch.Version
		case nil:
			delete(c.roster, ch.Key)
			delete(c.rosterV, ch.Key)
		}
	}
	if !c.packs && c.member.Packs() {
		c.packs = true
		slog.Info("every controller has this version")
		c.door.Tell(frontdoor.Packs{})
		for _, o := range c.owners {
			o.ref.Tell(packs{})
		}
		if c.leaderRef != nil {
			c.leaderRef.ref.Tell(packs{})
		}
	}
	c.revision = up.Revision
	c.heardAt = now
	if !c.synced {
		c.synced = true
		slog.Info("feed has read the state service", "revision", up.Revision, "jobs", len(c.jobs))
	}
	c.door.Tell(up)
	for _, o := range c.owners {
		o.ref.Tell(up)
	}
	if c.leaderRef != nil {
		c.leaderRef.ref.Tell(up)
	}
	c.roles(ctx, now)
	c.freshen(now)
}

// freshen notes up to when the feed is known to hold every change.
func (c *control) freshen(now time.Time) {
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

func (c *control) tick(ctx context.Context, now time.Time) {
	c.keepLease(ctx, now)
	c.readTypes(ctx, now)
	c.roles(ctx, now)
	for _, cl := range c.member.Step(now, c.incarnation, c.settled(now) && !c.claimsHeld(now)) {
		if c.claimBusy(now, cl.Key) {
			continue
		}
		if cl.To != c.set.Node {
			if now.Sub(c.unsettled[cl.Key]) < constants.HandBackSettled {
				continue // a second rebuild right after the first leaves more waiting for longer
			}
			slog.Info("handing on", "key", cl.Key, "to", cl.To)
			c.yield(now, cl)
			continue
		}
		c.send(ctx, now, cl)
	}
	// A hand-over that failed leaves a term without an owner: take a new one.
	for key, term := range c.yielded {
		if c.claimsHeld(now) {
			break
		}
		t, _ := c.member.Term(key)
		if t.Number != term {
			delete(c.yielded, key)
			continue
		}
		if !c.claimBusy(now, key) && c.settled(now) {
			inc, version := c.member.NodeKey(c.set.Node)
			c.send(ctx, now, c.member.ClaimOf(key, c.set.Node, inc, version))
		}
	}
	if c.leaderRef != nil && c.peersAway(now) && now.Sub(c.ledSince) > 2*constants.PeersAway {
		c.handOn(ctx, now, state.KeyLeader)
	}
	c.push(ctx, now)
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

// keepLease renews the lease, or gets one and puts this controller's key.
func (c *control) keepLease(ctx context.Context, now time.Time) {
	if c.leaseBusy || now.Before(c.nextLease) || !c.synced {
		return
	}
	c.leaseBusy = true
	life := c.set.Operator.LeaseLife
	c.nextLease = now.Add(life / constants.RenewalsPerLife)
	sent := now
	if c.lease == 0 {
		inc := rand.Uint64()>>1 | 1
		_, version := c.member.NodeKey(c.set.Node)
		go func() {
			lease, err := c.io.State.Grant(ctx, life)
			if err == nil {
				// Conditional, so that a late copy from an earlier process can
				// never replace this one's.
				key := state.KeyNode(c.set.Node)
				_, err = c.io.First.Commit(ctx, wire.Txn{
					If:   []wire.Condition{{Key: key, Version: version}},
					Then: []wire.Change{{Put: key, Value: state.Encode(state.Node{Incarnation: inc, Packs: true}), Lease: lease}},
				})
			}
			c.self.Tell(leased{lease, inc, sent, err})
		}()
		return
	}
	lease := c.lease
	go func() {
		err := c.io.State.Renew(ctx, lease)
		c.self.Tell(renewed{lease, sent, err})
		if err == nil {
			at := time.Now()
			rev, err := c.io.State.Revision(ctx)
			c.self.Tell(revisionRead{rev, at, err})
		}
	}()
}

func (c *control) leased(now time.Time, m leased) {
	c.leaseBusy = false
	if m.err != nil {
		slog.Info("no lease yet", "err", m.err)
		c.nextLease = now.Add(constants.RetryMin + rand.N(constants.RetryMin))
		return
	}
	c.heardAt = now
	c.lease, c.incarnation, c.leaseSent = m.lease, m.incarnation, m.sent
	c.nextLease = now
	slog.Info("lease obtained", "lease", m.lease)
	c.spreadAuthority(now)
}

func (c *control) renewed(now time.Time, m renewed) {
	c.leaseBusy = false
	switch {
	case m.err == nil:
		c.heardAt = now
		if m.lease == c.lease && m.sent.After(c.leaseSent) {
			c.leaseSent = m.sent
		}
		c.spreadAuthority(now)
	case errors.Is(m.err, state.ErrNoLease):
		// Others may hold this controller's terms by now. It begins anew.
		slog.Warn("lease ended", "lease", m.lease)
		c.lease, c.incarnation = 0, 0
		c.leaseSent = time.Time{}
		for part := range c.owners {
			c.stopOwner(part)
		}
		if c.leaderRef != nil {
			c.leaderRef.cancel()
			c.leaderRef = nil
		}
		c.nextLease = now
	default:
		slog.Info("renewal failed", "err", m.err)
		c.nextLease = now.Add(constants.RetryMin + rand.N(constants.RetryMin))
	}
}

func (c *control) readTypes(ctx context.Context, now time.Time) {
	if c.typesBusy || now.Before(c.typesNext) {
		return
	}
	c.typesBusy = true
	go func() {
		t, err := c.io.Cloud.Types(ctx)
		c.self.Tell(typesRead{t, err})
	}()
}

// beat hands a worker's report to the owner of its part, or points the worker
// to the controller that owns it.
func (c *control) beat(now time.Time, m beat) {
	if p, ok := c.partOf[m.report.Machine]; ok && p != m.report.Zone {
		// A machine never changes part: two owners must not command it.
		if !c.odd[m.report.Machine] {
			c.odd[m.report.Machine] = true
			slog.Warn("a machine reports from a zone that is not its own", "machine", m.report.Machine, "zone", m.report.Zone, "part", p)
		}
		refuseBeat(m)
		return
	}
	if o := c.owners[m.report.Zone]; o != nil {
		o.ref.Tell(m)
		return
	}
	if _, known := c.set.Params.Zone(m.report.Zone); known {
		c.strays[m.report.Machine] = stray{part.Stray{Machine: m.report.Machine, Session: m.report.Session, Seq: m.report.Seq}, now}
	}
	to := ""
	if holder, ok := c.member.Holder(state.KeyPart(m.report.Zone)); ok && holder != c.set.Node {
		to = holder
	} else if next := c.successor[m.report.Zone]; next != "" {
		to = next
	}
	body, err := json.Marshal(wire.Redirect{ReportTo: to})
	if err != nil {
		slog.Error("encoding an answer", "err", err)
	}
	m.req.Answer(&httpwire.Response{Status: 421, Body: body})
}

// health says whether this controller can serve users. While the state
// service is away for all, it can do as much as any other and stays healthy:
// it answers at once when to come back, and is there the moment it returns.
func (c *control) health(now time.Time, m health) {
	ok := c.synced && len(c.types) > 0
	if ok && now.Sub(c.heardAt) > constants.StateSilence+constants.WatchWait/2 {
		for _, p := range c.peersState {
			if p.stateOK && now.Sub(p.at) < constants.StateSilence {
				ok = false
			}
		}
	}
	if !ok {
		m.req.Answer(&httpwire.Response{Status: 503, Body: []byte(`{"status":"unready"}`)})
		return
	}
	m.req.Answer(&httpwire.Response{Status: 200, Body: []byte(`{"status":"ok"}`)})
}

func (c *control) stateOK(now time.Time) bool { return now.Sub(c.heardAt) < constants.StateSilence }

// push tells the other controllers this one's aggregates: the leader soon after
// a change, everybody at an interval of its own. A busy part's changes must not
// put that off: from it owners know that they are cut off, and users' counts.
func (c *control) push(ctx context.Context, now time.Time) {
	ask := c.asks(now)
	due := now.Sub(c.pushAllAt) > constants.PushEvery || len(ask) > 0 && now.Sub(c.pushAllAt) > constants.PromiseEvery
	if !due && !(c.pushNow && now.Sub(c.pushAt) >= constants.PushGap) {
		return
	}
	c.pushAt, c.pushNow = now, false
	if due {
		c.pushAllAt = now
	}
	s := peer.Status{Node: c.set.Node, StateOK: c.stateOK(now), Revision: c.revision, Ask: ask, Counts: map[string]map[string][2]int{}}
	for part, st := range c.status {
		s.Aggregates = append(s.Aggregates, st.aggregate)
		if due {
			s.Counts[part] = st.counts
		}
	}
	for name, x := range c.strays {
		if now.Sub(x.at) > time.Duration(constants.StrayPeriods*float64(c.set.Report())) {
			delete(c.strays, name)
			continue
		}
		s.Strays = append(s.Strays, x.Stray)
	}
	lead, _ := c.member.Holder(state.KeyLeader)
	if c.leaderRef != nil {
		s.Forecast = c.forecast
	}
	for name, p := range c.io.Peers {
		if c.pushing[name] || !due && name != lead && len(s.Forecast) == 0 {
			continue
		}
		c.pushing[name] = true
		go func() {
			r, err := p.Push(ctx, s)
			c.self.Tell(peerReply{name, now, len(s.Ask) > 0, r, err})
		}()
	}
}

// foretell hands owners here what the leader will assign to them.
func (c *control) foretell(f map[string]leader.Forecast) {
	for part, x := range f {
		if o := c.owners[part]; o != nil {
			o.ref.Tell(x)
		}
	}
}

// tellRelays tells the front door which controllers reach the state service, should
// this one be kept from it.
func (c *control) tellRelays(now time.Time) {
	var to []frontdoor.Relay
	for name, view := range c.peersState {
		if p := c.io.Peers[name]; p != nil && view.stateOK && now.Sub(view.at) < constants.StateSilence {
			to = append(to, p)
		}
	}
	c.door.Tell(frontdoor.Relays{To: to})
}

func (c *control) peerStatus(now time.Time, s peer.Status) {
	c.foretell(s.Forecast)
	c.peersState[s.Node] = peerView{s.StateOK, now}
	c.tellRelays(now)
	for _, a := range s.Aggregates {
		if o := c.owners[a.Part]; o != nil && a.Term > o.term {
			// This one is cut off from the state service and has been replaced:
			// its machines must not be kept from the next owner by its tending.
			slog.Info("a sibling owns the part under a later term", "part", a.Part, "term", o.term, "to", s.Node)
			c.yielded[state.KeyPart(a.Part)] = o.term
			c.successor[a.Part] = s.Node
			c.stopOwner(a.Part)
		}
		if c.leaderRef != nil {
			c.leaderRef.ref.Tell(a)
		}
	}
	// Whether every other live controller has been heard from lately: if so, a
	// machine that none of them has seen does not just miss its owner.
	all := true
	for _, p := range c.set.Peers {
		if c.member.Alive(p.Node) && now.Sub(c.peersState[p.Node].at) > constants.PushEvery*2 {
			all = false
		}
	}
	for _, o := range c.owners {
		o.ref.Tell(s.Aggregates)
		o.ref.Tell(strays{s.Strays, all})
	}
	for part, jobs := range s.Counts {
		if c.owners[part] == nil {
			c.door.Tell(frontdoor.Counts{Part: part, Jobs: jobs})
		}
	}
}
