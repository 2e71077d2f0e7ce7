package shard

import (
	"log/slog"
	"math"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// stoppable says whether an attempt is its task's own and not on its way out.
func stoppable(h *hold, t *task) bool {
	return t != nil && t.hold == h && !h.stop && !h.exited()
}

// mayStop says whether a task may be stopped to make room for another: for
// one of higher priority, or, where it runs beyond its team's guarantee, for
// one within another team's. The protocol would let guaranteed work stop also
// services and work of higher priority; what others wait for is not worth that.
func mayStop(victim, claimant *task) bool {
	v, f := &victim.job.rec.Spec, &claimant.job.rec.Spec
	vl, fl := wire.PriorityLevel(v.Priority), wire.PriorityLevel(f.Priority)
	return vl < fl || vl == fl && !v.IsService() && claimant.guarantee && !victim.guarantee && v.Team != f.Team
}

// yields says whether anything at all might be stopped for a task.
func (k *knowledge) yields(claimant *task, r *round) bool {
	if !r.scanned {
		r.scanned, r.lowest, r.loose = true, math.MaxInt, map[string]bool{}
		for _, m := range k.fleet {
			s := k.sumsOf(m)
			r.saving = r.saving || s.saving
			r.lowest = min(r.lowest, s.lowest)
			for _, team := range s.loose {
				r.loose[team] = true
			}
		}
	}
	s := &claimant.job.rec.Spec
	if wire.PriorityLevel(s.Priority) > r.lowest {
		return true
	}
	return claimant.guarantee && (len(r.loose) > 1 || len(r.loose) == 1 && !r.loose[s.Team])
}

// preempt makes room on a machine by stopping work that has to yield: the
// machine on which the least is lost; with warm, only one that holds the
// image. It returns nil where none can be made.
func (v *fleetView) preempt(now time.Time, claimant *task, warm bool, r *round) *machine {
	s := &claimant.job.rec.Spec
	n := need(s)
	d := demandOf(s)
	d.level = wire.PriorityLevel(s.Priority)
	if claimant.guarantee {
		d.guarantee = s.Team
	}
	if warm {
		d.image = s.Image
	}
	if r.known(r.stuck, d, n) {
		return nil
	}
	if !v.yields(claimant, r) {
		r.stuck[d] = append(r.stuck[d], resources{})
		return nil
	}
	var best *machine
	var bestVictims, can []*hold
	bestCost := math.Inf(1)
	for _, m := range v.fleet {
		if !allowed(s, m.typeName, m.spot) || warm && !m.images[s.Image] || !v.usable(now, m) {
			continue
		}
		free := v.free(m)
		var most resources
		can, most = v.victims(m, claimant, can[:0])
		if len(can) == 0 || !n.fits(most) {
			continue
		}
		// The youngest lose the least.
		sort.Slice(can, func(a, b int) bool {
			if !can[a].sentAt.Equal(can[b].sentAt) {
				return can[a].sentAt.After(can[b].sentAt)
			}
			return can[a].key.attempt > can[b].key.attempt
		})
		cost := 0.0
		victims := 0
		for victims < len(can) && !n.fits(free) {
			h := can[victims]
			free = free.plus(h.needs)
			cost += h.needs.cpus * (1 + now.Sub(h.sentAt).Seconds())
			if v.endangers(now, h) {
				cost += h.needs.cpus * constants.CostMissed
			}
			victims++
		}
		if victims == 0 {
			continue
		}
		if !m.images[s.Image] {
			cost += constants.CostCold
		}
		if warm && cost > constants.CostWarm {
			continue // rather wait for the image where there is room
		}
		if cost < bestCost || cost == bestCost && m.name < best.name {
			best, bestCost = m, cost
			bestVictims = append(bestVictims[:0], can[:victims]...)
		}
	}
	if best == nil {
		r.stuck[d] = append(r.stuck[d], n)
		return nil
	}
	for _, h := range bestVictims {
		h.stop = true
		slog.Debug("task makes room", "task", h.key.task, "machine", best.name, "for", s.Priority, "guaranteed", claimant.guarantee, "warm", warm, "age_s", now.Sub(h.sentAt).Seconds())
	}
	best.stale = true
	return best
}

// victims lists what on a machine could be stopped at once for a task, after what
// is in can, and all the room that makes. A gang is stopped whole or not at all.
func (k *knowledge) victims(m *machine, claimant *task, can []*hold) ([]*hold, resources) {
	most := k.free(m)
	for _, h := range m.holds {
		if t := k.taskOf(h); h.instant && stoppable(h, t) && t.job.gang == nil && mayStop(t, claimant) {
			can = append(can, h)
			most = most.plus(h.needs)
		}
	}
	return can, most
}

// endangers says whether a job that would have met an objective on finishing
// would miss it if this task of it began anew.
func (v *fleetView) endangers(now time.Time, h *hold) bool {
	rec := v.jobs[h.jobID].rec
	began := h.sentAt
	if !h.runSince.IsZero() {
		began = h.runSince
	}
	whole := time.Duration(rec.Spec.EstimateS * float64(time.Second))
	age := time.Duration(now.UnixMilli()-rec.AcceptedMS) * time.Millisecond
	left := max(whole-now.Sub(began), constants.LeastLeft)
	return v.cfg.Order.ObjectivesMet(rec.Spec.Class, age+left) > v.cfg.Order.ObjectivesMet(rec.Spec.Class, age+whole)
}

// askToSave makes room for a task where only work that can save stands in its
// way: that is stopped with time to save, and the task starts once it is gone.
// It returns for how many such tasks room will be there.
func (q *outgoing) askToSave(v *fleetView, now time.Time, claimant *task, r *round) int {
	if !r.saving || now.Before(claimant.roomAt) {
		return 0
	}
	s := &claimant.job.rec.Spec
	n := need(s)
	var best []*hold
	bestCost := math.Inf(1)
	for _, m := range v.fleet {
		if !allowed(s, m.typeName, m.spot) || !v.usable(now, m) {
			continue
		}
		free, cost := v.free(m), 0.0
		var victims []*hold
		for _, h := range m.holds {
			t := v.taskOf(h)
			if n.fits(free) || !stoppable(h, t) || !mayStop(t, claimant) {
				continue
			}
			free = free.plus(h.needs)
			victims = append(victims, h)
			cost += h.needs.cpus
			if t.job.gang != nil {
				cost += h.needs.cpus * float64(len(t.job.tasks)-1) // all of it goes
			}
		}
		if len(victims) > 0 && n.fits(free) && cost < bestCost {
			best, bestCost = victims, cost
		}
	}
	wait := time.Duration(0)
	var freed resources
	for _, h := range best {
		wait = max(wait, v.grace(h)+v.together(h))
		if t := v.taskOf(h); t.job.gang != nil {
			if !h.stop {
				q.stopGang(t.job, "makes room")
				freed = freed.plus(h.needs.times(len(t.job.tasks)))
			}
			continue
		}
		freed = freed.plus(h.needs)
		q.stopHold(h)
		slog.Debug("task saves and makes room", "task", h.key.task, "machine", h.m.name)
	}
	if len(best) == 0 {
		return 0
	}
	claimant.roomAt = now.Add(wait + constants.NoticeMargin)
	return freed.holdsOf(n)
}
