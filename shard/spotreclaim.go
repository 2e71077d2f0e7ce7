package shard

import (
	"time"

	"ravenport/constants"
	"ravenport/settings"
)

// evictFromReclaimedMachines evicts tasks from machines that the cloud will take back soon:
// those that checkpoint in time, and services and arrays that will not end before, while
// there is capacity for them.
func (q *outbox) evictFromReclaimedMachines(v *fleetView, now time.Time) {
	for _, m := range v.fleet {
		if !m.reclaimAt.IsZero() && !m.scalingIn && m.up {
			q.evictFromReclaimedMachine(v, now, m)
		}
	}
}

// evictFromReclaimedMachine evicts up to constants.MaxReclaimEvictions tasks from a
// machine, and the gangs on it if it is time for their checkpoint.
func (q *outbox) evictFromReclaimedMachine(v *fleetView, now time.Time, m *machine) {
	remaining := m.reclaimAt.Sub(now)
	evicted := 0
	for _, a := range m.attempts {
		t := v.taskOf(a)
		if !isEvictable(a, t) || evicted >= constants.MaxReclaimEvictions {
			continue
		}
		if t.job.gang != nil {
			if v.isGangCheckpointDue(a, remaining) {
				q.stopGangWithCheckpoint(t.job, "machine will be reclaimed")
			}
			continue
		}
		if v.mustEvictBeforeReclaim(now, t, a, remaining) {
			q.evict(a)
			evicted++
		}
	}
}

// isGangCheckpointDue says whether a gang with a task on a machine that is taken back after
// the remaining time must stop now: it checkpoints as a whole, at the last moment at which
// all its tasks can be told. One that cannot checkpoint is left to end by itself.
func (v *fleetView) isGangCheckpointDue(a *attempt, remaining time.Duration) bool {
	return !a.stopsInstantly && remaining <= v.stopGrace(a)+v.cfg.GangPeerTimeout+constants.ReclaimMargin
}

// mustEvictBeforeReclaim says whether a task is evicted now from a machine that is taken back
// after the remaining time.
func (v *fleetView) mustEvictBeforeReclaim(now time.Time, t *task, a *attempt, remaining time.Duration) bool {
	s := &t.job.rec.Spec
	if !a.stopsInstantly {
		return remaining <= v.stopGrace(a)+constants.ReclaimMargin // it checkpoints at the last moment
	}
	if !s.IsService() {
		runtime := settings.Seconds(s.EstimateS)
		if !a.runningSince.IsZero() {
			runtime -= now.Sub(a.runningSince)
		}
		if float64(runtime) < constants.ReclaimRuntimeFactor*float64(remaining) {
			return false // it may well end before
		}
	}
	return v.bestFit(now, s, nil) != nil
}
