package shard

import (
	"time"

	"ravenport/constants"
	"ravenport/leader"
)

// aggregates is what other shards have told, and whether this one has something to tell.
type aggregates struct {
	otherShards      map[string]otherShard // by shard
	aggregateChanged bool
}

type otherShard struct {
	aggregate  leader.Aggregate
	receivedAt time.Time
}

// Aggregate is what the owner pushes to the leader: the free room of the
// machines that take tasks and, less what already waits for it, of those that
// are coming.
func (c *Core) Aggregate(now time.Time, revision uint64) leader.Aggregate {
	a := leader.Aggregate{Shard: c.cfg.Shard, Term: c.term, Revision: revision, WaitingCPUs: c.excessCPUs,
		Warm: map[string]float64{}, CanScaleOutOnDemand: c.canScaleOut(&c.fleetView, now, false), CanScaleOutSpot: c.cfg.UseSpot && c.canScaleOut(&c.fleetView, now, true)}
	add := func(free resources, spot bool) {
		r := &a.OnDemand
		if spot {
			r = &a.Spot
		}
		r.Machines++
		r.CPUs.Add(free.cpus)
		r.GPUs.Add(free.gpus)
		r.Memory.Add(free.memory)
	}
	for _, m := range c.fleet {
		if !c.isSchedulable(now, m) {
			if c.isPendingMachine(now, m) {
				a.Capacity += m.capacity.cpus
			}
			continue
		}
		a.Capacity += m.capacity.cpus
		add(c.freeResources(m), m.spot)
		if m.spot {
			continue
		}
		a.Preemptible += c.usageOf(m).preemptibleCPUs
		room := c.productionCPUs(m)
		for image := range m.cachedImages {
			a.Warm[image] += room
		}
	}
	a.Gangs, a.ReservedForGangs = c.gangCapacities(&c.fleetView, now), c.gangReserveCPUs
	for _, b := range c.pendingCapacity {
		add(b.free, b.spot)
	}
	for _, r := range c.pendingScaleOuts {
		if t := c.types[r.request.Type]; t != nil {
			a.Capacity += t.CPUs * float64(r.request.Count)
		}
	}
	for _, r := range []*leader.FreeCapacity{&a.OnDemand, &a.Spot} {
		r.CPUs.Finish(r.Machines)
		r.GPUs.Finish(r.Machines)
		r.Memory.Finish(r.Machines)
	}
	return a
}

// PushDue says whether the aggregate has changed since it was last taken.
func (f *aggregates) PushDue() bool { d := f.aggregateChanged; f.aggregateChanged = false; return d }

// PushInterval is the least time between two pushes of a part of this size.
func (k *knownState) PushInterval() time.Duration {
	return constants.MinPushInterval + time.Duration(len(k.fleet))*constants.PushIntervalPerMachine
}

// ApplyOtherShards takes in what the other shards push. Tasks that wait for machines that
// are not to be had go up again only when some other shard has room.
func (c *Core) ApplyOtherShards(now time.Time, as []leader.Aggregate) {
	for _, a := range as {
		if a.Shard != c.cfg.Shard {
			c.otherShards[a.Shard] = otherShard{a, now}
		}
	}
}
