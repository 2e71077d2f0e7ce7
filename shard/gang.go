package shard

import (
	"log/slog"
	"slices"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/state"
	"ravenport/wire"
)

// gang is what the owner knows of a gang: its tasks run at the same time, under
// one attempt number, or not at all. A gang in several shards has a share here.
type gang struct {
	attempt uint64    // the one under way, or the last; 0: none is known
	since   time.Time // when its first task was decided or found
	begun   bool      // a task of it was seen to run
	failed  bool      // it ends: what is left of it is stopped
	done    bool      // a task is known as done, and so all are
}

// shared says whether a gang's tasks are, or are to be, in several shards: they
// run under the number that the leader wrote.
func shared(rec *state.Job, shard string) bool {
	return rec.Attempt != 0 && (len(rec.Unassigned()) > 0 || slices.ContainsFunc(rec.Assignments, func(ch state.Assignment) bool { return ch.Shard != shard }))
}

// gangRecord brings a gang in line with a newer record.
func (c *Core) gangRecord(j *job) {
	if slices.ContainsFunc(j.rec.Assignments, func(ch state.Assignment) bool { return ch.Closed }) && j.rec.End == "" {
		c.gangDone(j) // another shard has seen a task of it done
	} else if len(j.rec.Unassigned()) > 0 && j.gang.attempt == j.rec.Attempt {
		c.endAttempt(j, "another share was given back")
	}
}

// gangDone notes that a gang has completed: if one task is done, all are.
func (c *Core) gangDone(j *job) {
	j.gang.done = true
	for _, t := range j.tasks {
		if t.done = true; t.hold != nil {
			t.hold.m.stale = true
		}
	}
	c.touch(j)
	c.check(j)
}

// matchGang brings a gang in line with an attempt of one of its tasks that a
// report showed.
func (c *Core) matchGang(t *task, h *hold) {
	j, g := t.job, t.job.gang
	if h.exited() {
		if t.hold == h {
			t.hold = nil
		}
		switch {
		case h.cause == wire.CauseDone:
			t.uncertain = false
			c.gangDone(j)
		case refused(h.cause) && !g.begun:
		case h.key.attempt == g.attempt:
			c.endAttempt(j, h.cause)
		case h.key.attempt == j.rec.Attempt && g.attempt == 0:
			// Left by an earlier owner: the leader's number is used up.
			*g = gang{attempt: h.key.attempt, failed: true}
		}
		c.check(j)
		return
	}
	switch {
	case g.done || h.key.attempt < g.attempt:
		return // a stray: to be stopped
	case h.key.attempt > g.attempt:
		// Left by an earlier owner; the highest number is the last.
		for _, o := range j.tasks {
			if o.hold != nil && o.hold.key.attempt != h.key.attempt {
				c.requestCommand(o.hold.m)
				o.hold.m.stale = true
				o.hold = nil
			}
		}
		*g = gang{attempt: h.key.attempt, since: c.stepped}
		if c.stepped.Before(c.claimed) {
			g.since = c.claimed // found before the first step
		}
	}
	if t.hold == nil {
		t.hold = h
		t.uncertain = t.uncertain && !h.m.verified(c.term)
	}
	if h.state == wire.TaskRunning || h.state == wire.TaskSaving {
		g.begun = true
	}
	if g.failed {
		c.stopNow(h)
	}
}

// refused says that a start was refused, so that the attempt lost nothing by it.
func refused(cause string) bool {
	return cause == wire.CauseNoRoom || cause == wire.CauseBusy || cause == wire.CauseUnknown
}

// endAttempt gives up the attempt under way: a task of it is gone. Nothing that
// the others still do is of use; what they saved is safe once one has exited.
func (c *Core) endAttempt(j *job, why string) {
	g := j.gang
	if g.failed || g.done || g.attempt == 0 {
		return
	}
	g.failed = true
	slog.Info("gang's attempt ends", "job", j.rec.ID, "attempt", g.attempt, "why", why, "begun", g.begun)
	for _, t := range j.tasks {
		if h := t.hold; h != nil && !h.exited() {
			if why == wire.CauseAlone && (h.state == stateSent || h.state == wire.TaskFetching) {
				h.m.avoidUntil = c.stepped.Add(constants.FaultPause) // the others waited for it in vain
			}
			c.stopNow(h)
		}
	}
	c.touch(j)
	c.dirty, c.pushDirty = true, true
}

// stopNow stops an attempt with no time to save.
func (c *Core) stopNow(h *hold) {
	h.stop, h.instant = true, true
	h.m.stale = true
	c.requestCommand(h.m)
}

// stopGang stops a gang whole, with time to save: all its tasks are told at once.
func (c *Core) stopGang(j *job, why string) {
	slog.Info("gang stops and saves", "job", j.rec.ID, "why", why)
	for _, t := range j.tasks {
		if h := t.hold; h != nil && !h.exited() {
			h.stop = true
			h.m.stale = true
			c.requestCommand(h.m)
		}
	}
}

// lostOne notes that a task of the attempt under way is surely gone. Before the
// gang has begun another may take its place; after it the rest is ending.
func (c *Core) lostOne(j *job, h *hold) {
	if g := j.gang; h.key.attempt == g.attempt && g.begun && !h.exited() {
		c.endAttempt(j, "a machine is gone")
	}
}

// placeGang starts a gang whole, or replaces what an attempt that has not begun
// lost, or does nothing.
func (c *Core) placeGang(now time.Time, j *job, r *round) {
	g := j.gang
	if g.done || j.rec.End != "" {
		return
	}
	spread := shared(j.rec, c.cfg.Shard)
	if g.attempt != 0 && !g.failed && (!spread || g.attempt == j.rec.Attempt) {
		c.completeGang(now, j)
		return
	}
	if spread && (g.attempt == j.rec.Attempt || len(j.rec.Unassigned()) > 0) {
		// The number is used up, or another shard has given its share back.
		c.sendBackGang(now, j)
		return
	}
	tasks := c.ready(now, j)
	if len(tasks) < len(j.tasks) {
		return // of an earlier attempt something may be left
	}
	attempt := uint64(0) // a new one of its own, once there is room
	if spread {
		attempt = j.rec.Attempt
	}
	places := c.gangPlaces(now, &j.rec.Spec, len(tasks), attempt)
	if places == nil && !c.gangRoom(now, tasks, r) {
		c.saveForGang(now, tasks, r)
		return
	}
	if !spread {
		attempt = c.numbers.attempt()
	}
	*g = gang{attempt: attempt, since: now}
	warm := 0
	for i, t := range tasks {
		var m *machine
		if places != nil {
			m = places[i]
		} else if m = c.roomFor(now, t, r); m == nil {
			c.endAttempt(j, "no room after all")
			return
		}
		if m.images[j.rec.Spec.Image] {
			warm++
		}
		c.startAs(now, t, m, attempt)
	}
	slog.Debug("gang starts", "job", j.rec.ID, "attempt", attempt, "tasks", len(tasks), "warm", warm, "stopped_others", places == nil,
		"accepted_s", float64(now.UnixMilli()-j.rec.AcceptedMS)/1000)
}

// completeGang replaces what an attempt lost before it began, under the same
// number, while its others wait. A machine that lists the task under this number
// would do nothing on another start.
func (c *Core) completeGang(now time.Time, j *job) {
	g := j.gang
	if len(j.waiting) == 0 {
		return
	}
	if g.begun || now.Sub(g.since) > c.cfg.GangWait*constants.GangReplace/100 {
		c.endAttempt(j, "incomplete")
		return
	}
	for _, t := range c.ready(now, j) {
		if m := c.bestFit(now, &j.rec.Spec, func(m *machine) bool {
			return m.find(holdKey{wire.TaskName(j.rec.ID, t.index), g.attempt}) == nil
		}); m != nil {
			c.startAs(now, t, m, g.attempt)
		}
	}
}

// bundle is a machine with room for some of a gang's tasks.
type bundle struct {
	m    *machine
	k    int
	warm bool
}

// gangPlaces finds a machine for each of a gang's tasks, nil if they do not all
// find one now. It is the best fit by bundles: the machine that is left with the
// least of those that take all that is left of the gang, else the one that takes
// the most, so that few machines have to fetch the image. Machines that hold it
// are enough where all fit on them. One that lists a task of the attempt, refused
// to an earlier owner, would do nothing on another start.
func (c *Core) gangPlaces(now time.Time, s *wire.Submission, tasks int, attempt uint64) []*machine {
	n := need(s)
	var warm, all []bundle
	warmRoom, allRoom := 0, 0
	for _, m := range c.fleet {
		if !allowed(s, m.typeName, m.spot) || !c.usable(now, m) || m.keptFor != nil && m.keptFor.rec.ID != s.ID {
			continue
		}
		k := c.free(m).holdsOf(n)
		if k == 0 || slices.ContainsFunc(m.holds, func(h *hold) bool { return h.key.attempt == attempt && h.jobID == s.ID }) {
			continue
		}
		b := bundle{m, k, m.images[s.Image]}
		all = append(all, b)
		allRoom += k
		if b.warm && !m.draining {
			warm = append(warm, b)
			warmRoom += k
		}
	}
	switch {
	case warmRoom >= tasks:
		return pack(warm, tasks)
	case allRoom >= tasks && c.missesByFetch(s):
		// It is late whatever is done: it brings the image to as many of the kept
		// machines as it can, for those that come after it.
		return scatter(all, tasks)
	case allRoom >= tasks:
		return pack(all, tasks)
	}
	return nil
}

// missesByFetch says whether a gang that has to fetch its image may well miss its
// class's aim on starting by that alone: the slowest of its machines counts.
func (c *Core) missesByFetch(s *wire.Submission) bool {
	within := c.cfg.Order.StartWithin(s.Class)
	for _, t := range c.types {
		if t.FetchGBPerS > 0 && allowed(s, t.Name, false) && within > 0 && s.ImageGB/t.FetchGBPerS*constants.FetchSlow < within.Seconds() {
			return false
		}
	}
	return within > 0
}

// scatter fills the machines kept for gangs evenly, and others only with what
// finds no place there.
func scatter(bs []bundle, tasks int) []*machine {
	var kept, others []bundle
	room := 0
	for _, b := range bs {
		if b.m.forGangs && !b.m.draining {
			kept = append(kept, b)
			room += b.k
		} else {
			others = append(others, b)
		}
	}
	sort.Slice(kept, func(a, b int) bool { return kept[a].m.name < kept[b].m.name })
	here := min(room, tasks)
	out := make([]*machine, 0, tasks)
	for round := 0; len(out) < here; round++ {
		for _, b := range kept {
			if b.k > round && len(out) < here {
				out = append(out, b.m)
			}
		}
	}
	return append(out, pack(others, tasks-here)...)
}

// saveForGang makes room for a gang where work that can save stands in its way:
// as much of it is stopped as the gang lacks places.
func (c *Core) saveForGang(now time.Time, tasks []*task, r *round) {
	if !r.saving || slices.ContainsFunc(tasks, func(t *task) bool { return now.Before(t.roomAt) }) {
		return // what was stopped for it is still saving
	}
	for missing := len(tasks) - c.slots(now, &tasks[0].job.rec.Spec); missing > 0; {
		freed := c.askToSave(now, tasks[missing-1], r)
		if freed == 0 {
			return
		}
		missing -= freed
	}
}

// slots is how many tasks of a job there is room for now.
func (c *Core) slots(now time.Time, s *wire.Submission) int {
	n := need(s)
	slots := 0
	for _, m := range c.fleet {
		if allowed(s, m.typeName, m.spot) && c.usable(now, m) {
			slots += c.free(m).holdsOf(n)
		}
	}
	return slots
}

// pack fills bundles of enough room.
func pack(bs []bundle, tasks int) []*machine {
	sort.Slice(bs, func(a, b int) bool {
		x, y := bs[a], bs[b]
		switch {
		case x.m.draining != y.m.draining:
			return y.m.draining
		case x.m.forGangs != y.m.forGangs:
			return x.m.forGangs // where the next gangs will be, and find the image
		case x.k != y.k:
			return x.k > y.k
		case x.warm != y.warm:
			return x.warm
		}
		return x.m.name < y.m.name
	})
	out := make([]*machine, 0, tasks)
	for len(out) < tasks {
		left := tasks - len(out)
		at := 0
		// Largest first; the last of those that take all the rest is the best fit.
		for i := range bs {
			same := bs[i].m.draining == bs[at].m.draining && bs[i].m.forGangs == bs[at].m.forGangs
			if bs[i].k >= left && (bs[at].k < left || same && bs[i].k < bs[at].k) {
				at = i
			}
		}
		for range min(left, bs[at].k) {
			out = append(out, bs[at].m)
		}
		bs = slices.Delete(bs, at, at+1)
	}
	return out
}

// gangRoom says whether all of a gang's tasks would find room if what has to
// yield to them were stopped. Nothing is stopped for a part of a gang.
func (c *Core) gangRoom(now time.Time, tasks []*task, r *round) bool {
	if !c.yields(tasks[0], r) {
		return false
	}
	s := &tasks[0].job.rec.Spec
	n := need(s)
	room := 0
	for _, m := range c.fleet {
		if allowed(s, m.typeName, m.spot) && c.usable(now, m) {
			_, most := c.victims(m, tasks[0], nil)
			if room += most.holdsOf(n); room >= len(tasks) {
				return true
			}
		}
	}
	return false
}

// roomFor is a machine for one task of a gang that is known to find room: free
// and with the image, else one on which others have to yield.
func (c *Core) roomFor(now time.Time, t *task, r *round) *machine {
	s := &t.job.rec.Spec
	fit := c.bestFit(now, s, nil)
	if fit != nil && fit.images[s.Image] {
		return fit
	}
	if m := c.preempt(now, t, true, r); m != nil {
		return m
	}
	if fit != nil {
		return fit
	}
	return c.preempt(now, t, false, r)
}

// sendBackGang gives a gang, or its share of one, back to the leader: whole, and
// only when none of it may be anywhere.
func (c *Core) sendBackGang(now time.Time, j *job) bool {
	if j.recordChanges() || j.rec.End != "" || len(c.ready(now, j)) < len(j.tasks) {
		return false
	}
	for _, t := range j.tasks {
		t.leaving = true
	}
	j.backAt = now
	c.touch(j)
	c.check(j)
	return true
}

// rentForGang rents for all of a waiting gang that finds no place in what is
// coming, or gives it back where another shard is known to have room.
func (c *Core) rentForGang(now time.Time, j *job, want map[kind]int) {
	s := &j.rec.Spec
	n := need(s)
	g := j.gang
	if g.done || g.attempt != 0 && !g.failed {
		return // under way; a replacement needs no machine of its own
	}
	left := len(j.tasks)
	c.unplaced = c.unplaced.plus(n.times(left))
	for i := range c.roomComing {
		b := &c.roomComing[i]
		if left > 0 && allowed(s, b.typ, b.spot) {
			k := min(left, b.free.holdsOf(n))
			b.free = b.free.minus(n.times(k))
			left -= k
		}
	}
	// Free room counts as well: it is what the gang's places will be made of.
	if !c.isUnreachable {
		for _, m := range c.fleet {
			if left > 0 && m.forGangs && allowed(s, m.typeName, m.spot) && c.usable(now, m) {
				left -= min(left, c.free(m).holdsOf(n))
			}
		}
	}
	if left == 0 {
		return
	}
	typ, spot, ok := c.pick(now, s)
	waited := now.Sub(j.gangSince)
	back := now.Sub(j.backAt) > constants.KeepWait && !shared(j.rec, c.cfg.Shard)
	// Where it has waited for long and the cloud has no more, no shard may hold it
	// whole: then the leader spreads it, if it may.
	apart := !ok && !s.OneZone && s.Zone == "" && waited > constants.KeepWait && leader.Overdue(now, j.rec, false)
	if back && ((!ok || waited > constants.GangPatience) && c.takesGang(now, s) || apart) {
		slog.Info("gang goes back to the leader", "job", s.ID, "spread", apart)
		c.sendBackGang(now, j)
		return
	}
	for ok && left > 0 {
		size := sizeOf(typ)
		k := min(left, max(1, size.holdsOf(n)))
		c.roomComing = append(c.roomComing, coming{size.minus(n.times(k)), typ.Name, spot})
		want[kind{typ.Name, spot}]++
		left -= k
	}
	c.excess += n.cpus * float64(left)
}

// takesGang says whether another shard is known to take all of a gang now.
func (c *Core) takesGang(now time.Time, s *wire.Submission) bool {
	for _, o := range c.others {
		if now.Sub(o.at) < constants.StaleAggregate && (s.Zone == "" || s.Zone == o.agg.Shard) && o.agg.Gangs[leader.ShapeOf(s)].Now >= s.Tasks {
			return true
		}
	}
	return false
}

// noteGang remembers what gangs look like, whichever shard has them: the leader
// wants to know whether one of that shape would start here.
func (c *Core) noteGang(now time.Time, rec *state.Job) {
	if !rec.Spec.IsGang() || rec.End != "" {
		return
	}
	key := leader.ShapeOf(&rec.Spec)
	if _, known := c.shapes[key]; !known && len(c.shapes) >= constants.MaxShapes {
		oldest := key
		for k, sh := range c.shapes {
			if oldest == key || sh.at.Before(c.shapes[oldest].at) || sh.at.Equal(c.shapes[oldest].at) && k < oldest {
				oldest = k
			}
		}
		delete(c.shapes, oldest)
	}
	c.shapes[key] = gangShape{rec.Spec, now}
}

type gangShape struct {
	spec wire.Submission
	at   time.Time
}

// gangFigures is how many tasks of each shape of gang seen lately would start
// now, and how many of them on machines that hold the image.
func (c *Core) gangFigures(now time.Time) map[string]leader.GangRoom {
	out := map[string]leader.GangRoom{}
	for key, sh := range c.shapes {
		if now.Sub(sh.at) > constants.ShapeMemory {
			delete(c.shapes, key)
			continue
		}
		s := &sh.spec
		n := need(s)
		var g leader.GangRoom
		for _, m := range c.fleet {
			if m.draining || !allowed(s, m.typeName, m.spot) || !c.usable(now, m) {
				continue
			}
			k := c.free(m).holdsOf(n)
			g.Now += k
			if m.images[s.Image] {
				g.Warm += k
			}
		}
		out[key] = g
	}
	return out
}

// keepForGangs picks the machines on which no array begins, so that gangs find
// room at once: enough for those that wait and for what is expected to come. A
// gang needs all its places at the same moment, and arrays would take each that
// falls free. It is made anew each time, so none outlives its reason.
func (c *Core) keepForGangs(now time.Time) {
	c.refresh()
	c.gangNeed = c.gangReserve(now)
	waiting := c.waitingGangs()
	for _, m := range c.fleet {
		m.forGangs = false
	}
	if c.gangNeed == 0 && len(waiting) == 0 {
		return
	}
	machines := c.machinesForGangs(now)
	for _, j := range waiting {
		keepForGang(machines, j)
	}
	left := c.gangNeed
	for _, k := range machines {
		if left <= slack {
			break
		}
		if !k.m.spot && k.room.cpus > slack {
			k.m.forGangs = true
			left -= k.room.cpus
		}
	}
}

// waitingGangs lists the gangs that are to be started, in the order in which they came.
func (c *Core) waitingGangs() []*job {
	var waiting []*job
	for j := range c.waiting {
		if g := j.gang; g != nil && !g.done && (g.attempt == 0 || g.failed) {
			waiting = append(waiting, j)
		}
	}
	sort.Slice(waiting, func(a, b int) bool {
		x, y := waiting[a].rec, waiting[b].rec
		return x.AcceptedMS < y.AcceptedMS || x.AcceptedMS == y.AcceptedMS && x.ID < y.ID
	})
	return waiting
}

// gangMachine is a machine whose room may be kept for gangs.
type gangMachine struct {
	m    *machine
	warm int       // shapes of gangs whose image it holds
	room resources // free, or held by arrays, which end soon
}

// machinesForGangs lists the machines whose room may be kept for gangs, those with the
// most of their images first, then by room.
func (c *Core) machinesForGangs(now time.Time) []*gangMachine {
	var list []*gangMachine
	for _, m := range c.fleet {
		if m.draining || m.keptFor != nil || !c.usable(now, m) {
			continue
		}
		k := &gangMachine{m: m, room: c.free(m)}
		for _, h := range m.holds {
			if t := c.taskOf(h); t != nil && !h.exited() && !t.job.rec.Spec.Whole() {
				k.room = k.room.plus(h.needs)
			}
		}
		if k.room.cpus < slack {
			continue
		}
		for _, sh := range c.shapes {
			if m.images[sh.spec.Image] {
				k.warm++
			}
		}
		list = append(list, k)
	}
	sort.Slice(list, func(a, b int) bool {
		x, y := list[a], list[b]
		switch {
		case x.warm != y.warm:
			return x.warm > y.warm
		case x.room.cpus != y.room.cpus:
			return x.room.cpus > y.room.cpus
		}
		return x.m.name < y.m.name
	})
	return list
}

// keepForGang keeps room for all tasks of a gang that waits, as far as there is any.
func keepForGang(machines []*gangMachine, j *job) {
	s := &j.rec.Spec
	n, left := need(s), len(j.tasks)
	for _, k := range machines {
		if left == 0 {
			return
		}
		if !allowed(s, k.m.typeName, k.m.spot) {
			continue
		}
		if t := min(left, k.room.holdsOf(n)); t > 0 {
			k.m.forGangs = true
			k.room = k.room.minus(n.times(t))
			left -= t
		}
	}
}

// gangReserve is the room (CPUs) held ready for gangs: what is expected to
// arrive while a machine would boot, and the largest of late at least.
func (c *Core) gangReserve(now time.Time) float64 {
	if c.gangs.largest.cpus == 0 {
		return 0
	}
	within := c.gangs.within(now, time.Duration(c.bootS()*float64(time.Second)))
	if within < c.gangs.largest.cpus*constants.GangsFaint {
		return 0 // they have stopped coming
	}
	return max(c.gangs.largest.cpus, constants.ReserveFactor*within)
}

// gangRoomMissing is how much of that reserve (CPUs) is neither free nor coming.
func (c *Core) gangRoomMissing() float64 {
	if c.gangNeed == 0 {
		return 0
	}
	missing := c.gangNeed
	for _, m := range c.fleet {
		if m.forGangs {
			missing -= max(0, c.free(m).cpus)
		}
	}
	for _, b := range c.roomComing {
		if !b.spot {
			missing -= b.free.cpus
		}
	}
	return missing
}
