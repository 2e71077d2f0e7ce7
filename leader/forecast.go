package leader

import (
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// Forecast is what will be assigned to a shard before long: work that waits for
// the state service's allowance rather than for a decision.
type Forecast struct {
	Revision uint64  `json:"rev"`  // assignments written later are part of it
	Spot     float64 `json:"spot"` // CPUs that may go to spot machines
	OnDemand float64 `json:"ord"`  // CPUs that may not
	// TeamsAtLimit names teams whose limit keeps jobs waiting: what of theirs is done is
	// recorded without waiting for the rest of its assignment.
	TeamsAtLimit []string `json:"held,omitempty"`
}

// unassignedWork is work in no assignment (CPUs).
type unassignedWork struct{ spot, onDemand float64 }

// add adds n tasks of a job.
func (b *unassignedWork) add(s *wire.Submission, n int) {
	if s.Spot {
		b.spot += float64(n) * s.CPUs
	} else {
		b.onDemand += float64(n) * s.CPUs
	}
}

// BuildForecasts tells each shard its share of what is in no assignment yet, so that it can
// rent for it meanwhile. revision is that of the records known.
func (c *Core) BuildForecasts(now time.Time, revision uint64) map[string]Forecast {
	var anywhere unassignedWork
	bound := map[string]unassignedWork{} // by zone, of jobs that may run in one alone
	for _, j := range c.waiting {
		s := &j.record.Spec
		if now.UnixMilli()-j.record.AcceptedMS < constants.ForecastMinWait.Milliseconds() {
			continue // its turn comes at once, and its owner may see no need to rent
		}
		n := c.tasksWithinLimit(s, records.TasksIn(j.record.Unassigned()))
		if s.Zone == "" {
			anywhere.add(s, n)
			continue
		}
		b := bound[s.Zone]
		b.add(s, n)
		bound[s.Zone] = b
	}
	var held []string
	for team, at := range c.limitedAt {
		if now.Sub(at) < constants.ForecastTTL {
			held = append(held, team)
		} else {
			delete(c.limitedAt, team)
		}
	}
	if anywhere == (unassignedWork{}) && len(bound) == 0 && len(held) == 0 {
		return nil
	}
	out := map[string]Forecast{}
	shards := float64(len(c.shards))
	for z := range c.shards {
		out[z] = Forecast{Revision: revision, Spot: anywhere.spot/shards + bound[z].spot, OnDemand: anywhere.onDemand/shards + bound[z].onDemand, TeamsAtLimit: held}
	}
	return out
}
