package member

import (
	"time"

	"ravenport/failover"
	"ravenport/records"
)

// termKeys lists the keys of all terms that should have a holder.
func (c *Core) termKeys() []string {
	keys := []string{records.KeyLeader}
	for _, shard := range c.shards {
		keys = append(keys, records.KeyShard(shard))
	}
	return keys
}

func isShardKey(key string) bool { return key != records.KeyLeader }

// rankedControllers lists the controllers by their preference as holders of the term
// under key.
func (c *Core) rankedControllers(now time.Time, key string) []Controller {
	candidates := failover.Candidates{Controllers: c.controllers, Zones: c.shards}
	if c.detectionEnabled {
		candidates.OwnedShards = c.ownedShardCount
		candidates.Deprioritized = func(name string) bool { return c.recentlyRevoked(now, name) }
	}
	if !isShardKey(key) {
		return candidates.Ranked(failover.Role{Leader: true})
	}
	for _, zone := range c.shards {
		if records.KeyShard(zone) == key {
			return candidates.Ranked(failover.Role{Zone: zone})
		}
	}
	return nil
}

// isCandidate reports whether a controller may acquire terms.
func (c *Core) isCandidate(name string) bool { return c.IsAlive(name) && !c.IsRevoked(name) }

// ownedShardCount counts the shards that a controller owns.
func (c *Core) ownedShardCount(name string) int {
	owned := 0
	for _, zone := range c.shards {
		if holder, alive := c.Holder(records.KeyShard(zone)); alive && holder == name {
			owned++
		}
	}
	return owned
}

// ownZone returns the zone of this controller.
func (c *Core) ownZone() string {
	for _, controller := range c.controllers {
		if controller.Name == c.self {
			return controller.Zone
		}
	}
	return ""
}
