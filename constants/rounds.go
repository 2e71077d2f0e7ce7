package constants

import "time"

// Scheduling rounds of the leader and of the shard owners.
const (
	// RoundBudget bounds one round; the next round continues where it stopped. The budget is
	// processor time: on a share of a processor a round may take longer.
	RoundBudget = 5 * time.Millisecond
	// MaxRoundBudget bounds a round on any share of a processor, since events that arrive
	// during the round wait for its end.
	MaxRoundBudget = 50 * time.Millisecond
)
