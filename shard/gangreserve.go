package shard

import (
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/records"
	"ravenport/wire"
)

// gangReserves is the room to be held ready for gangs.
type gangReserves struct {
	gangArrivals    arrivalRate // each as a whole
	gangShapes      map[string]gangShape
	gangReserveCPUs float64 // CPUs
}

// recordGangShape remembers what gangs look like, whichever shard has them: the leader
// wants to know whether one of that shape would start here.
func (g *gangReserves) recordGangShape(now time.Time, rec *records.Job) {
	if !rec.Spec.IsGang() || rec.End != "" {
		return
	}
	key := leader.GangShape(&rec.Spec)
	if _, known := g.gangShapes[key]; !known && len(g.gangShapes) >= constants.MaxGangShapes {
		oldest := key
		for k, sh := range g.gangShapes {
			if oldest == key || sh.lastSeen.Before(g.gangShapes[oldest].lastSeen) || sh.lastSeen.Equal(g.gangShapes[oldest].lastSeen) && k < oldest {
				oldest = k
			}
		}
		delete(g.gangShapes, oldest)
	}
	g.gangShapes[key] = gangShape{rec.Spec, now}
}

type gangShape struct {
	spec     wire.Submission
	lastSeen time.Time
}

// gangCapacities is how many tasks of each shape of gang seen lately would start
// now, and how many of them on machines that hold the image.
func (reserves *gangReserves) gangCapacities(v *fleetView, now time.Time) map[string]leader.GangCapacity {
	out := map[string]leader.GangCapacity{}
	for key, sh := range reserves.gangShapes {
		if now.Sub(sh.lastSeen) > constants.GangShapeRetention {
			delete(reserves.gangShapes, key)
			continue
		}
		s := &sh.spec
		n := taskResources(s)
		var g leader.GangCapacity
		for _, m := range v.fleet {
			if m.consolidating || !isEligible(s, m.typeName, m.spot) || !v.isSchedulable(now, m) {
				continue
			}
			k := v.freeResources(m).holdsOf(n)
			g.Now += k
			if m.cachedImages[s.Image] {
				g.Warm += k
			}
		}
		out[key] = g
	}
	return out
}

// reserveMachinesForGangs picks the machines on which no array begins, so that gangs find
// room at once: enough for those that wait and for what is expected to come. A
// gang needs all its places at the same moment, and arrays would take each that
// falls free. It is made anew each time, so none outlives its reason.
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
	machines := c.gangReserveCandidates(&c.fleetView, now)
	for _, j := range waiting {
		reserveForGang(machines, j)
	}
	left := c.gangReserveCPUs
	for _, k := range machines {
		if left <= roundingSlack {
			break
		}
		if !k.machine.spot && k.available.cpus > roundingSlack {
			k.machine.reservedForGangs = true
			left -= k.available.cpus
		}
	}
}

// waitingGangs lists the gangs that are to be started, in the order in which they came.
func (p *placement) waitingGangs() []*job {
	var waiting []*job
	for j := range p.waiting {
		if g := j.gang; g != nil && !g.done && (g.attempt == 0 || g.failed) {
			waiting = append(waiting, j)
		}
	}
	sort.Slice(waiting, func(a, b int) bool {
		x, y := waiting[a].rec, waiting[b].rec
		return x.AcceptedMS < y.AcceptedMS || x.AcceptedMS == y.AcceptedMS && x.ID < y.ID
	})
	return waiting
}

// gangMachine is a machine whose room may be kept for gangs.
type gangMachine struct {
	machine      *machine
	cachedShapes int       // shapes of gangs whose image it holds
	available    resources // free, or held by arrays, which end soon
}

// gangReserveCandidates lists the machines whose room may be kept for gangs, those with the
// most of their images first, then by room.
func (g *gangReserves) gangReserveCandidates(v *fleetView, now time.Time) []*gangMachine {
	var list []*gangMachine
	for _, m := range v.fleet {
		if m.consolidating || m.reservedFor != nil || !v.isSchedulable(now, m) {
			continue
		}
		k := &gangMachine{machine: m, available: v.freeResources(m)}
		for _, att := range m.attempts {
			if t := v.taskOf(att); t != nil && !att.hasExited() && !t.job.rec.Spec.AllOrNothing() {
				k.available = k.available.plus(att.resources)
			}
		}
		if k.available.cpus < roundingSlack {
			continue
		}
		for _, sh := range g.gangShapes {
			if m.cachedImages[sh.spec.Image] {
				k.cachedShapes++
			}
		}
		list = append(list, k)
	}
	sort.Slice(list, func(a, b int) bool {
		x, y := list[a], list[b]
		switch {
		case x.cachedShapes != y.cachedShapes:
			return x.cachedShapes > y.cachedShapes
		case x.available.cpus != y.available.cpus:
			return x.available.cpus > y.available.cpus
		}
		return x.machine.name < y.machine.name
	})
	return list
}

// reserveForGang keeps room for all tasks of a gang that waits, as far as there is any.
func reserveForGang(machines []*gangMachine, j *job) {
	s := &j.rec.Spec
	n, left := taskResources(s), len(j.tasks)
	for _, k := range machines {
		if left == 0 {
			return
		}
		if !isEligible(s, k.machine.typeName, k.machine.spot) {
			continue
		}
		if t := min(left, k.available.holdsOf(n)); t > 0 {
			k.machine.reservedForGangs = true
			k.available = k.available.minus(n.times(t))
			left -= t
		}
	}
}

// targetGangReserve is the room (CPUs) held ready for gangs: what is expected to
// arrive while a machine would boot, and the largest of late at least.
func (g *gangReserves) targetGangReserve(v *fleetView, now time.Time) float64 {
	if g.gangArrivals.largest.cpus == 0 {
		return 0
	}
	within := g.gangArrivals.expectedCPUs(now, time.Duration(v.maxBootSeconds()*float64(time.Second)))
	if within < g.gangArrivals.largest.cpus*constants.MinGangArrivalShare {
		return 0 // they have stopped coming
	}
	return max(g.gangArrivals.largest.cpus, constants.ReserveFactor*within)
}

// missingGangReserve is how much of that reserve (CPUs) is neither free nor coming.
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
	for _, b := range c.pendingCapacity {
		if !b.spot {
			missing -= b.free.cpus
		}
	}
	return missing
}
