package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/wire"
)

// isReservedForOthers reports whether a machine takes no task of a job because the
// machine is reserved for another job or for gangs.
func (m *machine) isReservedForOthers(s *wire.Submission) bool {
	if m.reservedFor != nil && m.reservedFor.record.ID != s.ID {
		return true
	}
	return m.reservedForGangs && !s.AllOrNothing()
}

// reserveMachineFor reserves a machine for an overdue job whose tasks fit nowhere.
// Capacity that becomes free on the machine goes to no other job. The job's tasks may be
// larger than what other jobs leave free, and smaller tasks would take every free part
// before it was large enough.
func (v *fleetView) reserveMachineFor(now time.Time, j *job, r *placementRound) {
	if r.reservationsExhausted {
		return // saves a scan for each job: hundreds may wait after a shard has lost all its machines
	}
	reserved := 0
	for _, m := range v.fleet {
		if m.reservedFor == j {
			return
		}
		if m.reservedFor != nil {
			reserved++
		}
	}
	best := v.bestReservation(now, &j.record.Spec)
	r.reservationsExhausted = reserved > len(v.fleet)/constants.MachinesPerReservation
	if best == nil || r.reservationsExhausted {
		return
	}
	slog.Info("reserving machine for overdue job", logkey.JobID, j.record.ID, logkey.Machine, best.name)
	best.reservedFor = j
	best.reservedUntil = now.Add(constants.CapacityHoldTime)
}

// bestReservation returns the machine on which the least capacity must still become free
// for a task of a job, or nil if no machine is large enough. CPUs used by arrays and gangs
// count as free already, because that work ends.
func (v *fleetView) bestReservation(now time.Time, s *wire.Submission) *machine {
	demand := taskResources(s)
	var best *machine
	var largest float64 // share of the machine, from 0 to 2
	for _, m := range v.fleet {
		if m.reservedFor != nil || !isEligible(s, m.typeName, m.spot) || !demand.fits(m.capacity) || !v.isSchedulable(now, m) {
			continue
		}
		available := m.freeShare(v.freeResources(m)) + v.usageOf(m).batchCPUs/max(m.capacity.cpus, 1)
		if best == nil || available > largest || available == largest && m.name < best.name {
			best = m
			largest = available
		}
	}
	return best
}

// releaseReservations ends the reservations that were used, that expired, or whose job
// no longer waits.
func (p *placement) releaseReservations(v *fleetView, now time.Time) {
	for _, m := range v.fleet {
		j := m.reservedFor
		if j == nil {
			continue
		}
		if now.After(m.reservedUntil) || j.hasStarted || len(j.waiting) == 0 || v.jobs[j.record.ID] != j {
			m.reservedFor = nil
			p.needsPlacement = true
		}
	}
}
