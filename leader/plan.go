package leader

import (
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// reassignmentsBeforeKeepWaiting: tasks of a job that owners have sent back more often stay with
// the next owner.
const reassignmentsBeforeKeepWaiting = 2

// minQueuedTaskCPUs is the least size (CPUs) that a task counts with in the bounds on
// queues, so that tiny tasks do not make those bounds meaningless.
const minQueuedTaskCPUs = 0.1

// planIndependentTasks spreads n tasks of an array or a service over the shards. They go
// to the shards by best fit, and what does not fit goes on to the next. What fits nowhere
// waits in the queues of the shards that can scale out or have the shortest queue.
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

// rankByFit ranks shards for n tasks. Those where production tasks find their image come
// first, since they start at once there; then those that take all tasks, by the least
// capacity left afterwards; then the others, by how many they take. cpus is the size of
// all tasks.
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
// returns how many are left.
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

// rankForQueueing ranks shards for tasks that fit nowhere: those that can scale out, the
// smallest first, so that the shards grow alike; then those with the shortest queue.
// Shards without a fresh aggregate come last.
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

// assignToQueues assigns tasks to shards where they wait for capacity.
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

// queueSpace is how many more tasks of a job may wait in the shard's queue. It may be
// negative.
func (k *candidate) queueSpace(s *wire.Submission) int {
	taskCPUs := max(s.CPUs, minQueuedTaskCPUs)
	// An owner gets no more than it could scale out for in a while: each waiting task
	// costs it time in every round.
	space := min(constants.MaxQueuedTasks, max(0, int((constants.MaxQueuedCPUs-k.queuedCPUs)/taskCPUs)))
	if !k.canScaleOut && k.isFresh && !s.IsService() {
		// No machine is to be had: the tasks wait with the leader for the first free
		// capacity of any shard. A few wait with the owner, so that capacity which
		// becomes free there is used again at once.
		space = min(space, int((k.maxQueuedCPUs-k.queuedCPUs)/taskCPUs))
	}
	return space
}
