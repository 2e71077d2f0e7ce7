package shard

import (
	"slices"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/wire"
)

// rankWaitingJobs returns the jobs with waiting tasks in rank order and stores the rank
// of each job in the job.
func (p *placement) rankWaitingJobs(v *fleetView, now time.Time) []*job {
	p.refreshWaiting(v)
	queue := make([]*job, 0, len(p.waiting))
	for j := range p.waiting {
		queue = append(queue, j)
		j.rank = v.cfg.JobOrder.Rank(now, j.record, leader.JobProgress{WithinGuarantee: j.waiting[0].withinGuarantee, Started: j.hasStarted})
	}
	slices.SortFunc(queue, func(a, b *job) int { return a.rank.Compare(b.rank) })
	return queue
}

// runPlacementRound places waiting tasks on machines, best fit first, within a time
// budget. A round that exceeds the budget stores the rank of the last job that it
// handled. The next round continues with the first job behind that rank, even if jobs
// were added or removed in between. Only a round that reached the end of the queue is
// followed by one from the start, so every job gets its turn.
func (c *Core) runPlacementRound(now time.Time) {
	c.needsPlacement = false
	c.lastPlacement = now
	queue := c.rankWaitingJobs(&c.fleetView, now)
	c.lastQueue = queue
	start := 0
	if c.resumeRank != nil {
		start = sort.Search(len(queue), func(i int) bool { return c.resumeRank.Before(queue[i].rank) })
		c.resumeRank = nil
		c.needsPlacement = true
	}
	if start == len(queue) {
		return
	}
	r := c.newPlacementRound(now)
	startedAt := c.roundClock()
	for i := start; i < len(queue); i++ {
		c.placeJob(now, queue[i], r)
		isLast := i+1 == len(queue)
		if !isLast && c.roundClock().Sub(startedAt) > c.roundBudget {
			rank := queue[i].rank
			c.resumeRank = &rank
			c.needsPlacement = true
			return
		}
	}
}

// jobPlacement is the placement of one job's tasks in one round.
type jobPlacement struct {
	job        *job
	spec       *wire.Submission
	demand     resources // of one task
	class      demandClass
	isOverdue  bool
	candidates []*machine // with free capacity, best fit first

	imagePreemptionFailed bool // preemption cannot free any machine that holds the image
}

// placeJob places as many of a job's waiting tasks as it can.
func (c *Core) placeJob(now time.Time, j *job, r *placementRound) {
	if j.gang != nil {
		c.placeGang(now, j, r)
		return
	}
	spec := &j.record.Spec
	p := jobPlacement{job: j, spec: spec, demand: taskResources(spec), class: demandClassOf(spec), isOverdue: leader.IsOverdue(now, j.record, j.hasStarted)}
	isUnplaceable := r.failedPlacements.covers(p.class, p.demand)
	if isUnplaceable && r.canSkipJob(&p) {
		return
	}
	tasks := c.tasksToPlace(now, &p)
	if len(tasks) == 0 {
		return
	}
	if !isUnplaceable {
		p.candidates = c.rankCandidates(spec, p.demand, r)
	}
	for _, t := range tasks {
		m := c.machineForTask(now, t, &p, r)
		if m == nil {
			return // the job's other tasks have the same demand, and rank no higher
		}
		c.startTask(now, t, m)
	}
}

// canSkipJob reports whether the round can skip a job for which no machine has free
// capacity: nothing can be preempted for its first task, no machine can be reserved for
// the job, and its tasks cannot be offloaded to a shard that holds their image.
func (r *placementRound) canSkipJob(p *jobPlacement) bool {
	if !r.preemptionKnownToFail(p.job, p.class, p.demand) {
		return false
	}
	if p.isOverdue && !r.reservationsExhausted {
		return false
	}
	return p.spec.Priority != wire.PriorityProduction || p.spec.Spread && p.spec.Tasks > 1
}

// tasksToPlace returns the ready tasks of a job that this round tries to place. Tasks
// that would start sooner in another shard are offloaded instead.
func (c *Core) tasksToPlace(now time.Time, p *jobPlacement) []*task {
	tasks := c.appendReadyTasks(c.taskBuffer[:0], now, p.job)
	c.taskBuffer = tasks
	if len(tasks) == 0 {
		return nil
	}
	if c.isImageWarmInOtherShard(&c.fleetView, now, p.spec) {
		tasks = c.offloadUnlessKept(p.job, tasks)
	}
	if !p.spec.IsService() && p.isOverdue {
		tasks = tasks[:min(len(tasks), leader.OverdueBatch(p.spec.Tasks))]
	}
	return tasks
}

// offloadUnlessKept offloads the tasks that need not wait in this shard (without
// keepWaiting) and returns the others. The result reuses the given slice.
func (c *Core) offloadUnlessKept(j *job, tasks []*task) []*task {
	kept := tasks[:0]
	for _, t := range tasks {
		if t.keepWaiting {
			kept = append(kept, t)
		} else {
			c.offloadTask(j, t)
		}
	}
	return kept
}

// machineForTask finds a machine for a task, by preemption if necessary. It returns nil
// if no machine can take the task now.
func (c *Core) machineForTask(now time.Time, t *task, p *jobPlacement, r *placementRound) *machine {
	for len(p.candidates) > 0 && !p.demand.fits(c.freeResources(p.candidates[0])) {
		p.candidates = p.candidates[1:]
	}
	if len(p.candidates) == 0 {
		return c.preemptForTask(now, t, p, r)
	}
	best := p.candidates[0]
	if p.spec.Priority != wire.PriorityProduction || best.cachedImages[p.spec.Image] || p.imagePreemptionFailed {
		return best
	}
	// A production task preempts work of lower priority on a machine that holds its
	// image, in preference to waiting for the image on another machine.
	if withImage := c.preempt(now, t, machineWithImage, r); withImage != nil {
		return withImage
	}
	p.imagePreemptionFailed = true
	return best
}

// preemptForTask frees a machine for a task for which no machine has free capacity. It
// returns nil if that takes time or fails. The task then starts in a later round, on
// capacity that tasks with a checkpoint release or that is reserved for an overdue job.
func (c *Core) preemptForTask(now time.Time, t *task, p *jobPlacement, r *placementRound) *machine {
	r.failedPlacements.add(p.class, p.demand)
	if m := c.preempt(now, t, anyMachine, r); m != nil {
		return m
	}
	c.preemptWithCheckpoint(&c.fleetView, now, t, r)
	if p.isOverdue {
		c.reserveMachineFor(now, p.job, r)
	}
	return nil
}

// fillFreedMachine places tasks on a machine on which capacity has just become free, in
// the job order of the last round. No other machine is tried: after a whole round no
// other machine can take the waiting tasks. It returns false if a whole round is due
// anyway.
func (c *Core) fillFreedMachine(now time.Time, m *machine) bool {
	if c.needsPlacement {
		return false
	}
	c.refreshWaiting(&c.fleetView)
	free := c.freeResources(m)
	tried := 0
	for _, j := range c.lastQueue {
		if free.cpus < roundingSlack || tried >= constants.MaxJobsPerFill {
			break
		}
		if !c.mayFill(j, m, free) {
			continue
		}
		tried++
		demand := taskResources(&j.record.Spec)
		c.taskBuffer = c.appendReadyTasks(c.taskBuffer[:0], now, j)
		for _, t := range c.taskBuffer {
			if !demand.fits(free) {
				break
			}
			c.startTask(now, t, m)
			free = free.minus(demand)
		}
	}
	return true
}

// mayFill reports whether a machine with the given free capacity may take tasks of a job
// from the queue of the last round. The job may have ended since that round. Gangs are
// excluded because a gang is only placed as a whole.
func (k *knownState) mayFill(j *job, m *machine, free resources) bool {
	s := &j.record.Spec
	switch {
	case j.gang != nil || len(j.waiting) == 0:
		return false
	case m.reservedForGangs && !s.IsService():
		return false
	case m.reservedFor != nil && m.reservedFor != j:
		return false
	case !taskResources(s).fits(free) || !isEligible(s, m.typeName, m.spot):
		return false
	}
	return k.jobs[s.ID] == j && j.record.End == ""
}

// startTask starts a task on a machine as an attempt with a new number.
func (c *Core) startTask(now time.Time, t *task, m *machine) {
	c.startAttempt(now, t, m, c.counters.nextAttempt())
}

// startAttempt records the decision to start a task on a machine. From then on the
// attempt counts as possibly present on the machine.
func (c *Core) startAttempt(now time.Time, t *task, m *machine, number uint64) {
	a := &attempt{
		key:   attemptKey{wire.TaskName(t.job.record.ID, t.index), number},
		jobID: t.job.record.ID, taskIndex: t.index, machine: m, state: stateSent, startSentAt: now,
	}
	a.applySpec(t.job)
	c.addAttempt(a)
	m.idleSince = time.Time{}
	c.requestCommand(m)
	t.attempt = a
	c.markWaitingStale(t.job)
	c.aggregateChanged = true
}
