package drain

import (
	"math"
	"slices"
	"strings"
	"time"

	"ravenport/disruption"
)

// ShardPlan is what the owner of a shard can say of a drain beforehand.
type ShardPlan struct {
	Shard         string             `json:"shard"`
	Machines      int                `json:"machines"`
	EmptyMachines int                `json:"empty"`  // of those: nothing runs on them
	ArrayTasks    int                `json:"arrays"` // tasks of arrays and gangs, which get time to end
	MovesByBudget map[string]int     `json:"moves"`  // services' tasks by budget; "": under none
	Usage         []disruption.Usage `json:"usage"`
	Steps         int                `json:"steps"` // rounds of machines at the parallel setting
	// Obstacles are why tasks cannot be moved; so many are named at most.
	Obstacles []Obstacle `json:"obstacles,omitempty"`
}

// Obstacle is why a task cannot be moved.
type Obstacle struct {
	Job     string `json:"job"`
	Machine string `json:"machine"`
	Reason  string `json:"why"`
	// Permanent: it does not end by itself, so the drain would wait for ever.
	Permanent bool `json:"permanent"`
}

// Plan is a drain without acting.
type Plan struct {
	Shards []ShardPlan `json:"shards"`
	Steps  int         `json:"steps"`
	// BindingBudget is the budget that takes longest, and MinimumS the least possible time
	// under it (s): each move takes a part of the budget for the stable time at least.
	BindingBudget string  `json:"binding,omitempty"`
	MinimumS      float64 `json:"least_s"`
	// MissingShards are shards whose owner could not be asked.
	MissingShards []string `json:"missing,omitempty"`
}

// FirstPermanentObstacle is the first thing that can never be done, nil if there is none.
func (p *Plan) FirstPermanentObstacle() *Obstacle {
	for _, s := range p.Shards {
		for i := range s.Obstacles {
			if s.Obstacles[i].Permanent {
				return &s.Obstacles[i]
			}
		}
	}
	return nil
}

// MergePlans makes the plan of the plans of all shards. stable is the time for which a
// moved task must run before it counts as up.
func MergePlans(shards []ShardPlan, missing []string, stable time.Duration) Plan {
	p := Plan{Shards: shards, MissingShards: missing}
	slices.SortFunc(p.Shards, func(a, b ShardPlan) int { return strings.Compare(a.Shard, b.Shard) })
	moves, most := map[string]int{}, map[string]int{}
	for _, s := range shards {
		p.Steps = max(p.Steps, s.Steps)
		for budget, n := range s.MovesByBudget {
			moves[budget] += n
		}
		for _, u := range s.Usage {
			most[u.Budget] = u.Limit
		}
	}
	for budget, n := range moves {
		if budget == "" || most[budget] < 1 {
			continue
		}
		least := MinimumTime(n, most[budget], stable).Seconds()
		if least > p.MinimumS || least == p.MinimumS && budget < p.BindingBudget {
			p.BindingBudget, p.MinimumS = budget, least
		}
	}
	if p.Steps > 0 {
		p.Steps++ // the first machine alone
	}
	return p
}

// MinimumTime bounds from below how long so many moves take under a budget: each uses one
// of its tasks for the stable time at least.
func MinimumTime(moves, budget int, stable time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(moves)/float64(budget))) * stable
}
