package shard

import (
	"time"

	"ravenport/constants"
	"ravenport/settings"
)

// evictFromReclaimedMachines evicts tasks from machines that the cloud will reclaim soon. It
// evicts tasks that need a checkpoint in time for the checkpoint. It evicts services, and
// tasks of arrays that are not expected to end before, while another machine has capacity.
func (q *outbox) evictFromReclaimedMachines(v *fleetView, now time.Time) {
	for _, m := range v.fleet {
		if !m.reclaimAt.IsZero() && !m.scalingIn && m.up {
			q.evictFromReclaimedMachine(v, now, m)
		}
	}
}

// evictFromReclaimedMachine evicts up to constants.MaxReclaimEvictions tasks from a machine,
// and stops the gangs on the machine whose checkpoint is due.
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

// isGangCheckpointDue reports whether a gang with a task on a machine that is reclaimed after
// the remaining time must stop now. A gang checkpoints as a whole, at the latest time at
// which a stop still reaches all its tasks in time. A gang that cannot checkpoint is not
// stopped.
func (v *fleetView) isGangCheckpointDue(a *attempt, remaining time.Duration) bool {
	return !a.stopsInstantly && remaining <= v.stopGrace(a)+v.cfg.GangPeerTimeout+constants.ReclaimMargin
}

// mustEvictBeforeReclaim reports whether a task is to be evicted now from a machine that is
// reclaimed after the remaining time.
func (v *fleetView) mustEvictBeforeReclaim(now time.Time, t *task, a *attempt, remaining time.Duration) bool {
	s := &t.job.record.Spec
	if !a.stopsInstantly {
		return remaining <= v.stopGrace(a)+constants.ReclaimMargin // the task checkpoints as late as possible
	}
	if !s.IsService() {
		runtime := settings.Seconds(s.EstimateS)
		if !a.runningSince.IsZero() {
			runtime -= now.Sub(a.runningSince)
		}
		if float64(runtime) < constants.ReclaimRuntimeFactor*float64(remaining) {
			return false // the task is likely to end before the machine is reclaimed
		}
	}
	return v.bestFit(now, s, nil) != nil
}
