package shard

import (
	"slices"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// bundle is a machine with room for some of a gang's tasks.
type bundle struct {
	m    *machine
	k    int
	warm bool
}

// gangPlaces finds a machine for each of a gang's tasks, nil if they do not all
// find one now. It is the best fit by bundles: the machine that is left with the
// least of those that take all that is left of the gang, else the one that takes
// the most, so that few machines have to fetch the image. Machines that hold it
// are enough where all fit on them. One that lists a task of the attempt, refused
// to an earlier owner, would do nothing on another start.
func (v *fleetView) gangPlaces(now time.Time, s *wire.Submission, tasks int, attempt uint64) []*machine {
	n := need(s)
	var warm, all []bundle
	warmRoom, allRoom := 0, 0
	for _, m := range v.fleet {
		if !allowed(s, m.typeName, m.spot) || !v.usable(now, m) || m.keptFor != nil && m.keptFor.rec.ID != s.ID {
			continue
		}
		k := v.free(m).holdsOf(n)
		if k == 0 || slices.ContainsFunc(m.holds, func(h *hold) bool { return h.key.attempt == attempt && h.jobID == s.ID }) {
			continue
		}
		b := bundle{m, k, m.images[s.Image]}
		all = append(all, b)
		allRoom += k
		if b.warm && !m.draining {
			warm = append(warm, b)
			warmRoom += k
		}
	}
	switch {
	case warmRoom >= tasks:
		return pack(warm, tasks)
	case allRoom >= tasks && v.missesByFetch(s):
		// It is late whatever is done: it brings the image to as many of the kept
		// machines as it can, for those that come after it.
		return scatter(all, tasks)
	case allRoom >= tasks:
		return pack(all, tasks)
	}
	return nil
}

// missesByFetch says whether a gang that has to fetch its image may well miss its
// class's aim on starting by that alone: the slowest of its machines counts.
func (v *fleetView) missesByFetch(s *wire.Submission) bool {
	within := v.cfg.Order.StartObjective(s.Class)
	for _, t := range v.types {
		if t.FetchGBPerS > 0 && allowed(s, t.Name, false) && within > 0 && s.ImageGB/t.FetchGBPerS*constants.FetchSlow < within.Seconds() {
			return false
		}
	}
	return within > 0
}

// scatter fills the machines kept for gangs evenly, and others only with what
// finds no place there.
func scatter(bs []bundle, tasks int) []*machine {
	var kept, others []bundle
	room := 0
	for _, b := range bs {
		if b.m.forGangs && !b.m.draining {
			kept = append(kept, b)
			room += b.k
		} else {
			others = append(others, b)
		}
	}
	sort.Slice(kept, func(a, b int) bool { return kept[a].m.name < kept[b].m.name })
	here := min(room, tasks)
	out := make([]*machine, 0, tasks)
	for round := 0; len(out) < here; round++ {
		for _, b := range kept {
			if b.k > round && len(out) < here {
				out = append(out, b.m)
			}
		}
	}
	return append(out, pack(others, tasks-here)...)
}

// saveForGang makes room for a gang where work that can save stands in its way:
// as much of it is stopped as the gang lacks places.
func (q *outgoing) saveForGang(v *fleetView, now time.Time, tasks []*task, r *round) {
	if !r.saving || slices.ContainsFunc(tasks, func(t *task) bool { return now.Before(t.roomAt) }) {
		return // what was stopped for it is still saving
	}
	for missing := len(tasks) - v.slots(now, &tasks[0].job.rec.Spec); missing > 0; {
		freed := q.askToSave(v, now, tasks[missing-1], r)
		if freed == 0 {
			return
		}
		missing -= freed
	}
}

// slots is how many tasks of a job there is room for now.
func (v *fleetView) slots(now time.Time, s *wire.Submission) int {
	n := need(s)
	slots := 0
	for _, m := range v.fleet {
		if allowed(s, m.typeName, m.spot) && v.usable(now, m) {
			slots += v.free(m).holdsOf(n)
		}
	}
	return slots
}

// pack fills bundles of enough room.
func pack(bs []bundle, tasks int) []*machine {
	sort.Slice(bs, func(a, b int) bool {
		x, y := bs[a], bs[b]
		switch {
		case x.m.draining != y.m.draining:
			return y.m.draining
		case x.m.forGangs != y.m.forGangs:
			return x.m.forGangs // where the next gangs will be, and find the image
		case x.k != y.k:
			return x.k > y.k
		case x.warm != y.warm:
			return x.warm
		}
		return x.m.name < y.m.name
	})
	out := make([]*machine, 0, tasks)
	for len(out) < tasks {
		left := tasks - len(out)
		at := 0
		// Largest first; the last of those that take all the rest is the best fit.
		for i := range bs {
			same := bs[i].m.draining == bs[at].m.draining && bs[i].m.forGangs == bs[at].m.forGangs
			if bs[i].k >= left && (bs[at].k < left || same && bs[i].k < bs[at].k) {
				at = i
			}
		}
		for range min(left, bs[at].k) {
			out = append(out, bs[at].m)
		}
		bs = slices.Delete(bs, at, at+1)
	}
	return out
}

// gangRoom says whether all of a gang's tasks would find room if what has to
// yield to them were stopped. Nothing is stopped for a part of a gang.
func (v *fleetView) gangRoom(now time.Time, tasks []*task, r *round) bool {
	if !v.yields(tasks[0], r) {
		return false
	}
	s := &tasks[0].job.rec.Spec
	n := need(s)
	room := 0
	for _, m := range v.fleet {
		if allowed(s, m.typeName, m.spot) && v.usable(now, m) {
			_, most := v.victims(m, tasks[0], nil)
			if room += most.holdsOf(n); room >= len(tasks) {
				return true
			}
		}
	}
	return false
}

// roomFor is a machine for one task of a gang that is known to find room: free
// and with the image, else one on which others have to yield.
func (v *fleetView) roomFor(now time.Time, t *task, r *round) *machine {
	s := &t.job.rec.Spec
	fit := v.bestFit(now, s, nil)
	if fit != nil && fit.images[s.Image] {
		return fit
	}
	if m := v.preempt(now, t, true, r); m != nil {
		return m
	}
	if fit != nil {
		return fit
	}
	return v.preempt(now, t, false, r)
}
