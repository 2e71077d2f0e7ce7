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

// Role names what is taken over: the leader's term, or that of a zone's shard.
type Role struct {
	Leader bool
	Zone   string
}

// Candidates is what the order depends on.
type Candidates struct {
	Controllers []Controller // sorted by name
	Zones       []string     // one shard each
	// OwnedShards counts the shards that a controller owns. Nil: not considered.
	OwnedShards func(controller string) int
	// Deprioritized says that a controller should be asked only if no other one is there.
	// Nil: none.
	Deprioritized func(controller string) bool
}

// Ranked lists the controllers by their fitness to hold a term: a shard's own zone
// first; the leader, where possible, on a controller that is no shard's first
// choice, so that one failure costs one role; then whoever owns fewer shards; the
// rest is spread by name. Those that Last names come last.
func (f Candidates) Ranked(t Role) []Controller {
	var out []Controller
	if t.Leader {
		out = f.rankedForLeader()
	} else {
		out = f.rankedForShard(t.Zone)
	}
	if f.Deprioritized != nil {
		slices.SortStableFunc(out, func(a, b Controller) int { return rank(f.Deprioritized(a.Name)) - rank(f.Deprioritized(b.Name)) })
	}
	return out
}

func (f Candidates) rankedForLeader() []Controller {
	first := f.preferredOwners()
	out := slices.Clone(f.Controllers)
	slices.SortStableFunc(out, func(a, b Controller) int { return rank(first[a.Name]) - rank(first[b.Name]) })
	return out
}

func (f Candidates) rankedForShard(zone string) []Controller {
	first := f.preferredOwners()
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
		if d := f.ownedShards(a.Name) - f.ownedShards(b.Name); d != 0 {
			return d
		}
		return rank(first[a.Name]) - rank(first[b.Name])
	})
	return out
}

// preferredOwners are the controllers that come first for their own zone's shard.
func (f Candidates) preferredOwners() map[string]bool {
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

func (f Candidates) ownedShards(controller string) int {
	if f.OwnedShards == nil {
		return 0
	}
	return f.OwnedShards(controller)
}

func rank(last bool) int {
	if last {
		return 1
	}
	return 0
}

// Position is a controller's place among the live ones of an order, and whether one
// before it is missing.
func Position(order []Controller, self string, isCandidate func(string) bool) (position int, predecessorMissing bool) {
	for _, c := range order {
		if c.Name == self {
			break
		}
		if isCandidate(c.Name) {
			position++
		} else {
			predecessorMissing = true
		}
	}
	return position, predecessorMissing
}

// Pacer spaces out the shards that one controller takes over, so that it has the
// first of them in hand before the next, and others may come before it. Its zero
// value allows everything at once.
type Pacer struct {
	MinInterval  time.Duration
	lastTakeover time.Time
}

// IsReady says whether another shard may be taken over now.
func (p *Pacer) IsReady(now time.Time) bool {
	return p.MinInterval == 0 || p.lastTakeover.IsZero() || now.Sub(p.lastTakeover) >= p.MinInterval
}

// Record notes that one was.
func (p *Pacer) Record(now time.Time) { p.lastTakeover = now }
