package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/wire"
)

// scaleOutForGang rents for all of a waiting gang that finds no place in what is
// coming, or gives it back where another shard is known to have room.
func (c *Core) scaleOutForGang(now time.Time, j *job, want map[machineKind]int) {
	s := &j.rec.Spec
	n := taskResources(s)
	g := j.gang
	if g.done || g.attempt != 0 && !g.failed {
		return // under way; a replacement needs no machine of its own
	}
	left := len(j.tasks)
	c.unplacedDemand = c.unplacedDemand.plus(n.times(left))
	for i := range c.pendingCapacity {
		b := &c.pendingCapacity[i]
		if left > 0 && isEligible(s, b.typeName, b.spot) {
			k := min(left, b.free.holdsOf(n))
			b.free = b.free.minus(n.times(k))
			left -= k
		}
	}
	// Free room counts as well: it is what the gang's places will be made of.
	if !c.partitioned {
		for _, m := range c.fleet {
			if left > 0 && m.reservedForGangs && isEligible(s, m.typeName, m.spot) && c.isSchedulable(now, m) {
				left -= min(left, c.freeResources(m).holdsOf(n))
			}
		}
	}
	if left == 0 {
		return
	}
	typ, spot, ok := c.cheapestMachineKind(&c.fleetView, now, s)
	waited := now.Sub(j.gangArrivedAt)
	back := now.Sub(j.sentBackAt) > constants.OffloadWait && !spansShards(j.rec, c.cfg.Shard)
	// Where it has waited for long and the cloud has no more, no shard may hold it
	// whole: then the leader spreads it, if it may.
	apart := !ok && !s.OneZone && s.Zone == "" && waited > constants.OffloadWait && leader.IsOverdue(now, j.rec, false)
	if back && ((!ok || waited > constants.GangOffloadWait) && c.otherShardFitsGang(now, s) || apart) {
		slog.Info("gang goes back to the leader", "job", s.ID, "spread", apart)
		c.offloadGang(now, j)
		return
	}
	for ok && left > 0 {
		size := machineResources(typ)
		k := min(left, max(1, size.holdsOf(n)))
		c.planMachine(typ, spot, n.times(k), want)
		left -= k
	}
	c.excessCPUs += n.cpus * float64(left)
}

// otherShardFitsGang says whether another shard is known to take all of a gang now.
func (f *aggregates) otherShardFitsGang(now time.Time, s *wire.Submission) bool {
	for _, o := range f.otherShards {
		if now.Sub(o.receivedAt) < constants.AggregateStaleAfter && (s.Zone == "" || s.Zone == o.aggregate.Shard) && o.aggregate.Gangs[leader.GangShape(s)].Now >= s.Tasks {
			return true
		}
	}
	return false
}
