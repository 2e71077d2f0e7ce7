package leader

import (
	"fmt"
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// assign decides on a job's unassigned tasks.
func (c *Core) assign(now time.Time, j *jobState) (Commit, bool) {
	c.limited = false
	s := &j.record.Spec
	if s.IsGang() {
		if rec := j.record.Clone(); closeUnassignedIfDone(rec) {
			return c.commitGangClosed(rec, j), true
		}
	}
	want := records.TasksIn(j.record.Unassigned())
	n, admitted := c.admittedTasks(now, j, want)
	if !admitted {
		c.limited = true
		return Commit{}, false
	}
	plan, guaranteed := c.planJob(now, j, n, want)
	d := assignRanges(j.record, plan, guaranteed)
	if d.tasks == 0 {
		j.retryAt = now.Add(constants.LeaderTick)
		return Commit{}, false
	}
	if d.tasks < want {
		j.retryAt = now.Add(constants.PartialAssignmentGap)
	}
	value, ok := c.sizes.Grows(d.record, j.record)
	if !ok {
		// A job in too many pieces would outgrow a value of the state service.
		// A piece that joins its neighbour takes no room: so it is never put
		// off for ever.
		if d.record = c.extendAdjacentAssignment(j, n); d.record == nil {
			j.retryAt = now.Add(constants.RetryBackoffMax)
			return Commit{}, false
		}
		value, _ = c.sizes.Encode(d.record, j.record)
		d.planned, d.tasks = nil, n
	}
	c.trackInFlight(j, d)
	slog.Debug("assigning", "job", d.record.ID, "plan", fmt.Sprint(plan))
	return c.newCommit(d.record.ID, j.version, value, s.AllOrNothing()), true
}

// commitGangClosed writes that what is left of a gang is over.
func (c *Core) commitGangClosed(rec *records.Job, j *jobState) Commit {
	j.isInFlight = true
	c.urgentInFlight++
	value, _ := c.sizes.Encode(rec, j.record)
	return c.newCommit(rec.ID, j.version, value, true)
}

// admittedTasks is how many of a job's tasks may be assigned now. It is not ok if the team's
// limit keeps them waiting.
func (c *Core) admittedTasks(now time.Time, j *jobState, want int) (n int, ok bool) {
	s := &j.record.Spec
	n = c.tasksWithinLimit(s, want)
	if s.AllOrNothing() && n < want || n == 0 {
		return 0, false
	}
	if !s.AllOrNothing() && IsOverdue(now, j.record, len(j.record.Assignments) > 0) {
		n = min(n, OverdueBatch(want))
	}
	return n, true
}

// planJob plans n of a job's tasks, and says how many of them are within its team's
// guarantee.
func (c *Core) planJob(now time.Time, j *jobState, n, want int) (plan []plannedAssignment, guaranteed int) {
	guaranteed = c.tasksWithinGuarantee(&j.record.Spec)
	if !j.record.Spec.IsGang() {
		return c.planIndependentTasks(now, j, n), guaranteed
	}
	if guaranteed < want {
		guaranteed = 0 // as a whole or not
	}
	return c.planGang(now, j), guaranteed
}

// decision is a job's record with more of its tasks assigned.
type decision struct {
	record  *records.Job
	planned []plannedAssignment // what each shard was given
	tasks   int
}

// assignRanges assigns a job's unassigned ranges by a plan; the first tasks are those within
// the guarantee.
func assignRanges(rec *records.Job, plan []plannedAssignment, guaranteed int) decision {
	d := decision{record: rec.Clone()}
	ranges := rec.Unassigned()
	for _, p := range plan {
		left := p.tasks
		for left > 0 && len(ranges) > 0 {
			r := &ranges[0]
			n := min(left, r.Tasks())
			if guaranteed > d.tasks {
				n = min(n, guaranteed-d.tasks)
			}
			d.record.Assignments = append(d.record.Assignments, records.Assignment{From: r.From, To: r.From + n, Shard: p.shard, KeepWaiting: p.keepWaiting, Guaranteed: d.tasks < guaranteed})
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
	if rec.Spec.IsGang() {
		incrementAttemptIfSpread(d.record)
	}
	return d
}

// trackInFlight notes an assignment as under way.
func (c *Core) trackInFlight(j *jobState, d decision) {
	s := &j.record.Spec
	for _, given := range d.planned {
		p := c.shards[given.shard]
		tasks := quotaOf(s, given.tasks)
		p.reservations = append(p.reservations, capacityReservation{job: d.record.ID, spot: s.Spot, gang: s.IsGang(),
			cpus: tasks.cpus, gpus: tasks.gpus, mem: float64(given.tasks) * s.MemoryGB})
	}
	j.isInFlight = true
	if s.AllOrNothing() {
		c.urgentInFlight++
	} else {
		c.inFlight++
	}
	// An earlier assignment without an answer may still be applied instead of
	// this one, so the larger of the two counts.
	c.setReservedQuota(d.record.ID, s.Team, c.reservedQuota[d.record.ID].larger(quotaOf(s, d.tasks)))
}

// newCommit is a write of a job's record that holds only while the term stands.
func (c *Core) newCommit(id string, version uint64, value []byte, urgent bool) Commit {
	return Commit{JobID: id, Urgent: urgent, Txn: wire.Txn{
		Conditions: []wire.Condition{{Key: records.KeyLeader, Version: c.termVersion}, {Key: records.KeyJob(id), Version: version}},
		Changes:    []wire.Change{{Put: records.KeyJob(id), Value: value}},
	}}
}

// extendAdjacentAssignment gives a job's first unassigned range, up to n tasks of it, to the shard
// that has the open assignment next to it, as part of that assignment; nil if it may not.
func (c *Core) extendAdjacentAssignment(j *jobState, n int) *records.Job {
	caps := c.remainingTasksByShard(j)
	for _, r := range j.record.Unassigned() {
		for i, ch := range j.record.Assignments {
			if ch.Closed || ch.To != r.From && ch.From != r.To {
				continue
			}
			k := min(n, r.Tasks(), caps[ch.Shard])
			if k <= 0 {
				continue
			}
			rec := j.record.Clone()
			if ch.To == r.From {
				rec.Assignments[i].To += k
			} else {
				rec.Assignments[i].From -= k
			}
			rec.Normalize()
			if _, ok := c.sizes.Encode(rec, j.record); ok { // it takes hardly more than before
				return rec
			}
		}
	}
	return nil
}
