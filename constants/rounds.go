package constants

import "time"

// Rounds of decisions, the leader's and the shard owners'.
const (
	// RoundBudget bounds one round; the next one continues where it stopped. It is meant
	// as processor time: on a share of a processor a round may take longer.
	RoundBudget = 5 * time.Millisecond
	// MaxRoundBudget bounds a round on any share of a processor, since events that
	// arrive meanwhile wait for its end.
	MaxRoundBudget = 50 * time.Millisecond
)
