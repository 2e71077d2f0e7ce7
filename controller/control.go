package controller

import (
	"context"
	"log/slog"
	"time"

	"ravenport/actor"
	"ravenport/apiserver"
	"ravenport/constants"
	"ravenport/member"
	"ravenport/peer"
	"ravenport/records"
	"ravenport/settings"
)

// controlActor holds the controller's lease, acquires and transfers terms, starts and
// stops the leader and the shard owners that run here, and routes heartbeats to them.
//
// All of its state belongs to its own goroutine and is changed in Receive alone. Calls
// to the outside run on goroutines of their own and send their results back as messages.
type controlActor struct {
	settings     *settings.Settings
	dependencies Dependencies
	self         *actor.Ref
	apiServer    *actor.Ref
	member       *member.Core // decides which terms to acquire; a mirror of the stored terms
	startedAt    time.Time

	// lastStoreContact is when the key-value store last answered any call.
	lastStoreContact time.Time

	feed         feedState
	lease        leaseState
	authority    authorityState
	extension    extensionState
	terms        termState
	roles        roleState
	heartbeats   heartbeatState
	push         pushState
	peers        map[string]peerView // by controller
	machineTypes machineTypeState

	cancellations recentCancellations
	drains        drainRecords
	detection     detectionState
}

// feedState mirrors the records of the key-value store as the feed has shown them. The
// leader and the owners are started from it, and keep copies of their own from then on.
type feedState struct {
	jobs              map[string]*records.Job // by id: those not over, or with open assignments
	jobVersions       map[string]uint64       // by job id
	inventory         map[string]*records.InventoryPage
	inventoryVersions map[string]uint64 // by key, as inventory
	shardByMachine    map[string]string // of each machine in the inventory
	revision          uint64
	synced            bool // the feed has read everything once
	packing           bool // every controller reads packed records, and none of an older version can return
}

// leaseState is the lease that this process holds in the key-value store, and the
// registration under it.
type leaseState struct {
	id           uint64 // 0: none
	incarnation  uint64 // of this process, chosen with the lease; 0: none
	requestedAt  time.Time
	callInFlight bool
	nextCall     time.Time
}

// authorityState is what this controller's authority is computed from, besides its
// lease: how far its view of cancellations is known to be complete.
type authorityState struct {
	period        time.Duration
	feedFreshAt   time.Time      // the feed has shown every change made before this time
	revisionReads []revisionRead // those that the feed has not reached yet
}

// extensionState is what this controller knows of lease extensions: the promise it has
// given to others, and those it has received.
type extensionState struct {
	noAcquisitionUntil time.Time
	grantedAt          map[string]time.Time // by controller: when the granted request was sent
}

// termState is what this controller is doing about terms beyond what the feed shows.
type termState struct {
	acquiring    map[string]time.Time // by key: when the acquisition was started
	relinquished map[string]uint64    // by key: the term given up here, or known from another controller to be over
	successors   map[string]string    // by shard: the owner that another controller reported
	unstableAt   map[string]time.Time // by key: when a shard here was last not rebuilt, or unreachable
}

// roleState is the leader and the shard owners that run here, and their latest figures.
type roleState struct {
	owners        map[string]*runningActor // by shard
	leader        *runningActor            // nil: the leader does not run here
	leaderSince   time.Time
	shardStatuses map[string]shardStatus
	forecasts     shardForecasts // of the leader here
}

// newControlActor returns the control actor; without a monitor failure detection is off.
func newControlActor(set *settings.Settings, dependencies Dependencies, self, apiServer, monitor *actor.Ref) *controlActor {
	control := &controlActor{
		settings:     set,
		dependencies: dependencies,
		self:         self,
		apiServer:    apiServer,
		member:       newMember(set, monitor != nil),
		startedAt:    time.Now(),
		feed: feedState{
			jobs:              map[string]*records.Job{},
			jobVersions:       map[string]uint64{},
			inventory:         map[string]*records.InventoryPage{},
			inventoryVersions: map[string]uint64{},
			shardByMachine:    map[string]string{},
		},
		extension: extensionState{grantedAt: map[string]time.Time{}},
		terms: termState{
			acquiring:    map[string]time.Time{},
			relinquished: map[string]uint64{},
			successors:   map[string]string{},
			unstableAt:   map[string]time.Time{},
		},
		roles: roleState{
			owners:        map[string]*runningActor{},
			shardStatuses: map[string]shardStatus{},
		},
		heartbeats: heartbeatState{
			misrouted:          map[string]misroutedHeartbeat{},
			zoneMismatchLogged: map[string]bool{},
		},
		push:   pushState{inFlight: map[string]bool{}},
		peers:  map[string]peerView{},
		drains: newDrainRecords(),
	}
	period, shortened := set.Authority()
	control.authority.period = period
	if shortened {
		slog.Warn("authority shortened, cancel_s leaves little time after a worker's lease", "authority", period)
	}
	if monitor != nil {
		// A worker that is not served comes back after it has waited for an answer.
		window := control.misroutedWindow() + constants.ControllerSwitchTime
		control.detection = detectionState{monitor: monitor, redirects: newRedirectTracker(window)}
	}
	return control
}

// newMember returns the membership core of this controller.
func newMember(set *settings.Settings, detection bool) *member.Core {
	var all []member.Controller
	for _, controller := range set.AllControllers() {
		all = append(all, member.Controller{Name: controller.Controller, Zone: controller.Zone})
	}
	core := member.New(set.Controller, all, set.Deployment.Zones, time.Now())
	core.SetSecondShardDelay(set.SecondShardDelay())
	if detection {
		core.EnableDetection()
	}
	return core
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
		c.handleForecasts(m)
	default:
		c.dispatchMessage(ctx, now, msg)
	}
}

// dispatchMessage offers a message to each concern until one handles it.
func (c *controlActor) dispatchMessage(ctx context.Context, now time.Time, msg any) {
	switch {
	case c.receivePeerMessage(now, msg):
	case c.receiveLeaseMessage(now, msg):
	case c.receiveTermMessage(ctx, now, msg):
	case c.receiveShardMessage(now, msg):
	case c.receiveDrainMessage(msg):
	default:
		c.receiveDetectionMessage(ctx, now, msg)
	}
}

// handleTick does what is due by time.
func (c *controlActor) handleTick(ctx context.Context, now time.Time) {
	c.keepLease(ctx, now)
	c.readMachineTypes(ctx, now)
	c.reconcileRoles(ctx, now)
	c.acquireDueTerms(ctx, now)
	c.reacquireRelinquished(ctx, now)
	c.transferCutOffLeadership(now)
	c.pushStatus(ctx, now)
	c.updateMonitor(now)
}
