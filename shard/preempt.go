package shard

import (
	"log/slog"
	"math"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// isEvictable says whether an attempt is its task's own and not on its way out.
func isEvictable(a *attempt, t *task) bool {
	return t != nil && t.attempt == a && !a.stopRequested && !a.hasExited()
}

// mayPreempt says whether a task may be stopped to make room for another: for
// one of higher priority, or, where it runs beyond its team's guarantee, for
// one within another team's. The protocol would let guaranteed work stop also
// services and work of higher priority; what others wait for is not worth that.
func mayPreempt(victim, preemptor *task) bool {
	v, f := &victim.job.rec.Spec, &preemptor.job.rec.Spec
	vl, fl := wire.PriorityLevel(v.Priority), wire.PriorityLevel(f.Priority)
	return vl < fl || vl == fl && !v.IsService() && preemptor.withinGuarantee && !victim.withinGuarantee && v.Team != f.Team
}

// hasPreemptibleWork says whether anything at all might be stopped for a task.
func (k *knownState) hasPreemptibleWork(preemptor *task, r *placementRound) bool {
	if !r.preemptionScanned {
		r.preemptionScanned, r.lowestPriority, r.overGuaranteeTeams = true, math.MaxInt, map[string]bool{}
		for _, m := range k.fleet {
			s := k.usageOf(m)
			r.hasCheckpointing = r.hasCheckpointing || s.needsCheckpoint
			r.lowestPriority = min(r.lowestPriority, s.lowestPriority)
			for _, team := range s.teamsBeyondGuarantee {
				r.overGuaranteeTeams[team] = true
			}
		}
	}
	s := &preemptor.job.rec.Spec
	if wire.PriorityLevel(s.Priority) > r.lowestPriority {
		return true
	}
	return preemptor.withinGuarantee && (len(r.overGuaranteeTeams) > 1 || len(r.overGuaranteeTeams) == 1 && !r.overGuaranteeTeams[s.Team])
}

// preempt makes room on a machine by stopping work that has to yield: the
// machine on which the least is lost; with warm, only one that holds the
// image. It returns nil where none can be made.
func (v *fleetView) preempt(now time.Time, preemptor *task, warm bool, r *placementRound) *machine {
	s := &preemptor.job.rec.Spec
	n := taskResources(s)
	d := demandClassOf(s)
	d.priorityLevel = wire.PriorityLevel(s.Priority)
	if preemptor.withinGuarantee {
		d.guaranteedTeam = s.Team
	}
	if warm {
		d.image = s.Image
	}
	if r.known(r.unpreemptable, d, n) {
		return nil
	}
	if !v.hasPreemptibleWork(preemptor, r) {
		r.unpreemptable[d] = append(r.unpreemptable[d], resources{})
		return nil
	}
	var best *machine
	var bestVictims, can []*attempt
	bestCost := math.Inf(1)
	for _, m := range v.fleet {
		if !isEligible(s, m.typeName, m.spot) || warm && !m.cachedImages[s.Image] || !v.isSchedulable(now, m) {
			continue
		}
		free := v.freeResources(m)
		var most resources
		can, most = v.preemptionVictims(m, preemptor, can[:0])
		if len(can) == 0 || !n.fits(most) {
			continue
		}
		// The youngest lose the least.
		sort.Slice(can, func(a, b int) bool {
			if !can[a].startSentAt.Equal(can[b].startSentAt) {
				return can[a].startSentAt.After(can[b].startSentAt)
			}
			return can[a].key.number > can[b].key.number
		})
		cost := 0.0
		victims := 0
		for victims < len(can) && !n.fits(free) {
			att := can[victims]
			free = free.plus(att.resources)
			cost += att.resources.cpus * (1 + now.Sub(att.startSentAt).Seconds())
			if v.preemptionMissesObjective(now, att) {
				cost += att.resources.cpus * constants.CostObjectiveMissed
			}
			victims++
		}
		if victims == 0 {
			continue
		}
		if !m.cachedImages[s.Image] {
			cost += constants.CostImageFetch
		}
		if warm && cost > constants.MaxCostForImage {
			continue // rather wait for the image where there is room
		}
		if cost < bestCost || cost == bestCost && m.name < best.name {
			best, bestCost = m, cost
			bestVictims = append(bestVictims[:0], can[:victims]...)
		}
	}
	if best == nil {
		r.unpreemptable[d] = append(r.unpreemptable[d], n)
		return nil
	}
	for _, att := range bestVictims {
		att.stopRequested = true
		slog.Debug("task makes room", "task", att.key.task, "machine", best.name, "for", s.Priority, "guaranteed", preemptor.withinGuarantee, "warm", warm, "age_s", now.Sub(att.startSentAt).Seconds())
	}
	best.usageStale = true
	return best
}

// preemptionVictims lists what on a machine could be stopped at once for a task, after what
// is in can, and all the room that makes. A gang is stopped whole or not at all.
func (k *knownState) preemptionVictims(m *machine, preemptor *task, can []*attempt) ([]*attempt, resources) {
	most := k.freeResources(m)
	for _, a := range m.attempts {
		if t := k.taskOf(a); a.stopsInstantly && isEvictable(a, t) && t.job.gang == nil && mayPreempt(t, preemptor) {
			can = append(can, a)
			most = most.plus(a.resources)
		}
	}
	return can, most
}

// preemptionMissesObjective says whether a job that would have met an objective on finishing
// would miss it if this task of it began anew.
func (v *fleetView) preemptionMissesObjective(now time.Time, a *attempt) bool {
	rec := v.jobs[a.jobID].rec
	began := a.startSentAt
	if !a.runningSince.IsZero() {
		began = a.runningSince
	}
	whole := time.Duration(rec.Spec.EstimateS * float64(time.Second))
	age := time.Duration(now.UnixMilli()-rec.AcceptedMS) * time.Millisecond
	left := max(whole-now.Sub(began), constants.MinRemainingRuntime)
	return v.cfg.JobOrder.ObjectivesMet(rec.Spec.Class, age+left) > v.cfg.JobOrder.ObjectivesMet(rec.Spec.Class, age+whole)
}

// preemptWithCheckpoint makes room for a task where only work that can save stands in its
// way: that is stopped with time to save, and the task starts once it is gone.
// It returns for how many such tasks room will be there.
func (q *outbox) preemptWithCheckpoint(v *fleetView, now time.Time, preemptor *task, r *placementRound) int {
	if !r.hasCheckpointing || now.Before(preemptor.roomExpectedUntil) {
		return 0
	}
	s := &preemptor.job.rec.Spec
	n := taskResources(s)
	var best []*attempt
	bestCost := math.Inf(1)
	for _, m := range v.fleet {
		if !isEligible(s, m.typeName, m.spot) || !v.isSchedulable(now, m) {
			continue
		}
		free, cost := v.freeResources(m), 0.0
		var victims []*attempt
		for _, a := range m.attempts {
			t := v.taskOf(a)
			if n.fits(free) || !isEvictable(a, t) || !mayPreempt(t, preemptor) {
				continue
			}
			free = free.plus(a.resources)
			victims = append(victims, a)
			cost += a.resources.cpus
			if t.job.gang != nil {
				cost += a.resources.cpus * float64(len(t.job.tasks)-1) // all of it goes
			}
		}
		if len(victims) > 0 && n.fits(free) && cost < bestCost {
			best, bestCost = victims, cost
		}
	}
	wait := time.Duration(0)
	var freed resources
	for _, a := range best {
		wait = max(wait, v.stopGrace(a)+v.gangSaveTime(a))
		if t := v.taskOf(a); t.job.gang != nil {
			if !a.stopRequested {
				q.stopGangWithCheckpoint(t.job, "makes room")
				freed = freed.plus(a.resources.times(len(t.job.tasks)))
			}
			continue
		}
		freed = freed.plus(a.resources)
		q.evict(a)
		slog.Debug("task saves and makes room", "task", a.key.task, "machine", a.machine.name)
	}
	if len(best) == 0 {
		return 0
	}
	preemptor.roomExpectedUntil = now.Add(wait + constants.ReclaimMargin)
	return freed.holdsOf(n)
}
