package shard

import (
	"log/slog"
	"slices"
	"time"

	"ravenport/constants"
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
	tasks := c.readyTasks(now, j)
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
		attempt = c.counters.nextAttempt()
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
		if m.cachedImages[j.rec.Spec.Image] {
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
	if g.hasRun || now.Sub(g.startedAt) > c.cfg.GangStartTimeout*constants.GangReplacePercent/100 {
		c.failGangAttempt(j, "incomplete")
		return
	}
	for _, t := range c.readyTasks(now, j) {
		if m := c.bestFit(now, &j.rec.Spec, func(m *machine) bool {
			return m.findAttempt(attemptKey{wire.TaskName(j.rec.ID, t.index), g.attempt}) == nil
		}); m != nil {
			c.startAttempt(now, t, m, g.attempt)
		}
	}
}

// offloadGang gives a gang, or its share of one, back to the leader: whole, and
// only when none of it may be anywhere.
func (c *Core) offloadGang(now time.Time, j *job) bool {
	if j.recordPending() || j.rec.End != "" || len(c.readyTasks(now, j)) < len(j.tasks) {
		return false
	}
	for _, t := range j.tasks {
		t.sendingBack = true
	}
	j.sentBackAt = now
	c.markWaitingStale(j)
	c.queueForClose(j)
	return true
}
