package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/disruption"
	"ravenport/logkey"
	"ravenport/wire"
)

// migration is a service's task that a drain has stopped and that is not available again on
// another machine yet.
type migration struct {
	drain     int      // number of the drain
	target    *machine // machine that had capacity for the task when the task was stopped
	demand    resources
	startedAt time.Time
}

// migrateService stops a service's task if another machine has capacity for the task and the
// task's budgets allow the stop. The error says why the task is not stopped.
func (c *Core) migrateService(now time.Time, number int, t *task) error {
	d := c.draining
	spec := &t.job.record.Spec
	budgets := d.budgetsOf(t.job)
	isAvailable := d.isAvailable(&c.fleetView, now, t)
	if !isAvailable && d.mayBecomeAvailable(now, t.attempt) {
		return &notAvailableError{spec.ID}
	}
	if refusal := d.ledger.Check(now, budgets); refusal != nil && isAvailable {
		return refusal
	}
	d.targetSearches++
	if d.targetSearches > constants.MaxMigrationSearches {
		return errSearchesUsedUp
	}
	target := c.migrationTarget(&c.fleetView, now, spec, d.reservedCapacity)
	if target == nil {
		d.requestSurge(now, t, budgets)
		return &noCapacityError{spec.ID}
	}
	if isAvailable { // the ledger already counts a task that is unavailable
		if refusal := d.ledger.RequestStop(now, budgets); refusal != nil {
			return refusal
		}
	}
	slog.Info("migrating task", logkey.TaskID, t.attempt.key.task, "from", t.attempt.machine.name, "target", target.name, "drain", number)
	c.evict(t.attempt)
	d.migrations[t] = &migration{drain: number, target: target, demand: taskResources(spec), startedAt: now}
	d.reservedCapacity[target] = d.reservedCapacity[target].plus(taskResources(spec))
	return nil
}

// mayBecomeAvailable reports whether an attempt that is not available may still become
// available, and must therefore not be stopped. Stopping the attempt would not raise the
// owner's count of unavailable tasks, but would extend the task's downtime. After a failover,
// the attempt may have run for a long time without the new owner's knowledge.
func (d *draining) mayBecomeAvailable(now time.Time, a *attempt) bool {
	return a.isRunning() || now.Sub(a.machine.cordon.since) < d.cfg.Policy.ReplacementTimeout
}

// reservedForMigrations returns the capacity on each machine that is reserved for tasks that
// migrate to the machine.
func (d *draining) reservedForMigrations() map[*machine]resources {
	reserved := map[*machine]resources{}
	for t, m := range d.migrations {
		if t.attempt == nil || t.attempt.stopRequested {
			reserved[m.target] = reserved[m.target].plus(m.demand)
		}
	}
	return reserved
}

// migrationTarget returns a machine with capacity for a task in addition to the reserved
// capacity, or nil if there is none. If the shard can scale out, machines that a running
// drain selects are excluded, because the task would have to migrate again.
func (c *scaleOutState) migrationTarget(v *fleetView, now time.Time, s *wire.Submission, reserved map[*machine]resources) *machine {
	canScaleOut := c.cheapestOffer(v, now, s).isAvailable()
	return v.bestFit(now, s, func(m *machine) bool {
		if canScaleOut && m.selectedByDrain {
			return false
		}
		return taskResources(s).fits(v.freeResources(m).minus(reserved[m]))
	})
}

// requestSurge records a task that may migrate but for which no machine has capacity, so that
// the shard scales out for the task. The number of such tasks is limited to the number of
// tasks that the budgets allow to migrate now, and to constants.MaxSurgeTasks.
func (d *draining) requestSurge(now time.Time, t *task, budgets []disruption.BudgetKey) {
	if len(d.surgeTasks) >= constants.MaxSurgeTasks {
		return
	}
	for _, b := range budgets {
		if d.surgeCounts[b] >= d.ledger.Headroom(now, b) {
			return
		}
	}
	for _, b := range budgets {
		d.surgeCounts[b]++
	}
	d.surgeTasks = append(d.surgeTasks, t)
}

// scaleOutForDrains adds machines for the tasks of services that may migrate and fit on no
// existing or pending machine.
func (c *Core) scaleOutForDrains(now time.Time, counts machineCounts) {
	if c.draining == nil {
		return
	}
	for _, t := range c.draining.surgeTasks {
		s := &t.job.record.Spec
		if c.takePendingCapacity(s, 1) == 1 {
			continue
		}
		if offer := c.cheapestOffer(&c.fleetView, now, s); offer.isAvailable() {
			c.planMachine(offer, taskResources(s), counts)
		}
	}
}

// allowsConsolidation requests from the ledger that a service's task may be stopped for
// consolidation, and reports whether the ledger allows it. It returns true if draining is
// off.
func (d *draining) allowsConsolidation(now time.Time, t *task) bool {
	return d == nil || d.ledger.RequestStop(now, d.budgetsOf(t.job)) == nil
}

// finishMigrations removes the migrations of tasks that are available again, of tasks that
// did not become available within the replacement timeout, and of tasks that the shard no
// longer has.
func (d *draining) finishMigrations(v *fleetView, now time.Time) {
	for t, m := range d.migrations {
		j := t.job
		switch {
		case v.jobs[j.record.ID] != j || j.tasks[t.index] != t || j.record.End != "":
			delete(d.migrations, t) // the job has ended, or the task is assigned to another shard
		case d.isAvailable(v, now, t):
			delete(d.migrations, t)
		case now.Sub(m.startedAt) > d.cfg.Policy.ReplacementTimeout:
			delete(d.migrations, t)
			d.recordFailure(m.drain, "a task of "+j.record.ID+" was not up in time")
		}
	}
}

// migrationFailed records that the task of a migration ended with an error before the task
// was available.
func (d *draining) migrationFailed(t *task, machine string) {
	if d == nil {
		return
	}
	if m := d.migrations[t]; m != nil {
		d.recordFailure(m.drain, "a task of "+t.job.record.ID+" failed on "+machine)
	}
}

// recordFailure records a failed replacement for a drain, unless the drain has ended.
func (d *draining) recordFailure(number int, reason string) {
	if s := d.drains[number]; s != nil {
		s.RecordFailure(reason)
	}
}

// hasMigrations reports whether any task that a drain has stopped is not available again yet.
func (d *draining) hasMigrations(number int) bool {
	for _, m := range d.migrations {
		if m.drain == number {
			return true
		}
	}
	return false
}
