package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// closeQueue is which jobs may have something to record.
type closeQueue struct {
	closeCandidates map[string]*job
	heldAt          time.Time // when jobs of teams at their limit were last looked at for done tasks
}

// closeAssignments records what is finished, for the jobs that have changed.
func (c *Core) closeAssignments(now time.Time) {
	for id, j := range c.closeCandidates {
		switch {
		case c.jobs[id] != j:
			delete(c.closeCandidates, id)
		case j.recordPending() || now.Before(j.nextWriteAt):
		case !j.closeCheckDue && now.Before(j.closeAt):
		default:
			delete(c.closeCandidates, id)
			j.closeCheckDue = false
			c.closeJob(now, id, j)
		}
	}
}

// closeJob writes a job's record if it has assignments that are over or tasks that
// leave. Assignments that are over wait a little for the job's others here: a change
// of the record for each would cost more than all else.
func (c *Core) closeJob(now time.Time, id string, j *job) {
	f := c.closeStatusOf(&c.fleetView, now, j)
	if !f.assignmentFinished && !f.tasksSentBack && !f.tasksFinished {
		return
	}
	if c.defersClose(now, id, j, f) {
		return
	}
	j.closeAt = time.Time{}
	rec := j.rec.Clone()
	for i := range rec.Assignments {
		ch := &rec.Assignments[i]
		if ch.Shard == c.cfg.Shard && !ch.Closed && c.isAssignmentFinished(j, ch) {
			ch.Closed = true
		}
	}
	if f.tasksFinished && !c.closeFinishedTasks(j, rec) && !f.assignmentFinished && !f.tasksSentBack {
		return
	}
	if f.tasksSentBack {
		if rec = c.removeSentBack(&c.fleetView, j, rec, f.assignmentFinished); rec == nil {
			return
		}
	} else {
		rec.Normalize()
	}
	if rec.End == "" && !rec.Spec.IsService() && rec.AllTasksClosed() {
		rec.End = wire.JobDone
	}
	c.writeJob(now, id, j, rec)
}

// closeStatus is what of a job is to be recorded.
type closeStatus struct {
	assignmentFinished bool // an assignment here is over
	assignmentOpen     bool // another one here is not
	tasksFinished      bool // tasks of an open one are done, and their team's limit keeps others waiting
	tasksSentBack      bool // tasks go back to the leader
}

// closeStatusOf looks at a job's assignments here.
func (c *scaleOutState) closeStatusOf(v *fleetView, now time.Time, j *job) closeStatus {
	var f closeStatus
	held := c.blocksTeamAtLimit(now, j)
	for i := range j.rec.Assignments {
		ch := &j.rec.Assignments[i]
		if ch.Shard != v.cfg.Shard || ch.Closed {
			continue
		}
		if v.isAssignmentFinished(j, ch) {
			f.assignmentFinished = true
			continue
		}
		f.assignmentOpen = true
		for k := ch.From; held && !f.tasksFinished && k < ch.To; k++ {
			f.tasksFinished = v.isTaskFinished(j, k)
		}
	}
	if j.rec.End == "" {
		for _, t := range j.tasks {
			f.tasksSentBack = f.tasksSentBack || t.sendingBack
		}
	}
	return f
}

// defersClose says whether what is over waits a little longer for the job's other
// assignments here.
func (s *closeQueue) defersClose(now time.Time, id string, j *job, f closeStatus) bool {
	if !(f.assignmentFinished || f.tasksFinished) || !f.assignmentOpen || f.tasksSentBack || j.rec.End != "" {
		return false
	}
	if j.closeAt.IsZero() {
		j.closeAt = now.Add(constants.CloseDelay)
	}
	if !now.Before(j.closeAt) {
		return false
	}
	s.closeCandidates[id] = j
	return true
}

// removeSentBack takes the tasks that leave out of a record's assignments. Where their
// gaps would outgrow the state service's values, they stay, and only what closed is
// returned; nil if nothing did.
func (p *placement) removeSentBack(v *fleetView, j *job, rec *records.Job, closed bool) *records.Job {
	staying := rec.Clone()
	for k, t := range j.tasks {
		if t.sendingBack {
			removeTask(rec, k)
		}
	}
	rec.Normalize()
	plain := len(records.Encode(rec))
	if plain <= v.cfg.SizeLimits.Next*9/10 || plain <= len(records.Encode(j.rec)) {
		return rec
	}
	for _, t := range j.tasks {
		t.sendingBack = false
	}
	p.markWaitingStale(j)
	if !closed {
		return nil
	}
	staying.Normalize()
	return staying
}

// writeJob writes a job's record.
func (c *Core) writeJob(now time.Time, id string, j *job, rec *records.Job) {
	value, ok := c.cfg.SizeLimits.Encode(rec, j.rec)
	if !ok {
		slog.Error("job's record does not fit", "job", id, "bytes", len(value))
		j.nextWriteAt = now.Add(constants.RetryBackoffMax)
		c.queueForClose(j)
		return
	}
	j.writeInFlight = true
	c.commitInTerm(&c.fleetView, CommitID{kind: commitJob, jobID: id}, []wire.Change{{Put: records.KeyJob(id), Value: value}},
		wire.Condition{Key: records.KeyJob(id), Version: j.version})
}

// isAssignmentFinished says whether every task of an assignment is over.
func (k *knownState) isAssignmentFinished(j *job, ch *records.Assignment) bool {
	for index := ch.From; index < ch.To; index++ {
		if !k.isTaskFinished(j, index) {
			return false
		}
	}
	return true
}

// isTaskFinished says whether a task is done or, for a job that ended, need not be, and is
// surely on no machine.
func (k *knownState) isTaskFinished(j *job, index int) bool {
	t := j.tasks[index]
	ended := j.rec.End != ""
	switch {
	case t == nil:
		return false
	case (ended || j.gang != nil) && t.uncertain:
		return false
	case !ended && !t.done:
		return false
	}
	return !k.hasLiveAttempt(j.rec.ID, index)
}

// closeFinishedTasks closes the done tasks of open assignments here by themselves, unless the
// record would take too much room in so many pieces: then it returns false. While an
// assignment is open, all its tasks count within their team's limit: one that runs on
// would hold back others.
func (v *fleetView) closeFinishedTasks(j *job, rec *records.Job) bool {
	whole := rec.Assignments
	var split []records.Assignment
	for _, ch := range whole {
		if ch.Shard != v.cfg.Shard || ch.Closed {
			split = append(split, ch)
			continue
		}
		for k := ch.From; k < ch.To; k++ {
			piece := ch
			piece.From, piece.To, piece.Closed = k, k+1, v.isTaskFinished(j, k)
			split = append(split, piece)
		}
	}
	rec.Assignments = split
	rec.Normalize()
	if len(records.Encode(rec)) > v.cfg.SizeLimits.Next/2 {
		rec.Assignments = whole
		return false
	}
	return true
}

// removeTask takes one task out of its assignment.
func removeTask(rec *records.Job, index int) {
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

// queueForClose says that a job's assignments may have something to record.
func (s *closeQueue) queueForClose(j *job) {
	s.closeCandidates[j.rec.ID] = j
	j.closeCheckDue = true
}
