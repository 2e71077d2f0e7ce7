package leader

import (
	"fmt"
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/records"
	"ravenport/wire"
)

// assignOutcome is the outcome of assign for one job.
type assignOutcome int

// Outcomes of assign.
const (
	notAssigned    assignOutcome = iota // no shard accepts any of the job's tasks now
	assigned                            // assign returned a commit to write
	overQuotaLimit                      // the job has to wait because of its team's quota limit
)

// plannedAssignment is the number of a job's tasks to assign to one shard.
type plannedAssignment struct {
	shard string
	tasks int
	// keepWaiting: the shard's owner queues tasks that do not fit now instead of
	// offloading them to the leader.
	keepWaiting bool
}

// assignmentUpdate is a job's record with more of its tasks assigned.
type assignmentUpdate struct {
	record  *records.Job
	planned []plannedAssignment // the tasks that were assigned; their capacity is reserved in the shards
	tasks   int                 // newly assigned tasks
}

// assign assigns as many of a job's unassigned tasks as its team's quota limit and the
// shards allow.
func (c *Core) assign(now time.Time, job *jobState) (Commit, assignOutcome) {
	spec := &job.record.Spec
	if spec.IsGang() {
		if record := job.record.Clone(); closeUnassignedIfDone(record) {
			return c.commitGangClosed(record, job), assigned
		}
	}
	unassigned := records.TasksIn(job.record.Unassigned())
	admitted := c.admittedTasks(now, job, unassigned)
	if admitted == 0 {
		return Commit{}, overQuotaLimit
	}
	plan, guaranteed := c.planJob(now, job, admitted, unassigned)
	update := assignRanges(job.record, plan, guaranteed)
	if update.tasks == 0 {
		job.retryAt = now.Add(constants.LeaderTickInterval)
		return Commit{}, notAssigned
	}
	if update.tasks < unassigned {
		job.retryAt = now.Add(constants.MinPartialAssignmentInterval)
	}
	value, fitsStore := c.sizeLimits.EncodeWithHeadroom(update.record, job.record)
	if !fitsStore {
		// The record of a job with too many assignments would exceed the size limit of
		// a value in the key-value store. Extending an adjacent assignment hardly
		// changes the record's size, so the job still makes progress.
		extended := c.extendAdjacentAssignment(job, admitted)
		if extended == nil {
			job.retryAt = now.Add(constants.RetryBackoffMax)
			return Commit{}, notAssigned
		}
		value, _ = c.sizeLimits.Encode(extended, job.record)
		update = assignmentUpdate{record: extended, tasks: admitted}
	}
	c.trackInFlight(job, update)
	slog.Debug("assigning tasks", logkey.JobID, update.record.ID, "plan", fmt.Sprint(plan))
	return c.newCommit(update.record.ID, job.version, value, spec.AllOrNothing()), assigned
}

// commitGangClosed returns the commit that closes the remaining tasks of a gang.
func (c *Core) commitGangClosed(record *records.Job, job *jobState) Commit {
	job.isInFlight = true
	c.urgentInFlight++
	value, _ := c.sizeLimits.Encode(record, job.record)
	return c.newCommit(record.ID, job.version, value, true)
}

// admittedTasks returns how many of a job's unassigned tasks may be assigned now; 0 if the
// job has to wait because of its team's quota limit.
func (c *Core) admittedTasks(now time.Time, job *jobState, unassigned int) int {
	s := &job.record.Spec
	n := c.tasksWithinLimit(s, unassigned)
	if s.AllOrNothing() {
		if n < unassigned {
			return 0
		}
		return n
	}
	if n > 0 && IsOverdue(now, job.record, len(job.record.Assignments) > 0) {
		n = min(n, OverdueBatch(unassigned))
	}
	return n
}

// planJob plans a job's admitted tasks. It also returns how many of the job's tasks are
// within its team's guaranteed quota.
func (c *Core) planJob(now time.Time, job *jobState, admitted, unassigned int) (plan []plannedAssignment, guaranteed int) {
	guaranteed = c.tasksWithinGuarantee(&job.record.Spec)
	if !job.record.Spec.IsGang() {
		return c.planIndependentTasks(now, job, admitted), guaranteed
	}
	if guaranteed < unassigned {
		guaranteed = 0 // a gang is within the guaranteed quota as a whole or not at all
	}
	return c.planGang(now, job), guaranteed
}

// assignRanges assigns a job's unassigned ranges of tasks according to a plan. The first
// guaranteed tasks are marked as within the team's guaranteed quota.
func assignRanges(record *records.Job, plan []plannedAssignment, guaranteed int) assignmentUpdate {
	update := assignmentUpdate{record: record.Clone()}
	ranges := record.Unassigned()
	for _, p := range plan {
		left := p.tasks
		for left > 0 && len(ranges) > 0 {
			r := &ranges[0]
			n := min(left, r.Tasks())
			isGuaranteed := update.tasks < guaranteed
			if isGuaranteed {
				n = min(n, guaranteed-update.tasks)
			}
			update.record.Assignments = append(update.record.Assignments, records.Assignment{
				From: r.From, To: r.From + n, Shard: p.shard, KeepWaiting: p.keepWaiting, Guaranteed: isGuaranteed,
			})
			r.From += n
			left -= n
			update.tasks += n
			if r.Tasks() == 0 {
				ranges = ranges[1:]
			}
		}
		update.planned = append(update.planned, plannedAssignment{p.shard, p.tasks - left, p.keepWaiting})
	}
	update.record.Normalize()
	if record.Spec.IsGang() {
		incrementAttemptIfSpread(update.record)
	}
	return update
}

// trackInFlight counts an update as in flight: towards the bound on commits, the used
// capacity of the shards and the used quota of the team.
func (c *Core) trackInFlight(job *jobState, update assignmentUpdate) {
	s := &job.record.Spec
	for _, p := range update.planned {
		shard := c.shards[p.shard]
		quota := quotaOf(s, p.tasks)
		shard.reservations = append(shard.reservations, capacityReservation{
			jobID: update.record.ID, spot: s.Spot, gang: s.IsGang(), types: s.Types,
			cpus: quota.cpus, gpus: quota.gpus, memoryGB: float64(p.tasks) * s.MemoryGB,
		})
	}
	job.isInFlight = true
	if s.AllOrNothing() {
		c.urgentInFlight++
	} else {
		c.nonUrgentInFlight++
	}
	// An earlier commit without a result may still be applied instead of this one, so
	// the larger amount of the two is reserved.
	reserved := c.reservedQuota[update.record.ID].maxOfEach(quotaOf(s, update.tasks))
	c.setReservedQuota(update.record.ID, s.Team, reserved)
}

// newCommit returns the commit that writes a job's record. The commit is conditional on
// the leader's term and on the version of the record that the update was based on.
func (c *Core) newCommit(jobID string, version uint64, value []byte, urgent bool) Commit {
	return Commit{JobID: jobID, Urgent: urgent, Txn: wire.Txn{
		Conditions: []wire.Condition{
			{Key: records.KeyLeader, Version: c.termVersion},
			{Key: records.KeyJob(jobID), Version: version},
		},
		Changes: []wire.Change{{Put: records.KeyJob(jobID), Value: value}},
	}}
}

// extendAdjacentAssignment adds up to n tasks of an unassigned range of a job to an open
// assignment that is adjacent to the range. It returns nil if no assignment may be
// extended.
func (c *Core) extendAdjacentAssignment(job *jobState, n int) *records.Job {
	remaining := c.remainingTasksByShard(job)
	for _, r := range job.record.Unassigned() {
		for i, a := range job.record.Assignments {
			isAdjacent := a.To == r.From || a.From == r.To
			if a.Closed || !isAdjacent {
				continue
			}
			added := min(n, r.Tasks(), remaining[a.Shard])
			if added <= 0 {
				continue
			}
			record := job.record.Clone()
			if a.To == r.From {
				record.Assignments[i].To += added
			} else {
				record.Assignments[i].From -= added
			}
			record.Normalize()
			if _, fitsStore := c.sizeLimits.Encode(record, job.record); fitsStore {
				return record
			}
		}
	}
	return nil
}
