package shard

import (
	"time"

	"ravenport/disruption"
)

// interruptionUnit is the unit in which disruption budgets count interruptions: a task of an
// array, or a whole gang.
type interruptionUnit struct {
	job   *job
	index int // index of the task, or wholeGang
}

// wholeGang is the index in the interruptionUnit of a gang.
const wholeGang = -1

// interruptionUnitOf returns the unit of a task: the task itself, or the gang that the task
// belongs to.
func interruptionUnitOf(t *task) interruptionUnit {
	if t.job.gang != nil {
		return interruptionUnit{t.job, wholeGang}
	}
	return interruptionUnit{t.job, t.index}
}

// interruption is the state of one unit.
type interruption struct {
	keys        []disruption.BudgetKey
	hasRun      bool // the unit runs, or ran when it was last observed and was not stopped since
	interrupted bool // the unit ran, was interrupted, and has not become available again since
	observedAt  time.Time
}

// markInterrupted records that a unit is being stopped, or was stopped by an earlier owner.
// This is recorded immediately, because the unit may be offloaded to another shard before it
// is observed again.
func (i *interruption) markInterrupted() {
	i.hasRun = false
	i.interrupted = true
}

// interruptions is the state of the arrays and gangs for which there are disruption budgets.
// Arrays and gangs may wait for a long time before they first run. A unit therefore counts as
// interrupted only after it has run, and until it is available again or its job ends. An
// interrupted unit that is offloaded to another shard counts for the retention time.
type interruptions struct {
	units     map[interruptionUnit]*interruption
	retention time.Duration
}

func newInterruptions(retention time.Duration) interruptions {
	return interruptions{units: map[interruptionUnit]*interruption{}, retention: retention}
}

// observe records whether a unit is running now, and whether it is available.
func (s *interruptions) observe(now time.Time, u interruptionUnit, keys []disruption.BudgetKey, isRunning, isAvailable bool) {
	i := s.units[u]
	if i == nil {
		i = &interruption{keys: keys}
		s.units[u] = i
	}
	i.observedAt = now
	switch {
	case isRunning:
		i.hasRun = true
		i.interrupted = i.interrupted && !isAvailable
	case i.hasRun:
		i.markInterrupted()
	}
}

// remove removes a unit that is done.
func (s *interruptions) remove(u interruptionUnit) { delete(s.units, u) }

// count returns the number of interrupted units by budget. All units that are in the shard
// must have been observed at the given time; count deletes other units that no longer count.
func (s *interruptions) count(now time.Time) disruption.Counts {
	out := disruption.Counts{}
	for u, i := range s.units {
		isHere := i.observedAt.Equal(now)
		if !isHere && (!i.interrupted || u.job.record.End != "" || now.Sub(i.observedAt) > s.retention) {
			delete(s.units, u)
			continue
		}
		if i.interrupted {
			out.Add(i.keys, 1)
		}
	}
	return out
}

// observeInterruptions observes all arrays and gangs for which there are disruption budgets,
// and returns the number of interrupted units by budget.
func (d *draining) observeInterruptions(v *fleetView, now time.Time) disruption.Counts {
	for _, j := range v.jobs {
		if j.record.End != "" || j.record.Spec.IsService() {
			continue
		}
		budgets := d.budgetsOf(j)
		switch {
		case len(budgets) == 0:
		case j.gang != nil:
			d.observeGang(v, now, j, budgets)
		default:
			d.observeArray(v, now, j, budgets)
		}
	}
	if v.rebuilt && !d.hasInheritedInterruptions {
		d.hasInheritedInterruptions = true
		d.inheritInterruptions()
	}
	return d.interruptions.count(now)
}

// observeArray observes the tasks of an array.
func (d *draining) observeArray(v *fleetView, now time.Time, j *job, budgets []disruption.BudgetKey) {
	for _, t := range j.tasks {
		unit := interruptionUnitOf(t)
		if t.done {
			d.interruptions.remove(unit)
			continue
		}
		d.interruptions.observe(now, unit, budgets, v.isRunningTask(now, t), d.isAvailable(v, now, t))
	}
}

// observeGang observes a gang. A gang is running if all its tasks in the shard are running.
func (d *draining) observeGang(v *fleetView, now time.Time, j *job, budgets []disruption.BudgetKey) {
	unit := interruptionUnit{j, wholeGang}
	if j.gang.done {
		d.interruptions.remove(unit)
		return
	}
	isRunning, isAvailable := true, true
	for _, t := range j.tasks {
		isRunning = isRunning && v.isRunningTask(now, t)
		isAvailable = isAvailable && d.isAvailable(v, now, t)
	}
	d.interruptions.observe(now, unit, budgets, isRunning, isAvailable)
}

// inheritInterruptions marks as many waiting units as interrupted as earlier owners claimed.
// The choice of units is arbitrary, because the store does not hold which units were
// interrupted.
func (d *draining) inheritInterruptions() {
	inherited := disruption.Counts{}
	for _, i := range d.interruptions.units {
		if i.hasRun {
			continue
		}
		for _, b := range i.keys {
			if inherited[b] < d.ledger.InheritedUnavailable(b) {
				i.markInterrupted()
				inherited.Add(i.keys, 1)
				break
			}
		}
	}
}

// tryInterrupt requests from the ledger that an array's task, or the gang that the task
// belongs to, may be interrupted. The error says why the interruption is not allowed now.
func (d *draining) tryInterrupt(now time.Time, t *task) error {
	i := d.interruptions.units[interruptionUnitOf(t)]
	switch {
	case i == nil:
		return nil // there is no budget for the unit
	case i.interrupted && d.mayBecomeAvailable(now, t.attempt):
		return &notAvailableError{t.job.record.ID}
	case !i.hasRun:
		return nil // the unit has not run, or already counts as interrupted
	}
	if refusal := d.ledger.RequestStop(now, i.keys); refusal != nil {
		return refusal
	}
	i.markInterrupted()
	return nil
}
