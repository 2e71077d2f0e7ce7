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

// DrainingConfig holds the settings with which an owner drains machines.
type DrainingConfig struct {
	Shards  []string // all shards of the deployment, in the deployment's order
	Budgets disruption.Budgets
	Policy  drain.Policy

	// SkipClaimCheck and SkipStableTime disable two safety rules, so that a test can show
	// that the rules are needed. With SkipClaimCheck tasks are stopped without a stored
	// claim that covers them. With SkipStableTime tasks count as available as soon as
	// they run.
	SkipClaimCheck, SkipStableTime bool
}

// draining is the state of the drains and of the disruption budgets in the shard.
type draining struct {
	cfg            DrainingConfig
	ledger         *disruption.Ledger
	drains         map[int]*drain.ShardDrain // drains that have not ended, by number
	damagedRecords map[int]bool              // numbers of drains whose record cannot be read
	waitReasons    map[int]string            // by drain number: what the drain waits for; part of its status
	drainPace      pace                      // limits how often advanceDrains runs

	migrations    map[*task]*migration
	interruptions interruptions
	// hasInheritedInterruptions says that interruptions includes the interruptions that
	// earlier owners claimed.
	hasInheritedInterruptions bool

	// State of the current step:
	reservedCapacity   map[*machine]resources // capacity that is reserved for migrations
	surgeTasks         []*task                // tasks that may migrate but for which no machine has capacity
	surgeCounts        disruption.Counts      // number of surgeTasks, by budget
	targetSearches     int                    // searches for a migration's target
	firstMachineOffset int                    // incremented in each step, so that each step begins with another machine
}

// StartDraining makes the owner drain machines and account for disruptions in its shard.
// jobs holds the records of all jobs, and changes holds the stored drains, claims and
// terms.
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
			SkipClaimCheck: cfg.SkipClaimCheck,
		}),
	}
	for _, j := range jobs {
		c.draining.ledger.ApplyJob(now, j)
	}
	for _, change := range changes {
		c.draining.applyChange(now, c.cfg.Shard, change)
	}
}

// applyChange applies a change from the feed.
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
			delete(d.drains, number) // the record of an old drain was deleted
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

// applyDrain applies a drain's record.
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

// drainNumbers lists the numbers of the drains that have not ended, in ascending order.
func (d *draining) drainNumbers() []int {
	return slices.Sorted(maps.Keys(d.drains))
}

// isRunning reports whether a drain is running.
func (d *draining) isRunning(number int) bool {
	s := d.drains[number]
	return s != nil && s.Record().State == records.DrainRunning
}

// hasRunningDrain reports whether any drain is running.
func (d *draining) hasRunningDrain() bool {
	for number := range d.drains {
		if d.isRunning(number) {
			return true
		}
	}
	return false
}

// advanceDrains counts the unavailable tasks, advances all drains, and writes the shard's
// disruption claim.
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
		m.selectedByDrain = false
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

// advanceDrain makes a drain's next step in this shard: it cordons machines, evicts their
// attempts, and writes the drain's progress.
func (c *Core) advanceDrain(now time.Time, number int, s *drain.ShardDrain) {
	d := c.draining
	selected := c.selectedMachines(&s.Record().Selection)
	for _, m := range selected {
		m.selectedByDrain = d.isRunning(number)
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

// idleReason returns why a drain has nothing to do in this shard at present, or "" if the
// drain has something to do.
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

// bootFailed records that a machine did not boot. The machine may have been a replacement for
// a drained machine, so the failure counts for each drain that may cordon machines and does
// not select this machine.
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

// machineDrained records with the drain that a cordoned machine has been terminated.
func (d *draining) machineDrained(m *machine) {
	if m.cordon == nil || d == nil {
		return
	}
	if s := d.drains[m.cordon.drain]; s != nil {
		s.RecordReplacement()
	}
}
