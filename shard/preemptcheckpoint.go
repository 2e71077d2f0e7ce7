package shard

import (
	"log/slog"
	"math"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
)

// preemptWithCheckpoint frees capacity for a task if only work that saves checkpoints
// can be preempted. That work is stopped with time for its checkpoint, and the task
// starts after the work has ended. The result is the number of tasks with the same
// demand for which there will be capacity.
func (q *outbox) preemptWithCheckpoint(v *fleetView, now time.Time, preemptor *task, r *placementRound) int {
	if !r.preemptionScan.needsCheckpoint || now.Before(preemptor.resourcesExpectedUntil) {
		return 0
	}
	victims := v.cheapestCheckpointPreemption(now, preemptor)
	if len(victims) == 0 {
		return 0
	}
	wait := time.Duration(0)
	var freed resources
	for _, victim := range victims {
		wait = max(wait, v.stopGrace(victim)+v.gangSaveTime(victim))
		freed = freed.plus(q.evictForPreemption(v, victim))
	}
	preemptor.resourcesExpectedUntil = now.Add(wait + constants.ReclaimMargin)
	return freed.countFitting(taskResources(&preemptor.job.record.Spec))
}

// evictForPreemption stops an attempt, or the whole gang to which the attempt belongs,
// with time for a checkpoint, and returns the resources that this will free. If several
// attempts of a gang are victims, the gang is stopped and counted once.
func (q *outbox) evictForPreemption(v *fleetView, victim *attempt) resources {
	j := v.taskOf(victim).job
	if j.gang == nil {
		q.evict(victim)
		slog.Debug("task preempted with a checkpoint", logkey.TaskID, victim.key.task, logkey.Machine, victim.machine.name)
		return victim.resources
	}
	if victim.stopRequested {
		return resources{}
	}
	q.stopGangWithCheckpoint(j, "preempted")
	return victim.resources.times(len(j.tasks))
}

// cheapestCheckpointPreemption returns the attempts to stop so that a task fits, on the
// machine on which that stops the fewest CPUs of work. The result is empty if there is
// no such machine.
func (v *fleetView) cheapestCheckpointPreemption(now time.Time, preemptor *task) []*attempt {
	s := &preemptor.job.record.Spec
	var best []*attempt
	bestCost := math.Inf(1)
	for _, m := range v.fleet {
		if !isEligible(s, m.typeName, m.spot) || !v.isSchedulable(now, m) {
			continue
		}
		victims, cost := v.checkpointVictims(m, preemptor)
		if len(victims) > 0 && cost < bestCost {
			best = victims
			bestCost = cost
		}
	}
	return best
}

// checkpointVictims returns the attempts on a machine that must stop so that a task
// fits, and the CPUs that they and the other tasks of their gangs use. The list is empty
// if the task does not fit whatever is stopped.
func (v *fleetView) checkpointVictims(m *machine, preemptor *task) ([]*attempt, float64) {
	demand := taskResources(&preemptor.job.record.Spec)
	free := v.freeResources(m)
	cost := 0.0
	var victims []*attempt
	for _, a := range m.attempts {
		t := v.taskOf(a)
		if demand.fits(free) || !isEvictable(a, t) || !mayPreempt(t, preemptor) {
			continue
		}
		free = free.plus(a.resources)
		victims = append(victims, a)
		cost += a.resources.cpus
		if t.job.gang != nil {
			cost += a.resources.cpus * float64(len(t.job.tasks)-1) // the whole gang stops
		}
	}
	if !demand.fits(free) {
		return nil, 0
	}
	return victims, cost
}
