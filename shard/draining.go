package shard

import (
	"maps"
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/disruption"
	"ravenport/drain"
	"ravenport/records"
	"ravenport/wire"
)

// DrainingConfig is what an owner needs to know to drain machines.
type DrainingConfig struct {
	Shards  []string // all of the deployment, in its order
	Budgets disruption.Budgets
	Policy  drain.Policy

	// SkipClaimProof and SkipStableTime let a test show what claims and the stable time
	// are for: tasks stop without a claim, or count as available as soon as they run.
	SkipClaimProof, SkipStableTime bool
}

// draining is the state of drains in the shard and of its disruption budgets.
type draining struct {
	cfg            DrainingConfig
	ledger         *disruption.Ledger
	drains         map[int]*drain.ShardDrain // those that are not over, by number
	damagedRecords map[int]bool              // numbers of drains whose record cannot be read
	waitReasons    map[int]string            // by drain: what it waits for; part of its status
	drainPace      pace                      // of advanceDrains

	migrations    map[*task]*migration
	interruptions interruptions
	// hasInheritedInterruptions: what earlier owners claimed for interruptions is among
	// them.
	hasInheritedInterruptions bool

	// For the current step:
	reservedCapacity   map[*machine]resources // for migrations
	surgeTasks         []*task                // may migrate, and find no capacity
	surgeCounts        disruption.Counts      // of those, by budget
	targetSearches     int                    // searches for a migration's target
	firstMachineOffset int                    // counts steps: each begins with another machine
}

// StartDraining has the owner drain machines and account for disruptions in its shard. jobs
// are the records of all jobs, and changes the stored drains, claims and terms.
func (c *Core) StartDraining(now time.Time, cfg DrainingConfig, jobs map[string]*records.Job, changes []records.Change) {
	c.draining = &draining{
		cfg:            cfg,
		drains:         map[int]*drain.ShardDrain{},
		damagedRecords: map[int]bool{},
		migrations:     map[*task]*migration{},
		waitReasons:    map[int]string{},
		interruptions:  newInterruptions(cfg.Policy.ReplacementTimeout),
		ledger: disruption.NewLedger(disruption.Config{
			Shard:          c.cfg.Shard,
			Shards:         cfg.Shards,
			Term:           c.term,
			Budgets:        cfg.Budgets,
			StableAfter:    cfg.Policy.StableAfter,
			SkipClaimProof: cfg.SkipClaimProof,
		}),
	}
	for _, j := range jobs {
		c.draining.ledger.ApplyJob(now, j)
	}
	for _, change := range changes {
		c.draining.applyChange(now, c.cfg.Shard, change)
	}
}

// applyChange takes in a change from the feed.
func (d *draining) applyChange(now time.Time, shard string, change records.Change) {
	switch r := change.Record.(type) {
	case *records.Job:
		d.ledger.ApplyJob(now, r)
	case *records.Term:
		d.ledger.ApplyTerm(r)
	case *records.DisruptionClaim:
		d.ledger.ApplyClaim(r, change.Version)
	case *records.Drain:
		d.applyDrain(shard, r, change.Version)
	case nil:
		deleted := records.DamagedRecord{Key: change.Key} // parses the key
		if number, ok := deleted.DrainNumber(); ok {
			delete(d.drains, number) // an old one was deleted
		}
	case *records.DamagedRecord:
		if claimingShard, ok := r.ClaimedShard(); ok {
			d.ledger.ApplyDamagedClaim(claimingShard, change.Version)
		}
		if number, ok := r.DrainNumber(); ok {
			d.damagedRecords[number] = true
			delete(d.drains, number)
		}
	}
}

// applyDrain takes in a drain's record.
func (d *draining) applyDrain(shard string, r *records.Drain, version uint64) {
	delete(d.damagedRecords, r.Number)
	s := d.drains[r.Number]
	switch {
	case r.State.IsTerminal():
		delete(d.drains, r.Number)
		delete(d.waitReasons, r.Number)
	case s != nil:
		s.ApplyRecord(r, version)
	default:
		d.drains[r.Number] = drain.NewShardDrain(d.cfg.Policy, shard, d.cfg.Shards, r, version)
	}
}

// drainNumbers lists the drains that are not over, in order.
func (d *draining) drainNumbers() []int {
	return slices.Sorted(maps.Keys(d.drains))
}

// isRunning says whether a drain runs.
func (d *draining) isRunning(number int) bool {
	s := d.drains[number]
	return s != nil && s.Record().State == records.DrainRunning
}

// hasRunningDrain says whether any drain runs.
func (d *draining) hasRunningDrain() bool {
	for number := range d.drains {
		if d.isRunning(number) {
			return true
		}
	}
	return false
}

// advanceDrains counts what is unavailable, advances all drains, and writes the shard's
// claim.
func (c *Core) advanceDrains(now time.Time) {
	d := c.draining
	if d == nil || !d.drainPace.due(now, constants.DrainInterval) {
		return
	}
	d.ledger.Observe(now, d.countUnavailable(&c.fleetView, now), c.rebuilt)
	d.surgeTasks = d.surgeTasks[:0]
	d.surgeCounts = disruption.Counts{}
	d.targetSearches = 0
	d.firstMachineOffset++
	d.finishMigrations(&c.fleetView, now)
	d.reservedCapacity = d.reservedForMigrations()
	c.uncordonMachines()
	for _, m := range c.fleet {
		m.drainNext = false
	}
	if c.rebuilt && !c.partitioned {
		for _, number := range d.drainNumbers() {
			c.advanceDrain(now, number, d.drains[number])
		}
	}
	if changes, conditions := d.ledger.PrepareWrite(now, d.hasRunningDrain()); changes != nil {
		c.commitInTerm(&c.fleetView, CommitID{kind: commitClaim}, changes, conditions...)
	}
}

// advanceDrain makes a drain's next step in this shard: it cordons machines, evicts what
// runs on them, and writes the drain's progress.
func (c *Core) advanceDrain(now time.Time, number int, s *drain.ShardDrain) {
	d := c.draining
	selected := c.selectedMachines(&s.Record().Selection)
	for _, m := range selected {
		m.drainNext = d.isRunning(number)
	}
	c.cordonMachines(now, number, s, selected)
	d.waitReasons[number] = idleReason(now, s)
	for i := range selected {
		m := selected[(i+d.firstMachineOffset)%len(selected)]
		if m.isCordonedBy(number) && !m.scalingIn {
			c.evictFromCordonedMachine(now, m, number)
		}
	}
	record, version := s.NextRecord(!d.hasMigrations(number))
	if record == nil {
		return
	}
	key := records.KeyDrain(number)
	change := wire.Change{Put: key, Value: records.Encode(record)}
	condition := wire.Condition{Key: key, Version: version}
	c.commitInTerm(&c.fleetView, CommitID{kind: commitDrain, drain: number}, []wire.Change{change}, condition)
}

// idleReason says why a drain has nothing to do in this shard at present; empty: it has
// something to do.
func idleReason(now time.Time, s *drain.ShardDrain) string {
	isOpen, opensAt := s.WindowState(now)
	switch {
	case s.Record().State != records.DrainRunning:
		return string(s.Record().State)
	case !s.MayCordon() && s.CanaryShard() != "":
		return "the first machine, in " + s.CanaryShard() + ", is not replaced yet"
	case !isOpen:
		return "the maintenance window opens at " + opensAt.UTC().Format(time.RFC3339)
	}
	return ""
}

// applyDrainResult handles the result of a transaction that wrote a drain's record.
func (d *draining) applyDrainResult(number int, revision uint64) {
	if s := d.drains[number]; s != nil {
		s.ApplyWriteResult(revision != 0)
	}
}

// bootFailed notes that a machine did not come up: while a drain runs, it may be a
// replacement.
func (d *draining) bootFailed(v *fleetView, m *machine) {
	if d == nil {
		return
	}
	for _, s := range d.drains {
		if s.MayCordon() && !drain.Matches(&s.Record().Selection, v.selectableMachine(m)) {
			s.RecordFailure(m.name + " did not come up")
		}
	}
}

// machineDrained notes that a cordoned machine has been terminated.
func (d *draining) machineDrained(m *machine) {
	if m.cordon == nil || d == nil {
		return
	}
	if s := d.drains[m.cordon.drain]; s != nil {
		s.RecordReplacement()
	}
}
