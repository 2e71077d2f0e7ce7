package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/records"
	"ravenport/wire"
)

// closeQueue holds the jobs that may have assignments to close or tasks to offload to the
// leader. queueForClose adds a job, closeAssignments removes it.
type closeQueue struct {
	closeCandidates map[string]*job // by id
	limitsCheckedAt time.Time       // time at which jobs of teams at their quota limit were last checked for done tasks
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

// closeJob writes a job's record if the job has finished assignments or tasks to offload.
// Finished assignments wait a short time for the job's other assignments in the shard,
// because a write of the record for each of them would cost more than all other writes
// together.
func (c *Core) closeJob(now time.Time, id string, j *job) {
	status := c.closeStatusOf(&c.fleetView, now, j)
	if !status.assignmentFinished && !status.tasksOffloaded && !status.tasksFinished {
		j.closesFinishedTasks = false
		return
	}
	if c.defersClose(now, id, j, status) {
		return
	}
	j.closeAt, j.closesFinishedTasks = time.Time{}, false
	record := j.record.Clone()
	for i := range record.Assignments {
		assignment := &record.Assignments[i]
		if assignment.Shard == c.cfg.Shard && !assignment.Closed && c.isAssignmentFinished(j, assignment) {
			assignment.Closed = true
		}
	}
	if status.tasksFinished && !c.closeFinishedTasks(j, record) && !status.assignmentFinished && !status.tasksOffloaded {
		return
	}
	if status.tasksOffloaded {
		if record = c.removeOffloaded(&c.fleetView, j, record, status.assignmentFinished); record == nil {
			return
		}
	} else {
		record.Normalize()
	}
	if record.End == "" && !record.Spec.IsService() && record.AllTasksClosed() {
		record.End = wire.JobDone
	}
	c.writeJob(now, id, j, record)
}

// closeStatus is the part of a job's state in the shard that has to be written to its record.
type closeStatus struct {
	assignmentFinished bool // an assignment is finished
	assignmentOpen     bool // another assignment is not finished
	tasksFinished      bool // tasks of an open assignment are finished, and others wait because of the team's quota limit or for room on a crowded machine
	tasksOffloaded     bool // tasks have to be offloaded to the leader
}

// closeStatusOf checks a job's assignments in the shard.
func (c *scaleOutState) closeStatusOf(v *fleetView, now time.Time, j *job) closeStatus {
	var status closeStatus
	closeEach := j.closesFinishedTasks || c.blocksTeamAtLimit(now, j)
	for i := range j.record.Assignments {
		assignment := &j.record.Assignments[i]
		if assignment.Shard != v.cfg.Shard || assignment.Closed {
			continue
		}
		if v.isAssignmentFinished(j, assignment) {
			status.assignmentFinished = true
			continue
		}
		status.assignmentOpen = true
		for k := assignment.From; closeEach && !status.tasksFinished && k < assignment.To; k++ {
			status.tasksFinished = v.isTaskFinished(j, k)
		}
	}
	if j.record.End == "" {
		for _, t := range j.tasks {
			status.tasksOffloaded = status.tasksOffloaded || t.offloading
		}
	}
	return status
}

// defersClose reports whether the write of finished work is deferred to wait for the job's
// other assignments in the shard.
func (s *closeQueue) defersClose(now time.Time, id string, j *job, status closeStatus) bool {
	finished := status.assignmentFinished || status.tasksFinished
	if !finished || !status.assignmentOpen || status.tasksOffloaded || j.record.End != "" {
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

// removeOffloaded removes the tasks that are offloaded to the leader from the assignments of
// a record, and returns the record. If the gaps would make the record too large for a value
// of the key-value store, the tasks stay in the shard; the result is then the record with
// only its closed assignments changed, or nil if none was closed.
func (p *placement) removeOffloaded(v *fleetView, j *job, record *records.Job, closed bool) *records.Job {
	withoutRemoval := record.Clone()
	for k, t := range j.tasks {
		if t.offloading {
			removeTask(record, k)
		}
	}
	record.Normalize()
	encodedBytes := len(records.Encode(record))
	if encodedBytes <= v.cfg.SizeLimits.Next*9/10 || encodedBytes <= len(records.Encode(j.record)) {
		return record
	}
	for _, t := range j.tasks {
		t.offloading = false
	}
	p.markWaitingStale(j)
	if !closed {
		return nil
	}
	withoutRemoval.Normalize()
	return withoutRemoval
}

// writeJob writes a job's record by compare-and-swap on its version.
func (c *Core) writeJob(now time.Time, id string, j *job, record *records.Job) {
	value, ok := c.cfg.SizeLimits.Encode(record, j.record)
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

// isTaskFinished reports whether a task is done or its job has ended, and no attempt of the
// task can be on a machine any more.
func (k *knownState) isTaskFinished(j *job, index int) bool {
	t := j.tasks[index]
	ended := j.record.End != ""
	switch {
	case t == nil:
		return false
	case (ended || j.gang != nil) && t.possiblyRunning:
		return false
	case !ended && !t.done:
		return false
	}
	return !k.hasLiveAttempt(j.record.ID, index)
}

// closeFinishedTasks closes the finished tasks of open assignments one by one. It returns
// false if the record would be too large with that many assignments. All tasks of an open
// assignment count against the quota limit of their team, so without this a single long task
// would keep other tasks waiting.
func (v *fleetView) closeFinishedTasks(j *job, record *records.Job) bool {
	original := record.Assignments
	var split []records.Assignment
	for _, assignment := range original {
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
	record.Assignments = split
	record.Normalize()
	if len(records.Encode(record)) > v.cfg.SizeLimits.Next/2 {
		record.Assignments = original
		return false
	}
	return true
}

// removeTask removes a task from its assignment and splits the assignment in two.
func removeTask(record *records.Job, index int) {
	for i := range record.Assignments {
		assignment := &record.Assignments[i]
		if assignment.Closed || index < assignment.From || index >= assignment.To {
			continue
		}
		rest := *assignment
		rest.From = index + 1
		assignment.To = index
		record.Assignments = append(record.Assignments, rest)
		return
	}
}

// queueForClose marks a job so that the next step checks it for assignments to close.
func (s *closeQueue) queueForClose(j *job) {
	s.closeCandidates[j.record.ID] = j
	j.closeCheckDue = true
}
