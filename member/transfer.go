package member

import (
	"time"

	"ravenport/constants"
	"ravenport/records"
)

// TransferAway gives a term that this controller holds to the most preferred other
// candidate, because this controller is cut off from the machines or controllers that the
// term is about. There is none where no other candidate lives, and for a leadership that
// was transferred for the same reason a moment ago: where no controller reaches another,
// it would go round for ever.
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

// failback gives a shard that this controller holds to the controller of the shard's own
// zone, once that has been up for a while. The leader's term stays: its place matters
// little, and moving it costs. A shard stays, too, where its own zone's controller is not
// the most preferred one that is up: only its own zone is worth a second disturbance.
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

// inFailbackCooldown reports whether a term was taken from an unreachable holder a short
// while ago.
func (c *Core) inFailbackCooldown(now time.Time, key string) bool {
	term := c.terms[key]
	return term.PreviousUnreachable && now.Sub(term.firstSeen) < constants.FailbackCooldown
}
