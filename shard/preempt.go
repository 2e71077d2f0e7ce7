package shard

import (
	"log/slog"
	"math"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
)

// isEvictable reports whether an attempt is its task's current attempt and is not about
// to end.
func isEvictable(a *attempt, t *task) bool {
	return t != nil && t.attempt == a && !a.stopRequested && !a.hasExited()
}

// mayPreempt reports whether a task may be preempted by another. The preemptor must have
// higher priority, or, at equal priority, be within its team's guarantee while the victim
// runs beyond the guarantee of another team and is not a service. The protocol would also
// allow guaranteed work to preempt services and work of higher priority. The owner does
// not use this, because the shorter wait of the preemptor would not justify it.
func mayPreempt(victim, preemptor *task) bool {
	victimSpec, spec := &victim.job.record.Spec, &preemptor.job.record.Spec
	victimLevel, level := victimSpec.Priority.Level(), spec.Priority.Level()
	if victimLevel != level {
		return victimLevel < level
	}
	return !victimSpec.IsService() && preemptor.withinGuarantee && !victim.withinGuarantee && victimSpec.Team != spec.Team
}

// preemptionScan summarizes what could be preempted in the shard. A round makes the scan
// when the round first needs it.
type preemptionScan struct {
	done                 bool
	needsCheckpoint      bool // some preemptible work saves a checkpoint before it stops
	lowestPriority       int
	teamsBeyondGuarantee map[string]bool // teams with arrays or gangs beyond their guarantee
}

// scanForPreemption fills in the round's scan of what could be preempted.
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

// hasPreemptibleWork reports whether a task could preempt any work in the shard.
func (k *knownState) hasPreemptibleWork(preemptor *task, r *placementRound) bool {
	scan := &r.preemptionScan
	if !scan.done {
		k.scanForPreemption(scan)
	}
	s := &preemptor.job.record.Spec
	if s.Priority.Level() > scan.lowestPriority {
		return true
	}
	if !preemptor.withinGuarantee {
		return false
	}
	teams := len(scan.teamsBeyondGuarantee)
	return teams > 1 || teams == 1 && !scan.teamsBeyondGuarantee[s.Team]
}

// imageRequirement selects the machines on which preemption is tried.
type imageRequirement bool

const (
	anyMachine       imageRequirement = false
	machineWithImage imageRequirement = true // only machines that hold the preemptor's image
)

// preempt frees capacity for a task by preempting attempts that stop without a
// checkpoint, on the machine on which that costs the least. It returns nil if there is
// no such machine.
func (v *fleetView) preempt(now time.Time, preemptor *task, image imageRequirement, r *placementRound) *machine {
	spec := &preemptor.job.record.Spec
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

// cheapestPreemption returns the machine on which freeing capacity for a task costs the
// least, and the attempts to stop there. The cost is the lost work in CPU seconds plus
// the constants whose names begin with Cost.
func (v *fleetView) cheapestPreemption(now time.Time, preemptor *task, image imageRequirement) (*machine, []*attempt) {
	spec := &preemptor.job.record.Spec
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
			continue // fetching the image on a machine with free capacity costs less
		}
		if cost < bestCost || cost == bestCost && m.name < best.name {
			best = m
			bestCost = cost
			bestVictims = append(bestVictims[:0], victims...)
		}
	}
	return best, bestVictims
}

// chooseVictims chooses the attempts on a machine that must stop so that the demand fits
// into the machine's free capacity, and returns them with their cost. The youngest
// attempts are chosen first because they lose the least work. It sorts the evictable
// slice and returns a part of it.
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

// preemptionVictims appends to the list the attempts on a machine that a task may
// preempt and that stop without a checkpoint. It also returns the capacity that would be
// free without them. Attempts of gangs are left out, because a gang is preempted as a
// whole or not at all.
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

// preemptionMissesObjective reports whether restarting the task of an attempt would make
// the job miss a completion objective that the job would otherwise have met.
func (v *fleetView) preemptionMissesObjective(now time.Time, a *attempt) bool {
	record := v.jobs[a.jobID].record
	startedAt := a.startSentAt
	if !a.runningSince.IsZero() {
		startedAt = a.runningSince
	}
	estimate := time.Duration(record.Spec.EstimateS * float64(time.Second))
	age := time.Duration(now.UnixMilli()-record.AcceptedMS) * time.Millisecond
	remaining := max(estimate-now.Sub(startedAt), constants.MinRemainingRuntime)
	metIfContinued := v.cfg.JobOrder.ObjectivesMet(record.Spec.Class, age+remaining)
	metIfRestarted := v.cfg.JobOrder.ObjectivesMet(record.Spec.Class, age+estimate)
	return metIfContinued > metIfRestarted
}
