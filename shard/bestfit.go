package shard

import (
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// rankCandidates is the paper's Resource-Only Match: the machines that have room
// in the order in which they are filled, the one that is left with the least
// first. A machine that got a task is left with less and so stays the best fit
// for the job's next, until it is full. Machines that hold the image already
// come first, and spot machines before ordinary ones where both are allowed:
// ordinary room is the only room for those that may not use spot.
func (k *knownState) rankCandidates(s *wire.Submission, n resources, r *placementRound) []*machine {
	type cand struct {
		m     *machine
		score float64
	}
	var cs []cand
	for _, m := range r.freeMachines {
		if free := k.freeResources(m); n.fits(free) && isEligible(s, m.typeName, m.spot) && (m.reservedFor == nil || m.reservedFor.rec.ID == s.ID) && (!m.reservedForGangs || s.AllOrNothing()) {
			cs = append(cs, cand{m, k.placementScore(s, n, m, free)})
		}
	}
	slices.SortFunc(cs, func(a, b cand) int {
		switch {
		case a.score < b.score:
			return -1
		case a.score > b.score:
			return 1
		case a.m.name < b.m.name:
			return -1
		}
		return 1
	})
	out := make([]*machine, len(cs))
	for i := range cs {
		out[i] = cs[i].m
	}
	return out
}

// placementScore ranks a machine with room for a job's task; less is better.
func (k *knownState) placementScore(s *wire.Submission, n resources, m *machine, free resources) float64 {
	score := m.freeShare(free.minus(n))
	if !m.cachedImages[s.Image] {
		score += constants.ScoreImageMissing
	}
	if s.Spot && !m.spot {
		// Ordinary machines with services stay whatever happens, so their
		// gaps cost nothing; an empty one had better stay empty.
		if k.usageOf(m).services > 0 {
			score -= constants.ScoreServiceMachine
		} else {
			score += constants.ScoreOnDemand
		}
	}
	if m.consolidating || m.drainNext {
		score += constants.ScoreDraining
	}
	if m.reservedForGangs && !s.IsGang() {
		score += constants.ScoreGangReserve
	}
	return score
}

// bestFit is the best candidate for one task of a job, or nil; except leaves out
// those that it is false for.
func (v *fleetView) bestFit(now time.Time, s *wire.Submission, except func(*machine) bool) *machine {
	n := taskResources(s)
	var best *machine
	var least float64
	for _, m := range v.fleet {
		if !isEligible(s, m.typeName, m.spot) || !v.isSchedulable(now, m) {
			continue
		}
		free := v.freeResources(m)
		if !n.fits(free) || m.reservedFor != nil && m.reservedFor.rec.ID != s.ID || m.reservedForGangs && !s.AllOrNothing() || except != nil && !except(m) {
			continue
		}
		if score := v.placementScore(s, n, m, free); best == nil || score < least || score == least && m.name < best.name {
			best, least = m, score
		}
	}
	return best
}

// freeShare is the share of a machine that stays free, from 0 to 2.
func (m *machine) freeShare(free resources) float64 {
	l := 0.0
	if m.capacity.cpus > 0 {
		l += free.cpus / m.capacity.cpus
	}
	if m.capacity.memory > 0 {
		l += free.memory / m.capacity.memory
	}
	return l
}
