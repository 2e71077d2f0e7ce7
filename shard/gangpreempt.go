package shard

import (
	"slices"
	"time"

	"ravenport/wire"
)

// gangFitsAfterPreemption reports whether all of a gang's tasks would fit if all work
// were stopped that they may preempt and that stops without a checkpoint. Nothing is
// preempted for only a part of a gang.
func (v *fleetView) gangFitsAfterPreemption(now time.Time, tasks []*task, r *placementRound) bool {
	if !v.hasPreemptibleWork(tasks[0], r) {
		return false
	}
	s := &tasks[0].job.record.Spec
	demand := taskResources(s)
	slots := 0
	for _, m := range v.fleet {
		if !isEligible(s, m.typeName, m.spot) || !v.isSchedulable(now, m) {
			continue
		}
		_, available := v.preemptionVictims(m, tasks[0], nil)
		slots += available.countFitting(demand)
		if slots >= len(tasks) {
			return true
		}
	}
	return false
}

// machineForGangTask returns a machine for one task of a gang that fits after
// preemption. It tries, in this order, a machine with free capacity and the image, a
// machine with the image that preemption frees, any machine with free capacity, and any
// machine that preemption frees.
func (v *fleetView) machineForGangTask(now time.Time, t *task, r *placementRound) *machine {
	s := &t.job.record.Spec
	fit := v.bestFit(now, s, nil)
	if fit != nil && fit.cachedImages[s.Image] {
		return fit
	}
	if m := v.preempt(now, t, machineWithImage, r); m != nil {
		return m
	}
	if fit != nil {
		return fit
	}
	return v.preempt(now, t, anyMachine, r)
}

// preemptWithCheckpointForGang frees capacity for a gang if work that saves checkpoints
// would have to be preempted. It stops enough work for the slots that the gang lacks.
func (q *outbox) preemptWithCheckpointForGang(v *fleetView, now time.Time, tasks []*task, r *placementRound) {
	if !r.preemptionScan.needsCheckpoint {
		return
	}
	isExpectingCapacity := func(t *task) bool { return now.Before(t.resourcesExpectedUntil) }
	if slices.ContainsFunc(tasks, isExpectingCapacity) {
		return // the work stopped for this gang is still saving checkpoints
	}
	missing := len(tasks) - v.freeSlots(now, &tasks[0].job.record.Spec)
	for missing > 0 {
		freed := q.preemptWithCheckpoint(v, now, tasks[missing-1], r)
		if freed == 0 {
			return
		}
		missing -= freed
	}
}

// freeSlots returns how many tasks of a job fit in the shard now.
func (v *fleetView) freeSlots(now time.Time, s *wire.Submission) int {
	demand := taskResources(s)
	slots := 0
	for _, m := range v.fleet {
		if isEligible(s, m.typeName, m.spot) && v.isSchedulable(now, m) {
			slots += v.freeResources(m).countFitting(demand)
		}
	}
	return slots
}
