package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/records"
	"ravenport/wire"
)

// closeQueue owns which jobs may have assignments to close, or tasks to offload to
// the leader. queueForClose adds to it, closeAssignments empties it.
type closeQueue struct {
	closeCandidates map[string]*job // by id
	limitsCheckedAt time.Time       // when jobs of teams at their limit were last looked at for done tasks
}

// closeAssignments closes finished assignments of the jobs that have changed, and offloads
// tasks to the leader.
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

// closeJob writes a job's record if it has finished assignments or tasks to offload.
// Finished assignments wait a little for the job's others in the shard: a write of the record
// for each would cost more than all other writes.
func (c *Core) closeJob(now time.Time, id string, j *job) {
	f := c.closeStatusOf(&c.fleetView, now, j)
	if !f.assignmentFinished && !f.tasksOffloaded && !f.tasksFinished {
		return
	}
	if c.defersClose(now, id, j, f) {
		return
	}
	j.closeAt = time.Time{}
	rec := j.rec.Clone()
	for i := range rec.Assignments {
		assignment := &rec.Assignments[i]
		if assignment.Shard == c.cfg.Shard && !assignment.Closed && c.isAssignmentFinished(j, assignment) {
			assignment.Closed = true
		}
	}
	if f.tasksFinished && !c.closeFinishedTasks(j, rec) && !f.assignmentFinished && !f.tasksOffloaded {
		return
	}
	if f.tasksOffloaded {
		if rec = c.removeOffloaded(&c.fleetView, j, rec, f.assignmentFinished); rec == nil {
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

// closeStatus is what of a job in the shard is to be recorded.
type closeStatus struct {
	assignmentFinished bool // an assignment is finished
	assignmentOpen     bool // another one is not
	tasksFinished      bool // tasks of an open one are finished, and the team's quota limit keeps others waiting
	tasksOffloaded     bool // tasks are to be offloaded to the leader
}

// closeStatusOf checks a job's assignments in the shard.
func (c *scaleOutState) closeStatusOf(v *fleetView, now time.Time, j *job) closeStatus {
	var f closeStatus
	atLimit := c.blocksTeamAtLimit(now, j)
	for i := range j.rec.Assignments {
		assignment := &j.rec.Assignments[i]
		if assignment.Shard != v.cfg.Shard || assignment.Closed {
			continue
		}
		if v.isAssignmentFinished(j, assignment) {
			f.assignmentFinished = true
			continue
		}
		f.assignmentOpen = true
		for k := assignment.From; atLimit && !f.tasksFinished && k < assignment.To; k++ {
			f.tasksFinished = v.isTaskFinished(j, k)
		}
	}
	if j.rec.End == "" {
		for _, t := range j.tasks {
			f.tasksOffloaded = f.tasksOffloaded || t.offloading
		}
	}
	return f
}

// defersClose reports whether what is finished waits a little longer for the job's other
// assignments in the shard.
func (s *closeQueue) defersClose(now time.Time, id string, j *job, f closeStatus) bool {
	finished := f.assignmentFinished || f.tasksFinished
	if !finished || !f.assignmentOpen || f.tasksOffloaded || j.rec.End != "" {
		return false
	}
	if j.closeAt.IsZero() {
		j.closeAt = now.Add(constants.AssignmentCloseDelay)
	}
	if !now.Before(j.closeAt) {
		return false
	}
	s.closeCandidates[id] = j
	return true
}

// removeOffloaded removes the tasks that are offloaded to the leader from a record's
// assignments. If the record, with gaps for them, would outgrow the key-value store's values,
// they stay, and only what was closed is returned; nil if nothing was.
func (p *placement) removeOffloaded(v *fleetView, j *job, rec *records.Job, closed bool) *records.Job {
	staying := rec.Clone()
	for k, t := range j.tasks {
		if t.offloading {
			removeTask(rec, k)
		}
	}
	rec.Normalize()
	plain := len(records.Encode(rec))
	if plain <= v.cfg.SizeLimits.Next*9/10 || plain <= len(records.Encode(j.rec)) {
		return rec
	}
	for _, t := range j.tasks {
		t.offloading = false
	}
	p.markWaitingStale(j)
	if !closed {
		return nil
	}
	staying.Normalize()
	return staying
}

// writeJob writes a job's record by compare-and-swap on its version.
func (c *Core) writeJob(now time.Time, id string, j *job, rec *records.Job) {
	value, ok := c.cfg.SizeLimits.Encode(rec, j.rec)
	if !ok {
		slog.Error("job's record exceeds the size limit", logkey.JobID, id, "bytes", len(value))
		j.nextWriteAt = now.Add(constants.RetryBackoffMax)
		c.queueForClose(j)
		return
	}
	j.writeInFlight = true
	c.commitInTerm(&c.fleetView, CommitID{kind: commitJob, jobID: id}, []wire.Change{{Put: records.KeyJob(id), Value: value}},
		wire.Condition{Key: records.KeyJob(id), Version: j.version})
}

// isAssignmentFinished reports whether every task of an assignment is finished.
func (k *knownState) isAssignmentFinished(j *job, assignment *records.Assignment) bool {
	for index := assignment.From; index < assignment.To; index++ {
		if !k.isTaskFinished(j, index) {
			return false
		}
	}
	return true
}

// isTaskFinished reports whether a task is done, or its job has ended, and it is surely on no
// machine.
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

// closeFinishedTasks closes the finished tasks of open assignments by themselves, unless the
// record would be too large with so many assignments: then it returns false. While an
// assignment is open, all its tasks count against their team's quota limit: one task that runs
// for long would keep others waiting.
func (v *fleetView) closeFinishedTasks(j *job, rec *records.Job) bool {
	whole := rec.Assignments
	var split []records.Assignment
	for _, assignment := range whole {
		if assignment.Shard != v.cfg.Shard || assignment.Closed {
			split = append(split, assignment)
			continue
		}
		for k := assignment.From; k < assignment.To; k++ {
			single := assignment
			single.From, single.To = k, k+1
			single.Closed = v.isTaskFinished(j, k)
			split = append(split, single)
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

// removeTask removes one task from its assignment, which it splits in two.
func removeTask(rec *records.Job, index int) {
	for i := range rec.Assignments {
		assignment := &rec.Assignments[i]
		if assignment.Closed || index < assignment.From || index >= assignment.To {
			continue
		}
		rest := *assignment
		rest.From = index + 1
		assignment.To = index
		rec.Assignments = append(rec.Assignments, rest)
		return
	}
}

// queueForClose has a job checked for assignments to close in the next step.
func (s *closeQueue) queueForClose(j *job) {
	s.closeCandidates[j.rec.ID] = j
	j.closeCheckDue = true
}
