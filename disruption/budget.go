// Package disruption enforces disruption budgets, which bound how many tasks of a team may
// be unavailable at once. The budgets are shared by all shards, so the owner of each
// publishes a claim: a record of how much of every budget its shard uses. A Ledger is one
// owner's view of all claims, and decides whether one more task of its shard may be
// stopped. A stop needs a claim that covers it, written by a compare-and-swap transaction
// on the condition that no other shard's claim has changed. The package is pure: records,
// counts and time in, decisions and records to write out.
package disruption

import (
	"cmp"
	"slices"
	"strings"
)

// BudgetKey identifies a budget: a team's, or that of one class of a team.
type BudgetKey struct {
	Team  string
	Class string // empty: all classes of the team
	// Interruptions: the budget counts tasks of arrays that were running and were stopped
	// before they were done, and gangs, each as one task. Otherwise it counts tasks of
	// services that are unavailable.
	Interruptions bool
}

// InterruptionsPrefix precedes the team in the name of a budget of interruptions.
const InterruptionsPrefix = "interruptions:"

// String returns the budget's name, "TEAM" or "TEAM/CLASS", after InterruptionsPrefix for a
// budget of interruptions.
func (k BudgetKey) String() string {
	name := k.Team
	if k.Class != "" {
		name += "/" + k.Class
	}
	if k.Interruptions {
		return InterruptionsPrefix + name
	}
	return name
}

// ParseBudgetKey parses a budget's name as String returns it.
func ParseBudgetKey(s string) BudgetKey {
	name, isInterruptions := strings.CutPrefix(s, InterruptionsPrefix)
	team, class, _ := strings.Cut(name, "/")
	return BudgetKey{team, class, isInterruptions}
}

// compare orders keys by team and class, those of services first.
func (k BudgetKey) compare(other BudgetKey) int {
	if k.Interruptions != other.Interruptions {
		if other.Interruptions {
			return -1
		}
		return 1
	}
	return cmp.Or(strings.Compare(k.Team, other.Team), strings.Compare(k.Class, other.Class))
}

// Budgets are the configured budgets. The zero value has none.
type Budgets struct {
	byKey map[BudgetKey]MaxUnavailable
	// The defaults, unless nil, apply to each team without a budget of the kind of its own.
	defaultServices      *MaxUnavailable
	defaultInterruptions *MaxUnavailable
}

// Set sets the budget of a key.
func (b *Budgets) Set(k BudgetKey, m MaxUnavailable) {
	if b.byKey == nil {
		b.byKey = map[BudgetKey]MaxUnavailable{}
	}
	b.byKey[k] = m
}

// SetServicesDefault sets the budget of services of each team without one of its own.
func (b *Budgets) SetServicesDefault(m MaxUnavailable) { b.defaultServices = &m }

// SetInterruptionsDefault sets the budget of interruptions of each team without one of its
// own.
func (b *Budgets) SetInterruptionsDefault(m MaxUnavailable) { b.defaultInterruptions = &m }

// KeysFor lists the budgets that a task of a service, or else of an array or a gang, counts
// against. It is empty if the task may be stopped at any time.
func (b Budgets) KeysFor(team, class string, isService bool) []BudgetKey {
	var keys []BudgetKey
	if k := (BudgetKey{Team: team, Interruptions: !isService}); b.has(k) {
		keys = append(keys, k)
	}
	if k := (BudgetKey{team, class, !isService}); class != "" && b.has(k) {
		keys = append(keys, k)
	}
	return keys
}

func (b Budgets) has(k BudgetKey) bool {
	_, ok := b.maxUnavailable(k)
	return ok
}

// maxUnavailable is the budget of a key, or the default that applies to it.
func (b Budgets) maxUnavailable(k BudgetKey) (MaxUnavailable, bool) {
	if m, ok := b.byKey[k]; ok {
		return m, true
	}
	defaultBudget := b.defaultServices
	if k.Interruptions {
		defaultBudget = b.defaultInterruptions
	}
	if k.Class == "" && defaultBudget != nil {
		return *defaultBudget, true
	}
	return MaxUnavailable{}, false
}

// Keys lists in order the budgets that were set by key.
func (b Budgets) Keys() []BudgetKey {
	var keys []BudgetKey
	for k := range b.byKey {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, BudgetKey.compare)
	return keys
}
