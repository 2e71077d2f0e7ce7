package shard

import (
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/leader"
)

// gangReserves is the capacity that is held in reserve for gangs, and the gang arrivals
// from which the reserve is computed.
type gangReserves struct {
	gangArrivals    arrivalRate          // of whole gangs
	gangShapes      map[string]gangShape // by leader.GangShape
	gangReserveCPUs float64              // CPUs, in addition to what waiting gangs need
}

// reserveMachinesForGangs selects the machines on which no array task starts, so that
// gangs can start at once. It selects enough machines for the waiting gangs and for the
// expected ones. A gang needs all its slots at the same moment, and arrays would take
// each slot as it becomes free. The selection is recomputed on each call, so that no
// reservation outlasts its reason.
func (c *Core) reserveMachinesForGangs(now time.Time) {
	c.refreshWaiting(&c.fleetView)
	c.gangReserveCPUs = c.targetGangReserve(&c.fleetView, now)
	waiting := c.waitingGangs()
	for _, m := range c.fleet {
		m.reservedForGangs = false
	}
	if c.gangReserveCPUs == 0 && len(waiting) == 0 {
		return
	}
	candidates := c.gangReserveCandidates(&c.fleetView, now)
	for _, j := range waiting {
		reserveForGang(candidates, j)
	}
	reserveForArrivals(candidates, c.gangReserveCPUs)
}

// waitingGangs returns the gangs that are not done and have no active attempt, in order
// of submission.
func (p *placement) waitingGangs() []*job {
	var waiting []*job
	for j := range p.waiting {
		if j.gang != nil && !j.gang.done && !j.gang.isActive() {
			waiting = append(waiting, j)
		}
	}
	sort.Slice(waiting, func(i, j int) bool {
		a, b := waiting[i].record, waiting[j].record
		if a.AcceptedMS != b.AcceptedMS {
			return a.AcceptedMS < b.AcceptedMS
		}
		return a.ID < b.ID
	})
	return waiting
}

// gangReserveCandidate is a machine that may be reserved for gangs.
type gangReserveCandidate struct {
	machine      *machine
	cachedShapes int       // gang shapes whose image the machine holds
	available    resources // free or used by arrays, which end soon, and not yet reserved
}

// gangReserveCandidates returns the machines that may be reserved for gangs. Machines
// that hold the images of the most gang shapes come first, then machines with the most
// available CPUs.
func (g *gangReserves) gangReserveCandidates(v *fleetView, now time.Time) []*gangReserveCandidate {
	var candidates []*gangReserveCandidate
	for _, m := range v.fleet {
		if m.consolidating || m.reservedFor != nil || !v.isSchedulable(now, m) {
			continue
		}
		available := v.freeOrArrayCapacity(m)
		if available.cpus < roundingSlack {
			continue
		}
		candidates = append(candidates, &gangReserveCandidate{machine: m, cachedShapes: g.countCachedShapes(m), available: available})
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		switch {
		case a.cachedShapes != b.cachedShapes:
			return a.cachedShapes > b.cachedShapes
		case a.available.cpus != b.available.cpus:
			return a.available.cpus > b.available.cpus
		}
		return a.machine.name < b.machine.name
	})
	return candidates
}

// freeOrArrayCapacity returns the capacity of a machine that is free or used by arrays.
func (k *knownState) freeOrArrayCapacity(m *machine) resources {
	available := k.freeResources(m)
	for _, a := range m.attempts {
		t := k.taskOf(a)
		if t != nil && !a.hasExited() && !t.job.record.Spec.AllOrNothing() {
			available = available.plus(a.resources)
		}
	}
	return available
}

// countCachedShapes returns the number of known gang shapes whose image a machine holds.
func (g *gangReserves) countCachedShapes(m *machine) int {
	count := 0
	for _, shape := range g.gangShapes {
		if m.cachedImages[shape.spec.Image] {
			count++
		}
	}
	return count
}

// reserveForGang reserves machines for the tasks of a waiting gang, for as many of the
// tasks as fit.
func reserveForGang(candidates []*gangReserveCandidate, j *job) {
	s := &j.record.Spec
	demand := taskResources(s)
	remaining := len(j.tasks)
	for _, c := range candidates {
		if remaining == 0 {
			return
		}
		if !isEligible(s, c.machine.typeName, c.machine.spot) {
			continue
		}
		count := min(remaining, c.available.countFitting(demand))
		if count > 0 {
			c.machine.reservedForGangs = true
			c.available = c.available.minus(demand.times(count))
			remaining -= count
		}
	}
}

// reserveForArrivals reserves on-demand machines with the given number of CPUs for gangs
// that are expected.
func reserveForArrivals(candidates []*gangReserveCandidate, cpus float64) {
	for _, c := range candidates {
		if cpus <= roundingSlack {
			return
		}
		if !c.machine.spot && c.available.cpus > roundingSlack {
			c.machine.reservedForGangs = true
			cpus -= c.available.cpus
		}
	}
}

// targetGangReserve returns the capacity (CPUs) to hold in reserve for gangs: that of
// the arrivals expected while a machine boots, but at least that of the largest recent
// gang. It returns 0 if gangs have stopped arriving.
func (g *gangReserves) targetGangReserve(v *fleetView, now time.Time) float64 {
	largest := g.gangArrivals.largest.cpus
	if largest == 0 {
		return 0
	}
	expected := g.gangArrivals.expectedCPUs(now, time.Duration(v.maxBootSeconds()*float64(time.Second)))
	if expected < largest*constants.MinGangArrivalShare {
		return 0
	}
	return max(largest, constants.ReserveFactor*expected)
}

// missingGangReserve returns how much of the gang reserve (CPUs) is neither free nor
// pending.
func (c *Core) missingGangReserve() float64 {
	if c.gangReserveCPUs == 0 {
		return 0
	}
	missing := c.gangReserveCPUs
	for _, m := range c.fleet {
		if m.reservedForGangs {
			missing -= max(0, c.freeResources(m).cpus)
		}
	}
	for _, p := range c.pendingCapacity {
		if !p.spot {
			missing -= p.free.cpus
		}
	}
	return missing
}

// gangCapacities returns, by gang shape, how many tasks of a recent shape would start
// now, and how many of those on machines that hold the image. It deletes shapes that
// were not seen for constants.GangShapeRetention.
func (g *gangReserves) gangCapacities(v *fleetView, now time.Time) map[string]leader.GangCapacity {
	out := map[string]leader.GangCapacity{}
	for key, shape := range g.gangShapes {
		if now.Sub(shape.lastSeen) > constants.GangShapeRetention {
			delete(g.gangShapes, key)
			continue
		}
		out[key] = v.gangCapacity(now, &shape.spec)
	}
	return out
}
