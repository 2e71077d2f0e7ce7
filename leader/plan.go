package leader

import (
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// share is a number of tasks for a shard.
type share struct {
	shard string
	n     int
	keep  bool
}

// candidate is a shard that may take tasks of a job, with the figures that it is
// ranked by. All of them count what was assigned since the owner took them.
type candidate struct {
	name     string
	most     int     // tasks of the job that the zone rules leave it
	fresh    bool    // its owner has sent figures lately
	takes    int     // tasks that it is estimated to have room for
	room     float64 // summed free room (CPUs)
	waiting  float64 // CPUs that wait there
	size     float64 // CPUs of machines that are there, coming or will be rented
	rentable bool    // it may still get machines of a kind that the job may use
	maxQueue float64 // CPUs that may wait there though no machine is coming
	warm     int     // production tasks that need not wait for their image
	gang     gangFigures
}

// candidates lists the shards that the zone rules allow. ok is false while a new leader
// has no figures yet and should wait for some.
func (c *Core) candidates(now time.Time, j *jobState) (list []*candidate, ok bool) {
	limits := c.caps(j)
	anyFresh := false
	for _, zone := range c.set.Deployment.Zones {
		limit, allowed := limits[zone]
		if !allowed || limit <= 0 {
			continue
		}
		k := &candidate{name: zone, most: limit}
		if p := c.shards[zone]; now.Sub(p.at) < constants.StaleAggregate {
			k.take(p, &j.rec.Spec)
			anyFresh = true
		}
		list = append(list, k)
	}
	if !anyFresh && now.Sub(c.began) < constants.StaleAggregate {
		return nil, false
	}
	return list, len(list) > 0
}

// take fills in a shard's figures.
func (k *candidate) take(p *shardState, s *wire.Submission) {
	a := p.agg
	k.fresh = true
	k.waiting = a.WaitingCPUs
	for _, b := range p.bookings {
		sub(&a.OnDemand, &a.Spot, b)
		k.waiting += b.cpus
		k.size += b.cpus
	}
	k.size += a.Capacity + a.WaitingCPUs
	k.takes = a.EstimateTasks(s)
	k.room = a.OnDemand.CPUs.Sum
	if s.Spot {
		k.room += a.Spot.CPUs.Sum
	}
	k.maxQueue = a.Capacity * constants.QueueShare
	k.rentable = a.CanScaleOutOnDemand || s.Spot && a.CanScaleOutSpot
	k.warm = min(p.warmTasks(s), k.takes, k.most)
	if s.IsGang() {
		k.gang = p.gangFigures(s, k.takes)
	}
}

// warmTasks estimates how many production tasks find their image in a shard.
func (p *shardState) warmTasks(s *wire.Submission) int {
	if s.Priority != wire.PriorityProduction || s.CPUs <= 0 {
		return 0
	}
	warm := p.agg.Warm[s.Image]
	for _, b := range p.bookings {
		if !b.spot {
			warm -= b.cpus
		}
	}
	return max(0, int(warm/s.CPUs))
}

// fits is how many tasks it takes at once, by its room and by the zone rules.
func (k *candidate) fits() int { return min(k.takes, k.most) }

// plan spreads n tasks over the shards in the order of the design: of the
// shards that take all, the one left with the least summed room; what does not
// fit goes on to the next. What fits nowhere is kept by the shard that waits
// least and can still rent.
func (c *Core) plan(now time.Time, j *jobState, n int) []share {
	list, ok := c.candidates(now, j)
	if !ok {
		return nil
	}
	s := &j.rec.Spec
	rankByRoom(list, n, s.CPUs*float64(n))
	out, left := giveRoom(list, s, n, j.tries > 2)
	if left == 0 || s.OneZone && len(out) > 0 {
		return out
	}
	rankByQueue(list)
	return append(out, giveQueue(list, s, left)...)
}

// rankByRoom puts shards that take everything first, by least room left after it, then
// the others by what they take. Where production tasks find their image, they start at
// once, so those shards come before all others.
func rankByRoom(list []*candidate, n int, need float64) {
	sort.SliceStable(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if x, y := min(x.warm, n), min(y.warm, n); x != y {
			return x > y
		}
		if (x.fits() >= n) != (y.fits() >= n) {
			return x.fits() >= n
		}
		if x.fits() >= n {
			return x.room-need < y.room-need
		}
		return x.fits() > y.fits()
	})
}

// giveRoom gives each shard in turn what it has room for, and returns what is left.
func giveRoom(list []*candidate, s *wire.Submission, n int, keep bool) (out []share, left int) {
	left = n
	for _, k := range list {
		fits := k.fits()
		if s.OneZone && fits < left {
			continue
		}
		if t := min(fits, left); t > 0 {
			out = append(out, share{k.name, t, keep})
			k.most -= t
			left -= t
		}
	}
	return out, left
}

// rankByQueue is for tasks with no room in sight: whoever can rent and is smallest
// first, so that the shards grow alike; then whoever has the shortest queue.
func rankByQueue(list []*candidate) {
	sort.SliceStable(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if x.fresh != y.fresh {
			return x.fresh
		}
		if x.rentable != y.rentable {
			return x.rentable
		}
		if x.rentable {
			return x.size < y.size
		}
		return x.waiting < y.waiting
	})
}

// giveQueue gives shards tasks that wait there for room.
func giveQueue(list []*candidate, s *wire.Submission, left int) (out []share) {
	for _, k := range list {
		if s.OneZone && (k.most < left || len(out) > 0) {
			continue
		}
		// An owner is not given more than it could rent for in a while: what
		// waits with it costs it time in every round.
		t := min(k.most, left, constants.MaxGiven, max(0, int((constants.MaxQueued-k.waiting)/max(s.CPUs, 0.1))))
		if !k.rentable && k.fresh && !s.IsService() {
			// No machine is to be had: the tasks wait here for the first room
			// of any shard. A few wait with the owner, so that what falls free
			// there is taken again at once.
			t = min(t, int((k.maxQueue-k.waiting)/max(s.CPUs, 0.1)))
		}
		if t > 0 {
			out = append(out, share{k.name, t, true})
			left -= t
		}
	}
	return out
}

// sub takes a booking off the free room.
func sub(ord, spot *FreeCapacity, b booking) {
	r := ord
	if b.spot && spot.CPUs.Sum >= b.cpus {
		r = spot
	}
	r.CPUs.Sum -= b.cpus
	r.GPUs.Sum -= b.gpus
	r.Memory.Sum -= b.mem
}

// caps says how many more tasks of a job each allowed shard may take, by the
// job's zone rules, counting every task that may be running.
func (c *Core) caps(j *jobState) map[string]int {
	s := &j.rec.Spec
	held := map[string]int{}
	for _, ch := range j.rec.Assignments {
		if !ch.Closed {
			held[ch.Shard] += ch.Tasks()
		}
	}
	out := map[string]int{}
	for _, z := range c.set.Deployment.Zones {
		if s.Zone != "" && s.Zone != z {
			continue
		}
		limit := s.Tasks
		if s.Spread {
			limit = (s.Tasks + 1) / 2
		}
		if s.OneZone {
			for other, n := range held {
				if other != z && n > 0 {
					limit = 0
				}
			}
		}
		out[z] = limit - held[z]
	}
	return out
}
