// Package disruption enforces disruption budgets, which bound how many tasks of a team may
// be unavailable at once. All shards share the budgets, so the owner of each shard
// publishes a claim: a record of how much of every budget the shard uses. A Ledger is one
// owner's view of all claims, and decides whether one more task of its shard may be
// stopped. A stop requires a stored claim that covers it. The claim is written by a
// compare-and-swap transaction on the condition that no other shard's claim has changed.
// The package does no I/O: callers pass in records, counts and the time, and get decisions
// and the records to write.
package disruption

import (
	"cmp"
	"slices"
	"strings"
)

// BudgetKey identifies the budget of a team, or of one class of a team.
type BudgetKey struct {
	Team  string
	Class string // empty: all classes of the team
	// Interruptions is true for a budget that counts interrupted work: tasks of arrays that
	// were running and were stopped before they were done, and gangs, each of which counts as
	// one task. A budget without Interruptions counts the unavailable tasks of services.
	Interruptions bool
}

// InterruptionsPrefix precedes the team in the name of a budget of interruptions.
const InterruptionsPrefix = "interruptions:"

// String returns the budget's name: "TEAM" or "TEAM/CLASS", preceded by
// InterruptionsPrefix for a budget of interruptions.
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

// compare orders keys of services before keys of interruptions, then by team and class.
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
	// The defaults apply to each team that has no budget of that kind. nil: no default.
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

// SetServicesDefault sets the budget of services for each team that has none.
func (b *Budgets) SetServicesDefault(m MaxUnavailable) { b.defaultServices = &m }

// SetInterruptionsDefault sets the budget of interruptions for each team that has none.
func (b *Budgets) SetInterruptionsDefault(m MaxUnavailable) { b.defaultInterruptions = &m }

// KeysFor lists the budgets that a task counts against. isService distinguishes tasks of
// services from tasks of arrays and gangs. The list is empty if no budget limits when the
// task may be stopped.
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

// maxUnavailable returns the budget that is set for a key, or the default that applies to
// the key. ok is false if the key has neither.
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

// Keys lists the budgets that were set with Set, in the order of compare.
func (b Budgets) Keys() []BudgetKey {
	var keys []BudgetKey
	for k := range b.byKey {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, BudgetKey.compare)
	return keys
}
