package shard

import (
	"cmp"
	"log/slog"
	"slices"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/wire"
)

// placement is which tasks wait, and how far rounds of placing have come.
type placement struct {
	changedJobs    []*job           // jobs whose waiting tasks are to be listed anew
	waiting        map[*job]bool    // jobs with waiting tasks
	lastQueue      []*job           // waiting jobs in the order of the last round
	taskBuffer     []*task          // ready tasks of the job that a round looks at
	resumeRank     *leader.Rank     // where the last round stopped
	roundBudget    time.Duration    // of a round
	roundClock     func() time.Time // what a round's time is taken by
	needsPlacement bool             // something changed that placing may use
	lastPlacement  time.Time
}

func newPlacement(budget time.Duration) placement {
	return placement{waiting: map[*job]bool{}, roundBudget: cmp.Or(budget, constants.RoundBudget), roundClock: time.Now, needsPlacement: true}
}

// placementRound is what a round of placing has found out.
type placementRound struct {
	freeMachines []*machine // usable machines with anything free
	// unplaceable are demands that found no room, and so will no larger ones; stuck
	// are those for which nothing could be stopped either.
	unplaceable, unpreemptable map[demandClass][]resources
	// lowest is the lowest priority among what could be stopped, and loose the
	// teams that run arrays beyond their guarantee; made when first asked for.
	preemptionScanned     bool
	reservationsExhausted bool // as many machines are kept for single jobs as may be
	hasCheckpointing      bool // some of it saves first
	lowestPriority        int
	overGuaranteeTeams    map[string]bool
}

// demandClass is what the room for a task depends on beside its size.
type demandClass struct {
	spot           bool
	types          string
	priorityLevel  int
	guaranteedTeam string // the team, for work within its guarantee
	image          string // for a search among machines that hold it
}

func (r *placementRound) known(in map[demandClass][]resources, d demandClass, n resources) bool {
	for _, f := range in[d] {
		if f.fits(n) {
			return true
		}
	}
	return false
}

// hopeless says that nothing can be stopped for a job's first waiting task either.
func (r *placementRound) preemptionIsFutile(j *job, d demandClass, n resources) bool {
	d.priorityLevel = wire.PriorityLevel(j.rec.Spec.Priority)
	if len(j.waiting) > 0 && j.waiting[0].guarantee {
		d.guaranteedTeam = j.rec.Spec.Team
	}
	return !r.hasCheckpointing && r.known(r.unpreemptable, d, n)
}

func demandClassOf(s *wire.Submission) demandClass {
	d := demandClass{spot: s.Spot}
	for _, t := range s.Types {
		d.types += t + " "
	}
	return d
}

func (v *fleetView) newPlacementRound(now time.Time) *placementRound {
	return &placementRound{unplaceable: map[demandClass][]resources{}, unpreemptable: map[demandClass][]resources{}, freeMachines: v.machinesWithFreeCapacity(now)}
}

// rankWaitingJobs lists the jobs with waiting tasks in their order, each with its place.
func (p *placement) rankWaitingJobs(v *fleetView, now time.Time) []*job {
	p.refresh(v)
	q := make([]*job, 0, len(p.waiting))
	for j := range p.waiting {
		q = append(q, j)
		j.place = v.cfg.Order.Rank(now, j.rec, j.waiting[0].guarantee, j.begun)
	}
	slices.SortFunc(q, func(a, b *job) int { return a.place.Compare(b.place) })
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
		start = sort.Search(len(q), func(i int) bool { return c.resumeRank.Before(q[i].place) })
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
			p := q[i].place
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
	n := need(s)
	d := demandClassOf(s)
	overdue := leader.IsOverdue(now, j.rec, j.begun)
	full := r.known(r.unplaceable, d, n)
	if full && r.preemptionIsFutile(j, d, n) && !(overdue && !r.reservationsExhausted) && (s.Priority != wire.PriorityProduction || s.Spread && s.Tasks > 1) {
		return // nothing can come of a look at its tasks
	}
	tasks := c.appendReady(c.taskBuffer[:0], now, j)
	c.taskBuffer = tasks
	if len(tasks) == 0 {
		return
	}
	if c.isImageWarmInOtherShard(&c.fleetView, now, s) {
		kept := tasks[:0]
		for _, t := range tasks {
			if t.keep {
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
		for len(fit) > 0 && !n.fits(c.free(fit[0])) {
			fit = fit[1:]
		}
		var m *machine
		if len(fit) > 0 {
			m = fit[0]
		}
		switch {
		case m != nil && prod && !m.images[s.Image] && !noWarm:
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

// reserveMachineFor keeps the room that falls free on a machine for a job that has long
// found none: its tasks may be larger than what others leave, and smaller ones
// would take every gap before one was large enough.
func (v *fleetView) reserveMachineFor(now time.Time, j *job, r *placementRound) {
	if r.reservationsExhausted {
		return // hundreds of jobs may be waiting after a shard has lost all
	}
	s := &j.rec.Spec
	n := need(s)
	var best *machine
	var most float64
	kept := 0
	for _, m := range v.fleet {
		if m.keptFor != nil {
			if m.keptFor == j {
				return
			}
			kept++
			continue
		}
		if !isEligible(s, m.typeName, m.spot) || !n.fits(m.capacity) || !v.isSchedulable(now, m) {
			continue
		}
		// Where the least must still fall free, arrays count as good as gone.
		room := m.freeShare(v.free(m))
		if room += v.sumsOf(m).arrays / max(m.capacity.cpus, 1); best == nil || room > most || room == most && m.name < best.name {
			best, most = m, room
		}
	}
	if r.reservationsExhausted = kept > len(v.fleet)/constants.MachinesACollect; best == nil || r.reservationsExhausted {
		return
	}
	slog.Info("keeping room for a job that waits", "job", s.ID, "machine", best.name)
	best.keptFor, best.keptUntil = j, now.Add(constants.CapacityHoldTime)
}

// releaseReservations ends the keeping of room that was used or not used in time.
func (p *placement) releaseReservations(v *fleetView, now time.Time) {
	for _, m := range v.fleet {
		if j := m.keptFor; j != nil && (now.After(m.keptUntil) || j.begun || len(j.waiting) == 0 || v.jobs[j.rec.ID] != j) {
			m.keptFor = nil
			p.needsPlacement = true
		}
	}
}

// fillFreedMachine gives a machine, of which room has just fallen free, to those who
// waited longest for it: after a whole round nothing else has room for them.
// It returns false if a whole round is due anyway.
func (c *Core) fillFreedMachine(now time.Time, m *machine) bool {
	if c.needsPlacement {
		return false
	}
	c.refresh(&c.fleetView)
	free := c.free(m)
	looked := 0
	for _, j := range c.lastQueue {
		if free.cpus < slack || looked >= constants.FillLooks {
			break
		}
		s := &j.rec.Spec
		n := need(s)
		if j.gang != nil || m.forGangs && !s.IsService() || m.keptFor != nil && m.keptFor != j || len(j.waiting) == 0 || !n.fits(free) || !isEligible(s, m.typeName, m.spot) || c.jobs[s.ID] != j || j.rec.End != "" {
			continue
		}
		looked++
		c.taskBuffer = c.appendReady(c.taskBuffer[:0], now, j)
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
	c.startAttempt(now, t, m, c.numbers.attempt())
}

// startAttempt decides an attempt. From here on the task counts as maybe there.
func (c *Core) startAttempt(now time.Time, t *task, m *machine, attempt uint64) {
	h := &hold{
		key:   holdKey{wire.TaskName(t.job.rec.ID, t.index), attempt},
		jobID: t.job.rec.ID, index: t.index, m: m, state: stateSent, sentAt: now,
	}
	h.fill(t.job)
	c.addHold(h)
	m.idleSince = time.Time{}
	c.requestCommand(m)
	t.hold = h
	c.touch(t.job)
	c.pushDirty = true
}
