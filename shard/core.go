package shard

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/logkey"
	"ravenport/records"
	"ravenport/wire"
)

// Config is the configuration of a shard owner.
type Config struct {
	Shard               string
	HeartbeatPeriod     time.Duration // time between two heartbeats of a worker
	LeaseTimeout        time.Duration // time after the last possible reply at which a worker's lease has expired for certain
	LeaseExtension      time.Duration // how long an owner answers heartbeats after the end of its authority
	SpotIdleTimeout     time.Duration // time after which an idle spot machine is terminated
	OnDemandIdleTimeout time.Duration // the same for an on-demand machine
	UseSpot             bool
	CloseBeforeScaleIn  bool               // a machine's termination is written to the inventory before the machine is terminated
	CloudListLag        time.Duration      // how old the cloud's list of machines may be
	CloudCallInterval   time.Duration      // minimum time between two cloud calls of one kind, for calls that may be delayed
	SizeLimits          records.SizeLimits // the key-value store's limits on a record
	MaxDirectCommands   int                // limit on direct commands in flight
	GangStartTimeout    time.Duration      // how long the tasks of a gang wait for each other to start
	GangPeerTimeout     time.Duration      // time within which tasks of a gang detect that one has ended, and within which all must receive a stop
	MaxTxnOps           int                // the key-value store's limit on the number of changes in a transaction
	MaxWritesPerSecond  float64            // the key-value store's limit on the writes of all controllers together
	JobOrder            leader.JobOrder
	RoundBudget         time.Duration // time limit of a placement round; 0: constants.RoundBudget
}

// Core is the owner of one shard in one term. Core is composed of state types, each of which
// holds the data that its comment names. A method of a state type changes only that state and
// its arguments; methods of Core combine several states. Core is not safe for concurrent use.
type Core struct {
	lastStepAt time.Time
	fleetScans pace // limits how often every machine of the fleet is checked

	fleetView
	outbox
	placement
	closeQueue
	inventoryPages
	scaleOutState
	gangReserves
	consolidation
	aggregates
	draining *draining // nil: drains and disruption budgets are off
}

// fleetView is the state on which decisions are based: the owner's term, the known state of
// machines and jobs, and the liveness of machines. Methods of other states receive it to
// read.
type fleetView struct {
	ownership
	knownState
	liveness
}

// Snapshot is the state from which a new owner starts: its term, and the stored records at
// the revision at which the feed showed that the term was acquired.
type Snapshot struct {
	Term              uint64
	TermVersion       uint64 // version of the shard's record
	MachineTypes      []wire.MachineType
	Jobs              map[string]*records.Job // by id
	JobVersions       map[string]uint64
	Inventory         map[string]*records.InventoryPage // by key of the page's record
	InventoryVersions map[string]uint64
}

// New returns the owner of a shard in a term that was acquired just before the call.
func New(cfg Config, now time.Time, snapshot Snapshot) *Core {
	c := &Core{
		fleetView: fleetView{
			ownership: ownership{
				cfg:         cfg,
				term:        snapshot.Term,
				termVersion: snapshot.TermVersion,
				acquiredAt:  now,
				counters:    newTermCounters(snapshot.Term),
			},
			knownState: newKnownState(),
			liveness:   newLiveness(cfg, now),
		},
		placement:      newPlacement(cfg.RoundBudget),
		closeQueue:     closeQueue{closeCandidates: map[string]*job{}},
		inventoryPages: newInventoryPages(cfg.SizeLimits),
		scaleOutState:  scaleOutState{pendingScaleOuts: map[string]*pendingScaleOut{}, refusedUntil: map[machineKind]time.Time{}},
		gangReserves:   gangReserves{gangShapes: map[string]gangShape{}},
		aggregates:     aggregates{otherShards: map[string]otherShard{}, aggregateChanged: true},
	}
	c.SetTypes(snapshot.MachineTypes)
	c.loadInventory(now, snapshot.Inventory, snapshot.InventoryVersions)
	for id, record := range snapshot.Jobs {
		c.applyJob(now, id, record, snapshot.JobVersions[id], true)
	}
	c.finishRebuild(now)
	return c
}

// loadInventory adds the machines of the stored inventory, which the new term inherits.
func (c *Core) loadInventory(now time.Time, inventory map[string]*records.InventoryPage, versions map[string]uint64) {
	// A page that was split off a larger page has a higher number. A machine that is on both
	// pages stays on the new page, which is applied first.
	keys := slices.Collect(maps.Keys(inventory))
	slices.SortFunc(keys, func(a, b string) int { return inventory[b].Number - inventory[a].Number })
	for _, key := range keys {
		c.applyPage(now, inventory[key], versions[key])
	}
	for _, m := range c.machines {
		// Earlier owners had lost their authority when this term was acquired. A lease that
		// is counted from now therefore bounds every attempt that they started and every
		// command of theirs that is still in flight.
		m.inherited = m.durableAddr != ""
		m.leaseExpiresAt = c.leaseExpiry(now, m)
	}
}

// SetRoundClock sets the clock that measures the duration of a placement round. Measured by
// the system clock, rounds on a busy computer differ from run to run.
func (p *placement) SetRoundClock(clock func() time.Time) { p.roundClock = clock }

// Apply applies a change from the feed.
func (c *Core) Apply(now time.Time, ch records.Change) {
	if c.draining != nil {
		c.draining.applyChange(now, c.cfg.Shard, ch)
	}
	switch r := ch.Record.(type) {
	case *records.Job:
		c.applyJob(now, r.ID, r, ch.Version, false)
	case *records.InventoryPage:
		if r.Shard == c.cfg.Shard {
			c.applyPage(now, r, ch.Version)
		}
	}
}

// Step does the periodic work that is due and returns the actions decided since the last
// call.
func (c *Core) Step(now time.Time) []Action {
	if !c.lastStepAt.IsZero() && now.Sub(c.lastStepAt) > constants.ProcessPauseThreshold {
		slog.Warn("process was paused", logkey.Shard, c.cfg.Shard, "for_ms", now.Sub(c.lastStepAt).Milliseconds())
		c.resetLiveness(now)
	}
	c.lastStepAt = now
	scanFleet := c.fleetScans.due(now, constants.FleetScanInterval)
	if scanFleet {
		c.expireLeases(now)
		c.reserveMachinesForGangs(now)
	}
	if c.mayAct(now) {
		c.writeInventory(now)
		if c.needsPlacement || now.Sub(c.lastPlacement) > constants.PlacementInterval {
			c.runPlacementRound(now)
		}
		if c.resumeRank == nil && c.scaleOutPace.due(now, constants.ScaleOutInterval) {
			c.planScaleOut(now)
		}
		if scanFleet {
			c.closeFinishedOnCrowdedMachines()
			c.releaseReservations(&c.fleetView, now)
			c.evictFromReclaimedMachines(&c.fleetView, now)
			c.consolidate(now)
		}
		c.advanceDrains(now)
		if c.scaleInScans.due(now, constants.ScaleInScanInterval) {
			c.scaleIn(now)
		}
		c.closeAssignments(now)
		c.sendDirectCommands(&c.fleetView, now, scanFleet)
	}
	actions := c.actions
	c.actions = nil
	return actions
}
