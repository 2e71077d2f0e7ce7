package shard

import (
	"slices"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// machineSlots is a machine with room for some of a gang's tasks.
type machineSlots struct {
	machine  *machine
	slots    int
	hasImage bool
}

// packGang finds a machine for each of a gang's tasks, nil if they do not all
// find one now. It is the best fit by bundles: the machine that is left with the
// least of those that take all that is left of the gang, else the one that takes
// the most, so that few machines have to fetch the image. Machines that hold it
// are enough where all fit on them. One that lists a task of the attempt, refused
// to an earlier owner, would do nothing on another start.
func (v *fleetView) packGang(now time.Time, s *wire.Submission, tasks int, number uint64) []*machine {
	n := taskResources(s)
	var warm, all []machineSlots
	warmRoom, allRoom := 0, 0
	for _, m := range v.fleet {
		if !isEligible(s, m.typeName, m.spot) || !v.isSchedulable(now, m) || m.reservedFor != nil && m.reservedFor.rec.ID != s.ID {
			continue
		}
		k := v.freeResources(m).holdsOf(n)
		if k == 0 || slices.ContainsFunc(m.attempts, func(a *attempt) bool { return a.key.number == number && a.jobID == s.ID }) {
			continue
		}
		b := machineSlots{m, k, m.cachedImages[s.Image]}
		all = append(all, b)
		allRoom += k
		if b.hasImage && !m.consolidating {
			warm = append(warm, b)
			warmRoom += k
		}
	}
	switch {
	case warmRoom >= tasks:
		return packBestFit(warm, tasks)
	case allRoom >= tasks && v.fetchMissesStartObjective(s):
		// It is late whatever is done: it brings the image to as many of the kept
		// machines as it can, for those that come after it.
		return spreadOverReserved(all, tasks)
	case allRoom >= tasks:
		return packBestFit(all, tasks)
	}
	return nil
}

// fetchMissesStartObjective says whether a gang that has to fetch its image may well miss its
// class's aim on starting by that alone: the slowest of its machines counts.
func (v *fleetView) fetchMissesStartObjective(s *wire.Submission) bool {
	within := v.cfg.JobOrder.StartObjective(s.Class)
	for _, t := range v.types {
		if t.FetchGBPerS > 0 && isEligible(s, t.Name, false) && within > 0 && s.ImageGB/t.FetchGBPerS*constants.SlowFetchFactor < within.Seconds() {
			return false
		}
	}
	return within > 0
}

// spreadOverReserved fills the machines kept for gangs evenly, and others only with what
// finds no place there.
func spreadOverReserved(bs []machineSlots, tasks int) []*machine {
	var kept, others []machineSlots
	room := 0
	for _, b := range bs {
		if b.machine.reservedForGangs && !b.machine.consolidating {
			kept = append(kept, b)
			room += b.slots
		} else {
			others = append(others, b)
		}
	}
	sort.Slice(kept, func(a, b int) bool { return kept[a].machine.name < kept[b].machine.name })
	here := min(room, tasks)
	out := make([]*machine, 0, tasks)
	for round := 0; len(out) < here; round++ {
		for _, b := range kept {
			if b.slots > round && len(out) < here {
				out = append(out, b.machine)
			}
		}
	}
	return append(out, packBestFit(others, tasks-here)...)
}

// preemptWithCheckpointForGang makes room for a gang where work that can save stands in its way:
// as much of it is stopped as the gang lacks places.
func (q *outbox) preemptWithCheckpointForGang(v *fleetView, now time.Time, tasks []*task, r *placementRound) {
	if !r.preemptionScan.needsCheckpoint || slices.ContainsFunc(tasks, func(t *task) bool { return now.Before(t.roomExpectedUntil) }) {
		return // what was stopped for it is still saving
	}
	for missing := len(tasks) - v.freeSlots(now, &tasks[0].job.rec.Spec); missing > 0; {
		freed := q.preemptWithCheckpoint(v, now, tasks[missing-1], r)
		if freed == 0 {
			return
		}
		missing -= freed
	}
}

// freeSlots is how many tasks of a job there is room for now.
func (v *fleetView) freeSlots(now time.Time, s *wire.Submission) int {
	n := taskResources(s)
	slots := 0
	for _, m := range v.fleet {
		if isEligible(s, m.typeName, m.spot) && v.isSchedulable(now, m) {
			slots += v.freeResources(m).holdsOf(n)
		}
	}
	return slots
}

// packBestFit fills bundles of enough room.
func packBestFit(bs []machineSlots, tasks int) []*machine {
	sort.Slice(bs, func(a, b int) bool {
		x, y := bs[a], bs[b]
		switch {
		case x.machine.consolidating != y.machine.consolidating:
			return y.machine.consolidating
		case x.machine.reservedForGangs != y.machine.reservedForGangs:
			return x.machine.reservedForGangs // where the next gangs will be, and find the image
		case x.slots != y.slots:
			return x.slots > y.slots
		case x.hasImage != y.hasImage:
			return x.hasImage
		}
		return x.machine.name < y.machine.name
	})
	out := make([]*machine, 0, tasks)
	for len(out) < tasks {
		left := tasks - len(out)
		at := 0
		// Largest first; the last of those that take all the rest is the best fit.
		for i := range bs {
			same := bs[i].machine.consolidating == bs[at].machine.consolidating && bs[i].machine.reservedForGangs == bs[at].machine.reservedForGangs
			if bs[i].slots >= left && (bs[at].slots < left || same && bs[i].slots < bs[at].slots) {
				at = i
			}
		}
		for range min(left, bs[at].slots) {
			out = append(out, bs[at].machine)
		}
		bs = slices.Delete(bs, at, at+1)
	}
	return out
}

// gangFitsAfterPreemption says whether all of a gang's tasks would find room if what has to
// yield to them were stopped. Nothing is stopped for a part of a gang.
func (v *fleetView) gangFitsAfterPreemption(now time.Time, tasks []*task, r *placementRound) bool {
	if !v.hasPreemptibleWork(tasks[0], r) {
		return false
	}
	s := &tasks[0].job.rec.Spec
	n := taskResources(s)
	room := 0
	for _, m := range v.fleet {
		if isEligible(s, m.typeName, m.spot) && v.isSchedulable(now, m) {
			_, most := v.preemptionVictims(m, tasks[0], nil)
			if room += most.holdsOf(n); room >= len(tasks) {
				return true
			}
		}
	}
	return false
}

// machineForGangTask is a machine for one task of a gang that is known to find room: free
// and with the image, else one on which others have to yield.
func (v *fleetView) machineForGangTask(now time.Time, t *task, r *placementRound) *machine {
	s := &t.job.rec.Spec
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
