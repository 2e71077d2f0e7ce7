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
	gangs    arrivals // each as a whole
	shapes   map[string]gangShape
	gangNeed float64 // CPUs
}

// noteGang remembers what gangs look like, whichever shard has them: the leader
// wants to know whether one of that shape would start here.
func (g *gangReserves) noteGang(now time.Time, rec *records.Job) {
	if !rec.Spec.IsGang() || rec.End != "" {
		return
	}
	key := leader.GangShape(&rec.Spec)
	if _, known := g.shapes[key]; !known && len(g.shapes) >= constants.MaxShapes {
		oldest := key
		for k, sh := range g.shapes {
			if oldest == key || sh.at.Before(g.shapes[oldest].at) || sh.at.Equal(g.shapes[oldest].at) && k < oldest {
				oldest = k
			}
		}
		delete(g.shapes, oldest)
	}
	g.shapes[key] = gangShape{rec.Spec, now}
}

type gangShape struct {
	spec wire.Submission
	at   time.Time
}

// gangFigures is how many tasks of each shape of gang seen lately would start
// now, and how many of them on machines that hold the image.
func (reserves *gangReserves) gangFigures(v *fleetView, now time.Time) map[string]leader.GangCapacity {
	out := map[string]leader.GangCapacity{}
	for key, sh := range reserves.shapes {
		if now.Sub(sh.at) > constants.ShapeMemory {
			delete(reserves.shapes, key)
			continue
		}
		s := &sh.spec
		n := need(s)
		var g leader.GangCapacity
		for _, m := range v.fleet {
			if m.draining || !allowed(s, m.typeName, m.spot) || !v.usable(now, m) {
				continue
			}
			k := v.free(m).holdsOf(n)
			g.Now += k
			if m.images[s.Image] {
				g.Warm += k
			}
		}
		out[key] = g
	}
	return out
}

// keepForGangs picks the machines on which no array begins, so that gangs find
// room at once: enough for those that wait and for what is expected to come. A
// gang needs all its places at the same moment, and arrays would take each that
// falls free. It is made anew each time, so none outlives its reason.
func (c *Core) keepForGangs(now time.Time) {
	c.refresh(&c.fleetView)
	c.gangNeed = c.gangReserve(&c.fleetView, now)
	waiting := c.waitingGangs()
	for _, m := range c.fleet {
		m.forGangs = false
	}
	if c.gangNeed == 0 && len(waiting) == 0 {
		return
	}
	machines := c.machinesForGangs(&c.fleetView, now)
	for _, j := range waiting {
		keepForGang(machines, j)
	}
	left := c.gangNeed
	for _, k := range machines {
		if left <= slack {
			break
		}
		if !k.m.spot && k.room.cpus > slack {
			k.m.forGangs = true
			left -= k.room.cpus
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
	m    *machine
	warm int       // shapes of gangs whose image it holds
	room resources // free, or held by arrays, which end soon
}

// machinesForGangs lists the machines whose room may be kept for gangs, those with the
// most of their images first, then by room.
func (g *gangReserves) machinesForGangs(v *fleetView, now time.Time) []*gangMachine {
	var list []*gangMachine
	for _, m := range v.fleet {
		if m.draining || m.keptFor != nil || !v.usable(now, m) {
			continue
		}
		k := &gangMachine{m: m, room: v.free(m)}
		for _, h := range m.holds {
			if t := v.taskOf(h); t != nil && !h.exited() && !t.job.rec.Spec.AllOrNothing() {
				k.room = k.room.plus(h.needs)
			}
		}
		if k.room.cpus < slack {
			continue
		}
		for _, sh := range g.shapes {
			if m.images[sh.spec.Image] {
				k.warm++
			}
		}
		list = append(list, k)
	}
	sort.Slice(list, func(a, b int) bool {
		x, y := list[a], list[b]
		switch {
		case x.warm != y.warm:
			return x.warm > y.warm
		case x.room.cpus != y.room.cpus:
			return x.room.cpus > y.room.cpus
		}
		return x.m.name < y.m.name
	})
	return list
}

// keepForGang keeps room for all tasks of a gang that waits, as far as there is any.
func keepForGang(machines []*gangMachine, j *job) {
	s := &j.rec.Spec
	n, left := need(s), len(j.tasks)
	for _, k := range machines {
		if left == 0 {
			return
		}
		if !allowed(s, k.m.typeName, k.m.spot) {
			continue
		}
		if t := min(left, k.room.holdsOf(n)); t > 0 {
			k.m.forGangs = true
			k.room = k.room.minus(n.times(t))
			left -= t
		}
	}
}

// gangReserve is the room (CPUs) held ready for gangs: what is expected to
// arrive while a machine would boot, and the largest of late at least.
func (g *gangReserves) gangReserve(v *fleetView, now time.Time) float64 {
	if g.gangs.largest.cpus == 0 {
		return 0
	}
	within := g.gangs.within(now, time.Duration(v.bootS()*float64(time.Second)))
	if within < g.gangs.largest.cpus*constants.GangsFaint {
		return 0 // they have stopped coming
	}
	return max(g.gangs.largest.cpus, constants.ReserveFactor*within)
}

// gangRoomMissing is how much of that reserve (CPUs) is neither free nor coming.
func (c *Core) gangRoomMissing() float64 {
	if c.gangNeed == 0 {
		return 0
	}
	missing := c.gangNeed
	for _, m := range c.fleet {
		if m.forGangs {
			missing -= max(0, c.free(m).cpus)
		}
	}
	for _, b := range c.roomComing {
		if !b.spot {
			missing -= b.free.cpus
		}
	}
	return missing
}
