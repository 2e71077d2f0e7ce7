package leader

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// GangCapacity is how many tasks of one shape of gang a shard could start now. Sums
// of free room do not tell: a gang needs all its places at one moment, so what
// is coming or in pieces too small does not count.
type GangCapacity struct {
	Now  int `json:"n"`
	Warm int `json:"w,omitempty"` // of them, on machines that hold the image
}

// GangShape names what a gang's places depend on.
func GangShape(s *wire.Submission) string {
	return fmt.Sprintf("%g/%g/%g/%s/%t/%s", s.CPUs, s.GPUs, s.MemoryGB, s.Image, s.Spot, strings.Join(s.Types, ","))
}

// gangEstimate are what a shard is ranked by for a gang.
type gangEstimate struct {
	startable, warm int     // tasks that could start at once, and with their image
	reservedCPUs    float64 // room kept ready for gangs (CPUs)
}

// estimateGang are a shard's for a gang's shape. Where the owner does not know the shape
// yet, takes stands for it.
func (p *shardState) estimateGang(s *wire.Submission, takes int) gangEstimate {
	room, known := p.aggregate.Gangs[GangShape(s)]
	f := gangEstimate{reservedCPUs: p.aggregate.ReservedForGangs}
	if !known {
		f.startable = takes
		return f
	}
	if s.CPUs <= 0 {
		return f
	}
	taken := 0.0
	for _, b := range p.reservations {
		if b.gang {
			taken += b.cpus
		}
	}
	f.startable = room.Now - int(taken/s.CPUs)
	f.warm = room.Warm - int(taken/s.CPUs)
	return f
}

// gangReadiness is how soon a shard would start a gang; less is sooner.
type gangReadiness int

// Kinds of readiness.
const (
	startsWarm       gangReadiness = iota // at once, with its image
	startsCold                            // at once
	fitsAndScalesOut                      // it is estimated to have room, and can rent
	scalesOut                             // it can rent
	fitsOnly                              // it is estimated to have room
	mustWait                              // it can only wait
)

// readinessFor is how soon a shard would start n tasks of a gang.
func (k *candidate) readinessFor(n int) gangReadiness {
	switch {
	case k.gang.warm >= n:
		return startsWarm
	case k.gang.startable >= n:
		return startsCold
	case k.estimatedTasks >= n && k.canScaleOut:
		return fitsAndScalesOut
	case k.canScaleOut:
		return scalesOut
	case k.estimatedTasks >= n:
		return fitsOnly
	}
	return mustWait
}

// rankForGang puts the shards first that would start n tasks of a gang soonest.
func rankForGang(list []*candidate, n int) {
	sort.SliceStable(list, func(a, b int) bool {
		k, other := list[a], list[b]
		x, y := k.readinessFor(n), other.readinessFor(n)
		atOnce := x <= startsCold
		switch {
		case x != y:
			return x < y
		case atOnce && min(k.gang.warm, n) != min(other.gang.warm, n):
			return k.gang.warm > other.gang.warm // the image comes to few machines, and is there the next time
		case atOnce && k.gang.reservedCPUs != other.gang.reservedCPUs:
			return k.gang.reservedCPUs > other.gang.reservedCPUs
		case atOnce || x == fitsOnly:
			return k.freeCPUs < other.freeCPUs
		case x == fitsAndScalesOut || x == scalesOut:
			return k.totalCPUs < other.totalCPUs
		}
		return k.queuedCPUs < other.queuedCPUs
	})
}

// planGang assigns a gang's tasks, all of them or none. One shard takes it whole:
// of those that could start it at once with its image, then without, then of
// those that are estimated to have room the one left with the least summed room,
// then whoever can rent and is smallest. Only a gang that may not be in one shard,
// or has long found none that takes it, is spread over several.
func (c *Core) planGang(now time.Time, j *jobState) []plannedAssignment {
	s := &j.record.Spec
	if len(j.record.Assignments) > 0 {
		return nil // some of it has not come back yet
	}
	list, ok := c.candidates(now, j)
	if !ok {
		return nil
	}
	rankForGang(list, s.Tasks)
	age := time.Duration(now.UnixMilli()-j.record.AcceptedMS) * time.Millisecond
	if !s.Spread || s.Tasks == 1 {
		// Where it has waited for long and no shard takes it, several may.
		if s.OneZone || s.Zone != "" || len(list) == 1 || age < constants.OverdueAfter || list[0].readinessFor(s.Tasks) < scalesOut {
			return []plannedAssignment{{list[0].shard, s.Tasks, true}}
		}
	}
	rankForGang(list, (s.Tasks+1)/2)
	return spreadGang(list, s)
}

// spreadGang gives a gang to several shards, whole or not at all.
func spreadGang(list []*candidate, s *wire.Submission) []plannedAssignment {
	var out []plannedAssignment
	left := s.Tasks
	for i, k := range list {
		t := min(left, k.maxTasks)
		if !s.Spread {
			// As much as each could have, the rest with the last.
			if t = min(left, max(k.estimatedTasks, s.Tasks/len(list))); i == len(list)-1 {
				t = left
			}
		}
		if t > 0 {
			out = append(out, plannedAssignment{k.shard, t, true})
			left -= t
		}
	}
	if left > 0 {
		return nil // the zones that may have it cannot hold it
	}
	return out
}

// incrementAttemptIfSpread gives a gang that is to run in several shards its next number.
func incrementAttemptIfSpread(rec *records.Job) {
	for _, ch := range rec.Assignments {
		if ch.Shard != rec.Assignments[0].Shard {
			rec.Attempt++
			return
		}
	}
}

// closeUnassignedIfDone closes what of a gang is in no assignment if another share of it is closed
// already: that one's owner saw it done, and so all is. A share that lost its
// machine as the gang completed was given back before anybody knew, and would
// wait for the rest of the gang for ever.
func closeUnassignedIfDone(rec *records.Job) bool {
	if !slices.ContainsFunc(rec.Assignments, func(ch records.Assignment) bool { return ch.Closed }) {
		return false
	}
	for _, r := range rec.Unassigned() {
		rec.Assignments = append(rec.Assignments, records.Assignment{From: r.From, To: r.To, Closed: true})
	}
	rec.Normalize()
	if rec.AllClosed() {
		rec.End = wire.JobDone
	}
	return true
}
