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
	HeartbeatPeriod     time.Duration // of the workers
	LeaseTimeout        time.Duration // so long after the last reply that could count, a worker's lease has surely expired
	LeaseExtension      time.Duration // how long an owner answers heartbeats after the end of its authority
	SpotIdleTimeout     time.Duration // after which an idle spot machine is terminated
	OnDemandIdleTimeout time.Duration // the same for an on-demand machine
	UseSpot             bool
	CloseBeforeScaleIn  bool               // a machine is durably closed before it is terminated
	CloudListLag        time.Duration      // how old the cloud's list of machines may be
	CloudCallInterval   time.Duration      // between calls of one kind to the cloud that can wait for each other
	SizeLimits          records.SizeLimits // the key-value store's limits on a record
	MaxDirectCommands   int                // direct commands in flight
	GangStartTimeout    time.Duration      // how long a gang's tasks wait for each other
	GangPeerTimeout     time.Duration      // within which a gang's tasks notice that one has ended, and all must be told to stop
	MaxTxnOps           int                // the key-value store's limit on the changes of a transaction
	MaxWritesPerSecond  float64            // the key-value store's limit on writes, of all controllers
	JobOrder            leader.JobOrder
	RoundBudget         time.Duration // of a placement round; 0: constants.RoundBudget
}

// Core is the owner of one shard in one term. It is composed of states, each of which owns
// what its type says. A method of a state changes only that state and what it is handed;
// Core's methods bring several states together. Core is not safe for concurrent use.
type Core struct {
	lastStepAt time.Time
	fleetScans pace // checks of every machine of the fleet

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

// fleetView is what decisions are based on: the owner's term, the known state of machines
// and jobs, and the liveness of machines. Other states are handed it to read.
type fleetView struct {
	ownership
	knownState
	liveness
}

// Snapshot is what a new owner starts from: its term, and what is stored at the revision at
// which the feed showed that the term was acquired.
type Snapshot struct {
	Term              uint64
	TermVersion       uint64 // version of the shard's record
	MachineTypes      []wire.MachineType
	Jobs              map[string]*records.Job // by id
	JobVersions       map[string]uint64
	Inventory         map[string]*records.InventoryPage // by key of the page's record
	InventoryVersions map[string]uint64
}

// New makes the owner of a shard in a term that it has just acquired.
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
		scaleOutState:  scaleOutState{pendingScaleOuts: map[string]*pendingScaleOut{}, refusedUntil: map[bool]time.Time{}},
		gangReserves:   gangReserves{gangShapes: map[string]gangShape{}},
		aggregates:     aggregates{otherShards: map[string]otherShard{}, aggregateChanged: true},
	}
	c.SetTypes(snapshot.MachineTypes)
	c.loadInventory(now, snapshot.Inventory, snapshot.InventoryVersions)
	for id, rec := range snapshot.Jobs {
		c.applyJob(now, id, rec, snapshot.JobVersions[id], true)
	}
	c.finishRebuild(now)
	return c
}

// loadInventory adds the machines of the stored inventory, which the term inherits.
func (c *Core) loadInventory(now time.Time, inventory map[string]*records.InventoryPage, versions map[string]uint64) {
	// Pages split off a large one have higher numbers: a machine found on both
	// stays on its new page.
	keys := slices.Collect(maps.Keys(inventory))
	slices.SortFunc(keys, func(a, b string) int { return inventory[b].Number - inventory[a].Number })
	for _, key := range keys {
		c.applyPage(now, inventory[key], versions[key])
	}
	for _, m := range c.machines {
		// Whatever earlier owners started, or sent and is still in flight, is
		// bounded by the lease counted from here: they had lost their authority
		// when this term was acquired.
		m.inherited = m.durableAddr != ""
		m.leaseExpiresAt = c.leaseExpiry(now, m)
	}
}

// SetRoundClock sets the clock by which a placement round's time is taken: by the machine's
// own clock, rounds on a busy machine differ from run to run.
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

// Step does what is due and returns the actions decided since the last call.
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
