package shard

import (
	"math"
	"slices"

	"ravenport/wire"
)

// sums are what a machine's attempts add up to.
type sums struct {
	used     resources // instantly stopping ones left out: a stop and a start travel in one list and are carried out in order
	live     int       // attempts that have not exited
	services int
	yielding float64 // CPUs that production work may have at once
	exited   int     // exited attempts that a direct command started
	sent     int     // attempts that no report has shown yet
	arrays   float64 // CPUs held by arrays and gangs
	// Of what could be stopped: whether some of it saves first, its lowest
	// priority, and the teams that run arrays beyond their guarantee.
	saving bool
	lowest int
	loose  []string
}

// sumsOf keeps a machine's sums; they are made anew only after a change.
func (k *knowledge) sumsOf(m *machine) *sums {
	if !m.stale {
		return &m.sums
	}
	m.stale = false
	m.sums = sums{lowest: math.MaxInt, loose: m.sums.loose[:0]}
	for _, h := range m.holds {
		if h.exited() {
			if h.direct {
				m.sums.exited++
			}
			continue
		}
		m.sums.live++
		if h.state == stateSent {
			m.sums.sent++
		}
		if !(h.stop && h.instant) {
			m.sums.used = m.sums.used.plus(h.needs)
		}
		t := k.taskOf(h)
		if t == nil {
			continue
		}
		s := &t.job.rec.Spec
		if s.IsService() {
			m.sums.services++
		} else {
			m.sums.arrays += h.needs.cpus
		}
		if isEvictable(h, t) {
			m.sums.saving = m.sums.saving || !h.instant || t.job.gang != nil
			m.sums.lowest = min(m.sums.lowest, wire.PriorityLevel(s.Priority))
			if !t.guarantee && !s.IsService() && !slices.Contains(m.sums.loose, s.Team) {
				m.sums.loose = append(m.sums.loose, s.Team)
			}
		}
		if h.instant && !s.IsGang() && isEvictable(h, t) && wire.PriorityLevel(s.Priority) < wire.PriorityLevel(wire.PriorityProduction) {
			m.sums.yielding += h.needs.cpus
		}
	}
	return &m.sums
}

// busy says whether any attempt has not exited.
func (k *knowledge) busy(m *machine) bool { return k.sumsOf(m).live > 0 }

// free is what is left of a machine.
func (k *knowledge) free(m *machine) resources { return m.capacity.minus(k.sumsOf(m).used) }

// prodRoom is what production work can have of an ordinary machine (CPUs):
// what is free, and what lower work holds that can be stopped at once.
func (k *knowledge) prodRoom(m *machine) float64 {
	s := k.sumsOf(m)
	return m.capacity.cpus - s.used.cpus + s.yielding
}
