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

// gang is the state of a gang, a job whose tasks run at the same time, under one attempt
// number, or not at all. If a gang spans several shards, only its share of the tasks is
// assigned to this shard.
type gang struct {
	attempt   uint64    // number of the current or the last attempt; 0: none is known
	startedAt time.Time // when the attempt was started, or adopted from an earlier owner
	hasRun    bool      // a heartbeat or reply has listed a task of the attempt as running or saving
	failed    bool      // the attempt has failed; its remaining tasks are stopped
	done      bool      // a task is known to be done, which means that all tasks are
}

// isActive reports whether an attempt is in progress.
func (g *gang) isActive() bool { return g.attempt != 0 && !g.failed }

// spansShards reports whether a gang's tasks are, or will be, assigned to several
// shards. Such tasks run under the attempt number that the leader wrote into the record.
func spansShards(record *records.Job, shard string) bool {
	if record.Attempt == 0 {
		return false
	}
	isOther := func(a records.Assignment) bool { return a.Shard != shard }
	return len(record.Unassigned()) > 0 || slices.ContainsFunc(record.Assignments, isOther)
}

// placeGang starts a gang as a whole if no attempt is active. For an active attempt, it
// replaces tasks that were lost before the gang ran.
func (c *Core) placeGang(now time.Time, j *job, r *placementRound) {
	g := j.gang
	if g.done || j.record.End != "" {
		return
	}
	spans := spansShards(j.record, c.cfg.Shard)
	if g.isActive() && (!spans || g.attempt == j.record.Attempt) {
		c.replaceLostGangTasks(now, j)
		return
	}
	if spans && (g.attempt == j.record.Attempt || len(j.record.Unassigned()) > 0) {
		// The attempt under the leader's number has failed, or another shard has
		// offloaded its share.
		c.offloadGang(now, j)
		return
	}
	tasks := c.readyTasks(now, j)
	if len(tasks) < len(j.tasks) {
		return // a task of an earlier attempt may still be on a machine
	}
	c.startGang(now, j, tasks, spans, r)
}

// startGang starts all tasks of a gang if they fit, by preemption if necessary. A gang
// within one shard takes a new attempt number only after the gang is known to fit.
func (c *Core) startGang(now time.Time, j *job, tasks []*task, spans bool, r *placementRound) {
	number := uint64(0)
	if spans {
		number = j.record.Attempt
	}
	machines := c.packGang(now, &j.record.Spec, len(tasks), number)
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
		if m.cachedImages[j.record.Spec.Image] {
			withImage++
		}
		c.startAttempt(now, t, m, number)
	}
	slog.Debug("starting gang", logkey.JobID, j.record.ID, "attempt", number, "tasks", len(tasks), "with_image", withImage,
		"preempted", machines == nil, "accepted_s", float64(now.UnixMilli()-j.record.AcceptedMS)/1000)
}

// replaceLostGangTasks starts again, under the same attempt number, the tasks that an
// attempt lost before the gang ran. The gang's other tasks wait meanwhile. A machine
// that already lists the task under this number is left out because its worker would
// ignore another start.
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
		key := attemptKey{wire.TaskName(j.record.ID, t.index), g.attempt}
		m := c.bestFit(now, &j.record.Spec, func(m *machine) bool { return m.findAttempt(key) == nil })
		if m != nil {
			c.startAttempt(now, t, m, g.attempt)
		}
	}
}

// offloadGang returns a gang, or this shard's share of a gang, to the leader. All tasks
// are offloaded together, and only when none of them may still be on a machine.
func (c *Core) offloadGang(now time.Time, j *job) {
	if j.recordPending() || j.record.End != "" || len(c.readyTasks(now, j)) < len(j.tasks) {
		return
	}
	for _, t := range j.tasks {
		t.offloading = true
	}
	j.offloadedAt = now
	c.markWaitingStale(j)
	c.queueForClose(j)
}
