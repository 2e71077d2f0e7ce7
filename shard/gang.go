package shard

import (
	"log/slog"
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/records"
	"ravenport/wire"
)

// gang is the state of a gang: its tasks run at the same time, under one attempt number, or
// not at all. A gang that spans shards has a share of its tasks here.
type gang struct {
	attempt   uint64    // number of the current attempt, or of the last; 0: none is known
	startedAt time.Time // when the attempt's first task was started or found
	hasRun    bool      // a task of the attempt was seen to run
	failed    bool      // the attempt has failed: what is left of it is stopped
	done      bool      // a task is known to be done, and so all are
}

// isActive says whether an attempt is under way.
func (g *gang) isActive() bool { return g.attempt != 0 && !g.failed }

// spansShards says whether a gang's tasks are, or will be, in several shards. Those run
// under the attempt number that the leader wrote.
func spansShards(rec *records.Job, shard string) bool {
	if rec.Attempt == 0 {
		return false
	}
	isOther := func(a records.Assignment) bool { return a.Shard != shard }
	return len(rec.Unassigned()) > 0 || slices.ContainsFunc(rec.Assignments, isOther)
}

// placeGang starts a gang as a whole, or replaces tasks that an attempt lost before it ran,
// or does nothing.
func (c *Core) placeGang(now time.Time, j *job, r *placementRound) {
	g := j.gang
	if g.done || j.rec.End != "" {
		return
	}
	spans := spansShards(j.rec, c.cfg.Shard)
	if g.isActive() && (!spans || g.attempt == j.rec.Attempt) {
		c.replaceLostGangTasks(now, j)
		return
	}
	if spans && (g.attempt == j.rec.Attempt || len(j.rec.Unassigned()) > 0) {
		// The number is used up, or another shard has offloaded its share.
		c.offloadGang(now, j)
		return
	}
	tasks := c.readyTasks(now, j)
	if len(tasks) < len(j.tasks) {
		return // something of an earlier attempt may be left
	}
	c.startGang(now, j, tasks, spans, r)
}

// startGang starts all tasks of a gang if they fit, if need be by preemption. A gang within
// one shard takes a new attempt number once it is known to fit.
func (c *Core) startGang(now time.Time, j *job, tasks []*task, spans bool, r *placementRound) {
	number := uint64(0)
	if spans {
		number = j.rec.Attempt
	}
	machines := c.packGang(now, &j.rec.Spec, len(tasks), number)
	if machines == nil && !c.gangFitsAfterPreemption(now, tasks, r) {
		c.preemptWithCheckpointForGang(&c.fleetView, now, tasks, r)
		return
	}
	if !spans {
		number = c.counters.nextAttempt()
	}
	*j.gang = gang{attempt: number, startedAt: now}
	withImage := 0
	for i, t := range tasks {
		var m *machine
		if machines != nil {
			m = machines[i]
		} else {
			m = c.machineForGangTask(now, t, r)
		}
		if m == nil {
			c.failGangAttempt(j, "no capacity after preemption")
			return
		}
		if m.cachedImages[j.rec.Spec.Image] {
			withImage++
		}
		c.startAttempt(now, t, m, number)
	}
	slog.Debug("gang starts", logkey.JobID, j.rec.ID, "attempt", number, "tasks", len(tasks), "with_image", withImage,
		"preempted", machines == nil, "accepted_s", float64(now.UnixMilli()-j.rec.AcceptedMS)/1000)
}

// replaceLostGangTasks starts the tasks that an attempt lost before it ran anew, under the
// same number, while its other tasks wait. A machine that lists the task under this number
// would ignore another start.
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
		key := attemptKey{wire.TaskName(j.rec.ID, t.index), g.attempt}
		m := c.bestFit(now, &j.rec.Spec, func(m *machine) bool { return m.findAttempt(key) == nil })
		if m != nil {
			c.startAttempt(now, t, m, g.attempt)
		}
	}
}

// offloadGang sends a gang, or its share of one, back to the leader: as a whole, and only
// when none of it may be on any machine.
func (c *Core) offloadGang(now time.Time, j *job) {
	if j.recordPending() || j.rec.End != "" || len(c.readyTasks(now, j)) < len(j.tasks) {
		return
	}
	for _, t := range j.tasks {
		t.offloading = true
	}
	j.offloadedAt = now
	c.markWaitingStale(j)
	c.queueForClose(j)
}
