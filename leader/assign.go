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
	s := &j.rec.Spec
	if s.IsGang() {
		if rec := j.rec.Clone(); closeRest(rec) {
			return c.commitRest(rec, j), true
		}
	}
	want := records.TasksIn(j.rec.Unassigned())
	n, admitted := c.admitted(now, j, want)
	if !admitted {
		c.limited = true
		return Commit{}, false
	}
	plan, guaranteed := c.planFor(now, j, n, want)
	d := divide(j.rec, plan, guaranteed)
	if d.given == 0 {
		j.notAt = now.Add(constants.LeaderTick)
		return Commit{}, false
	}
	if d.given < want {
		j.notAt = now.Add(constants.PartialGap)
	}
	value, ok := c.sizes.Grows(d.record, j.rec)
	if !ok {
		// A job in too many pieces would outgrow a value of the state service.
		// A piece that joins its neighbour takes no room: so it is never put
		// off for ever.
		if d.record = c.join(j, n); d.record == nil {
			j.notAt = now.Add(constants.RetryMax)
			return Commit{}, false
		}
		value, _ = c.sizes.Encode(d.record, j.rec)
		d.shares, d.given = nil, n
	}
	c.book(j, d)
	slog.Debug("assigning", "job", d.record.ID, "plan", fmt.Sprint(plan))
	return c.commit(d.record.ID, j.version, value, s.AllOrNothing()), true
}

// commitRest writes that what is left of a gang is over.
func (c *Core) commitRest(rec *records.Job, j *jobState) Commit {
	j.busy = true
	c.urgent++
	value, _ := c.sizes.Encode(rec, j.rec)
	return c.commit(rec.ID, j.version, value, true)
}

// admitted is how many of a job's tasks may be assigned now. It is not ok if the team's
// limit keeps them waiting.
func (c *Core) admitted(now time.Time, j *jobState, want int) (n int, ok bool) {
	s := &j.rec.Spec
	n = c.admit(s, want)
	if s.AllOrNothing() && n < want || n == 0 {
		return 0, false
	}
	if !s.AllOrNothing() && Overdue(now, j.rec, len(j.rec.Assignments) > 0) {
		n = min(n, OverdueShare(want))
	}
	return n, true
}

// planFor plans n of a job's tasks, and says how many of them are within its team's
// guarantee.
func (c *Core) planFor(now time.Time, j *jobState, n, want int) (plan []share, guaranteed int) {
	guaranteed = c.guaranteed(&j.rec.Spec)
	if !j.rec.Spec.IsGang() {
		return c.plan(now, j, n), guaranteed
	}
	if guaranteed < want {
		guaranteed = 0 // as a whole or not
	}
	return c.planGang(now, j), guaranteed
}

// division is a job's record with more of its tasks assigned.
type division struct {
	record *records.Job
	shares []share // what each shard was given
	given  int
}

// divide assigns a job's unassigned ranges by a plan; the first tasks are those within
// the guarantee.
func divide(rec *records.Job, plan []share, guaranteed int) division {
	d := division{record: rec.Clone()}
	ranges := rec.Unassigned()
	for _, p := range plan {
		left := p.n
		for left > 0 && len(ranges) > 0 {
			r := &ranges[0]
			n := min(left, r.Tasks())
			if guaranteed > d.given {
				n = min(n, guaranteed-d.given)
			}
			d.record.Assignments = append(d.record.Assignments, records.Assignment{From: r.From, To: r.From + n, Shard: p.shard, KeepWaiting: p.keep, Guaranteed: d.given < guaranteed})
			r.From += n
			left -= n
			d.given += n
			if r.Tasks() == 0 {
				ranges = ranges[1:]
			}
		}
		d.shares = append(d.shares, share{p.shard, p.n - left, p.keep})
	}
	d.record.Normalize()
	if rec.Spec.IsGang() {
		numberGang(d.record)
	}
	return d
}

// book notes an assignment as under way.
func (c *Core) book(j *jobState, d division) {
	s := &j.rec.Spec
	for _, given := range d.shares {
		p := c.shards[given.shard]
		tasks := amountOf(s, given.n)
		p.bookings = append(p.bookings, booking{job: d.record.ID, spot: s.Spot, gang: s.IsGang(),
			cpus: tasks.cpus, gpus: tasks.gpus, mem: float64(given.n) * s.MemoryGB})
	}
	j.busy = true
	if s.AllOrNothing() {
		c.urgent++
	} else {
		c.flying++
	}
	// An earlier assignment without an answer may still be applied instead of
	// this one, so the larger of the two counts.
	c.reserve(d.record.ID, s.Team, c.reserved[d.record.ID].larger(amountOf(s, d.given)))
}

// commit is a write of a job's record that holds only while the term stands.
func (c *Core) commit(id string, version uint64, value []byte, urgent bool) Commit {
	return Commit{ID: id, Urgent: urgent, Txn: wire.Txn{
		Conditions: []wire.Condition{{Key: records.KeyLeader, Version: c.termVer}, {Key: records.KeyJob(id), Version: version}},
		Changes:    []wire.Change{{Put: records.KeyJob(id), Value: value}},
	}}
}

// join gives a job's first unassigned range, up to n tasks of it, to the shard
// that has the open assignment next to it, as part of that assignment; nil if it may not.
func (c *Core) join(j *jobState, n int) *records.Job {
	caps := c.caps(j)
	for _, r := range j.rec.Unassigned() {
		for i, ch := range j.rec.Assignments {
			if ch.Closed || ch.To != r.From && ch.From != r.To {
				continue
			}
			k := min(n, r.Tasks(), caps[ch.Shard])
			if k <= 0 {
				continue
			}
			rec := j.rec.Clone()
			if ch.To == r.From {
				rec.Assignments[i].To += k
			} else {
				rec.Assignments[i].From -= k
			}
			rec.Normalize()
			if _, ok := c.sizes.Encode(rec, j.rec); ok { // it takes hardly more than before
				return rec
			}
		}
	}
	return nil
}
