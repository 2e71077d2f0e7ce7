package member

import (
	"time"

	"ravenport/constants"
	"ravenport/records"
)

// TransferAway returns the acquisition that gives a term of this controller to the most
// preferred other candidate, for use when this controller is partitioned from the
// machines or controllers that the term concerns. There is no acquisition if no other
// candidate is alive. There is none either for a leadership that was transferred for the
// same reason within the failback cooldown: if no controller can reach another, the
// leadership would otherwise be transferred endlessly.
func (c *Core) TransferAway(now time.Time, key string) (TermAcquisition, bool) {
	if !isShardKey(key) && c.inFailbackCooldown(now, key) {
		return TermAcquisition{}, false
	}
	for _, controller := range c.rankedControllers(now, key) {
		if controller.Name != c.self && c.isCandidate(controller.Name) {
			return c.acquisition(key, controller.Name, true), true
		}
	}
	return TermAcquisition{}, false
}

// failback returns the acquisition that gives a shard of this controller to the
// controller of the shard's own zone, once that controller has been up for long enough.
// Leadership is not failed back: its location matters little, and a transfer has a cost.
// A shard is also kept if the most preferred controller that is up is not in the shard's
// own zone, because only a return to the own zone justifies a second interruption.
func (c *Core) failback(now time.Time, key string) (TermAcquisition, bool) {
	if !isShardKey(key) || c.inFailbackCooldown(now, key) || records.KeyShard(c.ownZone()) == key {
		return TermAcquisition{}, false
	}
	for _, controller := range c.rankedControllers(now, key) {
		if controller.Name == c.self {
			break
		}
		if !c.isReadyForFailback(now, controller.Name) {
			continue
		}
		if records.KeyShard(controller.Zone) != key {
			break
		}
		return c.AcquisitionFor(key, controller.Name), true
	}
	return TermAcquisition{}, false
}

// isReadyForFailback reports whether a controller has been up for long enough to get a
// shard back.
func (c *Core) isReadyForFailback(now time.Time, name string) bool {
	if !c.isCandidate(name) {
		return false
	}
	return now.Sub(c.registrations[name].firstSeen) >= constants.FailbackMinUptime
}

// inFailbackCooldown reports whether a term was taken from an unreachable holder within
// the failback cooldown.
func (c *Core) inFailbackCooldown(now time.Time, key string) bool {
	term := c.terms[key]
	return term.PreviousUnreachable && now.Sub(term.firstSeen) < constants.FailbackCooldown
}
