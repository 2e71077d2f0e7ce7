package shard

import (
	"math"
	"slices"

	"ravenport/wire"
)

// machineUsage are what a machine's attempts add up to.
type machineUsage struct {
	used             resources // instantly stopping ones left out: a stop and a start travel in one list and are carried out in order
	active           int       // attempts that have not exited
	services         int
	preemptibleCPUs  float64 // CPUs that production work may have at once
	exitedDirect     int     // exited attempts that a direct command started
	unreportedStarts int     // attempts that no report has shown yet
	batchCPUs        float64 // CPUs held by arrays and gangs
	// Of what could be stopped: whether some of it saves first, its lowest
	// priority, and the teams that run arrays beyond their guarantee.
	needsCheckpoint      bool
	lowestPriority       int
	teamsBeyondGuarantee []string
}

// usageOf keeps a machine's sums; they are made anew only after a change.
func (k *knownState) usageOf(m *machine) *machineUsage {
	if !m.usageStale {
		return &m.usage
	}
	m.usageStale = false
	m.usage = machineUsage{lowestPriority: math.MaxInt, teamsBeyondGuarantee: m.usage.teamsBeyondGuarantee[:0]}
	for _, a := range m.attempts {
		if a.hasExited() {
			if a.sentDirectly {
				m.usage.exitedDirect++
			}
			continue
		}
		m.usage.active++
		if a.state == stateSent {
			m.usage.unreportedStarts++
		}
		if !(a.stopRequested && a.stopsInstantly) {
			m.usage.used = m.usage.used.plus(a.resources)
		}
		t := k.taskOf(a)
		if t == nil {
			continue
		}
		s := &t.job.rec.Spec
		if s.IsService() {
			m.usage.services++
		} else {
			m.usage.batchCPUs += a.resources.cpus
		}
		if isEvictable(a, t) {
			m.usage.needsCheckpoint = m.usage.needsCheckpoint || !a.stopsInstantly || t.job.gang != nil
			m.usage.lowestPriority = min(m.usage.lowestPriority, wire.PriorityLevel(s.Priority))
			if !t.withinGuarantee && !s.IsService() && !slices.Contains(m.usage.teamsBeyondGuarantee, s.Team) {
				m.usage.teamsBeyondGuarantee = append(m.usage.teamsBeyondGuarantee, s.Team)
			}
		}
		if a.stopsInstantly && !s.IsGang() && isEvictable(a, t) && wire.PriorityLevel(s.Priority) < wire.PriorityLevel(wire.PriorityProduction) {
			m.usage.preemptibleCPUs += a.resources.cpus
		}
	}
	return &m.usage
}

// isBusy says whether any attempt has not exited.
func (k *knownState) isBusy(m *machine) bool { return k.usageOf(m).active > 0 }

// freeResources is what is left of a machine.
func (k *knownState) freeResources(m *machine) resources { return m.capacity.minus(k.usageOf(m).used) }

// productionCPUs is what production work can have of an ordinary machine (CPUs):
// what is free, and what lower work holds that can be stopped at once.
func (k *knownState) productionCPUs(m *machine) float64 {
	s := k.usageOf(m)
	return m.capacity.cpus - s.used.cpus + s.preemptibleCPUs
}
