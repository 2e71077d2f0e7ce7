package controller

import (
	"time"

	"ravenport/constants"
	"ravenport/records"
)

// controllersWithUnservedWorkers returns, for each controller to which workers were
// redirected and from which some returned, whether enough workers returned to be evidence
// against that controller. While this controller has no authority it may not know the
// owners: it then returns nil and discards the redirects that it has recorded, so that
// there is no evidence for some time afterwards either.
func (c *controlActor) controllersWithUnservedWorkers(now time.Time) map[string]bool {
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

// unservedThreshold returns how many of a controller's machines must return to this
// controller to be evidence against the owner: one in RecentHeartbeatDivisor, rounded up,
// and at least MinUnservedMachines.
func (c *controlActor) unservedThreshold(controller string) int {
	share := (c.countOwnedMachines(controller) + constants.RecentHeartbeatDivisor - 1) / constants.RecentHeartbeatDivisor
	return max(constants.MinUnservedMachines, share)
}

// countOwnedMachines returns the number of machines in the shards that a controller owns.
func (c *controlActor) countOwnedMachines(controller string) int {
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
