// Package controller puts a controller together: its actors, their inputs and
// outputs, and the servers that users, workers and peers call.
package controller

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"ravenport/actor"
	"ravenport/apiserver"
	"ravenport/constants"
	"ravenport/drain"
	"ravenport/httpwire"
	"ravenport/leader"
	"ravenport/member"
	"ravenport/peer"
	"ravenport/records"
	"ravenport/settings"
	"ravenport/shard"
	"ravenport/wire"
)

// Messages to the control actor.
type (
	tick         time.Time
	workerReport struct {
		req    request
		report *wire.Heartbeat
	}
	health      struct{ req request }
	statusAsked struct{ req request }
	peerStatus  peer.Status
	peerAsk     struct { // a status that asks for a lease extension
		status peer.Status
		answer chan<- peer.StatusReply // has room for the answer
	}
	peerReply struct {
		node  string
		sent  time.Time
		asked bool
		reply peer.StatusReply
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
		claim member.TermAcquisition
		err   error
	}
	typesRead struct {
		types []wire.MachineType
		err   error
	}
	shardStatus struct { // from a shard's actor
		shard     string
		aggregate leader.Aggregate
		counts    records.CountsByJob
		summary   shard.Summary
		drains    drain.ShardView
	}
	termUsedUp struct{ shard string }                 // the owner needs a new term
	halted     struct{ claim member.TermAcquisition } // the actor stopped: the claim may go
	cutOff     struct {                               // a shard's machines fell silent together
		shard            string
		misroutedReports bool // and report to other controllers
	}
)

// request is one HTTP request's way back.
type request interface {
	Respond(*httpwire.Response)
}

// control keeps the lease, makes claims, starts and stops the leader and the
// owners, and routes reports.
type control struct {
	set    *settings.Settings
	io     Dependencies
	self   *actor.Ref
	api    *actor.Ref
	member *member.Core

	jobs       map[string]*records.Job // not over, or with open assignments
	versions   map[string]uint64
	inventory  map[string]*records.Page // by key
	inventoryV map[string]uint64
	shardOf    map[string]string // by machine on the inventory
	odd        map[string]bool   // machines whose impossible reports were logged
	revision   uint64
	synced     bool
	heardAt    time.Time // last answer of the state service

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
	successor   map[string]string // by shard: who a sibling says owns it, beyond what the feed shows
	types       []wire.MachineType
	typesNext   time.Time // when they are read next
	typesBusy   bool

	cancels       cancellations
	started       time.Time
	noClaimsUntil time.Time            // until then nothing is claimed
	grants        map[string]time.Time // by controller: when what it promised was asked for

	owners           map[string]*child
	leaderRef        *child
	ledSince         time.Time
	status           map[string]shardStatus
	unsettled        map[string]time.Time // by key: when a shard here last was not rebuilt, or out of reach
	forecast         forecast             // of the leader here
	pushAt           time.Time            // when anybody was last told
	pushAllAt        time.Time            // and when everybody was
	pushNow          bool
	pushing          map[string]bool
	peersState       map[string]peerView
	misroutedReports map[string]misroutedReport
	detect           detection
	drains           drainRecords
}

// misroutedReport is a report that was made here though another controller owns its
// machine.
type misroutedReport struct {
	shard.MisroutedHeartbeat
	at time.Time
}

func newControl(set *settings.Settings, out Dependencies, self, api, monitor *actor.Ref) *control {
	c := &control{
		set: set, io: out, self: self, api: api, started: time.Now(), grants: map[string]time.Time{},
		jobs: map[string]*records.Job{}, versions: map[string]uint64{}, inventory: map[string]*records.Page{}, inventoryV: map[string]uint64{}, shardOf: map[string]string{}, odd: map[string]bool{},
		claiming: map[string]time.Time{}, yielded: map[string]uint64{}, successor: map[string]string{}, unsettled: map[string]time.Time{}, owners: map[string]*child{},
		status: map[string]shardStatus{}, pushing: map[string]bool{}, peersState: map[string]peerView{}, misroutedReports: map[string]misroutedReport{}, drains: newDrainRecords(),
	}
	var short bool
	if c.authority, short = set.Authority(); short {
		slog.Warn("cancel_s leaves little room: authority shortened", "authority", c.authority)
	}
	var all []member.Controller
	for _, n := range set.AllControllers() {
		all = append(all, member.Controller{Name: n.Controller, Zone: n.Zone})
	}
	c.member = member.New(set.Controller, all, set.Deployment.Zones, time.Now())
	c.member.SetSecondShardDelay(set.SecondShardDelay())
	if monitor != nil {
		c.member.EnableDetection()
		// A worker that is not served comes back after it has waited for an answer.
		window := time.Duration(constants.MisroutedPeriods*float64(set.HeartbeatPeriod())) + constants.NextController
		c.detect = detection{monitor: monitor, returning: newReturningWorkers(window)}
	}
	return c
}

// Receive implements actor.Handler.
func (c *control) Receive(ctx context.Context, msg any) {
	now := time.Now()
	switch m := msg.(type) {
	case records.Update:
		c.update(ctx, now, m)
	case workerReport:
		c.workerReport(now, m)
	case health:
		c.health(now, m)
	case statusAsked:
		c.tellStatus(now, m.req)
	case tick:
		c.tick(ctx, now)
	case apiserver.JobCancelled:
		c.cancelled(peer.Cancellation{Job: m.JobID, Revision: m.Revision})
	case typesRead:
		c.typesRead(now, m)
	case forecast:
		c.forecast = m
		c.pushNow = c.pushNow || m != nil
		c.forwardForecast(m)
	default:
		if !c.receiveOfPeers(now, msg) && !c.receiveOfLease(ctx, now, msg) && !c.receiveOfShard(ctx, now, msg) && !c.receiveOfDrains(msg) {
			c.receiveOfDetection(ctx, now, msg)
		}
	}
}

// receiveOfPeers takes in what comes of other controllers, and says whether a message
// is of that kind.
func (c *control) receiveOfPeers(now time.Time, msg any) bool {
	switch m := msg.(type) {
	case peerStatus:
		c.peerStatus(now, peer.Status(m))
	case peerAsk:
		c.peerStatus(now, m.status)
		m.answer <- c.grantExtension(now, m.status)
	case peerReply:
		c.pushing[m.node] = false
		c.granted(now, m)
		if m.err == nil {
			// It was heard; what it can reach it tells in its own status.
			view := c.peersState[m.node]
			view.at = now
			c.peersState[m.node] = view
		}
	default:
		return false
	}
	return true
}

// receiveOfLease takes in what comes of calls for the lease, its freshness and claims,
// and says whether a message is of that kind.
func (c *control) receiveOfLease(ctx context.Context, now time.Time, msg any) bool {
	switch m := msg.(type) {
	case leased:
		c.leased(now, m)
	case renewed:
		c.renewed(now, m)
	case revisionRead:
		if m.err == nil {
			c.heardAt = now
			c.reads = append(c.reads, m)
			c.advanceFreshness(now)
		}
	case claimed:
		c.claimed(now, m)
	case halted:
		delete(c.claiming, m.claim.Key)
		c.send(ctx, now, m.claim)
	default:
		return false
	}
	return true
}

// receiveOfShard takes in what the owners here tell, and says whether a message is of
// that kind.
func (c *control) receiveOfShard(ctx context.Context, now time.Time, msg any) bool {
	switch m := msg.(type) {
	case shardStatus:
		c.shardStatus(now, m)
	case termUsedUp:
		c.renewTerm(now, m.shard)
	case cutOff:
		if o := c.owners[m.shard]; o != nil && (m.misroutedReports || c.peersAway(now)) {
			c.handOn(ctx, now, records.KeyShard(m.shard))
		}
	default:
		return false
	}
	return true
}

// typesRead takes in the machine types, or tries again soon.
func (c *control) typesRead(now time.Time, m typesRead) {
	c.typesBusy = false
	if m.err != nil {
		slog.Info("machine types not read", "err", m.err)
		c.typesNext = now.Add(constants.RetryBackoffMax / 2)
		return
	}
	c.typesNext = now.Add(constants.MachineTypesInterval)
	c.types = m.types
	c.api.Tell(apiserver.MachineTypes(m.types))
	for _, o := range c.owners {
		o.ref.Tell(m)
	}
}

// shardStatus passes an owner's figures on to whoever needs them.
func (c *control) shardStatus(now time.Time, m shardStatus) {
	c.pushNow = true
	if m.counts != nil {
		if m.summary.Unreachable || !m.summary.Rebuilt {
			c.unsettled[records.KeyShard(m.shard)] = now
		}
		c.api.Tell(apiserver.ShardCounts{Shard: m.shard, ByJob: m.counts})
	} else {
		m.counts, m.summary, m.drains = c.status[m.shard].counts, c.status[m.shard].summary, c.status[m.shard].drains
	}
	c.drains.views[m.shard] = m.drains
	c.status[m.shard] = m
	if c.leaderRef != nil {
		c.leaderRef.ref.Tell(m.aggregate)
	}
	for _, o := range c.owners {
		o.ref.Tell([]leader.Aggregate{m.aggregate})
	}
}

func (c *control) update(ctx context.Context, now time.Time, up records.Update) {
	for _, ch := range up.Changes {
		c.member.Apply(now, ch)
		c.drains.apply(ch)
		switch r := ch.Record.(type) {
		case *records.Job:
			if r.End == wire.JobCancelled {
				c.cancels.note(r.ID, ch.Version)
			}
			if r.End != "" && r.AllAssignmentsClosed() {
				delete(c.jobs, r.ID)
				delete(c.versions, r.ID)
			} else {
				c.jobs[r.ID], c.versions[r.ID] = r, ch.Version
			}
		case *records.Revocation:
			c.noteRevocation(now, r)
		case *records.Page:
			if old := c.inventory[ch.Key]; old != nil {
				for _, m := range old.Machines() {
					delete(c.shardOf, m.Name)
				}
			}
			for _, m := range r.Machines() {
				c.shardOf[m.Name] = r.Shard
			}
			c.inventory[ch.Key], c.inventoryV[ch.Key] = r, ch.Version
		case nil:
			delete(c.inventory, ch.Key)
			delete(c.inventoryV, ch.Key)
		}
	}
	if !c.packs && c.member.AllReadPacked() {
		c.packs = true
		slog.Info("every controller has this version")
		c.api.Tell(apiserver.PackingEnabled{})
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
	c.api.Tell(up)
	for _, o := range c.owners {
		o.ref.Tell(up)
	}
	if c.leaderRef != nil {
		c.leaderRef.ref.Tell(up)
	}
	c.roles(ctx, now)
	c.advanceFreshness(now)
}

func (c *control) tick(ctx context.Context, now time.Time) {
	c.keepLease(ctx, now)
	c.readTypes(ctx, now)
	c.roles(ctx, now)
	for _, cl := range c.member.DueAcquisitions(now, c.incarnation, c.settled(now) && !c.claimsHeld(now)) {
		if c.claimBusy(now, cl.Key) {
			continue
		}
		if cl.NewHolder != c.set.Controller {
			if now.Sub(c.unsettled[cl.Key]) < constants.FailbackSettleTime {
				continue // a second rebuild right after the first leaves more waiting for longer
			}
			slog.Info("handing on", "key", cl.Key, "to", cl.NewHolder)
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
			c.send(ctx, now, c.member.AcquisitionFor(key, c.set.Controller))
		}
	}
	if c.leaderRef != nil && c.toldByNobody(now) && now.Sub(c.ledSince) > 2*constants.PeerSilenceTimeout {
		c.handOn(ctx, now, records.KeyLeader)
	}
	c.push(ctx, now)
	c.tellMonitor(now)
}

func (c *control) readTypes(ctx context.Context, now time.Time) {
	if c.typesBusy || now.Before(c.typesNext) {
		return
	}
	c.typesBusy = true
	go func() {
		t, err := c.io.Cloud.MachineTypes(ctx)
		c.self.Tell(typesRead{t, err})
	}()
}

// workerReport hands a worker's report to the owner of its shard, or points the worker
// to the controller that owns it.
func (c *control) workerReport(now time.Time, m workerReport) {
	if p, ok := c.shardOf[m.report.Machine]; ok && p != m.report.Zone {
		// A machine never changes shard: two owners must not command it.
		if !c.odd[m.report.Machine] {
			c.odd[m.report.Machine] = true
			slog.Warn("a machine reports from a zone that is not its own", "machine", m.report.Machine, "zone", m.report.Zone, "shard", p)
		}
		refuseReport(m)
		return
	}
	if o := c.owners[m.report.Zone]; o != nil {
		o.ref.Tell(m)
		return
	}
	if _, known := c.set.Deployment.Zone(m.report.Zone); known {
		c.misroutedReports[m.report.Machine] = misroutedReport{shard.MisroutedHeartbeat{Machine: m.report.Machine, Epoch: m.report.Epoch, Seq: m.report.Seq}, now}
	}
	to := ""
	if holder, ok := c.member.Holder(records.KeyShard(m.report.Zone)); ok && holder != c.set.Controller {
		to = holder
	} else if next := c.successor[m.report.Zone]; next != "" {
		to = next
	}
	if to != "" && c.detect.monitor != nil {
		c.detect.returning.sent(now, m.report.Machine, m.report.Epoch, m.report.Seq, to)
	}
	body, err := json.Marshal(wire.Redirect{Controller: to})
	if err != nil {
		slog.Error("encoding an answer", "err", err)
	}
	m.req.Respond(&httpwire.Response{Status: 421, Body: body})
}

// health says whether this controller can serve users. While the state
// service is away for all, it can do as much as any other and stays healthy:
// it answers at once when to come back, and is there the moment it returns.
func (c *control) health(now time.Time, m health) {
	ok := c.synced && len(c.types) > 0 && !c.detect.resigned
	if ok && now.Sub(c.heardAt) > constants.StateSilence+constants.WatchTimeout/2 {
		for _, p := range c.peersState {
			if p.stateOK && now.Sub(p.at) < constants.StateSilence {
				ok = false
			}
		}
	}
	if !ok {
		m.req.Respond(&httpwire.Response{Status: 503, Body: []byte(`{"status":"unready"}`)})
		return
	}
	m.req.Respond(&httpwire.Response{Status: 200, Body: []byte(`{"status":"ok"}`)})
}
