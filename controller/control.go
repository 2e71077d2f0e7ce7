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
// stops the leader and the shard owners of this controller, and routes heartbeats to the
// owners.
//
// All of the actor's state belongs to its goroutine and is changed only by Receive.
// Network calls run on separate goroutines and send their results to the actor as
// messages.
type controlActor struct {
	settings     *settings.Settings
	dependencies Dependencies
	self         *actor.Ref
	apiServer    *actor.Ref
	member       *member.Core // mirrors the stored terms and decides which ones to acquire
	startedAt    time.Time

	// lastStoreContact is when the key-value store last answered a call of any kind.
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

// feedState mirrors the records of the key-value store as the watch feed has delivered
// them. The leader and the owners start from this state and maintain their own copies
// afterwards.
type feedState struct {
	jobs              map[string]*records.Job // by id: jobs that have not ended or have open assignments
	jobVersions       map[string]uint64       // by job id
	inventory         map[string]*records.InventoryPage
	inventoryVersions map[string]uint64 // by key, like inventory
	shardByMachine    map[string]string // the shard of each machine in the inventory
	revision          uint64
	synced            bool // the feed has read the whole store once
	packing           bool // every controller reads packed records, and no older version can start again
}

// leaseState is the lease that this process holds in the key-value store, and this
// controller's registration under that lease.
type leaseState struct {
	id           uint64 // 0: none
	incarnation  uint64 // of this process, chosen when the lease is requested; 0: none
	requestedAt  time.Time
	callInFlight bool
	nextCall     time.Time
}

// authorityState holds what this controller's authority is computed from, apart from the
// lease: the time up to which the controller is known to have seen every cancellation.
type authorityState struct {
	period        time.Duration
	feedFreshAt   time.Time      // the feed has delivered every change made before this time
	revisionReads []revisionRead // reads of a revision that the feed has not reached yet
}

// extensionState holds the lease extensions that this controller has granted to others
// and those that others have granted to this controller.
type extensionState struct {
	noAcquisitionUntil time.Time            // granted extensions forbid term acquisitions until then
	grantedAt          map[string]time.Time // by controller: when the granted request was sent
}

// termState holds what this controller knows and does about terms beyond the stored
// records that the feed delivers.
type termState struct {
	acquiring    map[string]time.Time // by key: when the acquisition started
	relinquished map[string]uint64    // by key: the term that was relinquished, or reported as superseded
	successors   map[string]string    // by shard: the new owner that another controller reported
	unstableAt   map[string]time.Time // by key: when a shard of this controller was last not rebuilt or was unreachable
}

// roleState holds the leader and the shard owners that run on this controller, and the
// latest status that each owner reported.
type roleState struct {
	owners        map[string]*runningActor // by shard
	leader        *runningActor            // nil: the leader does not run on this controller
	leaderSince   time.Time
	shardStatuses map[string]shardStatus
	forecasts     shardForecasts // the latest ones of the leader on this controller
}

// newControlActor returns the control actor. Failure detection is off if monitor is nil.
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
		// A worker that the owner does not answer waits for the answer before it returns
		// to this controller.
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

// dispatchMessage passes a message to each group of handlers in turn until a group handles
// the message.
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

// handleTick does the periodic work of the control actor.
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
