package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
)

// hearing is whom the owner hears.
type hearing struct {
	period        time.Duration        // between two reports of a machine
	leaseLasts    time.Duration        // after the last answer that could count
	began         time.Time            // when the owner could first have heard anybody
	rested        time.Time            // silences are counted from here at the earliest
	isUnreachable bool                 // its machines are out of reach all together
	siblingsAt    time.Time            // when all live controllers had been heard from
	gone          map[string]time.Time // machines returned lately
	censuses      pace                 // looks at which machines are to be returned
	returnedAt    time.Time            // when idle machines were last returned
}

// periods is a number of report periods.
func (hear *hearing) periods(n float64) time.Duration {
	return time.Duration(n * float64(hear.period))
}

// silence is for how long no report of a machine has come while it could have:
// what nobody could hear, or had not yet read, says nothing.
func (hear *hearing) silence(now time.Time, m *machine) time.Duration {
	if hear.rested.After(m.lastHeartbeat) {
		return now.Sub(hear.rested)
	}
	return now.Sub(m.lastHeartbeat)
}

// overdueReport says that a machine's report is later than any should be.
func (hear *hearing) overdueReport(now time.Time, m *machine) bool {
	return hear.silence(now, m) > hear.periods(constants.ProbePeriods)
}

// silent says that no report of a machine's own has come for so long that its
// lease may end, whether or not it answers when it is called.
func (hear *hearing) silent(now time.Time, m *machine) bool {
	return hear.silence(now, m) > hear.periods(constants.SilentPeriods)
}

// reportedSinceUnconfirmed says that an unconfirmed machine has reported since, here or to another
// controller: the report that raised the question may have been a late copy.
func (m *machine) reportedSinceUnconfirmed() bool {
	return m.lastHeartbeat.After(m.unconfirmedSince) || m.misroutedAt.After(m.unconfirmedSince)
}

// rest begins all silences anew: the owner stood still, or its machines were out
// of reach all together and come back one after the other.
func (v *fleetView) rest(now time.Time) {
	v.rested = now
	for _, m := range v.fleet {
		m.unansweredCommands, m.unansweredUnconfirmed = 0, 0
	}
}

// lapse forgets what was on machines whose lease has surely ended.
func (c *Core) lapse(now time.Time) {
	for _, m := range c.fleet {
		if m.leaseExpiresAt.IsZero() || now.Before(m.leaseExpiresAt) {
			continue
		}
		if len(m.attempts) > 0 || m.inherited {
			slog.Info("machine's lease has ended", "machine", m.name, "tasks", len(m.attempts))
		}
		c.releaseAttempts(now, m)
		if m.epoch > 0 {
			m.minEpoch = m.epoch + 1
		}
		if m.up || m.inherited {
			m.leaseExpired, m.requestedAt = true, now // it gets as long to come back as one that boots
		}
		m.inherited = false
		m.up = false
		m.leaseExpiresAt = time.Time{}
		c.needsPlacement = true
		c.checkRebuilt(now)
	}
}
