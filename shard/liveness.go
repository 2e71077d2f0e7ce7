package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
)

// liveness is whom the owner hears.
type liveness struct {
	heartbeatPeriod time.Duration        // between two reports of a machine
	leaseDuration   time.Duration        // after the last answer that could count
	startedAt       time.Time            // when the owner could first have heard anybody
	livenessResetAt time.Time            // silences are counted from here at the earliest
	partitioned     bool                 // its machines are out of reach all together
	peersHeardAt    time.Time            // when all live controllers had been heard from
	terminated      map[string]time.Time // machines returned lately
	scaleInScans    pace                 // looks at which machines are to be returned
	lastScaleInAt   time.Time            // when idle machines were last returned
}

// periods is a number of report periods.
func (l *liveness) periods(n float64) time.Duration {
	return time.Duration(n * float64(l.heartbeatPeriod))
}

// sinceHeartbeat is for how long no report of a machine has come while it could have:
// what nobody could hear, or had not yet read, says nothing.
func (l *liveness) sinceHeartbeat(now time.Time, m *machine) time.Duration {
	if l.livenessResetAt.After(m.lastHeartbeat) {
		return now.Sub(l.livenessResetAt)
	}
	return now.Sub(m.lastHeartbeat)
}

// isHeartbeatOverdue says that a machine's report is later than any should be.
func (l *liveness) isHeartbeatOverdue(now time.Time, m *machine) bool {
	return l.sinceHeartbeat(now, m) > l.periods(constants.HeartbeatOverduePeriods)
}

// isUnreachable says that no report of a machine's own has come for so long that its
// lease may end, whether or not it answers when it is called.
func (l *liveness) isUnreachable(now time.Time, m *machine) bool {
	return l.sinceHeartbeat(now, m) > l.periods(constants.UnreachablePeriods)
}

// reportedSinceUnconfirmed says that an unconfirmed machine has reported since, here or to another
// controller: the report that raised the question may have been a late copy.
func (m *machine) reportedSinceUnconfirmed() bool {
	return m.lastHeartbeat.After(m.unconfirmedSince) || m.misroutedAt.After(m.unconfirmedSince)
}

// resetLiveness begins all silences anew: the owner stood still, or its machines were out
// of reach all together and come back one after the other.
func (v *fleetView) resetLiveness(now time.Time) {
	v.livenessResetAt = now
	for _, m := range v.fleet {
		m.unansweredCommands, m.unansweredUnconfirmed = 0, 0
	}
}

// expireLeases forgets what was on machines whose lease has surely ended.
func (c *Core) expireLeases(now time.Time) {
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
		c.finishRebuild(now)
	}
}
