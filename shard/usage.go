package shard

import (
	"math"
	"slices"

	"ravenport/wire"
)

// machineUsage sums up the resources and properties of a machine's attempts.
type machineUsage struct {
	used            resources // excludes attempts that are stopping instantly: the worker carries out a stop and a start in one list of commands in order; but heartbeats list every attempt until the machine has forgotten the attempt
	active          int       // attempts that have not exited
	services        int
	preemptibleCPUs float64 // CPUs that production work may preempt without waiting for a checkpoint
	exitedDirect    int     // exited attempts that a direct command may have started
	pendingStarts   int     // attempts in stateSent, which no heartbeat or reply has listed yet
	batchCPUs       float64 // CPUs used by arrays and gangs
	// These fields cover only the attempts that may be evicted: whether any of them needs
	// a checkpoint, their lowest priority, and the teams that run arrays or gangs beyond
	// their guaranteed quota.
	needsCheckpoint      bool
	lowestPriority       int
	teamsBeyondGuarantee []string
}

// usageOf returns a machine's usage. The usage is cached, and recomputed only after a change.
func (k *knownState) usageOf(m *machine) *machineUsage {
	if !m.usageStale {
		return &m.usage
	}
	m.usageStale = false
	m.usage = machineUsage{lowestPriority: math.MaxInt, teamsBeyondGuarantee: m.usage.teamsBeyondGuarantee[:0]}
	for _, a := range m.attempts {
		if a.hasExited() {
			m.usage.used.messageBytes += a.resources.messageBytes
			if a.sentDirectly {
				m.usage.exitedDirect++
			}
			continue
		}
		m.usage.active++
		if a.state == stateSent {
			m.usage.pendingStarts++
		}
		if a.stopRequested && a.stopsInstantly {
			m.usage.used.messageBytes += a.resources.messageBytes
		} else {
			m.usage.used = m.usage.used.plus(a.resources)
		}
		t := k.taskOf(a)
		if t == nil {
			continue
		}
		s := &t.job.record.Spec
		if s.IsService() {
			m.usage.services++
		} else {
			m.usage.batchCPUs += a.resources.cpus
		}
		if isEvictable(a, t) {
			m.usage.needsCheckpoint = m.usage.needsCheckpoint || !a.stopsInstantly || t.job.gang != nil
			m.usage.lowestPriority = min(m.usage.lowestPriority, s.Priority.Level())
			if !t.withinGuarantee && !s.IsService() && !slices.Contains(m.usage.teamsBeyondGuarantee, s.Team) {
				m.usage.teamsBeyondGuarantee = append(m.usage.teamsBeyondGuarantee, s.Team)
			}
		}
		if a.stopsInstantly && !s.IsGang() && isEvictable(a, t) && s.Priority.Level() < wire.PriorityProduction.Level() {
			m.usage.preemptibleCPUs += a.resources.cpus
		}
	}
	return &m.usage
}

// isBusy reports whether the machine has an attempt that has not exited.
func (k *knownState) isBusy(m *machine) bool { return k.usageOf(m).active > 0 }

// freeResources returns the part of a machine's capacity that no attempt uses.
func (k *knownState) freeResources(m *machine) resources { return m.capacity.minus(k.usageOf(m).used) }

// productionCPUs returns the CPUs of an on-demand machine that production work can use: the
// free CPUs, and those that it can preempt without waiting for a checkpoint.
func (k *knownState) productionCPUs(m *machine) float64 {
	s := k.usageOf(m)
	return m.capacity.cpus - s.used.cpus + s.preemptibleCPUs
}
