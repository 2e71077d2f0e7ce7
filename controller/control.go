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
	controlTick     time.Time
	workerHeartbeat struct {
		req       httpRequest
		heartbeat *wire.Heartbeat
	}
	healthRequest      struct{ req httpRequest }
	statusRequest      struct{ req httpRequest }
	peerStatusReceived peer.Status
	extensionRequest   struct { // a status that asks for a lease extension
		status peer.Status
		answer chan<- peer.StatusReply // has room for the answer
	}
	peerStatusReply struct {
		controller         string
		sentAt             time.Time
		extensionRequested bool
		reply              peer.StatusReply
		err                error
	}
	leaseGranted struct { // a lease and its key were obtained
		lease, incarnation uint64
		sentAt             time.Time
		err                error
	}
	leaseRenewed struct {
		lease  uint64
		sentAt time.Time
		err    error
	}
	revisionRead struct {
		revision uint64
		sentAt   time.Time
		err      error
	}
	acquisitionDone struct {
		acquisition member.TermAcquisition
		err         error
	}
	machineTypesRead struct {
		types []wire.MachineType
		err   error
	}
	shardStatus struct { // from a shard's actor
		shard     string
		aggregate leader.Aggregate
		counts    records.CountsByJob
		summary   shard.Summary
		drains    drain.ShardStatus
	}
	newTermRequest   struct{ shard string }                       // the owner needs a new term
	actorStopped     struct{ acquisition member.TermAcquisition } // the actor stopped: the claim may go
	shardUnreachable struct {                                     // a shard's machines fell silent together
		shard               string
		heartbeatsMisrouted bool // and report to other controllers
	}
)

// httpRequest is one HTTP request's way back.
type httpRequest interface {
	Respond(*httpwire.Response)
}

// controlActor keeps the lease, makes claims, starts and stops the leader and the
// owners, and routes reports.
type controlActor struct {
	set          *settings.Settings
	dependencies Dependencies
	self         *actor.Ref
	api          *actor.Ref
	member       *member.Core

	jobs               map[string]*records.Job // not over, or with open assignments
	jobVersions        map[string]uint64
	inventory          map[string]*records.InventoryPage // by key
	inventoryVersions  map[string]uint64
	shardByMachine     map[string]string // by machine on the inventory
	zoneMismatchLogged map[string]bool   // machines whose impossible reports were logged
	revision           uint64
	synced             bool
	storeContactAt     time.Time // last answer of the state service

	packing           bool // no process of the version before can come any more
	incarnation       uint64
	leaseID           uint64
	leaseRequestedAt  time.Time
	leaseCallInFlight bool
	nextLeaseCall     time.Time
	feedFreshAt       time.Time // the feed held all changes made before
	revisionReads     []revisionRead
	authorityPeriod   time.Duration
	acquiring         map[string]time.Time
	handedOver        map[string]uint64 // term given up while handing on, or known from a sibling to be over
	successors        map[string]string // by shard: who a sibling says owns it, beyond what the feed shows
	machineTypes      []wire.MachineType
	nextTypesRead     time.Time // when they are read next
	readingTypes      bool

	cancellations      recentCancellations
	startedAt          time.Time
	noAcquisitionUntil time.Time            // until then nothing is claimed
	extensions         map[string]time.Time // by controller: when what it promised was asked for

	owners         map[string]*runningActor
	leader         *runningActor
	leaderSince    time.Time
	shardStatuses  map[string]shardStatus
	unstableAt     map[string]time.Time // by key: when a shard here last was not rebuilt, or out of reach
	forecasts      shardForecasts       // of the leader here
	lastPushAt     time.Time            // when anybody was last told
	lastFullPushAt time.Time            // and when everybody was
	pushPending    bool
	pushInFlight   map[string]bool
	peerViews      map[string]peerView
	misrouted      map[string]misroutedHeartbeat
	detection      detectionState
	drainRecords   drainRecords
}

// misroutedHeartbeat is a report that was made here though another controller owns its
// machine.
type misroutedHeartbeat struct {
	shard.MisroutedHeartbeat
	receivedAt time.Time
}

func newControlActor(set *settings.Settings, out Dependencies, self, api, monitor *actor.Ref) *controlActor {
	c := &controlActor{
		set: set, dependencies: out, self: self, api: api, startedAt: time.Now(), extensions: map[string]time.Time{},
		jobs: map[string]*records.Job{}, jobVersions: map[string]uint64{}, inventory: map[string]*records.InventoryPage{}, inventoryVersions: map[string]uint64{}, shardByMachine: map[string]string{}, zoneMismatchLogged: map[string]bool{},
		acquiring: map[string]time.Time{}, handedOver: map[string]uint64{}, successors: map[string]string{}, unstableAt: map[string]time.Time{}, owners: map[string]*runningActor{},
		shardStatuses: map[string]shardStatus{}, pushInFlight: map[string]bool{}, peerViews: map[string]peerView{}, misrouted: map[string]misroutedHeartbeat{}, drainRecords: newDrainRecords(),
	}
	var short bool
	if c.authorityPeriod, short = set.Authority(); short {
		slog.Warn("cancel_s leaves little room: authority shortened", "authority", c.authorityPeriod)
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
		window := time.Duration(constants.MisroutedPeriods*float64(set.HeartbeatPeriod())) + constants.ControllerSwitchTime
		c.detection = detectionState{monitor: monitor, redirects: newRedirectTracker(window)}
	}
	return c
}

// Receive implements actor.Handler.
func (c *controlActor) Receive(ctx context.Context, msg any) {
	now := time.Now()
	switch m := msg.(type) {
	case records.Update:
		c.applyUpdate(ctx, now, m)
	case workerHeartbeat:
		c.routeHeartbeat(now, m)
	case healthRequest:
		c.answerHealth(now, m)
	case statusRequest:
		c.answerStatus(now, m.req)
	case controlTick:
		c.handleTick(ctx, now)
	case apiserver.JobCancelled:
		c.applyCancellation(peer.Cancellation{JobID: m.JobID, Revision: m.Revision})
	case machineTypesRead:
		c.handleMachineTypes(now, m)
	case shardForecasts:
		c.forecasts = m
		c.pushPending = c.pushPending || m != nil
		c.forwardForecast(m)
	default:
		if !c.receivePeerMessage(now, msg) && !c.receiveLeaseMessage(ctx, now, msg) && !c.receiveShardMessage(ctx, now, msg) && !c.receiveDrainMessage(msg) {
			c.receiveDetectionMessage(ctx, now, msg)
		}
	}
}

// receivePeerMessage takes in what comes of other controllers, and says whether a message
// is of that kind.
func (c *controlActor) receivePeerMessage(now time.Time, msg any) bool {
	switch m := msg.(type) {
	case peerStatusReceived:
		c.applyPeerStatus(now, peer.Status(m))
	case extensionRequest:
		c.applyPeerStatus(now, m.status)
		m.answer <- c.grantExtension(now, m.status)
	case peerStatusReply:
		c.pushInFlight[m.controller] = false
		c.applyExtensionReply(now, m)
		if m.err == nil {
			// It was heard; what it can reach it tells in its own status.
			view := c.peerViews[m.controller]
			view.lastContact = now
			c.peerViews[m.controller] = view
		}
	default:
		return false
	}
	return true
}

// receiveLeaseMessage takes in what comes of calls for the lease, its freshness and claims,
// and says whether a message is of that kind.
func (c *controlActor) receiveLeaseMessage(ctx context.Context, now time.Time, msg any) bool {
	switch m := msg.(type) {
	case leaseGranted:
		c.handleLeaseGranted(now, m)
	case leaseRenewed:
		c.handleLeaseRenewed(now, m)
	case revisionRead:
		if m.err == nil {
			c.storeContactAt = now
			c.revisionReads = append(c.revisionReads, m)
			c.advanceFreshness(now)
		}
	case acquisitionDone:
		c.handleAcquisitionDone(now, m)
	case actorStopped:
		delete(c.acquiring, m.acquisition.Key)
		c.startAcquisition(ctx, now, m.acquisition)
	default:
		return false
	}
	return true
}

// receiveShardMessage takes in what the owners here tell, and says whether a message is of
// that kind.
func (c *controlActor) receiveShardMessage(ctx context.Context, now time.Time, msg any) bool {
	switch m := msg.(type) {
	case shardStatus:
		c.handleShardStatus(now, m)
	case newTermRequest:
		c.renewTerm(now, m.shard)
	case shardUnreachable:
		if o := c.owners[m.shard]; o != nil && (m.heartbeatsMisrouted || c.allPeersSilent(now)) {
			c.handOverUnusable(ctx, now, records.KeyShard(m.shard))
		}
	default:
		return false
	}
	return true
}

// handleMachineTypes takes in the machine types, or tries again soon.
func (c *controlActor) handleMachineTypes(now time.Time, m machineTypesRead) {
	c.readingTypes = false
	if m.err != nil {
		slog.Info("machine types not read", "err", m.err)
		c.nextTypesRead = now.Add(constants.RetryBackoffMax / 2)
		return
	}
	c.nextTypesRead = now.Add(constants.MachineTypesInterval)
	c.machineTypes = m.types
	c.api.Tell(apiserver.MachineTypes(m.types))
	for _, o := range c.owners {
		o.ref.Tell(m)
	}
}

// handleShardStatus passes an owner's figures on to whoever needs them.
func (c *controlActor) handleShardStatus(now time.Time, m shardStatus) {
	c.pushPending = true
	if m.counts != nil {
		if m.summary.Partitioned || !m.summary.Rebuilt {
			c.unstableAt[records.KeyShard(m.shard)] = now
		}
		c.api.Tell(apiserver.ShardCounts{Shard: m.shard, ByJob: m.counts})
	} else {
		m.counts, m.summary, m.drains = c.shardStatuses[m.shard].counts, c.shardStatuses[m.shard].summary, c.shardStatuses[m.shard].drains
	}
	c.drainRecords.views[m.shard] = m.drains
	c.shardStatuses[m.shard] = m
	if c.leader != nil {
		c.leader.ref.Tell(m.aggregate)
	}
	for _, o := range c.owners {
		o.ref.Tell([]leader.Aggregate{m.aggregate})
	}
}

func (c *controlActor) applyUpdate(ctx context.Context, now time.Time, up records.Update) {
	for _, ch := range up.Changes {
		c.member.Apply(now, ch)
		c.drainRecords.apply(ch)
		switch r := ch.Record.(type) {
		case *records.Job:
			if r.End == wire.JobCancelled {
				c.cancellations.add(r.ID, ch.Version)
			}
			if r.End != "" && r.AllAssignmentsClosed() {
				delete(c.jobs, r.ID)
				delete(c.jobVersions, r.ID)
			} else {
				c.jobs[r.ID], c.jobVersions[r.ID] = r, ch.Version
			}
		case *records.Revocation:
			c.applyRevocation(now, r)
		case *records.InventoryPage:
			if old := c.inventory[ch.Key]; old != nil {
				for _, m := range old.Machines() {
					delete(c.shardByMachine, m.Name)
				}
			}
			for _, m := range r.Machines() {
				c.shardByMachine[m.Name] = r.Shard
			}
			c.inventory[ch.Key], c.inventoryVersions[ch.Key] = r, ch.Version
		case nil:
			delete(c.inventory, ch.Key)
			delete(c.inventoryVersions, ch.Key)
		}
	}
	if !c.packing && c.member.AllReadPacked() {
		c.packing = true
		slog.Info("every controller has this version")
		c.api.Tell(apiserver.PackingEnabled{})
		for _, o := range c.owners {
			o.ref.Tell(packingEnabled{})
		}
		if c.leader != nil {
			c.leader.ref.Tell(packingEnabled{})
		}
	}
	c.revision = up.Revision
	c.storeContactAt = now
	if !c.synced {
		c.synced = true
		slog.Info("feed has read the state service", "revision", up.Revision, "jobs", len(c.jobs))
	}
	c.api.Tell(up)
	for _, o := range c.owners {
		o.ref.Tell(up)
	}
	if c.leader != nil {
		c.leader.ref.Tell(up)
	}
	c.reconcileRoles(ctx, now)
	c.advanceFreshness(now)
}

func (c *controlActor) handleTick(ctx context.Context, now time.Time) {
	c.keepLease(ctx, now)
	c.readMachineTypes(ctx, now)
	c.reconcileRoles(ctx, now)
	for _, cl := range c.member.DueAcquisitions(now, c.incarnation, c.hasAuthority(now) && !c.acquisitionsBlocked(now)) {
		if c.isAcquiring(now, cl.Key) {
			continue
		}
		if cl.NewHolder != c.set.Controller {
			if now.Sub(c.unstableAt[cl.Key]) < constants.FailbackSettleTime {
				continue // a second rebuild right after the first leaves more waiting for longer
			}
			slog.Info("handing on", "key", cl.Key, "to", cl.NewHolder)
			c.handOver(now, cl)
			continue
		}
		c.startAcquisition(ctx, now, cl)
	}
	// A hand-over that failed leaves a term without an owner: take a new one.
	for key, term := range c.handedOver {
		if c.acquisitionsBlocked(now) {
			break
		}
		t, _ := c.member.Term(key)
		if t.Number != term {
			delete(c.handedOver, key)
			continue
		}
		if !c.isAcquiring(now, key) && c.hasAuthority(now) {
			c.startAcquisition(ctx, now, c.member.AcquisitionFor(key, c.set.Controller))
		}
	}
	if c.leader != nil && c.noPeerStatus(now) && now.Sub(c.leaderSince) > 2*constants.PeerSilenceTimeout {
		c.handOverUnusable(ctx, now, records.KeyLeader)
	}
	c.pushStatus(ctx, now)
	c.updateMonitor(now)
}

func (c *controlActor) readMachineTypes(ctx context.Context, now time.Time) {
	if c.readingTypes || now.Before(c.nextTypesRead) {
		return
	}
	c.readingTypes = true
	go func() {
		t, err := c.dependencies.Cloud.MachineTypes(ctx)
		c.self.Tell(machineTypesRead{t, err})
	}()
}

// routeHeartbeat hands a worker's report to the owner of its shard, or points the worker
// to the controller that owns it.
func (c *controlActor) routeHeartbeat(now time.Time, m workerHeartbeat) {
	if p, ok := c.shardByMachine[m.heartbeat.Machine]; ok && p != m.heartbeat.Zone {
		// A machine never changes shard: two owners must not command it.
		if !c.zoneMismatchLogged[m.heartbeat.Machine] {
			c.zoneMismatchLogged[m.heartbeat.Machine] = true
			slog.Warn("a machine reports from a zone that is not its own", "machine", m.heartbeat.Machine, "zone", m.heartbeat.Zone, "shard", p)
		}
		refuseHeartbeat(m)
		return
	}
	if o := c.owners[m.heartbeat.Zone]; o != nil {
		o.ref.Tell(m)
		return
	}
	if _, known := c.set.Deployment.Zone(m.heartbeat.Zone); known {
		c.misrouted[m.heartbeat.Machine] = misroutedHeartbeat{shard.MisroutedHeartbeat{Machine: m.heartbeat.Machine, Epoch: m.heartbeat.Epoch, Seq: m.heartbeat.Seq}, now}
	}
	to := ""
	if holder, ok := c.member.Holder(records.KeyShard(m.heartbeat.Zone)); ok && holder != c.set.Controller {
		to = holder
	} else if next := c.successors[m.heartbeat.Zone]; next != "" {
		to = next
	}
	if to != "" && c.detection.monitor != nil {
		c.detection.redirects.record(now, m.heartbeat.Machine, m.heartbeat.Epoch, m.heartbeat.Seq, to)
	}
	body, err := json.Marshal(wire.Redirect{Controller: to})
	if err != nil {
		slog.Error("encoding an answer", "err", err)
	}
	m.req.Respond(&httpwire.Response{Status: 421, Body: body})
}

// answerHealth says whether this controller can serve users. While the state
// service is away for all, it can do as much as any other and stays healthy:
// it answers at once when to come back, and is there the moment it returns.
func (c *controlActor) answerHealth(now time.Time, m healthRequest) {
	ok := c.synced && len(c.machineTypes) > 0 && !c.detection.resigned
	if ok && now.Sub(c.storeContactAt) > constants.StateSilence+constants.WatchTimeout/2 {
		for _, p := range c.peerViews {
			if p.storeReachable && now.Sub(p.lastContact) < constants.StateSilence {
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
