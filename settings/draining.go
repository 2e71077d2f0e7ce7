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
	Policy  drain.Policy       // includes drain.window.rule, .zone and .minutes
}

// BudgetPrefix and InterruptionsPrefix precede TEAM or TEAM/CLASS in the properties keys of
// disruption budgets. AnyTeam in place of a team sets the default for all teams without a
// budget of their own.
const (
	BudgetPrefix        = "disruption.budget."
	InterruptionsPrefix = "disruption.interruptions."
	AnyTeam             = "*"
)

// Estimates of how much of a value and of a transaction in the key-value store a shard's
// claim on the disruption budgets takes.
const (
	claimNumberBytes   = 16 // a number in a claim, including quotes and comma
	claimBaseBytes     = 64 // a claim without its budgets
	conditionsPerTxnOp = 4  // conditions that a transaction may have per allowed change
	claimConditions    = 2  // conditions on the owner's term and on the owner's own claim
)

// DefaultDrainPolicy returns the defaults of the settings that the draining file does not
// set.
func DefaultDrainPolicy() drain.Policy {
	return drain.Policy{
		StableAfter:            10 * time.Second,
		ArrayGracePeriod:       2 * time.Minute,
		ReplacementTimeout:     3 * time.Minute,
		ParallelPercent:        10,
		MaxConsecutiveFailures: 3,
	}
}

// CheckDraining checks that a shard's claim on the disruption budgets fits into a value of
// the key-value store, and that the conditions of the write that stores the claim fit into
// a transaction.
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
		return Invalid(BudgetPrefix+"…", "%d budgets take %d bytes, but a value of the key-value store may have only %d", len(d.Budgets.Keys()), bytes, maxBytes)
	}
	if maxZones := limits.TxnOps*conditionsPerTxnOp - claimConditions + 1; len(s.Deployment.Zones) > maxZones {
		return Invalid("facts.zones", "draining serves at most %d zones with these limits of the key-value store", maxZones)
	}
	return nil
}
