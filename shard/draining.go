package shard

import (
	"log/slog"
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
	// SkipClaimProof and SkipStableTime let a test see what the claims and the stable time are
	// worth: stops without a claim, and tasks that are up as soon as they run.
	SkipClaimProof, SkipStableTime bool
}

// draining is the owner's state of drains and of its shard's account of disruption.
type draining struct {
	cfg              DrainingConfig
	ledger           *disruption.Ledger
	drains           map[int]*drain.ShardDrain // those that are not over, by number
	damagedRecords   map[int]bool              // drains whose record cannot be read
	migrations       map[*task]*migration      // tasks that were stopped and are not up again
	reservedCapacity map[*machine]resources    // room for those, as this step keeps it
	surgeTasks       []*task                   // that may be moved and find no room
	surgeCounts      disruption.Counts         // how many more of those the budgets allow
	waitReasons      map[int]string            // by drain: why it waits
	drainPace        pace                      // counts and goes on with drains
	targetSearches   int                       // for machines with room, in this step
	rotation         int                       // counts steps: each begins with another machine

	interruptions             interruptions
	hasInheritedInterruptions bool // those that earlier owners claimed are among them
}

// migration is a service's task on its way to another machine.
type migration struct {
	drain     int
	target    *machine // that had room for it
	needs     resources
	startedAt time.Time
}

// cordon says that a machine takes no new task.
type cordon struct {
	drain int
	since time.Time
}

// StartDraining has the owner keep its shard's account and drain machines. jobs are
// the records of all jobs, and records the drains, claims and terms that are stored.
func (c *Core) StartDraining(now time.Time, cfg DrainingConfig, jobs map[string]*records.Job, records []records.Change) {
	c.draining = &draining{
		cfg: cfg, drains: map[int]*drain.ShardDrain{}, damagedRecords: map[int]bool{}, migrations: map[*task]*migration{}, waitReasons: map[int]string{},
		interruptions: newInterruptions(cfg.Policy.ReplacementTimeout),
		ledger:        disruption.NewLedger(disruption.Config{Shard: c.cfg.Shard, Shards: cfg.Shards, Term: c.term, Budgets: cfg.Budgets, StableAfter: cfg.Policy.StableAfter, SkipClaimProof: cfg.SkipClaimProof}),
	}
	for _, j := range jobs {
		c.draining.ledger.ApplyJob(now, j)
	}
	for _, ch := range records {
		c.draining.applyChange(now, c.cfg.Shard, ch)
	}
}

// applyChange takes in a change from the feed.
func (d *draining) applyChange(now time.Time, shard string, ch records.Change) {
	switch r := ch.Record.(type) {
	case *records.Job:
		d.ledger.ApplyJob(now, r)
	case *records.Term:
		d.ledger.ApplyTerm(r)
	case *records.DisruptionClaim:
		d.ledger.ApplyClaim(r, ch.Version)
	case *records.Drain:
		d.applyDrain(shard, r, ch.Version)
	case nil:
		if number, ok := (&records.DamagedRecord{Key: ch.Key}).DrainNumber(); ok {
			delete(d.drains, number) // an old one was cleared away
		}
	case *records.DamagedRecord:
		if claimOf, ok := r.ClaimedShard(); ok {
			d.ledger.ApplyDamagedClaim(claimOf, ch.Version)
		}
		if number, ok := r.DrainNumber(); ok {
			d.damagedRecords[number] = true
			delete(d.drains, number)
		}
	}
}

func (d *draining) applyDrain(shard string, r *records.Drain, version uint64) {
	delete(d.damagedRecords, r.Number)
	steps := d.drains[r.Number]
	switch {
	case r.State.IsTerminal():
		delete(d.drains, r.Number)
		delete(d.waitReasons, r.Number)
	case steps != nil:
		steps.ApplyRecord(r, version)
	default:
		d.drains[r.Number] = drain.NewShardDrain(d.cfg.Policy, shard, d.cfg.Shards, r, version)
	}
}

// drainNumbers lists the drains that are not over, in order.
func (d *draining) drainNumbers() []int {
	return slices.Sorted(maps.Keys(d.drains))
}

// hasRunningDrain says whether any drain runs.
func (d *draining) hasRunningDrain() bool {
	for _, s := range d.drains {
		if s.Record().State == records.DrainRunning {
			return true
		}
	}
	return false
}

// advanceDrains counts what is unavailable, goes on with all drains, and writes the shard's
// claim.
func (c *Core) advanceDrains(now time.Time) {
	d := c.draining
	if d == nil || !d.drainPace.due(now, constants.DrainInterval) {
		return
	}
	d.ledger.Observe(now, d.countUnavailable(&c.fleetView, now), c.rebuilt)
	d.surgeTasks, d.surgeCounts, d.targetSearches = d.surgeTasks[:0], disruption.Counts{}, 0
	d.rotation++
	d.settleMigrations(&c.fleetView, now)
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

// isAvailable says whether a task runs and has proved itself.
func (d *draining) isAvailable(v *fleetView, now time.Time, t *task) bool {
	a := t.attempt
	if !v.isRunningTask(now, t) {
		return false
	}
	return a.adopted || d.cfg.SkipStableTime || now.Sub(a.runningSince) >= d.cfg.Policy.StableAfter
}

// countUnavailable counts the shard's tasks of services that should be up and are not, and the
// arrays' tasks and gangs that were interrupted.
func (d *draining) countUnavailable(v *fleetView, now time.Time) disruption.Counts {
	down := d.observeInterruptions(v, now)
	for _, j := range v.jobs {
		if j.rec.End != "" || !j.rec.Spec.IsService() {
			continue
		}
		n := 0
		for _, t := range j.tasks {
			if !d.isAvailable(v, now, t) {
				n++
			}
		}
		if n > 0 {
			down.Add(d.budgetsOf(j), n)
		}
	}
	return down
}

// budgetsOf lists the budgets that a job's tasks count against.
func (d *draining) budgetsOf(j *job) []disruption.BudgetKey {
	return d.ledger.BudgetsOf(&j.rec.Spec)
}

// settleMigrations looks which moved tasks are up again, and which never came up.
func (d *draining) settleMigrations(v *fleetView, now time.Time) {
	for t, m := range d.migrations {
		steps := d.drains[m.drain]
		switch {
		case v.jobs[t.job.rec.ID] != t.job || t.job.tasks[t.index] != t || t.job.rec.End != "":
			delete(d.migrations, t) // it ended, or another shard looks after it
		case d.isAvailable(v, now, t):
			delete(d.migrations, t)
		case now.Sub(m.startedAt) > d.cfg.Policy.ReplacementTimeout:
			delete(d.migrations, t)
			if steps != nil {
				steps.RecordFailure("a task of " + t.job.rec.ID + " was not up in time")
			}
		}
	}
}

// migrationFailed notes that a moved task ended with an error before it was up.
func (d *draining) migrationFailed(t *task, machine string) {
	if d == nil {
		return
	}
	if m := d.migrations[t]; m != nil {
		if steps := d.drains[m.drain]; steps != nil {
			steps.RecordFailure("a task of " + t.job.rec.ID + " failed on " + machine)
		}
	}
}

// bootFailed notes that a machine did not come up: while a drain runs, replacements may
// be among those.
func (d *draining) bootFailed(v *fleetView, m *machine) {
	if d == nil {
		return
	}
	for _, steps := range d.drains {
		if steps.MayCordon() && !drain.Matches(&steps.Record().Selection, v.selectableMachine(m)) {
			steps.RecordFailure(m.name + " did not come up")
		}
	}
}

// uncordonMachines lets machines take tasks again whose drain does not run any more.
func (c *Core) uncordonMachines() {
	for _, m := range c.fleet {
		if m.cordon == nil {
			continue
		}
		if s := c.draining.drains[m.cordon.drain]; s == nil || s.Record().State != records.DrainRunning {
			slog.Info("cordon is lifted", "machine", m.name, "drain", m.cordon.drain)
			m.cordon = nil
			c.needsPlacement, c.aggregateChanged = true, true
		}
	}
}

// selectableMachine is a machine as a selection looks at it.
func (o *ownership) selectableMachine(m *machine) drain.Machine {
	return drain.Machine{Name: m.name, Zone: o.cfg.Shard, Type: m.typeName, Spot: m.spot}
}

// selectedMachines lists the machines that a drain takes in and that are still there.
func (v *fleetView) selectedMachines(s *records.Selection) []*machine {
	var out []*machine
	for _, m := range v.fleet {
		if !m.leavingInventory && drain.Matches(s, v.selectableMachine(m)) {
			out = append(out, m)
		}
	}
	return out
}

// advanceDrain makes a drain's next step in this shard: it cordons machines, moves
// what runs on them, and records how far the drain has come.
func (c *Core) advanceDrain(now time.Time, number int, s *drain.ShardDrain) {
	machines := c.selectedMachines(&s.Record().Selection)
	for _, m := range machines {
		m.drainNext = s.Record().State == records.DrainRunning
	}
	byName := make(map[string]*machine, len(machines))
	candidates := make([]drain.Candidate, 0, len(machines))
	for _, m := range machines {
		byName[m.name] = m
		sums := c.usageOf(m)
		candidates = append(candidates, drain.Candidate{Name: m.name, IsCordoned: m.cordon != nil || m.scalingIn, Services: sums.services, UsedCPUs: sums.used.cpus})
	}
	for _, name := range s.ChooseMachines(now, candidates, len(c.fleet)) {
		slog.Info("cordoning machine", "machine", name, "drain", number)
		byName[name].cordon = &cordon{number, now}
		c.aggregateChanged = true
	}
	c.draining.waitReasons[number] = idleReason(now, s)
	for i := range machines {
		if m := machines[(i+c.draining.rotation)%len(machines)]; m.cordon != nil && m.cordon.drain == number && !m.scalingIn {
			c.evictFromCordoned(now, m, number)
		}
	}
	if record, version := s.NextRecord(c.draining.migrationsSettled(number)); record != nil {
		key := records.KeyDrain(number)
		c.commitInTerm(&c.fleetView, CommitID{kind: commitDrain, drain: number}, []wire.Change{{Put: key, Value: records.Encode(record)}}, wire.Condition{Key: key, Version: version})
	}
}

// idleReason says why a drain has nothing to do in this shard at present; empty if it has.
func idleReason(now time.Time, s *drain.ShardDrain) string {
	switch open, next := s.WindowState(now); {
	case s.Record().State != records.DrainRunning:
		return string(s.Record().State)
	case !s.MayCordon() && s.CanaryShard() != "":
		return "the first machine, in " + s.CanaryShard() + ", is not replaced yet"
	case !open:
		return "the maintenance window opens at " + next.UTC().Format(time.RFC3339)
	}
	return ""
}

// migrationsSettled says whether no task that a drain moved is on its way.
func (d *draining) migrationsSettled(number int) bool {
	for _, m := range d.migrations {
		if m.drain == number {
			return false
		}
	}
	return true
}

// applyDrainResult handles the result of a transaction that wrote a drain's record.
func (d *draining) applyDrainResult(number int, revision uint64) {
	if s := d.drains[number]; s != nil {
		s.ApplyWriteResult(revision != 0)
	}
}

// machineDrained notes that a cordoned machine is gone for good.
func (d *draining) machineDrained(m *machine) {
	if m.cordon == nil || d == nil {
		return
	}
	if s := d.drains[m.cordon.drain]; s != nil {
		s.RecordReplacement()
	}
}
