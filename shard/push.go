package shard

import (
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/records"
	"ravenport/wire"
)

// figures is what other shards have told, and whether this one has something to tell.
type figures struct {
	others    map[string]other // by shard
	pushDirty bool
}

// Aggregate is what the owner pushes to the leader: the free room of the
// machines that take tasks and, less what already waits for it, of those that
// are coming.
func (c *Core) Aggregate(now time.Time, revision uint64) leader.Aggregate {
	a := leader.Aggregate{Shard: c.cfg.Shard, Term: c.term, Revision: revision, WaitingCPUs: c.excess,
		Warm: map[string]float64{}, CanScaleOutOnDemand: c.rentable(&c.fleetView, now, false), CanScaleOutSpot: c.cfg.UseSpot && c.rentable(&c.fleetView, now, true)}
	add := func(free resources, spot bool) {
		r := &a.OnDemand
		if spot {
			r = &a.Spot
		}
		r.Machines++
		r.CPUs.Add(free.cpus)
		r.GPUs.Add(free.gpus)
		r.Memory.Add(free.mem)
	}
	for _, m := range c.fleet {
		if !c.usable(now, m) {
			if c.coming(now, m) {
				a.Capacity += m.capacity.cpus
			}
			continue
		}
		a.Capacity += m.capacity.cpus
		add(c.free(m), m.spot)
		if m.spot {
			continue
		}
		a.Preemptible += c.sumsOf(m).yielding
		room := c.prodRoom(m)
		for image := range m.images {
			a.Warm[image] += room
		}
	}
	a.Gangs, a.ReservedForGangs = c.gangFigures(&c.fleetView, now), c.gangNeed
	for _, b := range c.roomComing {
		add(b.free, b.spot)
	}
	for _, r := range c.pendingRents {
		if t := c.types[r.req.Type]; t != nil {
			a.Capacity += t.CPUs * float64(r.req.Count)
		}
	}
	for _, r := range []*leader.FreeCapacity{&a.OnDemand, &a.Spot} {
		r.CPUs.Finish(r.Machines)
		r.GPUs.Finish(r.Machines)
		r.Memory.Finish(r.Machines)
	}
	return a
}

// PushDue says whether the aggregate has changed since it was last taken.
func (f *figures) PushDue() bool { d := f.pushDirty; f.pushDirty = false; return d }

// ApplyOtherShards takes in what the other shards push. Tasks that wait for machines that
// are not to be had go up again only when some other shard has room.
func (c *Core) ApplyOtherShards(now time.Time, as []leader.Aggregate) {
	for _, a := range as {
		if a.Shard != c.cfg.Shard {
			c.others[a.Shard] = other{a, now}
		}
	}
}

type other struct {
	agg leader.Aggregate
	at  time.Time
}

// Counts returns the tasks of each job that run here, and those that are done
// in assignments not closed yet, for display.
func (k *knowledge) Counts() records.CountsByJob {
	out := make(records.CountsByJob, len(k.jobs))
	for id, j := range k.jobs {
		var n records.TaskCounts
		for _, t := range j.tasks {
			switch {
			case t.done:
				n.AddDone()
			case t.hold != nil && (t.hold.state == wire.TaskRunning || t.hold.state == wire.TaskSaving):
				n.AddRunning()
			}
		}
		if !n.Empty() {
			out[id] = n
		}
	}
	return out
}

// Summary is an owner's view of its shard, for operators.
type Summary struct {
	Rebuilt          bool    `json:"rebuilt"`
	Up               int     `json:"machines_up"`
	Spot             int     `json:"machines_spot"`
	Booting          int     `json:"machines_booting"`
	Silent           int     `json:"machines_silent"`
	Unconfirmed      int     `json:"machines_in_doubt"` // heard, but not known to hear
	Draining         int     `json:"machines_draining"`
	ScalingIn        int     `json:"machines_returning"`
	ActiveAttempts   int     `json:"attempts"` // tasks that are, or may be, on machines
	Waiting          int     `json:"tasks_waiting"`
	WaitingCPUs      float64 `json:"waiting_cpus"`
	RefusedSpot      bool    `json:"spot_refused"` // the cloud had none a moment ago
	RefusedOnDemand  bool    `json:"ordinary_refused"`
	Unreachable      bool    `json:"out_of_reach"` // all its machines together
	ReservedForGangs float64 `json:"cpus_kept_for_gangs"`
}

// Summary counts what the owner knows.
func (c *Core) Summary(now time.Time) Summary {
	s := Summary{Rebuilt: c.rebuilt, WaitingCPUs: c.unplaced.cpus, RefusedSpot: now.Before(c.refused[true]), RefusedOnDemand: now.Before(c.refused[false]), Unreachable: c.isUnreachable, ReservedForGangs: c.gangNeed}
	for _, m := range c.fleet {
		switch {
		case m.returning:
			s.ScalingIn++
		case !m.up:
			s.Booting++
		default:
			s.Up++
			if m.spot {
				s.Spot++
			}
			if c.silent(now, m) {
				s.Silent++
			}
			if m.unconfirmed() {
				s.Unconfirmed++
			}
			if m.draining {
				s.Draining++
			}
		}
		s.ActiveAttempts += c.sumsOf(m).live
	}
	c.refresh(&c.fleetView)
	for j := range c.waiting {
		s.Waiting += len(j.waiting)
	}
	return s
}

// PushInterval is the least time between two pushes of a part of this size.
func (k *knowledge) PushInterval() time.Duration {
	return constants.PushGap + time.Duration(len(k.fleet))*constants.PushGapMachine
}
