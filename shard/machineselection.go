package shard

import (
	"slices"
	"time"

	"ravenport/wire"
)

// isSchedulable says whether new tasks may go to a machine now: it is known to be in the
// durable inventory and to have seen this term's token, it is reachable, and nothing is
// about to end it or keeps tasks off it.
func (v *fleetView) isSchedulable(now time.Time, m *machine) bool {
	return m.hasSeenTerm(v.term) && m.durable && m.durableAddr == m.addr && m.machineType != nil && !m.isUnconfirmed() &&
		!m.scalingIn && m.cordon == nil && m.reclaimAt.IsZero() && !v.isUnreachable(now, m) && !now.Before(m.avoidUntil)
}

// isEligible says whether a job's tasks may run on machines of a type, spot or on-demand.
func isEligible(s *wire.Submission, typeName string, spot bool) bool {
	if spot && !s.Spot {
		return false
	}
	return len(s.Types) == 0 || slices.Contains(s.Types, typeName)
}

// machinesWithFreeCapacity lists the schedulable machines that have CPUs and memory left;
// in a busy shard those are few. A scan of the whole shard for each task would hold up
// everything else for 10 ms in a shard of some hundred machines.
func (v *fleetView) machinesWithFreeCapacity(now time.Time) []*machine {
	var list []*machine
	for _, m := range v.fleet {
		if !v.isSchedulable(now, m) {
			continue
		}
		free := v.freeResources(m)
		if free.cpus > roundingSlack && free.memory > roundingSlack {
			list = append(list, m)
		}
	}
	return list
}
