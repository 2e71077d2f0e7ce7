package drain

import (
	"math"
	"slices"
	"strings"
	"time"

	"ravenport/disruption"
)

// ShardPlan is the prediction of a shard's owner of what a drain would do in the shard.
type ShardPlan struct {
	Shard         string             `json:"shard"`
	Machines      int                `json:"machines"` // selected machines
	EmptyMachines int                `json:"empty"`    // selected machines without tasks
	ArrayTasks    int                `json:"arrays"`   // tasks of arrays and gangs, which get time to end
	MovesByBudget map[string]int     `json:"moves"`    // tasks of services to move, by budget name; "": no budget
	BudgetUsage   []disruption.Usage `json:"usage"`
	Rounds        int                `json:"steps"` // each cordons a group of machines at once
	// Obstacles lists reasons why tasks cannot be moved. The list may be incomplete.
	Obstacles []Obstacle `json:"obstacles,omitempty"`
}

// Obstacle is a reason why a task cannot be moved.
type Obstacle struct {
	JobID   string `json:"job"`
	Machine string `json:"machine"`
	Reason  string `json:"why"`
	// IsPermanent is true if the obstacle does not end without intervention. The drain would
	// then wait forever.
	IsPermanent bool `json:"permanent"`
}

// Plan is the prediction of what a drain would do in all shards.
type Plan struct {
	Shards []ShardPlan `json:"shards"`
	Rounds int         `json:"steps"` // each cordons a group of machines at once; the canary is the first
	// BindingBudget is the name of the budget that delays the drain most. MinimumS is a lower
	// bound of the drain's duration under that budget, in seconds: each move uses one task
	// of the budget for at least the stable time.
	BindingBudget string  `json:"binding,omitempty"`
	MinimumS      float64 `json:"least_s"`
	// MissingShards are the shards whose owner sent no plan.
	MissingShards []string `json:"missing,omitempty"`
}

// FirstPermanentObstacle returns the first obstacle that is permanent, or nil.
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

// MergePlans merges the plans of all shards, and sorts shards in place. missing lists the
// shards without a plan. stableAfter is how long a moved task must run before it counts as
// available.
func MergePlans(shards []ShardPlan, missing []string, stableAfter time.Duration) Plan {
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
		minimum := MinimumTime(n, limits[budget], stableAfter).Seconds()
		// Among budgets with the same minimum, the first by name is reported.
		if minimum > plan.MinimumS || minimum == plan.MinimumS && budget < plan.BindingBudget {
			plan.BindingBudget = budget
			plan.MinimumS = minimum
		}
	}
	if plan.Rounds > 0 {
		plan.Rounds++ // the canary is drained in a separate round
	}
	return plan
}

// MinimumTime returns a lower bound of the duration of a number of moves under a budget,
// which is the number of tasks that may be unavailable at once. Each move uses one task of
// the budget for at least the stable time.
func MinimumTime(moves, budget int, stableAfter time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(moves)/float64(budget))) * stableAfter
}
