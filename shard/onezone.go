package shard

import (
	"time"

	"ravenport/constants"
)

// offloadTogether offloads all tasks of a job that must be in one zone, or none: the leader
// could only assign a part of them to this shard again. It reports whether it offloaded them.
// tasks are the job's tasks that fit on no pending machine.
func (c *Core) offloadTogether(now time.Time, tasks []*task, plan *jobScaleOut, round *scaleOutRound) bool {
	j := plan.job
	if len(tasks) < len(j.tasks) || !c.shouldOffloadTogether(now, tasks, plan, round) {
		return false
	}
	for _, t := range tasks {
		if !c.offloadTask(j, t) {
			return false // a newer record of the job is on its way, which holds for the first task already
		}
		plan.offloaded++
	}
	return true
}

// shouldOffloadTogether reports whether all tasks of a job that must be in one zone should move
// to another shard, by the same rules as single tasks of other jobs.
func (c *Core) shouldOffloadTogether(now time.Time, tasks []*task, plan *jobScaleOut, round *scaleOutRound) bool {
	var waited time.Duration
	keepWaiting := false
	for _, t := range tasks {
		waited = max(waited, now.Sub(t.waitingSince))
		keepWaiting = keepWaiting || t.keepWaiting
	}
	fits := c.otherShardFitsAll(now, plan.job)
	isOverdue := round.mayOffloadOverdue && waited > constants.OverdueOffloadWait
	switch {
	case plan.mayOffload && (!plan.canRunHere || fits && !keepWaiting):
		return true
	case plan.mayOffload && fits && waited > constants.OffloadWait && !plan.offer.isAvailable():
		return true
	case isOverdue && (fits || plan.mayMove && round.relocatedJob == nil):
		c.overdueOffloadAt = now
		round.relocatedJob = plan.job
		return true
	}
	return false
}

// otherShardFitsAll reports whether a single other shard is known to have capacity for all of
// a job's tasks in this shard.
func (c *Core) otherShardFitsAll(now time.Time, j *job) bool {
	s := &j.record.Spec
	if s.Zone != "" {
		return false
	}
	for _, o := range c.otherShards {
		if now.Sub(o.receivedAt) < constants.AggregateStaleAfter && o.aggregate.EstimateTasks(s, c.types) >= len(j.tasks) {
			return true
		}
	}
	return false
}
