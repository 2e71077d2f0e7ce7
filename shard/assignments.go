package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/state"
	"ravenport/wire"
)

// closeAssignments records what is finished, for the jobs that have changed.
func (c *Core) closeAssignments(now time.Time) {
	for id, j := range c.toClose {
		switch {
		case c.jobs[id] != j:
			delete(c.toClose, id)
		case j.writing || now.Before(j.retryAt):
		case !j.changed && now.Before(j.closeAt):
		default:
			delete(c.toClose, id)
			j.changed = false
			c.closeJob(now, id, j)
		}
	}
}

// closeJob writes a job's record if it has assignments that are over or tasks that
// leave. Assignments that are over wait a little for the job's others here: a change
// of the record for each would cost more than all else.
func (c *Core) closeJob(now time.Time, id string, j *job) {
	over, open, leaving := false, false, false
	held, some := c.held(now, j), false // some: of an open assignment
	for i := range j.rec.Assignments {
		ch := &j.rec.Assignments[i]
		if ch.Shard != c.cfg.Shard || ch.Closed {
			continue
		}
		if c.assignmentOver(j, ch) {
			over = true
		} else {
			open = true
			for k := ch.From; held && !some && k < ch.To; k++ {
				some = c.taskOver(j, k)
			}
		}
	}
	if j.rec.End == "" {
		for _, t := range j.tasks {
			leaving = leaving || t.leaving
		}
	}
	if !over && !leaving && !some {
		return
	}
	if (over || some) && open && !leaving && j.rec.End == "" {
		if j.closeAt.IsZero() {
			j.closeAt = now.Add(constants.CloseWait)
		}
		if now.Before(j.closeAt) {
			c.toClose[id] = j
			return
		}
	}
	j.closeAt = time.Time{}
	rec := j.rec.Clone()
	for i := range rec.Assignments {
		ch := &rec.Assignments[i]
		if ch.Shard == c.cfg.Shard && !ch.Closed && c.assignmentOver(j, ch) {
			ch.Closed = true
		}
	}
	if some && !c.closeDone(j, rec) && !over && !leaving {
		return
	}
	closed := rec
	if leaving {
		closed = rec.Clone()
		for k, t := range j.tasks {
			if t.leaving {
				cutOut(rec, k)
			}
		}
	}
	rec.Normalize()
	if plain := len(state.Encode(rec)); leaving && plain > c.cfg.Sizes.Next*9/10 && plain > len(state.Encode(j.rec)) {
		// Scattered gaps would outgrow the state service's values: what is
		// to leave stays here, and only what closed is written.
		for _, t := range j.tasks {
			t.leaving = false
		}
		c.touch(j)
		if !over {
			return
		}
		rec = closed
		rec.Normalize()
	}
	if rec.End == "" && !rec.Spec.IsService() && rec.AllClosed() {
		rec.End = wire.JobDone
	}
	value, ok := c.cfg.Sizes.Encode(rec, j.rec)
	if !ok {
		slog.Error("job's record does not fit", "job", id, "bytes", len(value))
		j.retryAt = now.Add(constants.RetryMax)
		c.check(j)
		return
	}
	j.writing = true
	c.commit("job/"+id, []wire.Change{{Put: state.KeyJob(id), Value: value}},
		wire.Condition{Key: state.KeyJob(id), Version: j.version})
}

// assignmentOver says whether every task of an assignment is done or, for a job that
// ended, surely on no machine.
func (c *Core) assignmentOver(j *job, ch *state.Assignment) bool {
	for k := ch.From; k < ch.To; k++ {
		t := j.tasks[k]
		switch {
		case t == nil:
			return false
		case (j.rec.End != "" || j.gang != nil) && t.uncertain, j.rec.End == "" && !t.done:
			return false
		case c.somewhere(j.rec.ID, k):
			return false
		}
	}
	return true
}

// taskOver says whether a task is done and on no machine.
func (c *Core) taskOver(j *job, k int) bool {
	t := j.tasks[k]
	return t != nil && t.done && !c.somewhere(j.rec.ID, k)
}

// closeDone closes the done tasks of open assignments here by themselves, unless the
// record would take too much room in so many pieces: then it returns false. While a
// assignment is open, all its tasks count within their team's limit: one that runs on
// would hold back others.
func (c *Core) closeDone(j *job, rec *state.Job) bool {
	whole := rec.Assignments
	var split []state.Assignment
	for _, ch := range whole {
		if ch.Shard != c.cfg.Shard || ch.Closed {
			split = append(split, ch)
			continue
		}
		for k := ch.From; k < ch.To; k++ {
			piece := ch
			piece.From, piece.To, piece.Closed = k, k+1, c.taskOver(j, k)
			split = append(split, piece)
		}
	}
	rec.Assignments = split
	rec.Normalize()
	if len(state.Encode(rec)) > c.cfg.Sizes.Next/2 {
		rec.Assignments = whole
		return false
	}
	return true
}

// cutOut takes one task out of its assignment.
func cutOut(rec *state.Job, index int) {
	for i := range rec.Assignments {
		ch := &rec.Assignments[i]
		if ch.Closed || index < ch.From || index >= ch.To {
			continue
		}
		rest := *ch
		rest.From = index + 1
		ch.To = index
		rec.Assignments = append(rec.Assignments, rest)
		return
	}
}
