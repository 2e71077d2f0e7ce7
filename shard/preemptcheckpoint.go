package shard

import (
	"log/slog"
	"math"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
)

// preemptWithCheckpoint makes capacity for a task where only work that checkpoints could
// be preempted: that is stopped with time for its checkpoint, and the task starts once it
// is gone. It returns for how many such tasks there will be capacity.
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
	return freed.countFitting(taskResources(&preemptor.job.rec.Spec))
}

// evictForPreemption stops an attempt, or the whole gang that it is part of, with time for
// a checkpoint, and returns what that will make free. A gang of which several attempts are
// victims is stopped and counted once.
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

// cheapestCheckpointPreemption lists the attempts to stop on the machine on which the
// fewest CPUs lose their work so that a task fits; empty: there is no such machine.
func (v *fleetView) cheapestCheckpointPreemption(now time.Time, preemptor *task) []*attempt {
	s := &preemptor.job.rec.Spec
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

// checkpointVictims lists as many attempts on a machine as must stop so that a task fits,
// and the CPUs that they hold with the other tasks of their gangs; empty: it does not fit
// whatever is stopped.
func (v *fleetView) checkpointVictims(m *machine, preemptor *task) ([]*attempt, float64) {
	demand := taskResources(&preemptor.job.rec.Spec)
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
			cost += a.resources.cpus * float64(len(t.job.tasks)-1) // all of it stops
		}
	}
	if !demand.fits(free) {
		return nil, 0
	}
	return victims, cost
}
