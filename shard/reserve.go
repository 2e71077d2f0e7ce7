package shard

import (
	"math"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// targetProductionReserve returns the capacity (CPUs) to hold in reserve for production
// work: that of the arrivals expected while a machine boots, but at least that of the
// largest task.
func (c *scaleOutState) targetProductionReserve(v *fleetView, now time.Time) float64 {
	boot := time.Duration(v.maxBootSeconds() * float64(time.Second))
	return max(c.productionArrivals.largest.cpus, constants.ReserveFactor*c.productionArrivals.expectedCPUs(now, boot))
}

// scaleOutForReserve adds on-demand machines for the part of the reserves for production
// work and for gangs that is neither free nor pending.
func (c *Core) scaleOutForReserve(now time.Time, counts machineCounts) {
	if c.productionArrivals.largest.cpus == 0 && c.gangReserveCPUs == 0 {
		return
	}
	missing := max(c.targetProductionReserve(&c.fleetView, now)-c.availableProductionCPUs(), c.missingGangReserve())
	if missing <= 0 {
		return
	}
	t := c.cheapestReserveType(now)
	if t == nil {
		return
	}
	if count := int(math.Ceil(missing / max(t.CPUs, 1))); count > 0 {
		counts[machineKind{t.Name, false}] = count
	}
}

// availableProductionCPUs returns the CPUs of on-demand machines, pending ones included,
// that production work can use.
func (c *Core) availableProductionCPUs() float64 {
	available := 0.0
	for _, m := range c.fleet {
		if !m.spot && !m.scalingIn && m.machineType != nil && m.up && m.reclaimAt.IsZero() {
			available += c.productionCPUs(m)
		}
	}
	for _, p := range c.pendingCapacity {
		if !p.spot {
			available += p.free.cpus
		}
	}
	return available
}

// cheapestReserveType returns the machine type with the lowest price among those of which the
// shard may request on-demand machines and that fit the largest production task, or nil if
// there is none.
func (c *Core) cheapestReserveType(now time.Time) *wire.MachineType {
	var best *wire.MachineType
	for _, t := range c.types {
		if !c.productionArrivals.largest.fits(machineResources(t)) || !c.canRequest(&c.fleetView, now, t, false) {
			continue
		}
		if best == nil || t.Price < best.Price {
			best = t
		}
	}
	return best
}
