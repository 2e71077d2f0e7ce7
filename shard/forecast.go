package shard

import (
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/wire"
)

// ApplyForecast stores the leader's forecast of the work that the leader will assign to this
// shard. An older forecast than the stored one is ignored.
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

// blocksTeamAtLimit reports whether a job belongs to a team that is at its quota limit. Done
// tasks count against the quota until their assignment is closed, so the job's open
// assignments may keep other tasks of the team waiting.
func (c *scaleOutState) blocksTeamAtLimit(now time.Time, j *job) bool {
	if j.gang != nil || j.record.End != "" || now.Sub(c.forecastReceivedAt) > constants.ForecastTTL {
		return false
	}
	return slices.Contains(c.forecast.TeamsAtLimit, j.record.Spec.Team)
}

// scaleOutForForecast adds machines for the forecast work that exceeds the free and the
// pending capacity. Tasks that may use spot machines can also use on-demand machines, so
// surplus on-demand capacity reduces the number of spot machines.
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
		// The offer is that for a task of one CPU, as the forecast has no task sizes.
		offer := c.cheapestOffer(v, now, &wire.Submission{Spot: spot, CPUs: 1})
		if !offer.isAvailable() {
			continue
		}
		if count := int(missing / max(offer.machineType.CPUs, 1)); count > 0 {
			counts[offer.kind()] += count
		}
	}
}

// forecastCPUs returns the work (CPUs) of the leader's forecast that has not been assigned
// yet. It returns 0 if the forecast is older than constants.ForecastTTL.
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
