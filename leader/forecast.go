package leader

import (
	"time"

	"ravenport/constants"
	"ravenport/records"
)

// Forecast is the work that the leader expects to assign to a shard soon. The work waits
// because of the key-value store's rate limit and not for a decision of the leader, so the
// shard's owner can scale out for it in the meantime.
type Forecast struct {
	Revision uint64  `json:"rev"`  // of the key-value store; assignments written later are part of the forecast
	Spot     float64 `json:"spot"` // CPUs of tasks that may run on spot machines
	OnDemand float64 `json:"ord"`  // CPUs of tasks that may not run on spot machines
	// TeamsAtLimit lists the teams whose quota limit keeps jobs waiting. The owner closes
	// finished tasks of these teams at once, without waiting for the rest of the
	// assignment.
	TeamsAtLimit []string `json:"held,omitempty"`
}

// unassignedWork is the work (CPUs) of tasks in no assignment.
type unassignedWork struct{ spot, onDemand float64 }

// add adds work (CPUs) of tasks that may or may not run on spot machines.
func (w *unassignedWork) add(spot bool, cpus float64) {
	if spot {
		w.spot += cpus
	} else {
		w.onDemand += cpus
	}
}

// BuildForecasts returns the forecasts by shard: for each shard its part of the unassigned work.
// It returns nil if there is nothing to forecast. revision is the revision of the key-value
// store up to which the leader has read the records.
func (c *Core) BuildForecasts(now time.Time, revision uint64) map[string]Forecast {
	work := c.unassignedWork(now)
	teams := c.teamsAtLimit(now)
	if len(work) == 0 && len(teams) == 0 {
		return nil
	}
	forecasts := map[string]Forecast{}
	for zone := range c.shards {
		forecasts[zone] = Forecast{
			Revision:     revision,
			Spot:         work[zone].spot,
			OnDemand:     work[zone].onDemand,
			TeamsAtLimit: teams,
		}
	}
	return forecasts
}

// unassignedWork sums up, by zone, the unassigned work that the quota limits admit. The work of
// a job is divided equally among the zones that the job may use and whose shards can run it.
func (c *Core) unassignedWork(now time.Time) map[string]unassignedWork {
	work := map[string]unassignedWork{}
	for _, job := range c.unassigned {
		s := &job.record.Spec
		if jobAge(now, job.record) < constants.ForecastMinWait {
			continue // the job is likely to be assigned at once, and the owner may not have to scale out for the job
		}
		zones := c.zonesFor(s)
		cpus := s.CPUs * float64(c.tasksWithinLimit(s, records.TasksIn(job.record.Unassigned())))
		for _, zone := range zones {
			inZone := work[zone]
			inZone.add(s.Spot, cpus/float64(len(zones)))
			work[zone] = inZone
		}
	}
	return work
}

// teamsAtLimit lists the teams whose quota limit kept a job waiting within the last
// constants.ForecastTTL. It removes the other teams from limitReachedAt.
func (c *Core) teamsAtLimit(now time.Time) []string {
	var teams []string
	for team, at := range c.limitReachedAt {
		if now.Sub(at) < constants.ForecastTTL {
			teams = append(teams, team)
		} else {
			delete(c.limitReachedAt, team)
		}
	}
	return teams
}
