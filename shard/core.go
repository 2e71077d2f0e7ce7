package shard

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/records"
	"ravenport/wire"
)

// Config is what the owner needs to know of the deployment.
type Config struct {
	Shard               string
	HeartbeatPeriod     time.Duration // workers' report period
	LeaseExpiry         time.Duration // after the last answer that could count, a worker's lease has surely ended
	LeaseExtension      time.Duration // how long an owner answers reports after the end of its authority
	SpotIdleTimeout     time.Duration
	OnDemandIdleTimeout time.Duration
	UseSpot             bool
	CloseBeforeScaleIn  bool // a machine is durably closed before it is returned
	CloudListLag        time.Duration
	CloudCallInterval   time.Duration      // between calls of one kind to the cloud that can wait for each other
	SizeLimits          records.SizeLimits // the state service's limits on a record
	MaxDirectCommands   int                // direct commands that may be under way at once
	GangStartTimeout    time.Duration      // how long a gang's tasks wait for each other
	GangPeerTimeout     time.Duration      // within which they notice that one is gone, or must all be told to stop
	MaxTxnOps           int                // and on the changes of a transaction
	MaxWritesPerSecond  float64            // and on changes a second, of all controllers
	JobOrder            leader.JobOrder
	RoundBudget         time.Duration // of a round of placing; 0: the usual one
}

// Core is one shard's owner in one term: what holds for the whole term, and the states
// that a step asks in turn. A method of a state's own type changes nothing but that state;
// Core's methods bring several together.
type Core struct {
	lastStepAt time.Time // when the last step was made
	fleetScans pace      // looks at the whole fleet

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

// fleetView is what places are looked for with: whose shard it is, what is known of its
// machines and tasks, and which machines are heard.
type fleetView struct {
	ownership
	knownState
	liveness
}

// New makes the core at the moment when the feed showed the claim: jobs and
// inventory are as of that revision.
func New(cfg Config, term, termVersion uint64, now time.Time, types []wire.MachineType,

	jobs map[string]*records.Job, versions map[string]uint64, inventory map[string]*records.InventoryPage, inventoryVersions map[string]uint64) *Core {
	c := &Core{
		fleetView: fleetView{
			ownership:  ownership{cfg: cfg, term: term, counters: newTermCounters(term), termVersion: termVersion, acquiredAt: now},
			knownState: newKnownState(),
			liveness:   liveness{heartbeatPeriod: cfg.HeartbeatPeriod, leaseDuration: cfg.LeaseExpiry, startedAt: now, terminated: map[string]time.Time{}},
		},
		placement: newPlacement(cfg.RoundBudget), closeQueue: closeQueue{closeCandidates: map[string]*job{}}, inventoryPages: newInventoryPages(cfg.SizeLimits),
		scaleOutState: scaleOutState{pendingScaleOuts: map[string]*pendingScaleOut{}, refusedUntil: map[bool]time.Time{}},
		gangReserves:  gangReserves{gangShapes: map[string]gangShape{}}, aggregates: aggregates{otherShards: map[string]otherShard{}, aggregateChanged: true},
	}
	c.SetTypes(types)
	// Pages split off a large one have higher numbers: a machine found on both
	// stays on its new page.
	keys := slices.Collect(maps.Keys(inventory))
	slices.SortFunc(keys, func(a, b string) int { return inventory[b].Number - inventory[a].Number })
	for _, key := range keys {
		c.applyPage(now, inventory[key], inventoryVersions[key])
	}
	for _, m := range c.machines {
		// Whatever earlier owners started, or sent and is still on its way, is
		// bounded by the lease counted from here: they had lost their authority
		// when the claim succeeded.
		m.inherited = m.durableAddr != ""
		m.leaseExpiresAt = c.leaseExpiry(now, m)
	}
	for id, rec := range jobs {
		c.applyJob(now, id, rec, versions[id], true)
	}
	c.finishRebuild(now)
	return c
}

// SetRoundClock has a round's time taken by another clock than the machine's, which
// a busy machine would make run differently every time.
func (p *placement) SetRoundClock(clock func() time.Time) { p.roundClock = clock }

// Apply takes in a change from the feed.
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

// Step does what is due and returns the actions gathered since the last call.
func (c *Core) Step(now time.Time) []Action {
	if !c.lastStepAt.IsZero() && now.Sub(c.lastStepAt) > constants.ProcessPauseThreshold {
		slog.Warn("stood still", "shard", c.cfg.Shard, "for_ms", now.Sub(c.lastStepAt).Milliseconds())
		c.resetLiveness(now)
	}
	c.lastStepAt = now
	slow := c.fleetScans.due(now, constants.FleetScanInterval)
	if slow {
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
		if slow {
			c.releaseReservations(&c.fleetView, now)
			c.evictFromNoticedMachines(&c.fleetView, now)
			c.consolidate(now)
		}
		c.advanceDrains(now)
		if c.scaleInScans.due(now, constants.ScaleInScanInterval) {
			c.scaleIn(now)
		}
		c.closeAssignments(now)
		c.sendDirectCommands(&c.fleetView, now, slow)
	}
	out := c.actions
	c.actions = nil
	return out
}
