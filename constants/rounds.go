package constants

import "time"

// Rounds of decisions, the leader's and the owners'.
const (
	// RoundBudget bounds one round; the next goes on where it stopped. It is meant as
	// processor time: on a share of a processor a round may take longer, up to
	// MaxRoundBudget, since what comes meanwhile waits for its end.
	RoundBudget    = 5 * time.Millisecond
	MaxRoundBudget = 50 * time.Millisecond
)
