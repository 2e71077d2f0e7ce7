package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/disruption"
	"ravenport/wire"
)

// evictFromCordoned moves what it can off a cordoned machine. Whatever keeps it from more is noted
// as what the drain waits for.
func (c *Core) evictFromCordoned(now time.Time, m *machine, number int) {
	wait := func(why string) {
		if c.draining.waitReasons[number] == "" {
			c.draining.waitReasons[number] = m.name + ": " + why
		}
	}
	if m.isUnconfirmed() || c.isUnreachable(now, m) {
		wait("the machine does not answer")
		return
	}
	for _, a := range m.attempts {
		t := c.taskOf(a)
		if !isEvictable(a, t) {
			continue
		}
		if !t.job.rec.Spec.IsService() {
			c.evictBatchTask(now, t, a, wait)
			continue
		}
		if why := c.migrateService(now, number, t); why != "" {
			wait(why)
		}
	}
}

// evictBatchTask lets a task of an array or a gang end by itself for a while, and then has it
// save or stop if its budgets allow it; a gang does so whole.
func (c *Core) evictBatchTask(now time.Time, t *task, a *attempt, wait func(string)) {
	if now.Sub(a.machine.cordon.since) < c.draining.cfg.Policy.ArrayGracePeriod {
		wait("tasks of arrays or gangs get time to end")
		return
	}
	if why := c.draining.tryInterrupt(now, t); why != "" {
		wait(why)
		return
	}
	if t.job.gang != nil {
		c.stopGangWithCheckpoint(t.job, "its machine is drained")
		return
	}
	c.evict(a)
}

// evict has an attempt stopped; its task starts again where there is room.
func (q *outbox) evict(a *attempt) {
	a.stopRequested = true
	a.machine.usageStale = true
	q.requestCommand(a.machine)
}

// migrateService stops a service's task if a machine has room for it and its budgets
// allow it, or says why not.
func (c *Core) migrateService(now time.Time, number int, t *task) string {
	d := c.draining
	s := &t.job.rec.Spec
	keys := d.budgetsOf(t.job)
	isUp := d.isAvailable(&c.fleetView, now, t)
	if !isUp && d.mayBecomeAvailable(now, t.attempt) {
		return "a task of " + s.ID + " is not up yet"
	}
	if refused := d.ledger.Check(now, keys); refused != nil && isUp {
		return refused.Error()
	}
	if d.targetSearches++; d.targetSearches > constants.MaxMigrationSearches {
		return "others are looked at first"
	}
	to := c.migrationTarget(&c.fleetView, now, s, d.reservedCapacity)
	if to == nil {
		d.requestSurge(now, t, keys)
		return "no machine has room for a task of " + s.ID
	}
	if isUp { // what is down already is counted
		if refused := d.ledger.RequestStop(now, keys); refused != nil {
			return refused.Error()
		}
	}
	slog.Info("draining: task moves", "task", t.attempt.key.task, "from", t.attempt.machine.name, "room_on", to.name, "drain", number)
	c.evict(t.attempt)
	d.migrations[t] = &migration{drain: number, target: to, needs: taskResources(s), startedAt: now}
	d.reservedCapacity[to] = d.reservedCapacity[to].plus(taskResources(s))
	return ""
}

// mayBecomeAvailable says whether an attempt that is not up is left alone to become so. To stop it
// would take nothing more down as the owner counts, but would keep its task down for
// longer, and after a takeover it may have run for long without the owner's knowledge.
func (d *draining) mayBecomeAvailable(now time.Time, a *attempt) bool {
	return a.isRunning() || now.Sub(a.machine.cordon.since) < d.cfg.Policy.ReplacementTimeout
}

// reservedForMigrations is the room on machines that tasks on their way there are to get.
func (d *draining) reservedForMigrations() map[*machine]resources {
	promised := map[*machine]resources{}
	for t, m := range d.migrations {
		if t.attempt == nil || t.attempt.stopRequested {
			promised[m.target] = promised[m.target].plus(m.needs)
		}
	}
	return promised
}

// migrationTarget is a machine with room for a task, beside what is promised to others: one
// that stays, unless none can be rented.
func (c *scaleOutState) migrationTarget(v *fleetView, now time.Time, s *wire.Submission, promised map[*machine]resources) *machine {
	canAdd := c.cheapestOffer(v, now, s).isAvailable()
	return v.bestFit(now, s, func(m *machine) bool {
		return !(canAdd && m.drainNext) && taskResources(s).fits(v.freeResources(m).minus(promised[m]))
	})
}

// requestSurge has a machine rented for a task that may move and finds no room, for no
// more tasks than the budgets would let move.
func (d *draining) requestSurge(now time.Time, t *task, keys []disruption.BudgetKey) {
	if len(d.surgeTasks) >= constants.MaxSurgeTasks {
		return
	}
	for _, k := range keys {
		if d.surgeCounts[k] >= d.ledger.Headroom(now, k) {
			return
		}
	}
	for _, k := range keys {
		d.surgeCounts[k]++
	}
	d.surgeTasks = append(d.surgeTasks, t)
}

// scaleOutForDrains adds machines for the tasks of services that may migrate and fit on no
// machine, pending ones among them.
func (c *Core) scaleOutForDrains(now time.Time, counts machineCounts) {
	if c.draining == nil {
		return
	}
	for _, t := range c.draining.surgeTasks {
		s := &t.job.rec.Spec
		if c.takePendingCapacity(s, 1) == 1 {
			continue
		}
		if offer := c.cheapestOffer(&c.fleetView, now, s); offer.isAvailable() {
			c.planMachine(offer, taskResources(s), counts)
		}
	}
}

// allowsConsolidation asks the account whether a service's task may be moved to do without
// its machine.
func (d *draining) allowsConsolidation(now time.Time, t *task) bool {
	return d == nil || d.ledger.RequestStop(now, d.budgetsOf(t.job)) == nil
}
