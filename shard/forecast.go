package shard

import (
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/wire"
)

// ApplyForecast takes in the leader's forecast of what it will assign to this shard.
func (c *Core) ApplyForecast(now time.Time, f leader.Forecast) {
	if f.Revision < c.forecast.Revision {
		return
	}
	c.forecast = f
	c.forecastReceivedAt = now
	newer := c.assignedSinceForecast[:0]
	for _, assigned := range c.assignedSinceForecast {
		if assigned.version > f.Revision {
			newer = append(newer, assigned)
		}
	}
	c.assignedSinceForecast = newer
	if len(f.TeamsAtLimit) > 0 && now.Sub(c.limitsCheckedAt) >= constants.AssignmentCloseDelay {
		c.limitsCheckedAt = now
		for _, j := range c.jobs {
			if c.blocksTeamAtLimit(now, j) {
				c.queueForClose(j)
			}
		}
	}
}

// blocksTeamAtLimit says whether a job belongs to a team that is at its quota limit, so
// that done tasks in open assignments keep others of the team waiting.
func (c *scaleOutState) blocksTeamAtLimit(now time.Time, j *job) bool {
	if j.gang != nil || j.rec.End != "" || now.Sub(c.forecastReceivedAt) > constants.ForecastTTL {
		return false
	}
	return slices.Contains(c.forecast.TeamsAtLimit, j.rec.Spec.Team)
}

// scaleOutForForecast adds machines for what the leader will assign beyond the free and the
// pending capacity. Surplus on-demand capacity counts for tasks that may use spot machines
// as well.
func (c *scaleOutState) scaleOutForForecast(v *fleetView, now time.Time, counts machineCounts) {
	surplus := 0.0 // CPUs
	for _, spot := range []bool{false, true} {
		missing := c.forecastCPUs(now, spot) - surplus
		for _, p := range c.pendingCapacity {
			if p.spot == spot {
				missing -= p.free.cpus
			}
		}
		for _, m := range v.fleet {
			if m.spot == spot && v.isSchedulable(now, m) {
				missing -= v.freeResources(m).cpus
			}
		}
		surplus = max(0, -missing)
		if missing <= 0 {
			continue
		}
		// A task of one CPU stands for the forecast work.
		offer := c.cheapestOffer(v, now, &wire.Submission{Spot: spot, CPUs: 1})
		if !offer.isAvailable() {
			continue
		}
		if count := int(missing / max(offer.machineType.CPUs, 1)); count > 0 {
			counts[offer.kind()] += count
		}
	}
}

// forecastCPUs is the work (CPUs) of the leader's forecast that was not assigned yet; none
// where the forecast is out of date.
func (c *scaleOutState) forecastCPUs(now time.Time, spot bool) float64 {
	if now.Sub(c.forecastReceivedAt) > constants.ForecastTTL {
		c.assignedSinceForecast = nil
		return 0
	}
	cpus := c.forecast.OnDemand
	if spot {
		cpus = c.forecast.Spot
	}
	for _, assigned := range c.assignedSinceForecast {
		if assigned.spot == spot {
			cpus -= assigned.cpus
		}
	}
	return cpus
}
