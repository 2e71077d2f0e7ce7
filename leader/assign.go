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

// assignOutcome is what assign decided on a job.
type assignOutcome int

// Outcomes of assign.
const (
	notAssigned    assignOutcome = iota // no shard takes any of its tasks now
	assigned                            // there is a commit to write
	overQuotaLimit                      // the team's quota limit keeps it waiting
)

// plannedAssignment is a number of a job's tasks for a shard.
type plannedAssignment struct {
	shard string
	tasks int
	// keepWaiting: the owner keeps tasks that do not fit now, rather than send them back.
	keepWaiting bool
}

// decision is a job's record with more of its tasks assigned.
type decision struct {
	record  *records.Job
	planned []plannedAssignment // as carried out; its capacity is reserved in the shards
	tasks   int                 // newly assigned
}

// assign assigns as many of a job's unassigned tasks as its team's quota limit and the
// shards allow.
func (c *Core) assign(now time.Time, job *jobState) (Commit, assignOutcome) {
	s := &job.record.Spec
	if s.IsGang() {
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
	d := assignRanges(job.record, plan, guaranteed)
	if d.tasks == 0 {
		job.retryAt = now.Add(constants.LeaderTickInterval)
		return Commit{}, notAssigned
	}
	if d.tasks < unassigned {
		job.retryAt = now.Add(constants.MinPartialAssignmentInterval)
	}
	value, fitsStore := c.sizes.EncodeWithHeadroom(d.record, job.record)
	if !fitsStore {
		// A job in too many assignments would outgrow a value of the key-value store.
		// Extending an adjacent assignment hardly changes the size, so the job is not
		// put off for ever.
		extended := c.extendAdjacentAssignment(job, admitted)
		if extended == nil {
			job.retryAt = now.Add(constants.RetryBackoffMax)
			return Commit{}, notAssigned
		}
		value, _ = c.sizes.Encode(extended, job.record)
		d = decision{record: extended, tasks: admitted}
	}
	c.trackInFlight(job, d)
	slog.Debug("assigning tasks", logkey.JobID, d.record.ID, "plan", fmt.Sprint(plan))
	return c.newCommit(d.record.ID, job.version, value, s.AllOrNothing()), assigned
}

// commitGangClosed writes that the rest of a gang is done.
func (c *Core) commitGangClosed(record *records.Job, job *jobState) Commit {
	job.isInFlight = true
	c.urgentInFlight++
	value, _ := c.sizes.Encode(record, job.record)
	return c.newCommit(record.ID, job.version, value, true)
}

// admittedTasks is how many of a job's unassigned tasks may be assigned now; 0 if its
// team's quota limit keeps it waiting.
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

// planJob plans a job's admitted tasks, and says how many of them are within its team's
// guaranteed quota.
func (c *Core) planJob(now time.Time, job *jobState, admitted, unassigned int) (plan []plannedAssignment, guaranteed int) {
	guaranteed = c.tasksWithinGuarantee(&job.record.Spec)
	if !job.record.Spec.IsGang() {
		return c.planIndependentTasks(now, job, admitted), guaranteed
	}
	if guaranteed < unassigned {
		guaranteed = 0 // a gang is within the guarantee as a whole or not at all
	}
	return c.planGang(now, job), guaranteed
}

// assignRanges assigns a job's unassigned ranges of tasks by a plan. The first tasks are
// those within the guaranteed quota.
func assignRanges(record *records.Job, plan []plannedAssignment, guaranteed int) decision {
	d := decision{record: record.Clone()}
	ranges := record.Unassigned()
	for _, p := range plan {
		left := p.tasks
		for left > 0 && len(ranges) > 0 {
			r := &ranges[0]
			n := min(left, r.Tasks())
			isGuaranteed := d.tasks < guaranteed
			if isGuaranteed {
				n = min(n, guaranteed-d.tasks)
			}
			d.record.Assignments = append(d.record.Assignments, records.Assignment{
				From: r.From, To: r.From + n, Shard: p.shard, KeepWaiting: p.keepWaiting, Guaranteed: isGuaranteed,
			})
			r.From += n
			left -= n
			d.tasks += n
			if r.Tasks() == 0 {
				ranges = ranges[1:]
			}
		}
		d.planned = append(d.planned, plannedAssignment{p.shard, p.tasks - left, p.keepWaiting})
	}
	d.record.Normalize()
	if record.Spec.IsGang() {
		incrementAttemptIfSpread(d.record)
	}
	return d
}

// trackInFlight counts a decision as in flight: against the bound on commits, the
// capacity of the shards and the team's quota.
func (c *Core) trackInFlight(job *jobState, d decision) {
	s := &job.record.Spec
	for _, p := range d.planned {
		shard := c.shards[p.shard]
		quota := quotaOf(s, p.tasks)
		shard.reservations = append(shard.reservations, capacityReservation{
			jobID: d.record.ID, spot: s.Spot, gang: s.IsGang(),
			cpus: quota.cpus, gpus: quota.gpus, mem: float64(p.tasks) * s.MemoryGB,
		})
	}
	job.isInFlight = true
	if s.AllOrNothing() {
		c.urgentInFlight++
	} else {
		c.inFlight++
	}
	// An earlier commit without a result may still be applied instead of this one, so
	// the larger of the two counts.
	reserved := c.reservedQuota[d.record.ID].maxOfEach(quotaOf(s, d.tasks))
	c.setReservedQuota(d.record.ID, s.Team, reserved)
}

// newCommit makes the commit that writes a job's record. It is conditional on the
// leader's term and on the version of the record that the decision was based on.
func (c *Core) newCommit(jobID string, version uint64, value []byte, urgent bool) Commit {
	return Commit{JobID: jobID, Urgent: urgent, Txn: wire.Txn{
		Conditions: []wire.Condition{
			{Key: records.KeyLeader, Version: c.termVersion},
			{Key: records.KeyJob(jobID), Version: version},
		},
		Changes: []wire.Change{{Put: records.KeyJob(jobID), Value: value}},
	}}
}

// extendAdjacentAssignment assigns up to n tasks of an unassigned range of a job to the
// shard of an open assignment next to it, as part of that assignment. It returns nil if
// no assignment may be extended.
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
			if _, fitsStore := c.sizes.Encode(record, job.record); fitsStore {
				return record
			}
		}
	}
	return nil
}
