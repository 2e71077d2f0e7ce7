package leader

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"ravenport/constants"
	"ravenport/state"
	"ravenport/wire"
)

// GangRoom is how many tasks of one shape of gang a shard could start now. Sums
// of free room do not tell: a gang needs all its places at one moment, so what
// is coming or in pieces too small does not count.
type GangRoom struct {
	Now  int `json:"n"`
	Warm int `json:"w,omitempty"` // of them, on machines that hold the image
}

// ShapeOf names what a gang's places depend on.
func ShapeOf(s *wire.Submission) string {
	return fmt.Sprintf("%g/%g/%g/%s/%t/%s", s.CPUs, s.GPUs, s.MemoryGB, s.Image, s.Spot, strings.Join(s.Types, ","))
}

// planGang assigns a gang's tasks, all of them or none. One shard takes it whole:
// of those that could start it at once with its image, then without, then of
// those that are estimated to have room the one left with the least summed room,
// then whoever can rent and is smallest. Only a gang that may not be in one shard,
// or has long found none that takes it, is spread over several.
func (c *Core) planGang(now time.Time, j *jobState) []share {
	s := &j.rec.Spec
	if len(j.rec.Assignments) > 0 {
		return nil // a part of it has not come back yet
	}
	caps := c.caps(j)
	type cand struct {
		name      string
		cap       int
		warm, now int
		fit       int
		rent      bool
		sum, size float64
		queued    float64
		kept      float64 // room kept ready for gangs
	}
	var cs []cand
	fresh := false
	for _, z := range c.set.Params.Zones {
		limit, ok := caps[z]
		if !ok || limit <= 0 {
			continue
		}
		p := c.shards[z]
		k := cand{name: z, cap: limit}
		if now.Sub(p.at) < constants.StaleAggregate {
			fresh = true
			a := p.agg
			shape := ShapeOf(s)
			room, known := a.Gangs[shape]
			taken := 0.0
			for _, b := range p.bookings {
				sub(&a.Ordinary, &a.Spot, b)
				k.size += b.cpus
				k.queued += b.cpus
				if b.gang {
					taken += b.cpus
				}
			}
			k.kept = a.GangsKept
			k.size += a.Capacity + a.Waiting
			k.queued += a.Waiting
			k.fit = a.Takes(s)
			k.sum = a.Ordinary.CPUs.Sum
			if s.Spot {
				k.sum += a.Spot.CPUs.Sum
			}
			if known && s.CPUs > 0 {
				k.now = room.Now - int(taken/s.CPUs)
				k.warm = room.Warm - int(taken/s.CPUs)
			} else if !known {
				k.now = k.fit
			}
			k.rent = a.RentOrdinary || s.Spot && a.RentSpot
		}
		cs = append(cs, k)
	}
	if len(cs) == 0 || !fresh && now.Sub(c.began) < constants.StaleAggregate {
		return nil // a new leader waits for the first figures
	}
	// grade is how soon a shard would start n tasks; less is sooner.
	grade := func(k cand, n int) int {
		switch {
		case k.warm >= n:
			return 0
		case k.now >= n:
			return 1
		case k.fit >= n && k.rent:
			return 2
		case k.rent:
			return 3
		case k.fit >= n:
			return 4
		}
		return 5
	}
	order := func(n int) {
		sort.SliceStable(cs, func(a, b int) bool {
			x, y := grade(cs[a], n), grade(cs[b], n)
			switch {
			case x != y:
				return x < y
			case x <= 1 && min(cs[a].warm, n) != min(cs[b].warm, n):
				return cs[a].warm > cs[b].warm // the image comes to few machines, and is there the next time
			case x <= 1 && cs[a].kept != cs[b].kept:
				return cs[a].kept > cs[b].kept
			case x <= 1 || x == 4:
				return cs[a].sum < cs[b].sum
			case x < 4:
				return cs[a].size < cs[b].size
			}
			return cs[a].queued < cs[b].queued
		})
	}
	order(s.Tasks)
	age := time.Duration(now.UnixMilli()-j.rec.AcceptedMS) * time.Millisecond
	if !s.Spread || s.Tasks == 1 {
		// Where it has waited for long and no shard takes it, several may.
		if s.OneZone || s.Zone != "" || len(cs) == 1 || age < constants.BeginWithin || grade(cs[0], s.Tasks) < 3 {
			return []share{{cs[0].name, s.Tasks, true}}
		}
	}
	order((s.Tasks + 1) / 2)
	var out []share
	left := s.Tasks
	for i, k := range cs {
		t := min(left, k.cap)
		if !s.Spread {
			// As much as each could have, the rest with the last.
			if t = min(left, max(k.fit, s.Tasks/len(cs))); i == len(cs)-1 {
				t = left
			}
		}
		if t > 0 {
			out = append(out, share{k.name, t, true})
			left -= t
		}
	}
	if left > 0 {
		return nil // the zones that may have it cannot hold it
	}
	return out
}

// numberGang gives a gang that is to run in several shards its next number.
func numberGang(rec *state.Job) {
	for _, ch := range rec.Assignments {
		if ch.Shard != rec.Assignments[0].Shard {
			rec.Attempt++
			return
		}
	}
}

// closeRest closes what of a gang is in no assignment if another share of it is closed
// already: that one's owner saw it done, and so all is. A share that lost its
// machine as the gang completed was given back before anybody knew, and would
// wait for the rest of the gang for ever.
func closeRest(rec *state.Job) bool {
	if !slices.ContainsFunc(rec.Assignments, func(ch state.Assignment) bool { return ch.Closed }) {
		return false
	}
	for _, r := range rec.Unassigned() {
		rec.Assignments = append(rec.Assignments, state.Assignment{From: r[0], To: r[1], Closed: true})
	}
	rec.Normalize()
	if rec.AllClosed() {
		rec.End = wire.JobDone
	}
	return true
}
