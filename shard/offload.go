package shard

import (
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// offloadTask marks a waiting task to be sent back to the leader. It is not placed here any
// more, until a newer record says which shard has it.
func (c *Core) offloadTask(j *job, t *task) {
	if j.recordPending() || c.hasLiveAttempt(j.rec.ID, t.index) {
		return
	}
	t.offloading = true
	c.markWaitingStale(j)
	c.queueForClose(j)
}

// isImageWarmInOtherShard says whether a production task would have to wait for its image
// here, and would not in another shard.
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
		if now.Sub(o.receivedAt) < constants.AggregateStaleAfter && o.aggregate.Warm[s.Image] >= s.CPUs {
			return true
		}
	}
	return false
}

// otherShardsFitOneMore says whether other shards are known to have capacity for one more
// of a job's tasks, beside so many that were offloaded already. All shards see the same
// free capacity, so each counts on its part of it only.
func (f *aggregates) otherShardsFitOneMore(now time.Time, rec *records.Job, offloaded int) bool {
	return f.taskSlotsInOtherShards(now, rec) > (offloaded+1)*max(1, len(f.otherShards))
}

// taskSlotsInOtherShards is how many more of a job's tasks other shards are known to have
// capacity for.
func (f *aggregates) taskSlotsInOtherShards(now time.Time, rec *records.Job) int {
	s := &rec.Spec
	slots := 0
	for _, o := range f.otherShards {
		if now.Sub(o.receivedAt) < constants.AggregateStaleAfter && (s.Zone == "" || s.Zone == o.aggregate.Shard) {
			slots += o.aggregate.EstimateTasks(s)
		}
	}
	// Whatever the capacity, a spread job may have no place outside this shard.
	if s.Spread && s.Tasks > 1 {
		slots = min(slots, f.spreadSlotsInOtherShards(rec))
	}
	return slots
}

// spreadSlotsInOtherShards is how many more tasks of a spread job may be in other shards
// beside those there: at most half of all its tasks in each.
func (f *aggregates) spreadSlotsInOtherShards(rec *records.Job) int {
	slots := 0
	for name := range f.otherShards {
		remaining := (rec.Spec.Tasks + 1) / 2
		for _, a := range rec.Assignments {
			if a.Shard == name && !a.Closed {
				remaining -= a.Tasks()
			}
		}
		slots += max(remaining, 0)
	}
	return slots
}
