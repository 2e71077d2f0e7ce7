package shard

import (
	"time"

	"ravenport/wire"
)

// isSchedulable reports whether new tasks may be placed on a machine now. The machine
// must be in the durable inventory under its current address, have a known type, have
// seen a fencing token of this term, and be reachable and confirmed. A machine that is
// being scaled in, is cordoned, is about to be reclaimed by the cloud or is avoided
// after a failure gets no new tasks.
func (v *fleetView) isSchedulable(now time.Time, m *machine) bool {
	return m.hasSeenTerm(v.term) && m.durable && m.durableAddr == m.addr && m.machineType != nil && !m.isUnconfirmed() &&
		!m.scalingIn && m.cordon == nil && m.reclaimAt.IsZero() && !v.isUnreachable(now, m) && !now.Before(m.avoidUntil)
}

// isEligible reports whether a job's tasks may run on machines of a type, spot or
// on-demand.
func isEligible(s *wire.Submission, typeName string, spot bool) bool {
	if spot && !s.Spot {
		return false
	}
	return s.AllowsType(typeName)
}

// machinesWithFreeCapacity returns the schedulable machines that have CPUs and memory
// left, which are few in a busy shard. A scan of the whole shard for each task would
// block the owner for 10 ms in a shard of some hundred machines.
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
