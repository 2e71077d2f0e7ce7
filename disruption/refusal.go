package disruption

import "fmt"

// Reason is the reason why a task may not be stopped now.
type Reason string

// Reasons of a RefusalError. All but ReasonNeverAllowed end without intervention.
const (
	ReasonNeverAllowed    Reason = "the budget lets none of so few tasks be down"
	ReasonExhausted       Reason = "the budget is used up"
	ReasonClaimMissing    Reason = "a shard's owner has not published its claim"
	ReasonShardRebuilding Reason = "the shard is being rebuilt"
	ReasonClaimPending    Reason = "the claim is being written"
)

// RefusalError reports why a task may not be stopped now.
type RefusalError struct {
	Reason      Reason
	Budget      BudgetKey // with ReasonNeverAllowed, ReasonExhausted and ReasonClaimPending
	Unavailable int       // tasks that count against the budget now, as the ledger knows them
	Limit       int       // tasks that the budget allows
	Shard       string    // with ReasonClaimMissing: the shard without a claim
}

// Error implements error.
func (e *RefusalError) Error() string {
	switch e.Reason {
	case ReasonNeverAllowed, ReasonExhausted:
		return fmt.Sprintf("%s: %s (%d of %d)", e.Budget, e.Reason, e.Unavailable, e.Limit)
	case ReasonClaimMissing:
		return fmt.Sprintf("%s: %s", e.Shard, e.Reason)
	}
	return string(e.Reason)
}
