package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
)

// reserveMachineFor keeps the room that falls free on a machine for a job that has long
// found none: its tasks may be larger than what others leave, and smaller ones
// would take every gap before one was large enough.
func (v *fleetView) reserveMachineFor(now time.Time, j *job, r *placementRound) {
	if r.reservationsExhausted {
		return // hundreds of jobs may be waiting after a shard has lost all
	}
	s := &j.rec.Spec
	n := taskResources(s)
	var best *machine
	var most float64
	kept := 0
	for _, m := range v.fleet {
		if m.reservedFor != nil {
			if m.reservedFor == j {
				return
			}
			kept++
			continue
		}
		if !isEligible(s, m.typeName, m.spot) || !n.fits(m.capacity) || !v.isSchedulable(now, m) {
			continue
		}
		// Where the least must still fall free, arrays count as good as gone.
		room := m.freeShare(v.freeResources(m))
		if room += v.usageOf(m).batchCPUs / max(m.capacity.cpus, 1); best == nil || room > most || room == most && m.name < best.name {
			best, most = m, room
		}
	}
	if r.reservationsExhausted = kept > len(v.fleet)/constants.MachinesPerReservation; best == nil || r.reservationsExhausted {
		return
	}
	slog.Info("keeping room for a job that waits", "job", s.ID, "machine", best.name)
	best.reservedFor, best.reservedUntil = j, now.Add(constants.CapacityHoldTime)
}

// releaseReservations ends the keeping of room that was used or not used in time.
func (p *placement) releaseReservations(v *fleetView, now time.Time) {
	for _, m := range v.fleet {
		if j := m.reservedFor; j != nil && (now.After(m.reservedUntil) || j.begun || len(j.waiting) == 0 || v.jobs[j.rec.ID] != j) {
			m.reservedFor = nil
			p.needsPlacement = true
		}
	}
}
