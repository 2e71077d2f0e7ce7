package shard

import (
	"time"

	"ravenport/disruption"
)

// interruptionUnit is what a budget of interruptions counts as one: a task of an array, or a gang.
type interruptionUnit struct {
	job   *job
	index int
}

// wholeGang is the index of the unit that is a gang.
const wholeGang = -1

// interruption is what is known of one unit.
type interruption struct {
	keys        []disruption.BudgetKey
	hasRun      bool // it runs, or did when it was last looked at
	interrupted bool // it ran, and has not proved itself again since
	observedAt  time.Time
}

// markInterrupted takes in that the unit is told to stop, at once: it may be sent on to another
// shard before it is looked at again.
func (i *interruption) markInterrupted() { i.hasRun, i.interrupted = false, true }

// interruptions is the owner's state of arrays and gangs that budgets count. Those may
// wait for long before they begin, so a unit counts only from when it ran and does not any
// more until it runs again and has proved itself, or its job ends. One that is sent on to
// another shard meanwhile counts for some time more.
type interruptions struct {
	units     map[interruptionUnit]*interruption
	retention time.Duration // for how long one that was sent on counts
}

func newInterruptions(linger time.Duration) interruptions {
	return interruptions{units: map[interruptionUnit]*interruption{}, retention: linger}
}

// observe takes in whether a unit runs now, and whether it has proved itself.
func (s *interruptions) observe(now time.Time, u interruptionUnit, keys []disruption.BudgetKey, runs, isUp bool) {
	i := s.units[u]
	if i == nil {
		i = &interruption{keys: keys}
		s.units[u] = i
	}
	i.observedAt = now
	switch {
	case runs:
		i.hasRun = true
		i.interrupted = i.interrupted && !isUp
	case i.hasRun:
		i.hasRun, i.interrupted = false, true
	}
}

// markInterrupted takes a unit that waits for one that an earlier owner saw interrupted.
func (s *interruptions) markInterrupted(u interruptionUnit) { s.units[u].interrupted = true }

// forget forgets a unit that is done.
func (s *interruptions) forget(u interruptionUnit) { delete(s.units, u) }

// count says how many units are interrupted, once all that are here were looked at.
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

// interruptionUnitOf is the unit that a task is, or is part of.
func interruptionUnitOf(t *task) interruptionUnit {
	if t.job.gang != nil {
		return interruptionUnit{t.job, wholeGang}
	}
	return interruptionUnit{t.job, t.index}
}

// observeInterruptions looks at all arrays and gangs that budgets count.
func (d *draining) observeInterruptions(v *fleetView, now time.Time) disruption.Counts {
	s := &d.interruptions
	for _, j := range v.jobs {
		if j.rec.End != "" || j.rec.Spec.IsService() {
			continue
		}
		keys := d.budgetsOf(j)
		if len(keys) == 0 {
			continue
		}
		if j.gang != nil {
			d.observeGang(v, now, j, keys)
			continue
		}
		for _, t := range j.tasks {
			if t.done {
				s.forget(interruptionUnitOf(t))
				continue
			}
			s.observe(now, interruptionUnitOf(t), keys, v.isRunningTask(now, t), d.isAvailable(v, now, t))
		}
	}
	if v.rebuilt && !d.hasInheritedInterruptions {
		d.hasInheritedInterruptions = true
		d.inheritInterruptions()
	}
	return s.count(now)
}

// observeGang looks at a gang, which runs if all its tasks here do.
func (d *draining) observeGang(v *fleetView, now time.Time, j *job, keys []disruption.BudgetKey) {
	whole := interruptionUnit{j, wholeGang}
	if j.gang.done {
		d.interruptions.forget(whole)
		return
	}
	runs, isUp := true, true
	for _, t := range j.tasks {
		runs = runs && v.isRunningTask(now, t)
		isUp = isUp && d.isAvailable(v, now, t)
	}
	d.interruptions.observe(now, whole, keys, runs, isUp)
}

// inheritInterruptions takes as many units that wait as earlier owners claimed for those
// that were interrupted: which ones those are is not stored.
func (d *draining) inheritInterruptions() {
	s := &d.interruptions
	taken := disruption.Counts{}
	for u, i := range s.units {
		if i.hasRun {
			continue
		}
		for _, k := range i.keys {
			if taken[k] < d.ledger.InheritedUnavailable(k) {
				s.markInterrupted(u)
				taken.Add(i.keys, 1)
				break
			}
		}
	}
}

// isRunningTask says whether a task runs, as far as is known, and is not told to stop.
func (l *liveness) isRunningTask(now time.Time, t *task) bool {
	a := t.attempt
	return a != nil && !a.stopRequested && a.isRunning() && !l.isUnreachable(now, a.machine)
}

// tryInterrupt asks the account whether a task of an array, or the gang that it is in, may be
// interrupted, and says why not.
func (d *draining) tryInterrupt(now time.Time, t *task) string {
	i := d.interruptions.units[interruptionUnitOf(t)]
	switch {
	case i == nil:
		return "" // no budget counts it
	case i.interrupted && d.mayBecomeAvailable(now, t.attempt):
		return "a task of " + t.job.rec.ID + " is not up yet"
	case !i.hasRun:
		return "" // nothing that ran is lost
	}
	if refused := d.ledger.RequestStop(now, i.keys); refused != nil {
		return refused.Error()
	}
	i.markInterrupted()
	return ""
}
