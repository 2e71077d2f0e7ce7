package shard

import (
	"slices"
	"time"

	"ravenport/wire"
)

// isSchedulable says whether new tasks may go to a machine now.
func (v *fleetView) isSchedulable(now time.Time, m *machine) bool {
	return m.hasSeenTerm(v.term) && m.durable && m.durableAddr == m.addr && m.typ != nil && !m.isUnconfirmed() &&
		!m.scalingIn && m.cordon == nil && m.reclaimAt.IsZero() && !v.isUnreachable(now, m) && !now.Before(m.avoidUntil)
}

// isEligible says whether a job's tasks may run on a kind of machine.
func isEligible(s *wire.Submission, typ string, spot bool) bool {
	return (s.Spot || !spot) && (len(s.Types) == 0 || slices.Contains(s.Types, typ))
}

// machinesWithFreeCapacity lists the machines that could take something, as few of a busy shard can.
// Guards against a look at the whole shard for each task that might move: with
// hundreds of machines that stood in the way of everything else for 10 ms.
func (v *fleetView) machinesWithFreeCapacity(now time.Time) []*machine {
	var list []*machine
	for _, m := range v.fleet {
		if !v.isSchedulable(now, m) {
			continue
		}
		if free := v.freeResources(m); free.cpus > roundingSlack && free.memory > roundingSlack {
			list = append(list, m)
		}
	}
	return list
}
