package shard

import (
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// isImageWarmInOtherShard says whether a production task would wait for its image
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

// otherShardsFitOneMore says whether another shard is known to have room for one more of a
// job's tasks, after so many.
func (f *aggregates) otherShardsFitOneMore(now time.Time, rec *records.Job, after int) bool {
	// Others see the same room.
	return f.taskSlotsInOtherShards(now, rec) > (after+1)*max(1, len(f.otherShards))
}

// taskSlotsInOtherShards is for how many more of a job's tasks other shards are known to have
// room.
func (f *aggregates) taskSlotsInOtherShards(now time.Time, rec *records.Job) int {
	s := &rec.Spec
	n := 0
	for _, o := range f.otherShards {
		if now.Sub(o.receivedAt) < constants.AggregateStaleAfter && (s.Zone == "" || s.Zone == o.aggregate.Shard) {
			n += o.aggregate.EstimateTasks(s)
		}
	}
	// spread may leave no place for it outside this shard, whatever the room.
	if s.Spread && s.Tasks > 1 {
		n = min(n, f.spreadSlotsInOtherShards(rec))
	}
	return n
}

// spreadSlotsInOtherShards is how many more tasks of a job may be in the other shards,
// beside those there: at most half of all in each.
func (f *aggregates) spreadSlotsInOtherShards(rec *records.Job) int {
	n := 0
	for name := range f.otherShards {
		left := (rec.Spec.Tasks + 1) / 2
		for _, ch := range rec.Assignments {
			if ch.Shard == name && !ch.Closed {
				left -= ch.Tasks()
			}
		}
		n += max(left, 0)
	}
	return n
}

// offloadTask marks a waiting task to be sent back to the leader. From here on
// it is not placed, until a newer record says what became of it.
func (c *Core) offloadTask(j *job, t *task) {
	if !j.recordPending() && !c.hasLiveAttempt(j.rec.ID, t.index) {
		t.sendingBack = true
		c.markWaitingStale(j)
		c.queueForClose(j)
	}
}
