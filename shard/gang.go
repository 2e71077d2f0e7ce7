package shard

import (
	"log/slog"
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/records"
	"ravenport/wire"
)

// gang is what the owner knows of a gang: its tasks run at the same time, under
// one attempt number, or not at all. A gang in several shards has a share here.
type gang struct {
	attempt   uint64    // the one under way, or the last; 0: none is known
	startedAt time.Time // when its first task was decided or found
	hasRun    bool      // a task of it was seen to run
	failed    bool      // it ends: what is left of it is stopped
	done      bool      // a task is known as done, and so all are
}

// spansShards says whether a gang's tasks are, or are to be, in several shards: they
// run under the number that the leader wrote.
func spansShards(rec *records.Job, shard string) bool {
	return rec.Attempt != 0 && (len(rec.Unassigned()) > 0 || slices.ContainsFunc(rec.Assignments, func(ch records.Assignment) bool { return ch.Shard != shard }))
}

// reconcileGangRecord brings a gang in line with a newer record.
func (c *Core) reconcileGangRecord(j *job) {
	if slices.ContainsFunc(j.rec.Assignments, func(ch records.Assignment) bool { return ch.Closed }) && j.rec.End == "" {
		c.markGangDone(j) // another shard has seen a task of it done
	} else if len(j.rec.Unassigned()) > 0 && j.gang.attempt == j.rec.Attempt {
		c.failGangAttempt(j, "another share was given back")
	}
}

// markGangDone notes that a gang has completed: if one task is done, all are.
func (c *Core) markGangDone(j *job) {
	j.gang.done = true
	for _, t := range j.tasks {
		if t.done = true; t.hold != nil {
			t.hold.m.stale = true
		}
	}
	c.touch(j)
	c.check(j)
}

// reconcileGangAttempt brings a gang in line with an attempt of one of its tasks that a
// report showed.
func (c *Core) reconcileGangAttempt(t *task, h *hold) {
	j, g := t.job, t.job.gang
	if h.exited() {
		if t.hold == h {
			t.hold = nil
		}
		switch {
		case h.cause == wire.CauseDone:
			t.uncertain = false
			c.markGangDone(j)
		case isRefusal(h.cause) && !g.hasRun:
		case h.key.attempt == g.attempt:
			c.failGangAttempt(j, h.cause)
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
		*g = gang{attempt: h.key.attempt, startedAt: c.stepped}
		if c.stepped.Before(c.claimed) {
			g.startedAt = c.claimed // found before the first step
		}
	}
	if t.hold == nil {
		t.hold = h
		t.uncertain = t.uncertain && !h.m.verified(c.term)
	}
	if h.state == wire.TaskRunning || h.state == wire.TaskSaving {
		g.hasRun = true
	}
	if g.failed {
		c.stopWithoutCheckpoint(h)
	}
}

// isRefusal says that a start was refused, so that the attempt lost nothing by it.
func isRefusal(cause string) bool {
	return cause == wire.CauseNoCapacity || cause == wire.CauseBusy || cause == wire.CauseUnknown
}

// failGangAttempt gives up the attempt under way: a task of it is gone. Nothing that
// the others still do is of use; what they saved is safe once one has exited.
func (c *Core) failGangAttempt(j *job, why string) {
	g := j.gang
	if g.failed || g.done || g.attempt == 0 {
		return
	}
	g.failed = true
	slog.Info("gang's attempt ends", "job", j.rec.ID, "attempt", g.attempt, "why", why, "begun", g.hasRun)
	for _, t := range j.tasks {
		if h := t.hold; h != nil && !h.exited() {
			if why == wire.CauseGangIncomplete && (h.state == stateSent || h.state == wire.TaskFetching) {
				h.m.avoidUntil = c.stepped.Add(constants.FaultPause) // the others waited for it in vain
			}
			c.stopWithoutCheckpoint(h)
		}
	}
	c.touch(j)
	c.needsPlacement, c.pushDirty = true, true
}

// stopWithoutCheckpoint stops an attempt with no time to save.
func (q *outgoing) stopWithoutCheckpoint(h *hold) {
	h.instant = true
	q.evict(h)
}

// stopGangWithCheckpoint stops a gang whole, with time to save: all its tasks are told at once.
func (q *outgoing) stopGangWithCheckpoint(j *job, why string) {
	slog.Info("gang stops and saves", "job", j.rec.ID, "why", why)
	for _, t := range j.tasks {
		if h := t.hold; h != nil && !h.exited() {
			q.evict(h)
		}
	}
}

// handleLostGangTask notes that a task of the attempt under way is surely gone. Before the
// gang has begun another may take its place; after it the rest is ending.
func (c *Core) handleLostGangTask(j *job, h *hold) {
	if g := j.gang; h.key.attempt == g.attempt && g.hasRun && !h.exited() {
		c.failGangAttempt(j, "a machine is gone")
	}
}

// placeGang starts a gang whole, or replaces what an attempt that has not begun
// lost, or does nothing.
func (c *Core) placeGang(now time.Time, j *job, r *placementRound) {
	g := j.gang
	if g.done || j.rec.End != "" {
		return
	}
	spread := spansShards(j.rec, c.cfg.Shard)
	if g.attempt != 0 && !g.failed && (!spread || g.attempt == j.rec.Attempt) {
		c.replaceLostGangTasks(now, j)
		return
	}
	if spread && (g.attempt == j.rec.Attempt || len(j.rec.Unassigned()) > 0) {
		// The number is used up, or another shard has given its share back.
		c.offloadGang(now, j)
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
	places := c.packGang(now, &j.rec.Spec, len(tasks), attempt)
	if places == nil && !c.gangFitsAfterPreemption(now, tasks, r) {
		c.preemptWithCheckpointForGang(&c.fleetView, now, tasks, r)
		return
	}
	if !spread {
		attempt = c.numbers.attempt()
	}
	*g = gang{attempt: attempt, startedAt: now}
	warm := 0
	for i, t := range tasks {
		var m *machine
		if places != nil {
			m = places[i]
		} else if m = c.machineForGangTask(now, t, r); m == nil {
			c.failGangAttempt(j, "no room after all")
			return
		}
		if m.images[j.rec.Spec.Image] {
			warm++
		}
		c.startAttempt(now, t, m, attempt)
	}
	slog.Debug("gang starts", "job", j.rec.ID, "attempt", attempt, "tasks", len(tasks), "warm", warm, "stopped_others", places == nil,
		"accepted_s", float64(now.UnixMilli()-j.rec.AcceptedMS)/1000)
}

// replaceLostGangTasks replaces what an attempt lost before it began, under the same
// number, while its others wait. A machine that lists the task under this number
// would do nothing on another start.
func (c *Core) replaceLostGangTasks(now time.Time, j *job) {
	g := j.gang
	if len(j.waiting) == 0 {
		return
	}
	if g.hasRun || now.Sub(g.startedAt) > c.cfg.GangWait*constants.GangReplace/100 {
		c.failGangAttempt(j, "incomplete")
		return
	}
	for _, t := range c.ready(now, j) {
		if m := c.bestFit(now, &j.rec.Spec, func(m *machine) bool {
			return m.find(holdKey{wire.TaskName(j.rec.ID, t.index), g.attempt}) == nil
		}); m != nil {
			c.startAttempt(now, t, m, g.attempt)
		}
	}
}

// offloadGang gives a gang, or its share of one, back to the leader: whole, and
// only when none of it may be anywhere.
func (c *Core) offloadGang(now time.Time, j *job) bool {
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

// scaleOutForGang rents for all of a waiting gang that finds no place in what is
// coming, or gives it back where another shard is known to have room.
func (c *Core) scaleOutForGang(now time.Time, j *job, want map[machineKind]int) {
	s := &j.rec.Spec
	n := need(s)
	g := j.gang
	if g.done || g.attempt != 0 && !g.failed {
		return // under way; a replacement needs no machine of its own
	}
	left := len(j.tasks)
	c.unplacedDemand = c.unplacedDemand.plus(n.times(left))
	for i := range c.pendingCapacity {
		b := &c.pendingCapacity[i]
		if left > 0 && isEligible(s, b.typeName, b.spot) {
			k := min(left, b.free.holdsOf(n))
			b.free = b.free.minus(n.times(k))
			left -= k
		}
	}
	// Free room counts as well: it is what the gang's places will be made of.
	if !c.isUnreachable {
		for _, m := range c.fleet {
			if left > 0 && m.forGangs && isEligible(s, m.typeName, m.spot) && c.isSchedulable(now, m) {
				left -= min(left, c.free(m).holdsOf(n))
			}
		}
	}
	if left == 0 {
		return
	}
	typ, spot, ok := c.cheapestMachineKind(&c.fleetView, now, s)
	waited := now.Sub(j.gangSince)
	back := now.Sub(j.backAt) > constants.KeepWait && !spansShards(j.rec, c.cfg.Shard)
	// Where it has waited for long and the cloud has no more, no shard may hold it
	// whole: then the leader spreads it, if it may.
	apart := !ok && !s.OneZone && s.Zone == "" && waited > constants.KeepWait && leader.IsOverdue(now, j.rec, false)
	if back && ((!ok || waited > constants.GangPatience) && c.otherShardFitsGang(now, s) || apart) {
		slog.Info("gang goes back to the leader", "job", s.ID, "spread", apart)
		c.offloadGang(now, j)
		return
	}
	for ok && left > 0 {
		size := sizeOf(typ)
		k := min(left, max(1, size.holdsOf(n)))
		c.planMachine(typ, spot, n.times(k), want)
		left -= k
	}
	c.excessCPUs += n.cpus * float64(left)
}

// otherShardFitsGang says whether another shard is known to take all of a gang now.
func (f *figures) otherShardFitsGang(now time.Time, s *wire.Submission) bool {
	for _, o := range f.others {
		if now.Sub(o.at) < constants.AggregateStaleAfter && (s.Zone == "" || s.Zone == o.agg.Shard) && o.agg.Gangs[leader.GangShape(s)].Now >= s.Tasks {
			return true
		}
	}
	return false
}
