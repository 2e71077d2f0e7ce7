// Package failover ranks the controllers for a term whose holder is gone, and spaces out
// the shards that one controller takes over. It is pure, and all controllers compute the
// same ranking from the same records: the first of them acquires the term at once, each
// later one only after the one before had its time. Where their records differ, the
// compare-and-swap of the acquisition decides.
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

// Role is what a term is about: leading, or owning a zone's shard.
type Role struct {
	Leader bool
	Zone   string // of the shard; empty for the leader
}

// Candidates is what a ranking depends on.
type Candidates struct {
	Controllers []Controller // sorted by name
	Zones       []string     // one shard each
	// OwnedShards counts the shards that a controller owns. Nil: not considered.
	OwnedShards func(controller string) int
	// Deprioritized reports whether a controller should hold a term only if there is no
	// other candidate. Nil: none is.
	Deprioritized func(controller string) bool
}

// Ranked lists the controllers by their preference as holders of a role's term: a shard's
// own zone first; for the leader, if possible, a controller that is no shard's first
// choice, so that one failure costs one role; then whoever owns fewer shards; the rest is
// spread by name. Deprioritized controllers come last.
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
	// Rotated, so that two orphaned shards go to different controllers.
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

// preferredOwners is the set of the controllers that come first for their own zone's
// shard.
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

// Position returns a controller's place among the candidates of a ranking, and whether
// one that is ranked before it is no candidate at present.
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
