package part

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"log/slog"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/settings"
	"ravenport/state"
	"ravenport/wire"
)

// usable says whether new tasks may go to a machine now.
func (c *Core) usable(now time.Time, m *machine) bool {
	return m.verified(c.term) && m.rosterVersion != 0 && m.rosterAddr == m.addr && m.typ != nil &&
		!m.returning && m.notice.IsZero() && !c.silent(now, m) && !now.Before(m.avoidUntil)
}

func (c *Core) silent(now time.Time, m *machine) bool {
	return now.Sub(m.heard) > c.periods(constants.SilentPeriods)
}

// allowed says whether a job's tasks may run on a kind of machine.
func allowed(s *wire.Submission, typ string, spot bool) bool {
	return (s.Spot || !spot) && (len(s.Types) == 0 || slices.Contains(s.Types, typ))
}

// queue lists the jobs with waiting tasks in their order.
func (c *Core) queue(now time.Time) []*job {
	var q []*job
	for _, j := range c.jobs {
		if j.rec.End != "" {
			continue
		}
		for _, t := range j.tasks {
			if t.waiting() {
				q = append(q, j)
				break
			}
		}
	}
	places := make(map[*job]leader.Place, len(q))
	for _, j := range q {
		guaranteed := false
		for _, t := range j.tasks {
			guaranteed = guaranteed || t.guarantee && t.waiting()
		}
		places[j] = c.cfg.Order.Place(now, j.rec, guaranteed)
	}
	sort.Slice(q, func(a, b int) bool { return places[q[a]].Before(places[q[b]]) })
	return q
}

func (j *job) waitingTasks(now time.Time) []*task {
	var out []*task
	for _, t := range j.tasks {
		if t.waiting() && !now.Before(t.notBefore) {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].index < out[b].index })
	return out
}

// place gives waiting tasks to machines, best fit first, within a budget of
// time; the next round goes on where this one stopped.
func (c *Core) place(now time.Time) {
	c.dirty = false
	c.lastPlace = now
	q := c.queue(now)
	began := time.Now()
	start := 0
	if c.queueFrom < len(q) {
		start = c.queueFrom
	}
	c.queueFrom = 0
	for i := start; i < len(q); i++ {
		if time.Since(began) > constants.PartBudget {
			c.queueFrom = i
			c.dirty = true
			return
		}
		j := q[i]
		for _, t := range j.waitingTasks(now) {
			if c.somewhere(j.rec.ID, t.index) {
				continue // a stray attempt must be gone first
			}
			if !t.keep && c.warmerElsewhere(now, &j.rec.Spec) {
				c.sendBack(j, t)
				continue
			}
			m := c.choose(now, t)
			if m == nil {
				break // the job's other tasks need the same
			}
			c.start(now, t, m)
		}
	}
}

// choose finds a machine for a task. Production tasks rather stop lower work
// on a machine that holds their image than wait for it on another.
func (c *Core) choose(now time.Time, t *task) *machine {
	s := &t.job.rec.Spec
	m := c.bestFit(now, s)
	if m != nil && (m.images[s.Image] || s.Priority != wire.PriorityProduction) {
		return m
	}
	if m == nil {
		if m = c.preempt(now, t, false); m == nil {
			c.askToSave(now, t)
		}
		return m
	}
	if warm := c.preempt(now, t, true); warm != nil {
		return warm
	}
	return m
}

// bestFit is the paper's Resource-Only Match: of the machines that have room,
// the one that is left with the least. Machines that hold the image already
// come first, and spot machines before ordinary ones where both are allowed:
// ordinary room is the only room for those that may not use spot.
func (c *Core) bestFit(now time.Time, s *wire.Submission) *machine {
	n := need(s)
	var best *machine
	var bestScore float64
	for _, m := range c.machines {
		if !c.usable(now, m) || !allowed(s, m.typeName, m.spot) {
			continue
		}
		free := m.free()
		if !n.fits(free) {
			continue
		}
		score := m.left(free.minus(n))
		if !m.images[s.Image] {
			score += constants.ScoreCold
		}
		if s.Spot && !m.spot {
			// Ordinary machines with services stay whatever happens, so their
			// gaps cost nothing; an empty one had better stay empty.
			if m.serves(c) {
				score -= constants.ScoreShared
			} else {
				score += constants.ScoreOrdinary
			}
		}
		if m.draining {
			score += constants.ScoreDraining
		}
		if best == nil || score < bestScore || score == bestScore && m.name < best.name {
			best, bestScore = m, score
		}
	}
	return best
}

// Aggregate is what the owner pushes to the leader: the free room of the
// machines that take tasks, those that are coming included.
func (c *Core) Aggregate(now time.Time, revision uint64) leader.Aggregate {
	a := leader.Aggregate{Part: c.cfg.Part, Term: c.term, Revision: revision, Waiting: c.unplaced.cpus,
		Warm: map[string]float64{}, RentOrdinary: !now.Before(c.refused[false]), RentSpot: c.cfg.UseSpot && !now.Before(c.refused[true])}
	add := func(free resources, spot bool) {
		r := &a.Ordinary
		if spot {
			r = &a.Spot
		}
		r.Machines++
		r.CPUs.Add(free.cpus)
		r.GPUs.Add(free.gpus)
		r.Memory.Add(free.mem)
	}
	for _, m := range c.machines {
		if !c.coming(now, m) && !c.usable(now, m) {
			continue
		}
		a.Capacity += m.capacity.cpus
		add(m.free(), m.spot)
		if m.spot {
			continue
		}
		room := c.prodRoom(m)
		a.Yielding += room - m.free().cpus
		for image := range m.images {
			a.Warm[image] += room
		}
	}
	for _, r := range c.pendingRents {
		if t := c.types[r.req.Type]; t != nil {
			for range r.req.Count {
				add(sizeOf(t), r.req.Spot)
			}
		}
	}
	for _, r := range []*leader.Room{&a.Ordinary, &a.Spot} {
		r.CPUs.Finish(r.Machines)
		r.GPUs.Finish(r.Machines)
		r.Memory.Finish(r.Machines)
	}
	return a
}

// PushDue says whether the aggregate has changed since it was last taken.
func (c *Core) PushDue() bool { d := c.pushDirty; c.pushDirty = false; return d }

// Counts returns the tasks of each job that run here, and those that are done
// in chunks not closed yet, for display.
func (c *Core) Counts() map[string][2]int {
	out := map[string][2]int{}
	for id, j := range c.jobs {
		var n [2]int
		for _, t := range j.tasks {
			switch {
			case t.done:
				n[1]++
			case t.hold != nil && (t.hold.state == wire.TaskRunning || t.hold.state == wire.TaskSaving):
				n[0]++
			}
		}
		if n[0]+n[1] > 0 {
			out[id] = n
		}
	}
	return out
}

// serves says whether a machine holds a service.
func (m *machine) serves(c *Core) bool {
	for _, h := range m.holds {
		if t := c.taskOf(h); !h.exited() && t != nil && t.job.rec.Spec.IsService() {
			return true
		}
	}
	return false
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
func mayStop(victim, for_ *task) bool {
	v, f := &victim.job.rec.Spec, &for_.job.rec.Spec
	vl, fl := wire.PriorityLevel(v.Priority), wire.PriorityLevel(f.Priority)
	return vl < fl || vl == fl && !v.IsService() && for_.guarantee && !victim.guarantee && v.Team != f.Team
}

// preempt makes room on a machine by stopping work that has to yield: the
// machine on which the least is lost; with warm, only one that holds the
// image. It returns nil where none can be made.
func (c *Core) preempt(now time.Time, for_ *task, warm bool) *machine {
	s := &for_.job.rec.Spec
	n := need(s)
	var best *machine
	var bestVictims []*hold
	bestCost := math.Inf(1)
	for _, m := range c.machines {
		if !c.usable(now, m) || !allowed(s, m.typeName, m.spot) {
			continue
		}
		if warm && !m.images[s.Image] {
			continue
		}
		var can []*hold
		for _, h := range m.holds {
			t := c.taskOf(h)
			if h.instant && stoppable(h, t) && mayStop(t, for_) {
				can = append(can, h)
			}
		}
		// The youngest lose the least.
		sort.Slice(can, func(a, b int) bool {
			if !can[a].sentAt.Equal(can[b].sentAt) {
				return can[a].sentAt.After(can[b].sentAt)
			}
			return can[a].key.attempt > can[b].key.attempt
		})
		free := m.free()
		cost := 0.0
		var victims []*hold
		for _, h := range can {
			if n.fits(free) {
				break
			}
			free = free.plus(h.needs)
			victims = append(victims, h)
			cost += h.needs.cpus * (1 + now.Sub(h.sentAt).Seconds())
		}
		if !n.fits(free) || len(victims) == 0 {
			continue
		}
		if !m.images[s.Image] {
			cost += constants.CostCold
		}
		if cost < bestCost || cost == bestCost && m.name < best.name {
			best, bestVictims, bestCost = m, victims, cost
		}
	}
	for _, h := range bestVictims {
		h.stop = true
		slog.Debug("task makes room", "task", h.key.task, "machine", best.name)
	}
	return best
}

// askToSave makes room for a task where only work that can save stands in its
// way: that is stopped with time to save, and the task starts once it is gone.
func (c *Core) askToSave(now time.Time, for_ *task) {
	if now.Before(for_.roomAt) {
		return
	}
	s := &for_.job.rec.Spec
	n := need(s)
	var best []*hold
	bestCost := math.Inf(1)
	for _, m := range c.machines {
		if !c.usable(now, m) || !allowed(s, m.typeName, m.spot) {
			continue
		}
		free, cost := m.free(), 0.0
		var victims []*hold
		for _, h := range sortedHolds(m) {
			t := c.taskOf(h)
			if n.fits(free) || !stoppable(h, t) || !mayStop(t, for_) {
				continue
			}
			free = free.plus(h.needs)
			victims = append(victims, h)
			cost += h.needs.cpus
		}
		if len(victims) > 0 && n.fits(free) && cost < bestCost {
			best, bestCost = victims, cost
		}
	}
	wait := time.Duration(0)
	for _, h := range best {
		h.stop = true
		h.m.wantCommand = true
		wait = max(wait, h.grace(c))
		slog.Debug("task saves and makes room", "task", h.key.task, "machine", h.m.name)
	}
	if len(best) > 0 {
		for_.roomAt = now.Add(wait + constants.NoticeMargin)
	}
}

// start decides an attempt. From here on the task counts as maybe there.
func (c *Core) start(now time.Time, t *task, m *machine) {
	c.counter++
	h := &hold{
		key:   holdKey{wire.TaskName(t.job.rec.ID, t.index), c.term<<constants.AttemptBits | c.counter},
		jobID: t.job.rec.ID, index: t.index, m: m, state: stateSent, sentAt: now,
	}
	c.fillHold(h, t.job)
	m.holds[h.key] = h
	m.idleSince = time.Time{}
	m.wantCommand = true
	t.hold = h
	c.pushDirty = true
}

// rent asks for machines for what waits and fits on nothing that is coming.
func (c *Core) rent(now time.Time) {
	c.unplaced = resources{}
	if len(c.types) == 0 || !c.rebuilt {
		return
	}
	type bin struct {
		free resources
		typ  string
		spot bool
	}
	var bins []*bin
	for _, m := range c.machines {
		if c.coming(now, m) {
			bins = append(bins, &bin{m.capacity, m.typeName, m.spot})
		} else if m.up && !m.verified(c.term) && !m.returning && m.typ != nil && !c.silent(now, m) {
			bins = append(bins, &bin{m.free(), m.typeName, m.spot})
		}
	}
	for _, r := range c.pendingRents {
		if t := c.types[r.req.Type]; t != nil {
			for range r.req.Count {
				bins = append(bins, &bin{sizeOf(t), t.Name, r.req.Spot})
			}
		}
	}
	type kind struct {
		typ  string
		spot bool
	}
	want := map[kind]int{}
	total := 0
	sent := map[string]int{} // by job: tasks sent back in this round
	for _, j := range c.queue(now) {
		s := &j.rec.Spec
		n := need(s)
		for _, t := range j.waitingTasks(now) {
			c.unplaced = c.unplaced.plus(n)
			if total >= wire.MaxRent {
				continue
			}
			placed := false
			for _, b := range bins {
				if allowed(s, b.typ, b.spot) && n.fits(b.free) {
					b.free = b.free.minus(n)
					placed = true
					break
				}
			}
			if placed {
				continue
			}
			if !t.keep {
				c.sendBack(j, t) // it does not fit: the next part is asked
				continue
			}
			if c.drains(now, j, t) {
				continue
			}
			typ, spot, ok := c.pick(now, s)
			if !ok {
				if now.Sub(t.waitSince) > constants.KeepWait && c.elsewhere(now, s, sent[s.ID]) {
					c.sendBack(j, t)
					sent[s.ID]++
				}
				continue
			}
			bins = append(bins, &bin{sizeOf(typ).minus(n), typ.Name, spot})
			want[kind{typ.Name, spot}]++
			total++
		}
	}
	if k, ok := c.rentReserve(now, total == 0); ok {
		want[kind{k, false}]++
	}
	for k, n := range want {
		c.rentSeq++
		req := wire.RentRequest{
			// The term makes the name this owner's alone, for ever.
			Request: fmt.Sprintf("rv-%s-%d-%d", c.cfg.Part, c.term, c.rentSeq),
			Type:    k.typ, Zone: c.cfg.Part, Spot: k.spot, Count: n,
		}
		c.pendingRents[req.Request] = &rental{req: req, at: now}
		c.actions = append(c.actions, Rent{req})
		slog.Info("renting", "part", c.cfg.Part, "type", k.typ, "spot", k.spot, "count", n)
	}
}

// rentReserve says whether one more ordinary machine is needed to keep room
// ready for production work.
func (c *Core) rentReserve(now time.Time, nothingElse bool) (string, bool) {
	if !nothingElse || c.prod.largest.cpus == 0 || now.Before(c.refused[false]) {
		return "", false
	}
	room := 0.0
	for _, m := range c.machines {
		switch {
		case m.spot || m.returning || m.typ == nil:
		case c.coming(now, m):
			return "", false // one is coming
		case m.up && m.notice.IsZero():
			room += c.prodRoom(m)
		}
	}
	for _, r := range c.pendingRents {
		if !r.req.Spot {
			return "", false
		}
	}
	if room >= c.reserve(now) {
		return "", false
	}
	var best *wire.MachineType
	for _, t := range c.types {
		if c.prod.largest.fits(sizeOf(t)) && slices.Contains(t.Zones, c.cfg.Part) &&
			(best == nil || t.Price < best.Price) {
			best = t
		}
	}
	if best == nil {
		return "", false
	}
	return best.Name, true
}

// drains says whether the machines that are there will get round to a waiting
// task before a machine rented for it could be up, and well within its
// class's objective: renting for it would only cost.
func (c *Core) drains(now time.Time, j *job, t *task) bool {
	s := &j.rec.Spec
	within := c.cfg.Order.Within(s.Class)
	boot := c.bootS()
	// Estimates may be far too low: what has waited in vain is rented for.
	if s.IsService() || within == 0 || t.guarantee || now.Sub(t.waitSince).Seconds() > boot*constants.DrainWait {
		return false
	}
	if c.drainAt != now {
		c.drainAt, c.drainWork, c.drainCPUs = now, 0, 0
		for _, m := range c.machines {
			if !c.usable(now, m) || m.draining {
				continue
			}
			c.drainCPUs += m.capacity.cpus
			for _, h := range m.holds {
				o := c.taskOf(h)
				if h.exited() || o == nil {
					continue
				}
				if o.job.rec.Spec.IsService() {
					c.drainCPUs -= h.needs.cpus
					continue
				}
				left := o.job.rec.Spec.EstimateS
				if !h.runSince.IsZero() {
					left -= now.Sub(h.runSince).Seconds()
				}
				c.drainWork += h.needs.cpus * max(left, constants.LeastLeft.Seconds())
			}
		}
	}
	work := c.drainWork + s.CPUs*s.EstimateS
	limit := min(boot*constants.DrainBoots, within.Seconds()*constants.DrainShare)
	if c.drainCPUs < s.CPUs || work > c.drainCPUs*limit {
		return false
	}
	c.drainWork = work
	return true
}

// Others takes in what the other parts push. Tasks that wait for machines that
// are not to be had go up again only when some other part has room.
func (c *Core) Others(now time.Time, as []leader.Aggregate) {
	for _, a := range as {
		if a.Part != c.cfg.Part {
			c.others[a.Part] = other{a, now}
		}
	}
}

type other struct {
	agg leader.Aggregate
	at  time.Time
}

// elsewhere says whether another part is known to have room for one more of a
// job's tasks, after so many.
func (c *Core) elsewhere(now time.Time, s *wire.Submission, after int) bool {
	n := 0
	for _, o := range c.others {
		if now.Sub(o.at) < constants.StaleAggregate && (s.Zone == "" || s.Zone == o.agg.Part) {
			n += o.agg.Takes(s)
		}
	}
	return n > after
}

// warmerElsewhere says whether a production task would wait for its image
// here, and would not in another part.
func (c *Core) warmerElsewhere(now time.Time, s *wire.Submission) bool {
	if s.Priority != wire.PriorityProduction || s.OneZone || s.Spread && s.Tasks > 1 || s.Zone != "" {
		return false
	}
	for _, m := range c.machines {
		if c.usable(now, m) && m.images[s.Image] && allowed(s, m.typeName, m.spot) && c.prodRoom(m) >= s.CPUs {
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

// sendBack marks a waiting task to be sent back to the leader. From here on
// it is not placed, until a newer record says what became of it.
func (c *Core) sendBack(j *job, t *task) {
	if !j.writing && !c.somewhere(j.rec.ID, t.index) {
		t.leaving = true
	}
}

// pick chooses the cheapest kind of machine for a task that can be had.
func (c *Core) pick(now time.Time, s *wire.Submission) (*wire.MachineType, bool, bool) {
	var best *wire.MachineType
	bestSpot, bestPrice := false, math.Inf(1)
	for _, t := range c.types {
		if !need(s).fits(sizeOf(t)) || !allowed(s, t.Name, false) || !slices.Contains(t.Zones, c.cfg.Part) {
			continue
		}
		for _, spot := range []bool{false, true} {
			if spot && (!s.Spot || !c.cfg.UseSpot) || now.Before(c.refused[spot]) {
				continue
			}
			price := t.Price
			if spot {
				price = t.SpotPrice
			}
			price /= max(t.CPUs, 1)
			if price < bestPrice || price == bestPrice && t.Name < best.Name {
				best, bestSpot, bestPrice = t, spot, price
			}
		}
	}
	return best, bestSpot, best != nil
}

// bootAge is a machine's age in nominal boot times.
func (c *Core) bootAge(now time.Time, m *machine) float64 {
	boot := 60.0
	if m.typ != nil {
		boot = max(1, m.typ.BootS)
	}
	return now.Sub(m.rentedAt).Seconds() / boot
}

// coming says whether a machine that has not come up yet is still counted on.
func (c *Core) coming(now time.Time, m *machine) bool {
	return !m.up && !m.inherited && !m.returning && m.typ != nil && c.bootAge(now, m) < constants.BootUsual
}

// Rented takes in the answer to a rental: the machines, or that none is to be
// had. An unanswered rental is repeated by the actor under the same name.
func (c *Core) Rented(now time.Time, request string, names []string, refused bool) {
	r := c.pendingRents[request]
	if r == nil {
		return
	}
	delete(c.pendingRents, request)
	if refused || len(names) < r.req.Count {
		slog.Info("cloud has no more machines", "part", c.cfg.Part, "spot", r.req.Spot, "asked", r.req.Count, "got", len(names))
		c.refused[r.req.Spot] = now.Add(constants.RefusedPause)
	}
	for _, name := range names {
		m := c.machine(name)
		if m.typeName == "" {
			m.typeName, m.spot, m.rentedAt = r.req.Type, r.req.Spot, r.at
			c.size(m)
		}
	}
	c.dirty, c.pushDirty = true, true
}

// leaveNoticed moves work off machines that the cloud is about to take: what
// can save is told to in time, services and arrays that will not be done start
// again elsewhere while there is room.
func (c *Core) leaveNoticed(now time.Time) {
	for _, m := range c.machines {
		if m.notice.IsZero() || m.returning || !m.up {
			continue
		}
		left := m.notice.Sub(now)
		moves := 0
		for _, h := range sortedHolds(m) {
			t := c.taskOf(h)
			if !stoppable(h, t) || moves >= constants.NoticeMoves {
				continue
			}
			s := &t.job.rec.Spec
			ends := settings.Seconds(s.EstimateS)
			if !h.runSince.IsZero() {
				ends -= now.Sub(h.runSince)
			}
			switch {
			case !h.instant && left > h.grace(c)+constants.NoticeMargin:
				continue // it saves at the last moment
			case !h.instant:
			case !s.IsService() && float64(ends) < constants.NoticeDoubt*float64(left):
				continue // it may well be done before
			case c.bestFit(now, s) == nil:
				continue
			}
			h.stop = true
			m.wantCommand = true
			moves++
		}
	}
}

// consolidate empties ordinary machines that the part can do without, by
// moving services one at a time to machines that hold their image: a service
// is away for a moment, while a machine with one service on it costs as much
// as a full one.
func (c *Core) consolidate(now time.Time) {
	if !c.rebuilt || now.Sub(c.lastMove) < constants.MoveGap {
		return
	}
	c.lastMove = now
	var ms []*machine
	for _, m := range c.machines {
		if !m.spot && c.usable(now, m) {
			ms = append(ms, m)
			for _, h := range m.holds {
				if h.stop && !h.exited() {
					return // one at a time
				}
			}
		} else {
			delete(c.spareSince, m.name)
		}
	}
	sort.Slice(ms, func(a, b int) bool {
		if x, y := ms[a].used().cpus, ms[b].used().cpus; x != y {
			return x < y
		}
		return ms[a].name > ms[b].name
	})
	for _, m := range ms {
		if m.draining {
			if !c.spare(now, m, ms) {
				m.draining = false
				delete(c.spareSince, m.name)
				continue
			}
			c.moveOne(now, m)
			return
		}
	}
	for _, m := range ms {
		if !c.spare(now, m, ms) {
			delete(c.spareSince, m.name)
			continue
		}
		since, ok := c.spareSince[m.name]
		if !ok {
			c.spareSince[m.name] = now
		} else if now.Sub(since) > constants.SpareFor {
			slog.Info("draining machine", "machine", m.name, "cpus", m.used().cpus)
			m.draining = true
			return
		}
	}
}

// spare says whether all that is on a machine would fit on the part's others,
// services on ordinary ones that hold their image.
func (c *Core) spare(now time.Time, m *machine, ordinary []*machine) bool {
	free := map[*machine]resources{}
	for _, o := range c.machines {
		if o != m && c.usable(now, o) {
			free[o] = o.free()
		}
	}
	if c.unplaced.cpus > 0 || len(ordinary) < 2 {
		return false
	}
	room := 0.0
	for _, o := range ordinary {
		if o != m {
			room += c.prodRoom(o)
		}
	}
	own := m.capacity.cpus - c.prodRoom(m)
	if room-own < c.reserve(now)+c.prod.largest.cpus {
		return false
	}
	for _, h := range sortedHolds(m) {
		t := c.taskOf(h)
		if h.exited() || t == nil {
			continue
		}
		s := &t.job.rec.Spec
		var to *machine
		for o, f := range free {
			if h.needs.fits(f) && allowed(s, o.typeName, o.spot) && (!s.IsService() || o.images[s.Image]) &&
				(to == nil || f.cpus < free[to].cpus || f.cpus == free[to].cpus && o.name < to.name) {
				to = o
			}
		}
		if to == nil {
			return false
		}
		free[to] = free[to].minus(h.needs)
	}
	return true
}

// prodRoom is what production work can have of an ordinary machine (CPUs):
// what is free, and what lower work holds that can be stopped at once.
func (c *Core) prodRoom(m *machine) float64 {
	room := m.free().cpus
	for _, h := range m.holds {
		if t := c.taskOf(h); h.instant && stoppable(h, t) &&
			wire.PriorityLevel(t.job.rec.Spec.Priority) < wire.PriorityLevel(wire.PriorityProduction) {
			room += h.needs.cpus
		}
	}
	return room
}

// reserve is the room (CPUs) held ready for production work: what is expected
// to arrive while a machine would boot, and one of the largest tasks at least.
func (c *Core) reserve(now time.Time) float64 {
	return max(c.prod.largest.cpus, constants.ReserveFactor*c.prod.within(now, settings.Seconds(c.bootS())))
}

// bootS is the longest nominal boot time (s).
func (c *Core) bootS() float64 {
	boot := 0.0
	for _, t := range c.types {
		boot = max(boot, t.BootS)
	}
	return boot
}

// moveOne stops one service of a draining machine; it starts again at once
// where there is room for it.
func (c *Core) moveOne(now time.Time, m *machine) {
	for _, h := range sortedHolds(m) {
		t := c.taskOf(h)
		if h.state != wire.TaskRunning || t == nil || t.hold != h || !t.job.rec.Spec.IsService() || !h.instant {
			continue
		}
		if to := c.bestFit(now, &t.job.rec.Spec); to != nil && !to.draining && to.images[t.job.rec.Spec.Image] {
			h.stop = true
			m.wantCommand = true
			slog.Debug("moving service", "task", h.key.task, "from", m.name, "to", to.name)
			return
		}
	}
}

// giveBack returns machines that are idle, never came up, or are silent
// beyond hope.
func (c *Core) giveBack(now time.Time) {
	var names []string
	heard, up := 0, 0
	for _, m := range c.machines {
		if m.up && !m.returning {
			up++
			if !c.silent(now, m) {
				heard++
			}
		}
	}
	for _, m := range c.machines {
		if !m.dropAt.IsZero() && now.After(m.dropAt) {
			m.dropAt = time.Time{}
			c.dropRoster(m)
		}
		if m.returning || len(names) >= wire.MaxReturn {
			continue
		}
		why := ""
		idle := c.cfg.IdleOrdinary
		if m.spot {
			idle = c.cfg.IdleSpot
		}
		switch {
		case !m.up && !m.inherited && c.bootAge(now, m) > constants.BootPatience:
			why = "did not come up"
		case m.up && !m.busy() && !m.idleSince.IsZero() && (m.draining || now.Sub(m.idleSince) > idle) && m.verified(c.term):
			why = "idle"
		case m.up && c.silent(now, m) && m.unanswered > 0 && c.alone(now, m, heard, up):
			// Returning it makes what was on it surely gone, long before its
			// lease ends.
			why = "silent"
		case m.up && !m.notice.IsZero() && now.After(m.notice):
			why = "taken back" // it is gone; the return says so at once
		case m.inherited && !m.up && now.Sub(c.claimed) > c.periods(constants.SilentAtTakeover) && m.unanswered > 1 && c.alone(now, m, heard, up):
			why = "silent since the takeover"
		}
		if why != "" {
			slog.Info("returning machine", "machine", m.name, "why", why, "spot", m.spot)
			m.returning = true
			names = append(names, m.name)
		}
	}
	if len(names) > 0 {
		c.actions = append(c.actions, Return{names})
	}
}

// alone says whether a silent machine is silent by itself: the owner hears
// most others, or all controllers are heard and none of them was reported to.
// Otherwise it is the owner that is cut off.
func (c *Core) alone(now time.Time, m *machine, heard, up int) bool {
	if now.Sub(m.strayAt) < constants.StrayMemory {
		return false
	}
	return heard*2 > up || now.Sub(c.siblingsAt) < constants.PushEvery*2
}

// CutOff says whether most machines have fallen silent together, and whether
// most of those have been reporting to other controllers: then it is the
// owner that they cannot reach.
func (c *Core) CutOff(now time.Time) (silent, strays bool) {
	up, quiet, seen := 0, 0, 0
	for _, m := range c.machines {
		if !m.up || m.returning {
			continue
		}
		up++
		if c.silent(now, m) {
			quiet++
			if now.Sub(m.strayAt) < constants.StrayMemory {
				seen++
			}
		}
	}
	return quiet*2 > up, seen*2 > up
}

// Strays takes in which machines reported to another controller.
func (c *Core) Strays(now time.Time, names []string, all bool) {
	for _, n := range names {
		if m := c.machines[n]; m != nil {
			m.strayAt = now
		}
	}
	if all {
		c.siblingsAt = now
	}
}

// Returned takes in the cloud's word that machines and all on them are gone.
func (c *Core) Returned(now time.Time, names []string) {
	for _, name := range names {
		m := c.machines[name]
		if m == nil {
			continue
		}
		for _, h := range m.holds {
			c.release(now, h)
		}
		m.up, m.inherited = false, false
		m.leaseUntil = time.Time{}
		c.gone[name] = now
		if m.addr != "" {
			c.actions = append(c.actions, Gone{m.addr})
		}
		if m.rosterVersion == 0 && !m.rosterBusy {
			delete(c.machines, name)
			continue
		}
		c.dropRoster(m)
	}
	c.checkRebuilt(now)
}

func (c *Core) dropRoster(m *machine) {
	c.commit("gone/"+m.name, wire.Change{Delete: state.KeyMachine(c.cfg.Part, m.name)},
		wire.Condition{Key: state.KeyMachine(c.cfg.Part, m.name), Version: m.rosterVersion})
}

// Listed takes in the cloud's list, which lags: it brings unexpected machines
// to light and those that failed, and proves nothing else.
func (c *Core) Listed(now time.Time, list []wire.CloudMachine) {
	for name, at := range c.gone {
		if now.Sub(at) > constants.GoneMemory {
			delete(c.gone, name)
		}
	}
	for _, l := range list {
		if l.Zone != c.cfg.Part {
			continue
		}
		m := c.machines[l.Name]
		if l.State == wire.MachineFailed {
			if m == nil {
				c.actions = append(c.actions, Return{[]string{l.Name}})
			} else if !m.returning {
				m.returning = true
				c.actions = append(c.actions, Return{[]string{l.Name}})
			}
			continue
		}
		if _, gone := c.gone[l.Name]; gone {
			continue // the list lags: returned a moment ago
		}
		if m == nil && l.State == wire.MachineBooting && time.Duration(l.AgeS*float64(time.Second)) > 2*c.cfg.ListLag {
			m = c.machine(l.Name)
			m.typeName, m.spot = l.Type, l.Spot
			m.rentedAt = now.Add(-time.Duration(l.AgeS * float64(time.Second)))
			c.size(m)
			slog.Info("unexpected machine found in the cloud's list", "machine", l.Name)
		}
	}
}

// closeChunks records what is finished.
func (c *Core) closeChunks(now time.Time) {
	for id, j := range c.jobs {
		if j.writing || now.Before(j.retryAt) {
			continue
		}
		rec := j.rec.Clone()
		changed := false
		for i := range rec.Chunks {
			ch := &rec.Chunks[i]
			if ch.Part != c.cfg.Part || ch.Closed {
				continue
			}
			over := true
			for k := ch.From; k < ch.To; k++ {
				t := j.tasks[k]
				if t == nil {
					over = false
					break
				}
				if rec.End != "" {
					over = over && !t.uncertain && !c.somewhere(id, k)
				} else {
					over = over && t.done && !c.somewhere(id, k)
				}
				if !over {
					break
				}
			}
			if over {
				ch.Closed = true
				changed = true
			}
		}
		closed, someClosed := rec.Clone(), changed
		for k, t := range j.tasks {
			if t.leaving && rec.End == "" {
				cutOut(rec, k)
				changed = true
			}
		}
		if !changed {
			continue
		}
		rec.Normalize()
		if len(state.Encode(rec)) > c.cfg.ValueBytes*9/10 {
			// Scattered gaps would outgrow the state service's values: what is
			// to leave stays here, and only what closed is written.
			for _, t := range j.tasks {
				t.leaving = false
			}
			if !someClosed {
				continue
			}
			rec = closed
			rec.Normalize()
		}
		if rec.End == "" && !rec.Spec.IsService() && rec.AllClosed() {
			rec.End = wire.JobDone
		}
		c.writeJob(id, j, rec)
	}
}

// cutOut takes one task out of its chunk.
func cutOut(rec *state.Job, index int) {
	for i := range rec.Chunks {
		ch := &rec.Chunks[i]
		if ch.Closed || index < ch.From || index >= ch.To {
			continue
		}
		rest := *ch
		rest.From = index + 1
		ch.To = index
		rec.Chunks = append(rec.Chunks, rest)
		return
	}
}

func (c *Core) writeJob(id string, j *job, rec *state.Job) {
	j.writing = true
	c.commit("job/"+id, wire.Change{Put: state.KeyJob(id), Value: state.Encode(rec)},
		wire.Condition{Key: state.KeyJob(id), Version: j.version})
}

// somewhere says whether any attempt of a task may be on any machine.
func (c *Core) somewhere(jobID string, index int) bool {
	for _, m := range c.machines {
		for _, h := range m.holds {
			if h.jobID == jobID && h.index == index && !h.exited() {
				return true
			}
		}
	}
	return false
}

// Committed takes in what came of a transaction. A conflict needs nothing: the
// feed brings the change that caused it.
func (c *Core) Committed(now time.Time, id string, revision uint64) {
	ok := revision != 0
	kind, rest, _ := strings.Cut(id, "/")
	switch kind {
	case "machine":
		c.rosterWrites--
		if m := c.machines[rest]; m != nil {
			m.rosterBusy = false
			if ok {
				m.rosterVersion, m.rosterAddr = revision, m.rosterSent
				c.dirty = true
			}
		}
	case "gone":
		if m := c.machines[rest]; m != nil {
			if ok {
				delete(c.machines, rest)
			} else {
				m.dropAt = now.Add(constants.RetryMax)
			}
		}
	case "job":
		if j := c.jobs[rest]; j != nil && !ok {
			// Either the feed will bring a newer version, or the write is
			// tried again.
			j.writing = false
			j.retryAt = now.Add(constants.RetryMax)
		}
	}
}

// Summary is an owner's view of its part, for operators.
type Summary struct {
	Rebuilt     bool    `json:"rebuilt"`
	Up          int     `json:"machines_up"`
	Spot        int     `json:"machines_spot"`
	Booting     int     `json:"machines_booting"`
	Silent      int     `json:"machines_silent"`
	Draining    int     `json:"machines_draining"`
	Returning   int     `json:"machines_returning"`
	Attempts    int     `json:"attempts"` // tasks that are, or may be, on machines
	Waiting     int     `json:"tasks_waiting"`
	WaitingCPUs float64 `json:"waiting_cpus"`
	RefusedSpot bool    `json:"spot_refused"` // the cloud had none a moment ago
	Refused     bool    `json:"ordinary_refused"`
}

// Summary counts what the owner knows.
func (c *Core) Summary(now time.Time) Summary {
	s := Summary{Rebuilt: c.rebuilt, WaitingCPUs: c.unplaced.cpus, RefusedSpot: now.Before(c.refused[true]), Refused: now.Before(c.refused[false])}
	for _, m := range c.machines {
		switch {
		case m.returning:
			s.Returning++
		case !m.up:
			s.Booting++
		default:
			s.Up++
			if m.spot {
				s.Spot++
			}
			if c.silent(now, m) {
				s.Silent++
			}
			if m.draining {
				s.Draining++
			}
		}
		for _, h := range m.holds {
			if !h.exited() {
				s.Attempts++
			}
		}
	}
	for _, j := range c.jobs {
		for _, t := range j.tasks {
			if t.waiting() {
				s.Waiting++
			}
		}
	}
	return s
}
