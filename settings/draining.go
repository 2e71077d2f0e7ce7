package settings

import (
	"time"

	"ravenport/disruption"
	"ravenport/drain"
)

// Draining holds the settings of drains and of disruption budgets; see
// docs/operators-draining.md.
type Draining struct {
	Budgets disruption.Budgets // disruption.budget.TEAM[/CLASS], disruption.interruptions.TEAM[/CLASS]
	Policy  drain.Policy       // with drain.window.rule, .zone and .minutes
}

// BudgetPrefix and InterruptionsPrefix stand before a team, or a team and a class, in the
// properties keys of disruption budgets. AnyTeam is for each team that is not named.
const (
	BudgetPrefix        = "disruption.budget."
	InterruptionsPrefix = "disruption.interruptions."
	AnyTeam             = "*"
)

// What a shard's claim on the disruption budgets takes of the key-value store.
const (
	claimNumberBytes   = 16 // a number in a claim, with its quotes and comma
	claimBaseBytes     = 64 // a claim beside its budgets
	conditionsPerTxnOp = 4  // conditions of a transaction for each of its changes
	claimConditions    = 2  // conditions on the owner's term and on its own claim
)

// DefaultDrainPolicy returns what applies where the file of drains sets nothing.
func DefaultDrainPolicy() drain.Policy {
	return drain.Policy{
		StableAfter:            10 * time.Second,
		ArrayGracePeriod:       2 * time.Minute,
		ReplacementTimeout:     3 * time.Minute,
		ParallelPercent:        10,
		MaxConsecutiveFailures: 3,
	}
}

// CheckDraining checks that a shard's claim on the disruption budgets fits into a value
// of the key-value store, and the conditions of its write into a transaction.
func (s *Settings) CheckDraining(d *Draining) error {
	limits := s.StoreLimits()
	bytes := claimBaseBytes
	for _, key := range d.Budgets.Keys() {
		bytes += len(key.String()) + claimNumberBytes
	}
	for _, team := range s.Deployment.Teams {
		servicesBytes := len(team.Name) + claimNumberBytes
		interruptionsBytes := len(disruption.InterruptionsPrefix) + len(team.Name) + claimNumberBytes
		bytes += servicesBytes + interruptionsBytes
	}
	if maxBytes := int(limits.ValueKB * 1024); bytes > maxBytes {
		return Invalid(BudgetPrefix+"…", "%d budgets take %d bytes of the state service, which has %d for a value", len(d.Budgets.Keys()), bytes, maxBytes)
	}
	if maxZones := limits.TxnOps*conditionsPerTxnOp - claimConditions + 1; len(s.Deployment.Zones) > maxZones {
		return Invalid("facts.zones", "draining serves at most %d zones with these limits of the state service", maxZones)
	}
	return nil
}
