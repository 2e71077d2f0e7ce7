// Package failover decides which controller takes a term over whose holder is gone.
// It is pure, and all controllers compute the same order from the same records:
// the first of them claims at once, each later one only after it had its time.
// Where their records differ, the conditional write of the claim decides.
package failover

import (
	"slices"
	"time"
)

// Controller is one of the configured controllers.
type Controller struct{ Name, Zone string }

// Term names what is taken over: the leader's term, or that of a zone's shard.
type Term struct {
	Leader bool
	Zone   string
}

// Fleet is what the order depends on.
type Fleet struct {
	Controllers []Controller // sorted by name
	Zones       []string     // one shard each
	// Shards counts the shards that a controller owns. Nil: not considered.
	Shards func(controller string) int
	// LastChoice says that a controller should be asked only if no other one is there.
	// Nil: none.
	LastChoice func(controller string) bool
}

// Order lists the controllers by their fitness to hold a term: a shard's own zone
// first; the leader, where possible, on a controller that is no shard's first
// choice, so that one failure costs one role; then whoever owns fewer shards; the
// rest is spread by name. Those that Last names come last.
func (f Fleet) Order(t Term) []Controller {
	var out []Controller
	if t.Leader {
		out = f.leaderOrder()
	} else {
		out = f.shardOrder(t.Zone)
	}
	if f.LastChoice != nil {
		slices.SortStableFunc(out, func(a, b Controller) int { return rank(f.LastChoice(a.Name)) - rank(f.LastChoice(b.Name)) })
	}
	return out
}

func (f Fleet) leaderOrder() []Controller {
	first := f.firstChoices()
	out := slices.Clone(f.Controllers)
	slices.SortStableFunc(out, func(a, b Controller) int { return rank(first[a.Name]) - rank(first[b.Name]) })
	return out
}

func (f Fleet) shardOrder(zone string) []Controller {
	first := f.firstChoices()
	// Rotated, so that two orphaned shards go to different controllers.
	turn := max(0, slices.Index(f.Zones, zone)) % len(f.Controllers)
	out := slices.Concat(f.Controllers[turn:], f.Controllers[:turn])
	slices.SortStableFunc(out, func(a, b Controller) int {
		if d := rank(a.Zone != zone) - rank(b.Zone != zone); d != 0 {
			return d
		}
		if a.Zone == zone { // in its zone, by name
			return rank(!first[a.Name]) - rank(!first[b.Name])
		}
		if d := f.shards(a.Name) - f.shards(b.Name); d != 0 {
			return d
		}
		return rank(first[a.Name]) - rank(first[b.Name])
	})
	return out
}

// firstChoices are the controllers that come first for their own zone's shard.
func (f Fleet) firstChoices() map[string]bool {
	first := map[string]bool{}
	for _, zone := range f.Zones {
		for _, c := range f.Controllers {
			if c.Zone == zone {
				first[c.Name] = true
				break
			}
		}
	}
	return first
}

func (f Fleet) shards(controller string) int {
	if f.Shards == nil {
		return 0
	}
	return f.Shards(controller)
}

func rank(last bool) int {
	if last {
		return 1
	}
	return 0
}

// Position is a controller's place among the live ones of an order, and whether one
// before it is missing.
func Position(order []Controller, me string, alive func(string) bool) (position int, missing bool) {
	for _, c := range order {
		if c.Name == me {
			break
		}
		if alive(c.Name) {
			position++
		} else {
			missing = true
		}
	}
	return position, missing
}

// Pace spaces out the shards that one controller takes over, so that it has the
// first of them in hand before the next, and others may come before it. Its zero
// value allows everything at once.
type Pace struct {
	Gap  time.Duration
	last time.Time
}

// Ready says whether another shard may be taken over now.
func (p *Pace) Ready(now time.Time) bool {
	return p.Gap == 0 || p.last.IsZero() || now.Sub(p.last) >= p.Gap
}

// Record notes that one was.
func (p *Pace) Record(now time.Time) { p.last = now }
