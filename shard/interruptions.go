package shard

import (
	"time"

	"ravenport/disruption"
)

// interruptionUnit is what a disruption budget counts as one interruption: a task of an
// array, or a gang.
type interruptionUnit struct {
	job   *job
	index int // of the task, or wholeGang
}

// wholeGang is the index of the unit that is a gang.
const wholeGang = -1

// interruptionUnitOf is the unit that a task is, or is part of.
func interruptionUnitOf(t *task) interruptionUnit {
	if t.job.gang != nil {
		return interruptionUnit{t.job, wholeGang}
	}
	return interruptionUnit{t.job, t.index}
}

// interruption is the state of one unit.
type interruption struct {
	keys        []disruption.BudgetKey
	hasRun      bool // it runs, or did when it was last observed
	interrupted bool // it ran, and has not become available again since
	observedAt  time.Time
}

// markInterrupted notes that a unit is being stopped, or was by an earlier owner. It is
// noted at once, as the unit may be offloaded to another shard before it is observed again.
func (i *interruption) markInterrupted() {
	i.hasRun = false
	i.interrupted = true
}

// interruptions is the state of arrays and gangs that disruption budgets count. Those may
// wait for long before they first run, so a unit counts only once it has run, and no more
// when it is available again or its job ends. One that is offloaded to another shard
// meanwhile counts for the retention time.
type interruptions struct {
	units     map[interruptionUnit]*interruption
	retention time.Duration
}

func newInterruptions(retention time.Duration) interruptions {
	return interruptions{units: map[interruptionUnit]*interruption{}, retention: retention}
}

// observe takes in whether a unit runs now, and whether it is available.
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

// count says how many units are interrupted by budget, once all that are in the shard were
// observed at the given time.
func (s *interruptions) count(now time.Time) disruption.Counts {
	out := disruption.Counts{}
	for u, i := range s.units {
		isHere := i.observedAt.Equal(now)
		if !isHere && (!i.interrupted || u.job.rec.End != "" || now.Sub(i.observedAt) > s.retention) {
			delete(s.units, u)
			continue
		}
		if i.interrupted {
			out.Add(i.keys, 1)
		}
	}
	return out
}

// observeInterruptions observes all arrays and gangs that budgets count.
func (d *draining) observeInterruptions(v *fleetView, now time.Time) disruption.Counts {
	for _, j := range v.jobs {
		if j.rec.End != "" || j.rec.Spec.IsService() {
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

// observeGang observes a gang, which runs if all its tasks in the shard do.
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

// inheritInterruptions takes as many waiting units as interrupted as earlier owners claimed:
// which ones those were is not stored.
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

// tryInterrupt asks the ledger for the interruption of an array's task, or of the gang that
// the task is part of. The error says why it is not allowed now.
func (d *draining) tryInterrupt(now time.Time, t *task) error {
	i := d.interruptions.units[interruptionUnitOf(t)]
	switch {
	case i == nil:
		return nil // no budget counts it
	case i.interrupted && d.mayBecomeAvailable(now, t.attempt):
		return &notAvailableError{t.job.rec.ID}
	case !i.hasRun:
		return nil // nothing that ran is lost
	}
	if refusal := d.ledger.RequestStop(now, i.keys); refusal != nil {
		return refusal
	}
	i.markInterrupted()
	return nil
}
