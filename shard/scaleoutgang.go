package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/logkey"
	"ravenport/wire"
)

// scaleOutForGang adds machines for the tasks of a waiting gang that fit on no pending
// machine, or offloads the gang if shouldOffloadGang says so.
func (c *Core) scaleOutForGang(now time.Time, j *job, counts machineCounts) {
	s := &j.record.Spec
	demand := taskResources(s)
	if j.gang.done || j.gang.isActive() {
		return // no machine is added for the replacement of a lost task of an active gang
	}
	c.unplacedDemand = c.unplacedDemand.plus(demand.times(len(j.tasks)))
	remaining := c.takePendingCapacityForGang(s, len(j.tasks))
	// Capacity that is reserved for gangs counts as well, as the gang will start on it.
	remaining -= min(remaining, c.reservedGangSlots(now, s))
	if remaining == 0 {
		return
	}
	offer := c.cheapestOffer(&c.fleetView, now, s)
	if c.shouldOffloadGang(now, j, offer) {
		c.offloadGang(now, j)
		return
	}
	for offer.isAvailable() && remaining > 0 {
		perMachine := max(1, machineResources(offer.machineType).countFitting(demand))
		count := min(remaining, perMachine)
		c.planMachine(offer, demand.times(count), counts)
		remaining -= count
	}
	c.excessCPUs += demand.cpus * float64(remaining)
}

// takePendingCapacityForGang takes capacity of pending machines, in the order of the list,
// for the tasks of a gang, and returns how many tasks do not fit.
func (c *scaleOutState) takePendingCapacityForGang(s *wire.Submission, tasks int) int {
	n := taskResources(s)
	remaining := tasks
	for i := range c.pendingCapacity {
		p := &c.pendingCapacity[i]
		if remaining > 0 && isEligible(s, p.typeName, p.spot) {
			count := min(remaining, p.free.countFitting(n))
			p.free = p.free.minus(n.times(count))
			remaining -= count
		}
	}
	return remaining
}

// reservedGangSlots returns how many tasks of a gang fit on the machines that are reserved
// for gangs. It returns 0 while the shard's machines are partitioned from the owner.
func (v *fleetView) reservedGangSlots(now time.Time, s *wire.Submission) int {
	if v.partitioned {
		return 0
	}
	n := taskResources(s)
	slots := 0
	for _, m := range v.fleet {
		if m.reservedForGangs && isEligible(s, m.typeName, m.spot) && v.isSchedulable(now, m) {
			slots += v.freeResources(m).countFitting(n)
		}
	}
	return slots
}

// shouldOffloadGang reports whether a gang that does not fit in this shard is offloaded to
// the leader, which assigns it to another shard that fits it or spreads it over several
// shards. A gang that may use several zones is spread if it is overdue and the cloud has no
// more machines for this shard: possibly no single shard is large enough for it.
func (c *Core) shouldOffloadGang(now time.Time, j *job, offer machineOffer) bool {
	s := &j.record.Spec
	if now.Sub(j.offloadedAt) <= constants.OffloadWait || spansShards(j.record, c.cfg.Shard) {
		return false
	}
	if !c.canRunTasksOf(s) {
		slog.Info("offloading gang to the leader: the shard cannot run it", logkey.JobID, s.ID)
		return true
	}
	waited := now.Sub(j.gangArrivedAt)
	mayLeave := !offer.isAvailable() || waited > constants.GangOffloadWait
	spread := !offer.isAvailable() && !s.OneZone && s.Zone == "" && waited > constants.OffloadWait && leader.IsOverdue(now, j.record, false)
	relocate := !offer.isAvailable() && waited > constants.OverdueOffloadWait && c.canScaleOutElsewhere(now, j)
	if !spread && !relocate && !(mayLeave && c.otherShardFitsGang(now, s)) {
		return false
	}
	slog.Info("offloading gang to the leader", logkey.JobID, s.ID, "spread", spread)
	return true
}

// otherShardFitsGang reports whether another shard is known to have capacity now for all
// tasks of a gang.
func (f *aggregates) otherShardFitsGang(now time.Time, s *wire.Submission) bool {
	shape := leader.GangShape(s)
	for _, o := range f.otherShards {
		if now.Sub(o.receivedAt) >= constants.AggregateStaleAfter || s.Zone != "" && s.Zone != o.aggregate.Shard {
			continue
		}
		if o.aggregate.Gangs[shape].Now >= s.Tasks {
			return true
		}
	}
	return false
}
