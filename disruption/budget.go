// Package disruption keeps account of how much of each team may be unavailable at
// once. Budgets say how much that is; a Ledger is one shard's view of the account: what
// is unavailable in the shard, what the owners of other shards claim, and whether one
// more task may be stopped. It is pure: records, counts and time in, decisions and
// records to write out.
package disruption

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// BudgetKey names a budget: a team's, or one class's of a team.
type BudgetKey struct {
	Team  string
	Class string // empty: all classes of the team
	// Interruptions: the budget is of tasks of arrays that ran and do not run any more
	// before they are done, and of gangs, each as one. Else it is of services' tasks that
	// are unavailable.
	Interruptions bool
}

// InterruptionsPrefix stands before the team in the name of a budget of interruptions.
const InterruptionsPrefix = "interruptions:"

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

// ParseBudgetKey reads what String wrote.
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

// MaxUnavailable is how much of a team may be unavailable: a number of tasks, or a share.
type MaxUnavailable struct {
	Tasks     int
	Percent   float64
	IsPercent bool
}

// fullPercent is the share that takes in every task (percent).
const fullPercent = 100

// ErrInvalidMaxUnavailable says that a text is no amount.
var ErrInvalidMaxUnavailable = errors.New("must be a whole number of tasks, or a share from 0% to 100%")

// ParseMaxUnavailable reads a number of tasks ("3") or a share ("10%").
func ParseMaxUnavailable(text string) (MaxUnavailable, error) {
	if share, isShare := strings.CutSuffix(text, "%"); isShare {
		percent, err := strconv.ParseFloat(share, 64)
		if err != nil || !(percent >= 0 && percent <= fullPercent) {
			return MaxUnavailable{}, ErrInvalidMaxUnavailable
		}
		return MaxUnavailable{Percent: percent, IsPercent: true}, nil
	}
	tasks, err := strconv.Atoi(text)
	if err != nil || tasks < 0 {
		return MaxUnavailable{}, ErrInvalidMaxUnavailable
	}
	return MaxUnavailable{Tasks: tasks}, nil
}

func (a MaxUnavailable) String() string {
	if a.IsPercent {
		return fmt.Sprintf("%g%%", a.Percent)
	}
	return strconv.Itoa(a.Tasks)
}

// For is how many of a population of tasks the amount lets be unavailable. A share is
// rounded down, so one below 100% never takes all of a population.
func (a MaxUnavailable) For(population int) int {
	if !a.IsPercent {
		return a.Tasks
	}
	if a.Percent == fullPercent {
		return population
	}
	return int(a.Percent * float64(population) / fullPercent)
}

// Budgets are the budgets that are set. The zero value sets none.
type Budgets struct {
	set map[BudgetKey]MaxUnavailable
	// defaultServices and defaultInterruptions, if there are any, hold for each team that has no
	// budget of the kind of its own.
	defaultServices, defaultInterruptions *MaxUnavailable
}

// Set adds a budget.
func (b *Budgets) Set(k BudgetKey, a MaxUnavailable) {
	if b.set == nil {
		b.set = map[BudgetKey]MaxUnavailable{}
	}
	b.set[k] = a
}

// SetServicesDefault sets the budget of services of each team that has none of its own.
func (b *Budgets) SetServicesDefault(a MaxUnavailable) { b.defaultServices = &a }

// SetInterruptionsDefault sets the budget of interruptions of each team that has none of
// its own.
func (b *Budgets) SetInterruptionsDefault(a MaxUnavailable) { b.defaultInterruptions = &a }

// KeysFor lists the budgets that a task of a service, or else of an array or a gang, counts
// against, and is empty if it is free.
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

// maxUnavailable is the budget under a key.
func (b Budgets) maxUnavailable(k BudgetKey) (MaxUnavailable, bool) {
	if a, ok := b.set[k]; ok {
		return a, true
	}
	others := b.defaultServices
	if k.Interruptions {
		others = b.defaultInterruptions
	}
	if k.Class == "" && others != nil {
		return *others, true
	}
	return MaxUnavailable{}, false
}

// Keys lists the budgets that are set by name, in order.
func (b Budgets) Keys() []BudgetKey {
	var keys []BudgetKey
	for k := range b.set {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, BudgetKey.compare)
	return keys
}
