package drain

import (
	"math"
	"slices"
	"strings"
	"time"

	"ravenport/disruption"
)

// ShardPlan is what a drain would do in one shard, as its owner predicts it.
type ShardPlan struct {
	Shard         string             `json:"shard"`
	Machines      int                `json:"machines"` // selected
	EmptyMachines int                `json:"empty"`    // of those, without tasks
	ArrayTasks    int                `json:"arrays"`   // tasks of arrays and gangs, which get time to end
	MovesByBudget map[string]int     `json:"moves"`    // services' tasks, by the budget's name; "": under none
	BudgetUsage   []disruption.Usage `json:"usage"`
	Rounds        int                `json:"steps"` // of machines that are cordoned at once
	// Obstacles are why tasks cannot be moved. Not all of them are listed if they are many.
	Obstacles []Obstacle `json:"obstacles,omitempty"`
}

// Obstacle is why a task cannot be moved.
type Obstacle struct {
	JobID   string `json:"job"`
	Machine string `json:"machine"`
	Reason  string `json:"why"`
	// IsPermanent: the obstacle does not end by itself, so the drain would wait for ever.
	IsPermanent bool `json:"permanent"`
}

// Plan is what a drain would do.
type Plan struct {
	Shards []ShardPlan `json:"shards"`
	Rounds int         `json:"steps"` // of machines that are cordoned at once, the canary included
	// BindingBudget is the name of the budget that takes longest, and MinimumS the least
	// possible time under it (s): each move uses one task of the budget for the stable time
	// at least.
	BindingBudget string  `json:"binding,omitempty"`
	MinimumS      float64 `json:"least_s"`
	// MissingShards are the shards whose owner sent no plan.
	MissingShards []string `json:"missing,omitempty"`
}

// FirstPermanentObstacle is the first obstacle that never ends by itself, or nil.
func (p *Plan) FirstPermanentObstacle() *Obstacle {
	for _, shard := range p.Shards {
		for i := range shard.Obstacles {
			if shard.Obstacles[i].IsPermanent {
				return &shard.Obstacles[i]
			}
		}
	}
	return nil
}

// MergePlans merges the plans of all shards; it sorts shards in place. missing are the
// shards without a plan, and stable is how long a moved task must run before it counts as
// available.
func MergePlans(shards []ShardPlan, missing []string, stable time.Duration) Plan {
	plan := Plan{Shards: shards, MissingShards: missing}
	slices.SortFunc(plan.Shards, func(a, b ShardPlan) int { return strings.Compare(a.Shard, b.Shard) })
	moves := map[string]int{}
	limits := map[string]int{}
	for _, shard := range shards {
		plan.Rounds = max(plan.Rounds, shard.Rounds)
		for budget, n := range shard.MovesByBudget {
			moves[budget] += n
		}
		for _, usage := range shard.BudgetUsage {
			limits[usage.Budget] = usage.Limit
		}
	}
	for budget, n := range moves {
		if budget == "" || limits[budget] < 1 {
			continue
		}
		minimum := MinimumTime(n, limits[budget], stable).Seconds()
		// Of budgets that take equally long, the first by name binds.
		if minimum > plan.MinimumS || minimum == plan.MinimumS && budget < plan.BindingBudget {
			plan.BindingBudget = budget
			plan.MinimumS = minimum
		}
	}
	if plan.Rounds > 0 {
		plan.Rounds++ // the canary is a round of its own
	}
	return plan
}

// MinimumTime is a lower bound of the time that a number of moves takes under a budget of
// so many unavailable tasks: each move uses one of them for the stable time at least.
func MinimumTime(moves, budget int, stable time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(moves)/float64(budget))) * stable
}
