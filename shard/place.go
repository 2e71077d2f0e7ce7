package shard

import (
	"log/slog"
	"math"
	"slices"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/state"
	"ravenport/wire"
)

// usable says whether new tasks may go to a machine now.
func (c *Core) usable(now time.Time, m *machine) bool {
	return m.verified(c.term) && m.durable && m.inventoryAddr == m.addr && m.typ != nil && !m.unconfirmed() &&
		!m.returning && m.cordon == nil && m.notice.IsZero() && !c.silent(now, m) && !now.Before(m.avoidUntil)
}

// allowed says whether a job's tasks may run on a kind of machine.
func allowed(s *wire.Submission, typ string, spot bool) bool {
	return (s.Spot || !spot) && (len(s.Types) == 0 || slices.Contains(s.Types, typ))
}

// round is what a round of placing has found out.
type round struct {
	room []*machine // usable machines with anything free
	// full are demands that found no room, and so will no larger ones; stuck
	// are those for which nothing could be stopped either.
	full, stuck map[demand][]resources
	// lowest is the lowest priority among what could be stopped, and loose the
	// teams that run arrays beyond their guarantee; made when first asked for.
	scanned bool
	crowded bool // as many machines are kept for single jobs as may be
	saving  bool // some of it saves first
	lowest  int
	loose   map[string]bool
}

// demand is what the room for a task depends on beside its size.
type demand struct {
	spot      bool
	types     string
	level     int
	guarantee string // the team, for work within its guarantee
	image     string // for a search among machines that hold it
}

func (r *round) known(in map[demand][]resources, d demand, n resources) bool {
	for _, f := range in[d] {
		if f.fits(n) {
			return true
		}
	}
	return false
}

// hopeless says that nothing can be stopped for a job's first waiting task either.
func (r *round) nothingToStop(j *job, d demand, n resources) bool {
	d.level = wire.PriorityLevel(j.rec.Spec.Priority)
	if len(j.waiting) > 0 && j.waiting[0].guarantee {
		d.guarantee = j.rec.Spec.Team
	}
	return !r.saving && r.known(r.stuck, d, n)
}

func demandOf(s *wire.Submission) demand {
	d := demand{spot: s.Spot}
	for _, t := range s.Types {
		d.types += t + " "
	}
	return d
}

func (c *Core) newRound(now time.Time) *round {
	return &round{full: map[demand][]resources{}, stuck: map[demand][]resources{}, room: c.withRoom(now)}
}

// queue lists the jobs with waiting tasks in their order, each with its place.
func (c *Core) queue(now time.Time) []*job {
	c.refresh()
	q := make([]*job, 0, len(c.waiting))
	for j := range c.waiting {
		q = append(q, j)
		j.place = c.cfg.Order.Place(now, j.rec, j.waiting[0].guarantee, j.begun)
	}
	slices.SortFunc(q, func(a, b *job) int { return a.place.Compare(b.place) })
	return q
}

// place gives waiting tasks to machines, best fit first, within a budget of
// time. The next round goes on after the job where this one stopped, whatever
// came or went in between, and only a round that reached the end begins anew:
// so every job's turn comes.
func (c *Core) place(now time.Time) {
	c.dirty = false
	c.lastPlace = now
	q := c.queue(now)
	c.order = q
	start := 0
	if c.resume != nil {
		start = sort.Search(len(q), func(i int) bool { return c.resume.Before(q[i].place) })
		c.resume = nil
		c.dirty = true
	}
	if start == len(q) {
		return
	}
	r := c.newRound(now)
	began := c.clock()
	for i := start; i < len(q); i++ {
		c.placeJob(now, q[i], r)
		if i+1 < len(q) && c.clock().Sub(began) > c.budget {
			p := q[i].place
			c.resume, c.dirty = &p, true
			return
		}
	}
}

// placeJob places what it can of a job's waiting tasks.
func (c *Core) placeJob(now time.Time, j *job, r *round) {
	if j.gang != nil {
		c.placeGang(now, j, r)
		return
	}
	s := &j.rec.Spec
	n := need(s)
	d := demandOf(s)
	overdue := leader.Overdue(now, j.rec, j.begun)
	full := r.known(r.full, d, n)
	if full && r.nothingToStop(j, d, n) && !(overdue && !r.crowded) && (s.Priority != wire.PriorityProduction || s.Spread && s.Tasks > 1) {
		return // nothing can come of a look at its tasks
	}
	tasks := c.appendReady(c.scratch[:0], now, j)
	c.scratch = tasks
	if len(tasks) == 0 {
		return
	}
	if c.warmerElsewhere(now, s) {
		kept := tasks[:0]
		for _, t := range tasks {
			if t.keep {
				kept = append(kept, t)
			} else {
				c.sendBack(j, t)
			}
		}
		tasks = kept
	}
	if !s.IsService() && overdue {
		tasks = tasks[:min(len(tasks), leader.BeginShare(s.Tasks))]
	}
	var fit []*machine
	if !full {
		fit = c.candidates(s, n, r)
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
			r.full[d] = append(r.full[d], n)
			if m = c.preempt(now, t, false, r); m == nil {
				c.askToSave(now, t, r)
				if overdue {
					c.collect(now, j, r)
				}
				return // the job's other tasks need the same, and rank no higher
			}
		}
		c.start(now, t, m)
	}
}

// collect keeps the room that falls free on a machine for a job that has long
// found none: its tasks may be larger than what others leave, and smaller ones
// would take every gap before one was large enough.
func (c *Core) collect(now time.Time, j *job, r *round) {
	if r.crowded {
		return // hundreds of jobs may be waiting after a shard has lost all
	}
	s := &j.rec.Spec
	n := need(s)
	var best *machine
	var most float64
	kept := 0
	for _, m := range c.fleet {
		if m.keptFor != nil {
			if m.keptFor == j {
				return
			}
			kept++
			continue
		}
		if !allowed(s, m.typeName, m.spot) || !n.fits(m.capacity) || !c.usable(now, m) {
			continue
		}
		// Where the least must still fall free, arrays count as good as gone.
		room := m.left(c.free(m))
		if room += c.sumsOf(m).arrays / max(m.capacity.cpus, 1); best == nil || room > most || room == most && m.name < best.name {
			best, most = m, room
		}
	}
	if r.crowded = kept > len(c.fleet)/constants.MachinesACollect; best == nil || r.crowded {
		return
	}
	slog.Info("keeping room for a job that waits", "job", s.ID, "machine", best.name)
	best.keptFor, best.keptUntil = j, now.Add(constants.CollectFor)
}

// letGo ends the keeping of room that was used or not used in time.
func (c *Core) letGo(now time.Time) {
	for _, m := range c.fleet {
		if j := m.keptFor; j != nil && (now.After(m.keptUntil) || j.begun || len(j.waiting) == 0 || c.jobs[j.rec.ID] != j) {
			m.keptFor = nil
			c.dirty = true
		}
	}
}

// fill gives a machine, of which room has just fallen free, to those who
// waited longest for it: after a whole round nothing else has room for them.
// It returns false if a whole round is due anyway.
func (c *Core) fill(now time.Time, m *machine) bool {
	if c.dirty {
		return false
	}
	c.refresh()
	free := c.free(m)
	looked := 0
	for _, j := range c.order {
		if free.cpus < slack || looked >= constants.FillLooks {
			break
		}
		s := &j.rec.Spec
		n := need(s)
		if j.gang != nil || m.forGangs && !s.IsService() || m.keptFor != nil && m.keptFor != j || len(j.waiting) == 0 || !n.fits(free) || !allowed(s, m.typeName, m.spot) || c.jobs[s.ID] != j || j.rec.End != "" {
			continue
		}
		looked++
		c.scratch = c.appendReady(c.scratch[:0], now, j)
		for _, t := range c.scratch {
			if !n.fits(free) {
				break
			}
			c.start(now, t, m)
			free = free.minus(n)
		}
	}
	return true
}

// candidates is the paper's Resource-Only Match: the machines that have room
// in the order in which they are filled, the one that is left with the least
// first. A machine that got a task is left with less and so stays the best fit
// for the job's next, until it is full. Machines that hold the image already
// come first, and spot machines before ordinary ones where both are allowed:
// ordinary room is the only room for those that may not use spot.
func (c *Core) candidates(s *wire.Submission, n resources, r *round) []*machine {
	type cand struct {
		m     *machine
		score float64
	}
	var cs []cand
	for _, m := range r.room {
		if free := c.free(m); n.fits(free) && allowed(s, m.typeName, m.spot) && (m.keptFor == nil || m.keptFor.rec.ID == s.ID) && (!m.forGangs || s.Whole()) {
			cs = append(cs, cand{m, c.score(s, n, m, free)})
		}
	}
	slices.SortFunc(cs, func(a, b cand) int {
		switch {
		case a.score < b.score:
			return -1
		case a.score > b.score:
			return 1
		case a.m.name < b.m.name:
			return -1
		}
		return 1
	})
	out := make([]*machine, len(cs))
	for i := range cs {
		out[i] = cs[i].m
	}
	return out
}

// score ranks a machine with room for a job's task; less is better.
func (c *Core) score(s *wire.Submission, n resources, m *machine, free resources) float64 {
	score := m.left(free.minus(n))
	if !m.images[s.Image] {
		score += constants.ScoreCold
	}
	if s.Spot && !m.spot {
		// Ordinary machines with services stay whatever happens, so their
		// gaps cost nothing; an empty one had better stay empty.
		if c.sumsOf(m).services > 0 {
			score -= constants.ScoreShared
		} else {
			score += constants.ScoreOrdinary
		}
	}
	if m.draining {
		score += constants.ScoreDraining
	}
	if m.forGangs && !s.IsGang() {
		score += constants.ScoreForGangs
	}
	return score
}

// bestFit is the best candidate for one task of a job, or nil; except leaves out
// those that it is false for.
func (c *Core) bestFit(now time.Time, s *wire.Submission, except func(*machine) bool) *machine {
	n := need(s)
	var best *machine
	var least float64
	for _, m := range c.fleet {
		if !allowed(s, m.typeName, m.spot) || !c.usable(now, m) {
			continue
		}
		free := c.free(m)
		if !n.fits(free) || m.keptFor != nil && m.keptFor.rec.ID != s.ID || m.forGangs && !s.Whole() || except != nil && !except(m) {
			continue
		}
		if score := c.score(s, n, m, free); best == nil || score < least || score == least && m.name < best.name {
			best, least = m, score
		}
	}
	return best
}

// left is the share of a machine that stays free, from 0 to 2.
func (m *machine) left(free resources) float64 {
	l := 0.0
	if m.capacity.cpus > 0 {
		l += free.cpus / m.capacity.cpus
	}
	if m.capacity.mem > 0 {
		l += free.mem / m.capacity.mem
	}
	return l
}

// stoppable says whether an attempt is its task's own and not on its way out.
func stoppable(h *hold, t *task) bool {
	return t != nil && t.hold == h && !h.stop && !h.exited()
}

// mayStop says whether a task may be stopped to make room for another: for
// one of higher priority, or, where it runs beyond its team's guarantee, for
// one within another team's. The protocol would let guaranteed work stop also
// services and work of higher priority; what others wait for is not worth that.
func mayStop(victim, claimant *task) bool {
	v, f := &victim.job.rec.Spec, &claimant.job.rec.Spec
	vl, fl := wire.PriorityLevel(v.Priority), wire.PriorityLevel(f.Priority)
	return vl < fl || vl == fl && !v.IsService() && claimant.guarantee && !victim.guarantee && v.Team != f.Team
}

// yields says whether anything at all might be stopped for a task.
func (c *Core) yields(claimant *task, r *round) bool {
	if !r.scanned {
		r.scanned, r.lowest, r.loose = true, math.MaxInt, map[string]bool{}
		for _, m := range c.fleet {
			s := c.sumsOf(m)
			r.saving = r.saving || s.saving
			r.lowest = min(r.lowest, s.lowest)
			for _, team := range s.loose {
				r.loose[team] = true
			}
		}
	}
	s := &claimant.job.rec.Spec
	if wire.PriorityLevel(s.Priority) > r.lowest {
		return true
	}
	return claimant.guarantee && (len(r.loose) > 1 || len(r.loose) == 1 && !r.loose[s.Team])
}

// preempt makes room on a machine by stopping work that has to yield: the
// machine on which the least is lost; with warm, only one that holds the
// image. It returns nil where none can be made.
func (c *Core) preempt(now time.Time, claimant *task, warm bool, r *round) *machine {
	s := &claimant.job.rec.Spec
	n := need(s)
	d := demandOf(s)
	d.level = wire.PriorityLevel(s.Priority)
	if claimant.guarantee {
		d.guarantee = s.Team
	}
	if warm {
		d.image = s.Image
	}
	if r.known(r.stuck, d, n) {
		return nil
	}
	if !c.yields(claimant, r) {
		r.stuck[d] = append(r.stuck[d], resources{})
		return nil
	}
	var best *machine
	var bestVictims, can []*hold
	bestCost := math.Inf(1)
	for _, m := range c.fleet {
		if !allowed(s, m.typeName, m.spot) || warm && !m.images[s.Image] || !c.usable(now, m) {
			continue
		}
		free := c.free(m)
		var most resources
		can, most = c.victims(m, claimant, can[:0])
		if len(can) == 0 || !n.fits(most) {
			continue
		}
		// The youngest lose the least.
		sort.Slice(can, func(a, b int) bool {
			if !can[a].sentAt.Equal(can[b].sentAt) {
				return can[a].sentAt.After(can[b].sentAt)
			}
			return can[a].key.attempt > can[b].key.attempt
		})
		cost := 0.0
		victims := 0
		for victims < len(can) && !n.fits(free) {
			h := can[victims]
			free = free.plus(h.needs)
			cost += h.needs.cpus * (1 + now.Sub(h.sentAt).Seconds())
			if c.endangers(now, h) {
				cost += h.needs.cpus * constants.CostMissed
			}
			victims++
		}
		if victims == 0 {
			continue
		}
		if !m.images[s.Image] {
			cost += constants.CostCold
		}
		if warm && cost > constants.CostWarm {
			continue // rather wait for the image where there is room
		}
		if cost < bestCost || cost == bestCost && m.name < best.name {
			best, bestCost = m, cost
			bestVictims = append(bestVictims[:0], can[:victims]...)
		}
	}
	if best == nil {
		r.stuck[d] = append(r.stuck[d], n)
		return nil
	}
	for _, h := range bestVictims {
		h.stop = true
		slog.Debug("task makes room", "task", h.key.task, "machine", best.name, "for", s.Priority, "guaranteed", claimant.guarantee, "warm", warm, "age_s", now.Sub(h.sentAt).Seconds())
	}
	best.stale = true
	return best
}

// victims lists what on a machine could be stopped at once for a task, after what
// is in can, and all the room that makes. A gang is stopped whole or not at all.
func (c *Core) victims(m *machine, claimant *task, can []*hold) ([]*hold, resources) {
	most := c.free(m)
	for _, h := range m.holds {
		if t := c.taskOf(h); h.instant && stoppable(h, t) && t.job.gang == nil && mayStop(t, claimant) {
			can = append(can, h)
			most = most.plus(h.needs)
		}
	}
	return can, most
}

// endangers says whether a job that would have met an objective on finishing
// would miss it if this task of it began anew.
func (c *Core) endangers(now time.Time, h *hold) bool {
	rec := c.jobs[h.jobID].rec
	began := h.sentAt
	if !h.runSince.IsZero() {
		began = h.runSince
	}
	whole := time.Duration(rec.Spec.EstimateS * float64(time.Second))
	age := time.Duration(now.UnixMilli()-rec.AcceptedMS) * time.Millisecond
	left := max(whole-now.Sub(began), constants.LeastLeft)
	return c.cfg.Order.Meets(rec.Spec.Class, age+left) > c.cfg.Order.Meets(rec.Spec.Class, age+whole)
}

// askToSave makes room for a task where only work that can save stands in its
// way: that is stopped with time to save, and the task starts once it is gone.
// It returns for how many such tasks room will be there.
func (c *Core) askToSave(now time.Time, claimant *task, r *round) int {
	if !r.saving || now.Before(claimant.roomAt) {
		return 0
	}
	s := &claimant.job.rec.Spec
	n := need(s)
	var best []*hold
	bestCost := math.Inf(1)
	for _, m := range c.fleet {
		if !allowed(s, m.typeName, m.spot) || !c.usable(now, m) {
			continue
		}
		free, cost := c.free(m), 0.0
		var victims []*hold
		for _, h := range m.holds {
			t := c.taskOf(h)
			if n.fits(free) || !stoppable(h, t) || !mayStop(t, claimant) {
				continue
			}
			free = free.plus(h.needs)
			victims = append(victims, h)
			cost += h.needs.cpus
			if t.job.gang != nil {
				cost += h.needs.cpus * float64(len(t.job.tasks)-1) // all of it goes
			}
		}
		if len(victims) > 0 && n.fits(free) && cost < bestCost {
			best, bestCost = victims, cost
		}
	}
	wait := time.Duration(0)
	var freed resources
	for _, h := range best {
		wait = max(wait, h.grace(c)+c.together(h))
		if t := c.taskOf(h); t.job.gang != nil {
			if !h.stop {
				c.stopGang(t.job, "makes room")
				freed = freed.plus(h.needs.times(len(t.job.tasks)))
			}
			continue
		}
		freed = freed.plus(h.needs)
		c.stopHold(h)
		slog.Debug("task saves and makes room", "task", h.key.task, "machine", h.m.name)
	}
	if len(best) == 0 {
		return 0
	}
	claimant.roomAt = now.Add(wait + constants.NoticeMargin)
	return freed.holdsOf(n)
}

// start decides an attempt of its own.
func (c *Core) start(now time.Time, t *task, m *machine) {
	c.startAs(now, t, m, c.numbers.attempt())
}

// startAs decides an attempt. From here on the task counts as maybe there.
func (c *Core) startAs(now time.Time, t *task, m *machine, attempt uint64) {
	h := &hold{
		key:   holdKey{wire.TaskName(t.job.rec.ID, t.index), attempt},
		jobID: t.job.rec.ID, index: t.index, m: m, state: stateSent, sentAt: now,
	}
	c.fillHold(h, t.job)
	c.addHold(h)
	m.idleSince = time.Time{}
	c.requestCommand(m)
	t.hold = h
	c.touch(t.job)
	c.pushDirty = true
}

// warmerElsewhere says whether a production task would wait for its image
// here, and would not in another shard.
func (c *Core) warmerElsewhere(now time.Time, s *wire.Submission) bool {
	if s.Priority != wire.PriorityProduction || s.OneZone || s.Spread && s.Tasks > 1 || s.Zone != "" {
		return false
	}
	for _, m := range c.fleet {
		if m.images[s.Image] && c.usable(now, m) && allowed(s, m.typeName, m.spot) && c.prodRoom(m) >= s.CPUs {
			return false
		}
	}
	for _, o := range c.others {
		if now.Sub(o.at) < constants.StaleAggregate && o.agg.Warm[s.Image] >= s.CPUs {
			return true
		}
	}
	return false
}

// elsewhere says whether another shard is known to have room for one more of a
// job's tasks, after so many.
func (c *Core) elsewhere(now time.Time, rec *state.Job, after int) bool {
	// Others see the same room.
	return c.roomElsewhere(now, rec) > (after+1)*max(1, len(c.others))
}

// roomElsewhere is for how many more of a job's tasks other shards are known to have
// room.
func (c *Core) roomElsewhere(now time.Time, rec *state.Job) int {
	s := &rec.Spec
	n := 0
	for _, o := range c.others {
		if now.Sub(o.at) < constants.StaleAggregate && (s.Zone == "" || s.Zone == o.agg.Shard) {
			n += o.agg.Takes(s)
		}
	}
	// spread may leave no place for it outside this shard, whatever the room.
	if s.Spread && s.Tasks > 1 {
		n = min(n, c.spreadElsewhere(rec))
	}
	return n
}

// spreadElsewhere is how many more tasks of a job may be in the other shards,
// beside those there: at most half of all in each.
func (c *Core) spreadElsewhere(rec *state.Job) int {
	n := 0
	for name := range c.others {
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

// sendBack marks a waiting task to be sent back to the leader. From here on
// it is not placed, until a newer record says what became of it.
func (c *Core) sendBack(j *job, t *task) {
	if !j.recordChanges() && !c.somewhere(j.rec.ID, t.index) {
		t.leaving = true
		c.touch(j)
		c.check(j)
	}
}
