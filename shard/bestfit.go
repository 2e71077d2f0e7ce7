package shard

import (
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// candidate is a machine with free capacity for a task, and its placement score.
type candidate struct {
	machine *machine
	score   float64
}

// compare orders candidates by score, the best first, and then by name.
func (c candidate) compare(other candidate) int {
	switch {
	case c.score < other.score:
		return -1
	case c.score > other.score:
		return 1
	case c.machine.name < other.machine.name:
		return -1
	}
	return 1
}

// rankCandidates returns the machines that have free capacity for a task of a job, in the
// order in which the machines are filled. The order is best fit, which the Oakestra paper
// calls Resource-Only Match. A machine that received a task has less free capacity and
// therefore remains the best fit for the job's next task until the machine is full.
// Machines that hold the image come first. Where both kinds are allowed, spot machines
// come before on-demand machines, because other tasks can use on-demand capacity only.
func (k *knownState) rankCandidates(s *wire.Submission, demand resources, r *placementRound) []*machine {
	var candidates []candidate
	for _, m := range r.freeMachines {
		free := k.freeResources(m)
		if !demand.fits(free) || !isEligible(s, m.typeName, m.spot) || m.isReservedForOthers(s) {
			continue
		}
		candidates = append(candidates, candidate{m, k.placementScore(s, demand, m, free)})
	}
	slices.SortFunc(candidates, candidate.compare)
	machines := make([]*machine, len(candidates))
	for i := range candidates {
		machines[i] = candidates[i].machine
	}
	return machines
}

// placementScore scores a machine with the given free capacity for a task with the given
// demand; a lower score is better. The unit is the share of the machine that would stay
// free, from 0 to 2 (see freeShare). The constants whose names begin with Score are
// added in the same unit, and most of them outweigh every difference in fit.
func (k *knownState) placementScore(spec *wire.Submission, demand resources, m *machine, free resources) float64 {
	score := m.freeShare(free.minus(demand))
	if !m.cachedImages[spec.Image] {
		score += constants.ScoreImageMissing
	}
	if spec.Spot && !m.spot {
		// An on-demand machine with services stays in use in any case, so using its free
		// capacity costs nothing. An on-demand machine without services should become
		// empty.
		if k.usageOf(m).services > 0 {
			score -= constants.ScoreServiceMachine
		} else {
			score += constants.ScoreOnDemand
		}
	}
	if m.consolidating || m.selectedByDrain {
		score += constants.ScoreDraining
	}
	if m.reservedForGangs && !spec.IsGang() {
		score += constants.ScoreGangReserve
	}
	return score
}

// bestFit returns the machine with the best placement score for one task of a job, or
// nil if no machine can take the task. Machines for which the filter returns false are
// left out; a nil filter allows all machines.
func (v *fleetView) bestFit(now time.Time, spec *wire.Submission, filter func(*machine) bool) *machine {
	demand := taskResources(spec)
	var best *machine
	var bestScore float64
	for _, m := range v.fleet {
		if !isEligible(spec, m.typeName, m.spot) || !v.isSchedulable(now, m) {
			continue
		}
		free := v.freeResources(m)
		if !demand.fits(free) || m.isReservedForOthers(spec) {
			continue
		}
		if filter != nil && !filter(m) {
			continue
		}
		score := v.placementScore(spec, demand, m, free)
		if best == nil || score < bestScore || score == bestScore && m.name < best.name {
			best = m
			bestScore = score
		}
	}
	return best
}

// freeShare returns the free share of a machine's CPUs plus that of its memory, from 0
// to 2.
func (m *machine) freeShare(free resources) float64 {
	share := 0.0
	if m.capacity.cpus > 0 {
		share += free.cpus / m.capacity.cpus
	}
	if m.capacity.memory > 0 {
		share += free.memory / m.capacity.memory
	}
	return share
}
