package leader

import (
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
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

// add adds the work of n tasks of a job.
func (w *unassignedWork) add(s *wire.Submission, n int) {
	cpus := float64(n) * s.CPUs
	if s.Spot {
		w.spot += cpus
	} else {
		w.onDemand += cpus
	}
}

// BuildForecasts returns the forecasts by shard: for each shard an equal part of the
// unassigned work that may run in any zone, and all unassigned work that is bound to the
// shard's zone. It returns nil if there is nothing to forecast. revision is the revision of
// the key-value store up to which the leader has read the records.
func (c *Core) BuildForecasts(now time.Time, revision uint64) map[string]Forecast {
	unbound, boundToZone := c.unassignedWork(now)
	teams := c.teamsAtLimit(now)
	if unbound == (unassignedWork{}) && len(boundToZone) == 0 && len(teams) == 0 {
		return nil
	}
	forecasts := map[string]Forecast{}
	shards := float64(len(c.shards))
	for zone := range c.shards {
		forecasts[zone] = Forecast{
			Revision:     revision,
			Spot:         unbound.spot/shards + boundToZone[zone].spot,
			OnDemand:     unbound.onDemand/shards + boundToZone[zone].onDemand,
			TeamsAtLimit: teams,
		}
	}
	return forecasts
}

// unassignedWork sums the unassigned work that the quota limits admit: unbound is the work
// of jobs that may run in any zone, and boundToZone is, by zone, the work of jobs that may
// run only in that zone.
func (c *Core) unassignedWork(now time.Time) (unbound unassignedWork, boundToZone map[string]unassignedWork) {
	boundToZone = map[string]unassignedWork{}
	for _, job := range c.unassigned {
		s := &job.record.Spec
		if jobAge(now, job.record) < constants.ForecastMinWait {
			continue // the job is likely to be assigned at once, and the owner may not have to scale out for the job
		}
		n := c.tasksWithinLimit(s, records.TasksIn(job.record.Unassigned()))
		if s.Zone == "" {
			unbound.add(s, n)
			continue
		}
		bound := boundToZone[s.Zone]
		bound.add(s, n)
		boundToZone[s.Zone] = bound
	}
	return unbound, boundToZone
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
