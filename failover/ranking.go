// Package failover ranks the controllers for a term that has no live holder, and limits
// how often one controller takes over a shard. The package does no I/O, and all
// controllers compute the same ranking from the same records: the first controller
// acquires the term at once, and each later controller only after the controllers before
// it had time to do so. If the records of the controllers differ, the compare-and-swap
// transaction of the acquisition decides.
package failover

import (
	"cmp"
	"slices"
)

// Controller is one of the configured controllers.
type Controller struct {
	Name string
	Zone string
}

// Role is what a term grants: leadership, or ownership of a zone's shard.
type Role struct {
	Leader bool
	Zone   string // of the shard; empty for the leader
}

// Candidates is the input of a ranking.
type Candidates struct {
	Controllers []Controller // sorted by name
	Zones       []string     // one shard each
	// OwnedShards counts the shards that a controller owns. If it is nil, the ranking
	// ignores owned shards.
	OwnedShards func(controller string) int
	// Deprioritized reports whether a controller should hold a term only if there is no
	// other candidate. If it is nil, no controller is deprioritized.
	Deprioritized func(controller string) bool
}

// Ranked lists the controllers by their preference as holders of a role's term. For a
// shard, the controllers of its own zone come first, and among those the preferred owner.
// Then come the controllers that own fewer shards, and among equals those that are not the
// preferred owner of any shard. For the leader, controllers that are not the preferred
// owner of any shard come first, so that one failure affects one role only. Ties are
// resolved by name, in an order that differs between shards. Deprioritized controllers
// come last.
func (c Candidates) Ranked(role Role) []Controller {
	var ranked []Controller
	if role.Leader {
		ranked = c.rankedForLeader()
	} else {
		ranked = c.rankedForShard(role.Zone)
	}
	if c.Deprioritized != nil {
		slices.SortStableFunc(ranked, func(a, b Controller) int {
			return falseFirst(c.Deprioritized(a.Name), c.Deprioritized(b.Name))
		})
	}
	return ranked
}

func (c Candidates) rankedForLeader() []Controller {
	preferred := c.preferredOwners()
	ranked := slices.Clone(c.Controllers)
	slices.SortStableFunc(ranked, func(a, b Controller) int {
		return falseFirst(preferred[a.Name], preferred[b.Name])
	})
	return ranked
}

func (c Candidates) rankedForShard(zone string) []Controller {
	preferred := c.preferredOwners()
	// Rotated by shard, so that two shards without an owner go to different controllers.
	rotation := max(0, slices.Index(c.Zones, zone)) % len(c.Controllers)
	ranked := slices.Concat(c.Controllers[rotation:], c.Controllers[:rotation])
	slices.SortStableFunc(ranked, func(a, b Controller) int {
		if order := falseFirst(a.Zone != zone, b.Zone != zone); order != 0 {
			return order
		}
		if a.Zone == zone {
			return falseFirst(!preferred[a.Name], !preferred[b.Name])
		}
		if order := cmp.Compare(c.ownedShards(a.Name), c.ownedShards(b.Name)); order != 0 {
			return order
		}
		return falseFirst(preferred[a.Name], preferred[b.Name])
	})
	return ranked
}

// preferredOwners returns the set of controllers that are ranked first for their own
// zone's shard.
func (c Candidates) preferredOwners() map[string]bool {
	preferred := map[string]bool{}
	for _, zone := range c.Zones {
		inZone := func(controller Controller) bool { return controller.Zone == zone }
		if first := slices.IndexFunc(c.Controllers, inZone); first >= 0 {
			preferred[c.Controllers[first].Name] = true
		}
	}
	return preferred
}

func (c Candidates) ownedShards(controller string) int {
	if c.OwnedShards == nil {
		return 0
	}
	return c.OwnedShards(controller)
}

// falseFirst compares two booleans for a sort that puts false before true.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Position returns the number of candidates that are ranked before a controller, and
// whether a controller that is ranked before it is currently not a candidate.
func Position(ranked []Controller, self string, isCandidate func(string) bool) (position int, predecessorMissing bool) {
	for _, controller := range ranked {
		if controller.Name == self {
			break
		}
		if isCandidate(controller.Name) {
			position++
		} else {
			predecessorMissing = true
		}
	}
	return position, predecessorMissing
}
