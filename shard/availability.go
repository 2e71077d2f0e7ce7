package shard

import (
	"time"

	"ravenport/disruption"
)

// isRunningTask reports whether a task is known to run on a reachable machine and is not
// to be stopped.
func (l *liveness) isRunningTask(now time.Time, t *task) bool {
	a := t.attempt
	return a != nil && !a.stopRequested && a.isRunning() && !l.isUnreachable(now, a.machine)
}

// isAvailable reports whether a task is running and has been stable for long enough to
// count as available.
func (d *draining) isAvailable(v *fleetView, now time.Time, t *task) bool {
	if !v.isRunningTask(now, t) {
		return false
	}
	a := t.attempt
	return a.adopted || d.cfg.SkipStableTime || now.Sub(a.runningSince) >= d.cfg.Policy.StableAfter
}

// countUnavailable counts, by budget, the tasks of services in the shard that should be
// available and are not, and the interrupted array tasks and gangs.
func (d *draining) countUnavailable(v *fleetView, now time.Time) disruption.Counts {
	unavailable := d.observeInterruptions(v, now)
	for _, j := range v.jobs {
		if j.record.End != "" || !j.record.Spec.IsService() {
			continue
		}
		count := 0
		for _, t := range j.tasks {
			if !d.isAvailable(v, now, t) {
				count++
			}
		}
		if count > 0 {
			unavailable.Add(d.budgetsOf(j), count)
		}
	}
	return unavailable
}

// budgetsOf returns the disruption budgets that a job's tasks count against.
func (d *draining) budgetsOf(j *job) []disruption.BudgetKey {
	return d.ledger.BudgetsOf(&j.record.Spec)
}
