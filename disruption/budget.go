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

// Key names a budget: a team's, or one class's of a team.
type Key struct {
	Team  string
	Class string // empty: all classes of the team
	// Interruptions: the budget is of tasks of arrays that ran and do not run any more
	// before they are done, and of gangs, each as one. Else it is of services' tasks that
	// are unavailable.
	Interruptions bool
}

// InterruptionsPrefix stands before the team in the name of a budget of interruptions.
const InterruptionsPrefix = "interruptions:"

func (k Key) String() string {
	name := k.Team
	if k.Class != "" {
		name += "/" + k.Class
	}
	if k.Interruptions {
		return InterruptionsPrefix + name
	}
	return name
}

// ParseKey reads what String wrote.
func ParseKey(s string) Key {
	name, isInterruptions := strings.CutPrefix(s, InterruptionsPrefix)
	team, class, _ := strings.Cut(name, "/")
	return Key{team, class, isInterruptions}
}

// compare orders keys by team and class, those of services first.
func (k Key) compare(other Key) int {
	if k.Interruptions != other.Interruptions {
		if other.Interruptions {
			return -1
		}
		return 1
	}
	return cmp.Or(strings.Compare(k.Team, other.Team), strings.Compare(k.Class, other.Class))
}

// Amount is how much of a team may be unavailable: a number of tasks, or a share.
type Amount struct {
	Tasks   int
	Percent float64
	IsShare bool
}

// wholeShare is the share that takes in every task (percent).
const wholeShare = 100

// ErrAmount says that a text is no amount.
var ErrAmount = errors.New("must be a whole number of tasks, or a share from 0% to 100%")

// ParseAmount reads a number of tasks ("3") or a share ("10%").
func ParseAmount(text string) (Amount, error) {
	if share, isShare := strings.CutSuffix(text, "%"); isShare {
		percent, err := strconv.ParseFloat(share, 64)
		if err != nil || !(percent >= 0 && percent <= wholeShare) {
			return Amount{}, ErrAmount
		}
		return Amount{Percent: percent, IsShare: true}, nil
	}
	tasks, err := strconv.Atoi(text)
	if err != nil || tasks < 0 {
		return Amount{}, ErrAmount
	}
	return Amount{Tasks: tasks}, nil
}

func (a Amount) String() string {
	if a.IsShare {
		return fmt.Sprintf("%g%%", a.Percent)
	}
	return strconv.Itoa(a.Tasks)
}

// Of is how many of a population of tasks the amount lets be unavailable. A share is
// rounded down, so one below 100% never takes all of a population.
func (a Amount) Of(population int) int {
	if !a.IsShare {
		return a.Tasks
	}
	if a.Percent == wholeShare {
		return population
	}
	return int(a.Percent * float64(population) / wholeShare)
}

// Budgets are the budgets that are set. The zero value sets none.
type Budgets struct {
	set map[Key]Amount
	// others and otherInterruptions, if there are any, hold for each team that has no
	// budget of the kind of its own.
	others, otherInterruptions *Amount
}

// Set adds a budget.
func (b *Budgets) Set(k Key, a Amount) {
	if b.set == nil {
		b.set = map[Key]Amount{}
	}
	b.set[k] = a
}

// SetOthers sets the budget of services of each team that has none of its own.
func (b *Budgets) SetOthers(a Amount) { b.others = &a }

// SetOtherInterruptions sets the budget of interruptions of each team that has none of
// its own.
func (b *Budgets) SetOtherInterruptions(a Amount) { b.otherInterruptions = &a }

// Of lists the budgets that a task of a service, or else of an array or a gang, counts
// against, and is empty if it is free.
func (b Budgets) Of(team, class string, isService bool) []Key {
	var keys []Key
	if k := (Key{Team: team, Interruptions: !isService}); b.has(k) {
		keys = append(keys, k)
	}
	if k := (Key{team, class, !isService}); class != "" && b.has(k) {
		keys = append(keys, k)
	}
	return keys
}

func (b Budgets) has(k Key) bool {
	_, ok := b.amount(k)
	return ok
}

// amount is the budget under a key.
func (b Budgets) amount(k Key) (Amount, bool) {
	if a, ok := b.set[k]; ok {
		return a, true
	}
	others := b.others
	if k.Interruptions {
		others = b.otherInterruptions
	}
	if k.Class == "" && others != nil {
		return *others, true
	}
	return Amount{}, false
}

// Keys lists the budgets that are set by name, in order.
func (b Budgets) Keys() []Key {
	var keys []Key
	for k := range b.set {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, Key.compare)
	return keys
}
