package shard

import (
	"time"

	"ravenport/constants"
	"ravenport/leader"
)

// aggregates holds the last aggregates of other shards, and whether this shard's aggregate
// has changed since it was last pushed.
type aggregates struct {
	otherShards      map[string]otherShard // by shard
	aggregateChanged bool
}

// otherShard is the last aggregate that was received from another shard.
type otherShard struct {
	aggregate  leader.Aggregate
	receivedAt time.Time
}

// Aggregate returns the aggregate that the owner pushes to the leader. The free resources in
// it are those of the schedulable machines, and the capacity of pending machines that waiting
// tasks do not need.
func (c *Core) Aggregate(now time.Time, revision uint64) leader.Aggregate {
	aggregate := leader.Aggregate{
		Shard:               c.cfg.Shard,
		Term:                c.term,
		Revision:            revision,
		WaitingCPUs:         c.excessCPUs,
		Warm:                map[string]float64{},
		CanScaleOutOnDemand: c.canScaleOut(&c.fleetView, now, false),
		CanScaleOutSpot:     c.cfg.UseSpot && c.canScaleOut(&c.fleetView, now, true),
	}
	for _, m := range c.fleet {
		if !c.isSchedulable(now, m) {
			if c.isPendingMachine(now, m) {
				aggregate.Capacity += m.capacity.cpus
			}
			continue
		}
		aggregate.Capacity += m.capacity.cpus
		free := c.freeResources(m)
		aggregate.AddMachine(m.typeName, m.spot, free.cpus, free.gpus, free.memory)
		if m.spot {
			continue
		}
		aggregate.AddPreemptible(m.typeName, c.usageOf(m).preemptibleCPUs)
		available := c.productionCPUs(m)
		for image := range m.cachedImages {
			aggregate.Warm[image] += available
		}
	}
	aggregate.Gangs = c.gangCapacities(&c.fleetView, now)
	aggregate.ReservedForGangs = c.gangReserveCPUs
	for _, pending := range c.pendingCapacity {
		aggregate.AddMachine(pending.typeName, pending.spot, pending.free.cpus, pending.free.gpus, pending.free.memory)
	}
	for _, r := range c.pendingScaleOuts {
		if t := c.types[r.request.Type]; t != nil {
			aggregate.Capacity += t.CPUs * float64(r.request.Count)
		}
	}
	aggregate.Finish()
	return aggregate
}

// PushDue reports whether the aggregate has changed since the last call.
func (f *aggregates) PushDue() bool {
	due := f.aggregateChanged
	f.aggregateChanged = false
	return due
}

// PushInterval returns the minimum interval between two pushes for a shard of this size.
func (k *knownState) PushInterval() time.Duration {
	return constants.MinPushInterval + time.Duration(len(k.fleet))*constants.PushIntervalPerMachine
}

// ApplyOtherShards stores the aggregates of other shards. They decide on offloading: tasks
// that wait for machines that the cloud does not have are offloaded to the leader only if
// another shard has capacity for them.
func (c *Core) ApplyOtherShards(now time.Time, list []leader.Aggregate) {
	for _, a := range list {
		if a.Shard != c.cfg.Shard {
			c.otherShards[a.Shard] = otherShard{a, now}
		}
	}
}
