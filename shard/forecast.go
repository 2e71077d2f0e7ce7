package shard

import (
	"math"
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/wire"
)

// scaleOutForForecast rents for what the leader will assign, beyond the room that is there
// or coming. Spare ordinary room counts for what may also use spot machines.
func (c *scaleOutState) scaleOutForForecast(v *fleetView, now time.Time, want map[machineKind]int) {
	spare := 0.0
	for _, spot := range []bool{false, true} {
		s, cpus := c.forecastDemand(now, spot)
		cpus -= spare
		for _, b := range c.pendingCapacity {
			if b.spot == spot {
				cpus -= b.free.cpus
			}
		}
		for _, m := range v.fleet {
			if m.spot == spot && v.isSchedulable(now, m) {
				cpus -= v.freeResources(m).cpus
			}
		}
		spare = max(0, -cpus)
		if typ, kindSpot, ok := c.cheapestMachineKind(v, now, s); ok && cpus > 0 {
			if n := int(cpus / max(typ.CPUs, 1)); n > 0 {
				want[machineKind{typ.Name, kindSpot}] += n
			}
		}
	}
}

// ApplyForecast takes in what the leader will assign here before long.
func (c *Core) ApplyForecast(now time.Time, f leader.Forecast) {
	if f.Revision < c.forecast.Revision {
		return
	}
	c.forecast, c.forecastReceivedAt = f, now
	kept := c.assignedSinceForecast[:0]
	for _, g := range c.assignedSinceForecast {
		if g.version > f.Revision {
			kept = append(kept, g)
		}
	}
	c.assignedSinceForecast = kept
	if len(f.TeamsAtLimit) > 0 && now.Sub(c.heldAt) >= constants.CloseDelay {
		c.heldAt = now
		for _, j := range c.jobs {
			if c.blocksTeamAtLimit(now, j) {
				c.queueForClose(j)
			}
		}
	}
}

// blocksTeamAtLimit says whether the done tasks of a job keep others of its team waiting for
// their limit, as the leader has it.
func (c *scaleOutState) blocksTeamAtLimit(now time.Time, j *job) bool {
	return j.gang == nil && j.rec.End == "" && now.Sub(c.forecastReceivedAt) <= constants.ForecastTTL && slices.Contains(c.forecast.TeamsAtLimit, j.rec.Spec.Team)
}

// forecastDemand is how much work (CPUs) is still to come of what the leader forecast,
// and a task that stands for it. What was forecast before is as good as nothing.
func (c *scaleOutState) forecastDemand(now time.Time, spot bool) (*wire.Submission, float64) {
	s := &wire.Submission{Spot: spot, CPUs: 1}
	if now.Sub(c.forecastReceivedAt) > constants.ForecastTTL {
		c.assignedSinceForecast = nil
		return s, 0
	}
	cpus := c.forecast.OnDemand
	if spot {
		cpus = c.forecast.Spot
	}
	for _, g := range c.assignedSinceForecast {
		if g.spot == spot {
			cpus -= g.cpus
		}
	}
	return s, cpus
}

// missingReserve is how many ordinary machines of which type are missing to
// keep room ready for production work.
func (c *Core) missingReserve(now time.Time) (string, int) {
	if c.productionArrivals.largest.cpus == 0 && c.gangReserveCPUs == 0 || !c.canScaleOut(&c.fleetView, now, false) {
		return "", 0
	}
	room := 0.0
	for _, m := range c.fleet {
		if !m.spot && !m.scalingIn && m.typ != nil && m.up && m.reclaimAt.IsZero() {
			room += c.productionCPUs(m)
		}
	}
	for _, b := range c.pendingCapacity {
		if !b.spot {
			room += b.free.cpus
		}
	}
	missing := max(c.productionReserve(&c.fleetView, now)-room, c.missingGangReserve())
	if missing <= 0 {
		return "", 0
	}
	var best *wire.MachineType
	for _, t := range c.types {
		if c.productionArrivals.largest.fits(machineResources(t)) && slices.Contains(t.Zones, c.cfg.Shard) &&
			(best == nil || t.Price < best.Price) {
			best = t
		}
	}
	if best == nil {
		return "", 0
	}
	return best.Name, int(math.Ceil(missing / max(best.CPUs, 1)))
}

// productionReserve is the room (CPUs) held ready for production work: what is expected
// to arrive while a machine would boot, and one of the largest tasks at least.
func (c *scaleOutState) productionReserve(v *fleetView, now time.Time) float64 {
	return max(c.productionArrivals.largest.cpus, constants.ReserveFactor*c.productionArrivals.expectedCPUs(now, time.Duration(v.maxBootSeconds()*float64(time.Second))))
}
