package leader

import (
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// plannedAssignment is a number of tasks for a shard.
type plannedAssignment struct {
	shard       string
	tasks       int
	keepWaiting bool
}

// candidate is a shard that may take tasks of a job, with the figures that it is
// ranked by. All of them count what was assigned since the owner took them.
type candidate struct {
	shard          string
	maxTasks       int     // tasks of the job that the zone rules leave it
	isFresh        bool    // its owner has sent figures lately
	estimatedTasks int     // tasks that it is estimated to have room for
	freeCPUs       float64 // summed free room (CPUs)
	queuedCPUs     float64 // CPUs that wait there
	totalCPUs      float64 // CPUs of machines that are there, coming or will be rented
	canScaleOut    bool    // it may still get machines of a kind that the job may use
	maxQueuedCPUs  float64 // CPUs that may wait there though no machine is coming
	warmTasks      int     // production tasks that need not wait for their image
	gang           gangEstimate
}

// candidates lists the shards that the zone rules allow. ok is false while a new leader
// has no figures yet and should wait for some.
func (c *Core) candidates(now time.Time, j *jobState) (list []*candidate, ok bool) {
	limits := c.remainingTasksByShard(j)
	anyFresh := false
	for _, zone := range c.settings.Deployment.Zones {
		limit, allowed := limits[zone]
		if !allowed || limit <= 0 {
			continue
		}
		k := &candidate{shard: zone, maxTasks: limit}
		if p := c.shards[zone]; now.Sub(p.updatedAt) < constants.AggregateStaleAfter {
			k.loadAggregate(p, &j.record.Spec)
			anyFresh = true
		}
		list = append(list, k)
	}
	if !anyFresh && now.Sub(c.startedAt) < constants.AggregateStaleAfter {
		return nil, false
	}
	return list, len(list) > 0
}

// loadAggregate fills in a shard's figures.
func (k *candidate) loadAggregate(p *shardState, s *wire.Submission) {
	a := p.aggregate
	k.isFresh = true
	k.queuedCPUs = a.WaitingCPUs
	for _, b := range p.reservations {
		subtractReservation(&a.OnDemand, &a.Spot, b)
		k.queuedCPUs += b.cpus
		k.totalCPUs += b.cpus
	}
	k.totalCPUs += a.Capacity + a.WaitingCPUs
	k.estimatedTasks = a.EstimateTasks(s)
	k.freeCPUs = a.OnDemand.CPUs.Sum
	if s.Spot {
		k.freeCPUs += a.Spot.CPUs.Sum
	}
	k.maxQueuedCPUs = a.Capacity * constants.MaxQueueShare
	k.canScaleOut = a.CanScaleOutOnDemand || s.Spot && a.CanScaleOutSpot
	k.warmTasks = min(p.countWarmTasks(s), k.estimatedTasks, k.maxTasks)
	if s.IsGang() {
		k.gang = p.estimateGang(s, k.estimatedTasks)
	}
}

// countWarmTasks estimates how many production tasks find their image in a shard.
func (p *shardState) countWarmTasks(s *wire.Submission) int {
	if s.Priority != wire.PriorityProduction || s.CPUs <= 0 {
		return 0
	}
	warm := p.aggregate.Warm[s.Image]
	for _, b := range p.reservations {
		if !b.spot {
			warm -= b.cpus
		}
	}
	return max(0, int(warm/s.CPUs))
}

// fittingTasks is how many tasks it takes at once, by its room and by the zone rules.
func (k *candidate) fittingTasks() int { return min(k.estimatedTasks, k.maxTasks) }

// planIndependentTasks spreads n tasks over the shards in the order of the design: of the
// shards that take all, the one left with the least summed room; what does not
// fit goes on to the next. What fits nowhere is kept by the shard that waits
// least and can still rent.
func (c *Core) planIndependentTasks(now time.Time, j *jobState, n int) []plannedAssignment {
	list, ok := c.candidates(now, j)
	if !ok {
		return nil
	}
	s := &j.record.Spec
	rankByFit(list, n, s.CPUs*float64(n))
	out, left := assignToFreeCapacity(list, s, n, j.reassignments > 2)
	if left == 0 || s.OneZone && len(out) > 0 {
		return out
	}
	rankForQueueing(list)
	return append(out, assignToQueues(list, s, left)...)
}

// rankByFit puts shards that take everything first, by least room left after it, then
// the others by what they take. Where production tasks find their image, they start at
// once, so those shards come before all others.
func rankByFit(list []*candidate, n int, need float64) {
	sort.SliceStable(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if x, y := min(x.warmTasks, n), min(y.warmTasks, n); x != y {
			return x > y
		}
		if (x.fittingTasks() >= n) != (y.fittingTasks() >= n) {
			return x.fittingTasks() >= n
		}
		if x.fittingTasks() >= n {
			return x.freeCPUs-need < y.freeCPUs-need
		}
		return x.fittingTasks() > y.fittingTasks()
	})
}

// assignToFreeCapacity gives each shard in turn what it has room for, and returns what is left.
func assignToFreeCapacity(list []*candidate, s *wire.Submission, n int, keep bool) (out []plannedAssignment, left int) {
	left = n
	for _, k := range list {
		fits := k.fittingTasks()
		if s.OneZone && fits < left {
			continue
		}
		if t := min(fits, left); t > 0 {
			out = append(out, plannedAssignment{k.shard, t, keep})
			k.maxTasks -= t
			left -= t
		}
	}
	return out, left
}

// rankForQueueing is for tasks with no room in sight: whoever can rent and is smallest
// first, so that the shards grow alike; then whoever has the shortest queue.
func rankForQueueing(list []*candidate) {
	sort.SliceStable(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if x.isFresh != y.isFresh {
			return x.isFresh
		}
		if x.canScaleOut != y.canScaleOut {
			return x.canScaleOut
		}
		if x.canScaleOut {
			return x.totalCPUs < y.totalCPUs
		}
		return x.queuedCPUs < y.queuedCPUs
	})
}

// assignToQueues gives shards tasks that wait there for room.
func assignToQueues(list []*candidate, s *wire.Submission, left int) (out []plannedAssignment) {
	for _, k := range list {
		if s.OneZone && (k.maxTasks < left || len(out) > 0) {
			continue
		}
		// An owner is not given more than it could rent for in a while: what
		// waits with it costs it time in every round.
		t := min(k.maxTasks, left, constants.MaxQueuedTasks, max(0, int((constants.MaxQueuedCPUs-k.queuedCPUs)/max(s.CPUs, 0.1))))
		if !k.canScaleOut && k.isFresh && !s.IsService() {
			// No machine is to be had: the tasks wait here for the first room
			// of any shard. A few wait with the owner, so that what falls free
			// there is taken again at once.
			t = min(t, int((k.maxQueuedCPUs-k.queuedCPUs)/max(s.CPUs, 0.1)))
		}
		if t > 0 {
			out = append(out, plannedAssignment{k.shard, t, true})
			left -= t
		}
	}
	return out
}

// subtractReservation takes a booking off the free room.
func subtractReservation(ord, spot *FreeCapacity, b capacityReservation) {
	r := ord
	if b.spot && spot.CPUs.Sum >= b.cpus {
		r = spot
	}
	r.CPUs.Sum -= b.cpus
	r.GPUs.Sum -= b.gpus
	r.Memory.Sum -= b.mem
}

// remainingTasksByShard says how many more tasks of a job each allowed shard may take, by the
// job's zone rules, counting every task that may be running.
func (c *Core) remainingTasksByShard(j *jobState) map[string]int {
	s := &j.record.Spec
	held := map[string]int{}
	for _, ch := range j.record.Assignments {
		if !ch.Closed {
			held[ch.Shard] += ch.Tasks()
		}
	}
	out := map[string]int{}
	for _, z := range c.settings.Deployment.Zones {
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
