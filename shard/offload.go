package shard

import (
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/records"
	"ravenport/wire"
)

// offloadTask marks a waiting task to be offloaded, that is, returned to the leader,
// which assigns the task again. The task is not placed in this shard any more, until a
// newer job record assigns the task to a shard. It reports false, and does nothing, while
// a newer record of the job is on its way or an attempt of the task may be on a machine.
func (c *Core) offloadTask(j *job, t *task) bool {
	if j.recordPending() || c.hasLiveAttempt(j.record.ID, t.index) {
		return false
	}
	t.offloading = true
	c.markWaitingStale(j)
	c.queueForClose(j)
	return true
}

// canRunTasksOf reports whether this shard can run tasks of a job: the cloud offers a machine
// here that fits a task, or the shard has such a machine, up or not. If it cannot, the tasks
// would wait here forever, and the leader has to assign them to another shard.
func (v *fleetView) canRunTasksOf(s *wire.Submission) bool {
	if v.types.OffersFor(s, v.cfg.Shard) {
		return true
	}
	return slices.ContainsFunc(v.fleet, func(m *machine) bool {
		return !m.scalingIn && (s.Spot || !m.spot) && v.types.CanRun(s, m.typeName)
	})
}

// canRunIn reports whether the shard of an aggregate has a machine on which tasks of a job may
// run, or whether its owner does not say which machines it has.
func (v *fleetView) canRunIn(a *leader.Aggregate, s *wire.Submission) bool {
	return a.Types == nil || a.HasMachineFor(s, v.types)
}

// isImageWarmInOtherShard reports whether a production task would have to wait for its image
// in this shard, and another shard has cached the image and has capacity for the task.
func (f *aggregates) isImageWarmInOtherShard(v *fleetView, now time.Time, s *wire.Submission) bool {
	if s.Priority != wire.PriorityProduction || s.OneZone || s.Spread && s.Tasks > 1 || s.Zone != "" {
		return false
	}
	for _, m := range v.fleet {
		if m.cachedImages[s.Image] && v.isSchedulable(now, m) && isEligible(s, m.typeName, m.spot) && v.productionCPUs(m) >= s.CPUs {
			return false
		}
	}
	for _, o := range f.otherShards {
		if now.Sub(o.receivedAt) < constants.AggregateStaleAfter && o.aggregate.Warm[s.Image] >= s.CPUs && v.canRunIn(&o.aggregate, s) {
			return true
		}
	}
	return false
}

// otherShardsFitOneMore reports whether other shards are known to have capacity for one more
// of a job's tasks, in addition to the tasks that were already offloaded. All shards see the
// same free capacity, so each shard counts on its share of that capacity only.
func (c *Core) otherShardsFitOneMore(now time.Time, record *records.Job, offloaded int) bool {
	return c.taskSlotsInOtherShards(now, record) > (offloaded+1)*max(1, len(c.otherShards))
}

// taskSlotsInOtherShards returns for how many more of a job's tasks other shards are known to
// have capacity, on machines on which these tasks may run.
func (c *Core) taskSlotsInOtherShards(now time.Time, record *records.Job) int {
	s := &record.Spec
	slots := 0
	for _, o := range c.otherShards {
		if now.Sub(o.receivedAt) < constants.AggregateStaleAfter && (s.Zone == "" || s.Zone == o.aggregate.Shard) {
			slots += o.aggregate.EstimateTasks(s, c.types)
		}
	}
	// A spread job is also limited in its tasks per shard, whatever the capacity.
	if s.Spread && s.Tasks > 1 {
		slots = min(slots, c.spreadSlotsInOtherShards(record))
	}
	return slots
}

// canScaleOutElsewhere reports whether another shard is known to be able to request machines
// for a job's waiting tasks, under the job's zone rules.
func (c *Core) canScaleOutElsewhere(now time.Time, j *job) bool {
	s := &j.record.Spec
	switch {
	case s.Zone != "":
		return false
	case s.OneZone && len(j.waiting) < len(j.tasks):
		return false // the job's other tasks keep the job in this zone
	case s.Spread && s.Tasks > 1 && c.spreadSlotsInOtherShards(j.record) == 0:
		return false
	}
	for name, o := range c.otherShards {
		canScaleOut := o.aggregate.CanScaleOutOnDemand || s.Spot && o.aggregate.CanScaleOutSpot
		if canScaleOut && now.Sub(o.receivedAt) < constants.AggregateStaleAfter && c.types.OffersFor(s, name) {
			return true
		}
	}
	return false
}

// spreadSlotsInOtherShards returns how many more tasks of a spread job may be assigned to
// other shards: each shard may have at most half of the job's tasks, rounded up.
func (f *aggregates) spreadSlotsInOtherShards(record *records.Job) int {
	slots := 0
	for name := range f.otherShards {
		remaining := (record.Spec.Tasks + 1) / 2
		for _, a := range record.Assignments {
			if a.Shard == name && !a.Closed {
				remaining -= a.Tasks()
			}
		}
		slots += max(remaining, 0)
	}
	return slots
}
