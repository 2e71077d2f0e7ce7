package leader

import (
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// reassignmentsBeforeKeepWaiting: if owners have offloaded tasks of a job more often than
// this, the next owner keeps the tasks until it has capacity.
const reassignmentsBeforeKeepWaiting = 2

// minQueuedTaskCPUs is the minimum size (CPUs) with which a task counts towards the bounds
// on queues. Without it, those bounds would allow almost any number of tiny tasks.
const minQueuedTaskCPUs = 0.1

// planIndependentTasks distributes n tasks of an array or a service over the shards. Each
// shard, in the order of best fit, is assigned the tasks that fit it, and the remaining
// tasks go to the next shard. Tasks that fit no shard wait in the queues of the shards that
// can scale out or have the shortest queue.
func (c *Core) planIndependentTasks(now time.Time, job *jobState, n int) []plannedAssignment {
	list, ok := c.candidates(now, job)
	if !ok {
		return nil
	}
	s := &job.record.Spec
	rankByFit(list, n, s.CPUs*float64(n))
	keepWaiting := job.reassignments > reassignmentsBeforeKeepWaiting
	plan, left := assignToFreeCapacity(list, s, n, keepWaiting)
	if left == 0 || s.OneZone && len(plan) > 0 {
		return plan
	}
	rankForQueueing(list)
	return append(plan, assignToQueues(list, s, left)...)
}

// rankByFit ranks shards for n tasks. Shards where more production tasks could start
// without fetching their image come first, since the tasks start at once there. Next come
// the shards that fit all tasks, the one with the least capacity left afterwards first, and
// then the other shards by how many tasks they fit. cpus is the size of all n tasks.
func rankByFit(list []*candidate, n int, cpus float64) {
	sort.SliceStable(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if warmX, warmY := min(x.warmTasks, n), min(y.warmTasks, n); warmX != warmY {
			return warmX > warmY
		}
		if (x.fittingTasks() >= n) != (y.fittingTasks() >= n) {
			return x.fittingTasks() >= n
		}
		if x.fittingTasks() >= n {
			return x.freeCPUs-cpus < y.freeCPUs-cpus
		}
		return x.fittingTasks() > y.fittingTasks()
	})
}

// assignToFreeCapacity assigns to each shard in turn the tasks that fit it now, and
// returns how many tasks are left.
func assignToFreeCapacity(list []*candidate, s *wire.Submission, n int, keepWaiting bool) (plan []plannedAssignment, left int) {
	left = n
	for _, k := range list {
		fitting := k.fittingTasks()
		if s.OneZone && fitting < left {
			continue
		}
		tasks := min(fitting, left)
		if tasks <= 0 {
			continue
		}
		plan = append(plan, plannedAssignment{k.shard, tasks, keepWaiting})
		k.maxTasks -= tasks
		left -= tasks
	}
	return plan, left
}

// rankForQueueing ranks shards for tasks that fit no shard. Shards that can scale out come
// first, the smallest of them first, so that the shards grow evenly. Next come the other
// shards, the one with the shortest queue first. Shards without a fresh aggregate come last.
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

// assignToQueues assigns tasks to the queues of shards, where they wait for capacity.
func assignToQueues(list []*candidate, s *wire.Submission, left int) (plan []plannedAssignment) {
	for _, k := range list {
		if s.OneZone && (k.maxTasks < left || len(plan) > 0) {
			continue
		}
		tasks := min(k.maxTasks, left, k.queueSpace(s))
		if tasks > 0 {
			plan = append(plan, plannedAssignment{k.shard, tasks, true})
			left -= tasks
		}
	}
	return plan
}

// queueSpace returns how many more tasks of a job may wait in the shard's queue. The result
// may be negative.
func (k *candidate) queueSpace(s *wire.Submission) int {
	taskCPUs := max(s.CPUs, minQueuedTaskCPUs)
	// An owner gets no more tasks than it could scale out for within a few scale-out
	// requests, since each waiting task costs the owner time in every round.
	space := min(constants.MaxQueuedTasks, max(0, int((constants.MaxQueuedCPUs-k.queuedCPUs)/taskCPUs)))
	if !k.canScaleOut && k.isFresh && !s.IsService() {
		// The shard cannot request more machines, so the tasks wait with the leader for
		// the first free capacity of any shard. A few tasks still wait with the owner, so
		// that capacity that becomes free in this shard is used again at once.
		space = min(space, int((k.maxQueuedCPUs-k.queuedCPUs)/taskCPUs))
	}
	return space
}
