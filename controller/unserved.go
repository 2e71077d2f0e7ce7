package controller

import (
	"time"

	"ravenport/constants"
	"ravenport/records"
)

// unservedBy says of which controllers too many workers come back here after they were
// redirected to them as their owner. It is held against nobody while this controller
// cannot know who the owners are, nor for a while after.
func (c *controlActor) unservedBy(now time.Time) map[string]bool {
	if !c.hasAuthority(now) {
		c.detection.redirects.reset()
		return nil
	}
	unserved := map[string]bool{}
	for controller, machines := range c.detection.redirects.countReturned(now) {
		unserved[controller] = machines >= c.unservedThreshold(controller)
	}
	return unserved
}

// unservedThreshold is how many of a controller's machines must come back here to count
// against it: one in RecentHeartbeatDivisor, rounded up, and never fewer than MinUnservedMachines.
func (c *controlActor) unservedThreshold(controller string) int {
	share := (c.machinesOf(controller) + constants.RecentHeartbeatDivisor - 1) / constants.RecentHeartbeatDivisor
	return max(constants.MinUnservedMachines, share)
}

// machinesOf counts the machines of the shards that a controller owns.
func (c *controlActor) machinesOf(controller string) int {
	owned := map[string]bool{}
	for _, zone := range c.settings.Deployment.Zones {
		holder, alive := c.member.Holder(records.KeyShard(zone))
		owned[zone] = alive && holder == controller
	}
	machines := 0
	for _, zone := range c.feed.shardByMachine {
		if owned[zone] {
			machines++
		}
	}
	return machines
}
