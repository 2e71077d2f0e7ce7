package shard

import (
	"log/slog"
	"math"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
)

// isEvictable says whether an attempt is its task's current one and is not about to end.
func isEvictable(a *attempt, t *task) bool {
	return t != nil && t.attempt == a && !a.stopRequested && !a.hasExited()
}

// mayPreempt says whether a task may be preempted by another: by one of higher priority,
// or, where it runs beyond its team's guarantee, by one within another team's. The
// protocol would let guaranteed work preempt also services and work of higher priority;
// what others wait for is not worth that.
func mayPreempt(victim, preemptor *task) bool {
	victimSpec, spec := &victim.job.rec.Spec, &preemptor.job.rec.Spec
	victimLevel, level := victimSpec.Priority.Level(), spec.Priority.Level()
	if victimLevel != level {
		return victimLevel < level
	}
	return !victimSpec.IsService() && preemptor.withinGuarantee && !victim.withinGuarantee && victimSpec.Team != spec.Team
}

// preemptionScan sums up what could be preempted in the shard. A round makes it when it
// first asks for it.
type preemptionScan struct {
	done                 bool
	needsCheckpoint      bool // some of it checkpoints before it stops
	lowestPriority       int
	teamsBeyondGuarantee map[string]bool // teams with arrays or gangs beyond their guarantee
}

// scanForPreemption makes the round's scan of what could be preempted.
func (k *knownState) scanForPreemption(scan *preemptionScan) {
	scan.done = true
	scan.lowestPriority = math.MaxInt
	scan.teamsBeyondGuarantee = map[string]bool{}
	for _, m := range k.fleet {
		usage := k.usageOf(m)
		scan.needsCheckpoint = scan.needsCheckpoint || usage.needsCheckpoint
		scan.lowestPriority = min(scan.lowestPriority, usage.lowestPriority)
		for _, team := range usage.teamsBeyondGuarantee {
			scan.teamsBeyondGuarantee[team] = true
		}
	}
}

// hasPreemptibleWork says whether anything at all in the shard could be preempted by a
// task.
func (k *knownState) hasPreemptibleWork(preemptor *task, r *placementRound) bool {
	scan := &r.preemptionScan
	if !scan.done {
		k.scanForPreemption(scan)
	}
	s := &preemptor.job.rec.Spec
	if s.Priority.Level() > scan.lowestPriority {
		return true
	}
	if !preemptor.withinGuarantee {
		return false
	}
	teams := len(scan.teamsBeyondGuarantee)
	return teams > 1 || teams == 1 && !scan.teamsBeyondGuarantee[s.Team]
}

// imageRequirement says which machines preemption is tried on.
type imageRequirement bool

const (
	anyMachine       imageRequirement = false
	machineWithImage imageRequirement = true // that hold the preemptor's image
)

// preempt makes a machine free for a task by preempting others that stop at once: the
// machine on which that costs the least. It returns nil where there is none.
func (v *fleetView) preempt(now time.Time, preemptor *task, image imageRequirement, r *placementRound) *machine {
	spec := &preemptor.job.rec.Spec
	demand := taskResources(spec)
	class := demandClassOf(spec).forPreemption(spec, preemptor.withinGuarantee)
	if image == machineWithImage {
		class.image = spec.Image
	}
	if r.failedPreemptions.covers(class, demand) {
		return nil
	}
	if !v.hasPreemptibleWork(preemptor, r) {
		r.failedPreemptions.add(class, resources{})
		return nil
	}
	best, victims := v.cheapestPreemption(now, preemptor, image)
	if best == nil {
		r.failedPreemptions.add(class, demand)
		return nil
	}
	for _, victim := range victims {
		victim.stopRequested = true
		slog.Debug("task preempted", logkey.TaskID, victim.key.task, logkey.Machine, best.name, "for", spec.Priority,
			"guaranteed", preemptor.withinGuarantee, "image_required", bool(image), "age_s", now.Sub(victim.startSentAt).Seconds())
	}
	best.usageStale = true
	return best
}

// cheapestPreemption is the machine on which making a task's capacity free costs the least
// (CPU seconds of lost work and the constants Cost...), and the attempts to stop there.
func (v *fleetView) cheapestPreemption(now time.Time, preemptor *task, image imageRequirement) (*machine, []*attempt) {
	spec := &preemptor.job.rec.Spec
	demand := taskResources(spec)
	var best *machine
	var bestVictims, evictable []*attempt
	bestCost := math.Inf(1)
	for _, m := range v.fleet {
		if !isEligible(spec, m.typeName, m.spot) {
			continue
		}
		hasImage := m.cachedImages[spec.Image]
		if image == machineWithImage && !hasImage || !v.isSchedulable(now, m) {
			continue
		}
		var available resources
		evictable, available = v.preemptionVictims(m, preemptor, evictable[:0])
		if len(evictable) == 0 || !demand.fits(available) {
			continue
		}
		victims, cost := v.chooseVictims(now, demand, v.freeResources(m), evictable)
		if len(victims) == 0 {
			continue
		}
		if !hasImage {
			cost += constants.CostImageFetch
		}
		if image == machineWithImage && cost > constants.MaxCostForImage {
			continue // rather fetch the image where there is free capacity
		}
		if cost < bestCost || cost == bestCost && m.name < best.name {
			best = m
			bestCost = cost
			bestVictims = append(bestVictims[:0], victims...)
		}
	}
	return best, bestVictims
}

// chooseVictims chooses as many of a machine's attempts, the youngest first, as must stop
// beside its free capacity to fit n, and returns their cost. The youngest lose the least.
// It sorts the list that it is given and returns a part of it.
func (v *fleetView) chooseVictims(now time.Time, demand, free resources, evictable []*attempt) ([]*attempt, float64) {
	sort.Slice(evictable, func(i, j int) bool {
		a, b := evictable[i], evictable[j]
		if !a.startSentAt.Equal(b.startSentAt) {
			return a.startSentAt.After(b.startSentAt)
		}
		return a.key.number > b.key.number
	})
	cost := 0.0
	count := 0
	for count < len(evictable) && !demand.fits(free) {
		victim := evictable[count]
		free = free.plus(victim.resources)
		cost += victim.resources.cpus * (1 + now.Sub(victim.startSentAt).Seconds())
		if v.preemptionMissesObjective(now, victim) {
			cost += victim.resources.cpus * constants.CostObjectiveMissed
		}
		count++
	}
	return evictable[:count], cost
}

// preemptionVictims appends the attempts on a machine that a task may preempt at once to a
// list, and returns with it the free capacity that there would be without them. A gang is
// preempted as a whole or not at all.
func (k *knownState) preemptionVictims(m *machine, preemptor *task, list []*attempt) ([]*attempt, resources) {
	available := k.freeResources(m)
	for _, a := range m.attempts {
		t := k.taskOf(a)
		if a.stopsInstantly && isEvictable(a, t) && t.job.gang == nil && mayPreempt(t, preemptor) {
			list = append(list, a)
			available = available.plus(a.resources)
		}
	}
	return list, available
}

// preemptionMissesObjective says whether a job that would have met an objective for its
// end would miss it if this task of it started anew.
func (v *fleetView) preemptionMissesObjective(now time.Time, a *attempt) bool {
	rec := v.jobs[a.jobID].rec
	startedAt := a.startSentAt
	if !a.runningSince.IsZero() {
		startedAt = a.runningSince
	}
	estimate := time.Duration(rec.Spec.EstimateS * float64(time.Second))
	age := time.Duration(now.UnixMilli()-rec.AcceptedMS) * time.Millisecond
	remaining := max(estimate-now.Sub(startedAt), constants.MinRemainingRuntime)
	metIfContinued := v.cfg.JobOrder.ObjectivesMet(rec.Spec.Class, age+remaining)
	metIfRestarted := v.cfg.JobOrder.ObjectivesMet(rec.Spec.Class, age+estimate)
	return metIfContinued > metIfRestarted
}
