package shard

import (
	"slices"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/wire"
)

// rankWaitingJobs lists the jobs with waiting tasks in their order, each with its place.
func (p *placement) rankWaitingJobs(v *fleetView, now time.Time) []*job {
	p.refreshWaiting(v)
	q := make([]*job, 0, len(p.waiting))
	for j := range p.waiting {
		q = append(q, j)
		j.rank = v.cfg.JobOrder.Rank(now, j.rec, leader.JobProgress{WithinGuarantee: j.waiting[0].withinGuarantee, Started: j.begun})
	}
	slices.SortFunc(q, func(a, b *job) int { return a.rank.Compare(b.rank) })
	return q
}

// runPlacementRound gives waiting tasks to machines, best fit first, within a budget of
// time. The next round goes on after the job where this one stopped, whatever
// came or went in between, and only a round that reached the end begins anew:
// so every job's turn comes.
func (c *Core) runPlacementRound(now time.Time) {
	c.needsPlacement = false
	c.lastPlacement = now
	q := c.rankWaitingJobs(&c.fleetView, now)
	c.lastQueue = q
	start := 0
	if c.resumeRank != nil {
		start = sort.Search(len(q), func(i int) bool { return c.resumeRank.Before(q[i].rank) })
		c.resumeRank = nil
		c.needsPlacement = true
	}
	if start == len(q) {
		return
	}
	r := c.newPlacementRound(now)
	began := c.roundClock()
	for i := start; i < len(q); i++ {
		c.placeJob(now, q[i], r)
		if i+1 < len(q) && c.roundClock().Sub(began) > c.roundBudget {
			p := q[i].rank
			c.resumeRank, c.needsPlacement = &p, true
			return
		}
	}
}

// placeJob places what it can of a job's waiting tasks.
func (c *Core) placeJob(now time.Time, j *job, r *placementRound) {
	if j.gang != nil {
		c.placeGang(now, j, r)
		return
	}
	s := &j.rec.Spec
	n := taskResources(s)
	d := demandClassOf(s)
	overdue := leader.IsOverdue(now, j.rec, j.begun)
	full := r.known(r.unplaceable, d, n)
	if full && r.preemptionIsFutile(j, d, n) && !(overdue && !r.reservationsExhausted) && (s.Priority != wire.PriorityProduction || s.Spread && s.Tasks > 1) {
		return // nothing can come of a look at its tasks
	}
	tasks := c.appendReadyTasks(c.taskBuffer[:0], now, j)
	c.taskBuffer = tasks
	if len(tasks) == 0 {
		return
	}
	if c.isImageWarmInOtherShard(&c.fleetView, now, s) {
		kept := tasks[:0]
		for _, t := range tasks {
			if t.keepWaiting {
				kept = append(kept, t)
			} else {
				c.offloadTask(j, t)
			}
		}
		tasks = kept
	}
	if !s.IsService() && overdue {
		tasks = tasks[:min(len(tasks), leader.OverdueBatch(s.Tasks))]
	}
	var fit []*machine
	if !full {
		fit = c.rankCandidates(s, n, r)
	}
	prod := s.Priority == wire.PriorityProduction
	noWarm := false
	for _, t := range tasks {
		for len(fit) > 0 && !n.fits(c.freeResources(fit[0])) {
			fit = fit[1:]
		}
		var m *machine
		if len(fit) > 0 {
			m = fit[0]
		}
		switch {
		case m != nil && prod && !m.cachedImages[s.Image] && !noWarm:
			// Production tasks rather stop lower work on a machine that holds
			// their image than wait for it on another.
			if warm := c.preempt(now, t, true, r); warm != nil {
				m = warm
			} else {
				noWarm = true
			}
		case m == nil:
			r.unplaceable[d] = append(r.unplaceable[d], n)
			if m = c.preempt(now, t, false, r); m == nil {
				c.preemptWithCheckpoint(&c.fleetView, now, t, r)
				if overdue {
					c.reserveMachineFor(now, j, r)
				}
				return // the job's other tasks need the same, and rank no higher
			}
		}
		c.startTask(now, t, m)
	}
}

// fillFreedMachine gives a machine, of which room has just fallen free, to those who
// waited longest for it: after a whole round nothing else has room for them.
// It returns false if a whole round is due anyway.
func (c *Core) fillFreedMachine(now time.Time, m *machine) bool {
	if c.needsPlacement {
		return false
	}
	c.refreshWaiting(&c.fleetView)
	free := c.freeResources(m)
	looked := 0
	for _, j := range c.lastQueue {
		if free.cpus < roundingSlack || looked >= constants.MaxJobsPerFill {
			break
		}
		s := &j.rec.Spec
		n := taskResources(s)
		if j.gang != nil || m.reservedForGangs && !s.IsService() || m.reservedFor != nil && m.reservedFor != j || len(j.waiting) == 0 || !n.fits(free) || !isEligible(s, m.typeName, m.spot) || c.jobs[s.ID] != j || j.rec.End != "" {
			continue
		}
		looked++
		c.taskBuffer = c.appendReadyTasks(c.taskBuffer[:0], now, j)
		for _, t := range c.taskBuffer {
			if !n.fits(free) {
				break
			}
			c.startTask(now, t, m)
			free = free.minus(n)
		}
	}
	return true
}

// startTask decides an attempt of its own.
func (c *Core) startTask(now time.Time, t *task, m *machine) {
	c.startAttempt(now, t, m, c.counters.nextAttempt())
}

// startAttempt decides an attempt. From here on the task counts as maybe there.
func (c *Core) startAttempt(now time.Time, t *task, m *machine, number uint64) {
	a := &attempt{
		key:   attemptKey{wire.TaskName(t.job.rec.ID, t.index), number},
		jobID: t.job.rec.ID, taskIndex: t.index, machine: m, state: stateSent, startSentAt: now,
	}
	a.applySpec(t.job)
	c.addAttempt(a)
	m.idleSince = time.Time{}
	c.requestCommand(m)
	t.attempt = a
	c.markWaitingStale(t.job)
	c.aggregateChanged = true
}
