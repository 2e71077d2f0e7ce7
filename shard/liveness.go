package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
)

// liveness owns what the owner knows of heartbeats beyond single machines: since when they
// are counted, whether the shard is partitioned, and which machines were terminated.
// resetLiveness, scaleIn, ScaleInResult and ApplyMachineList change it, and
// ApplyMisroutedHeartbeats.
type liveness struct {
	heartbeatPeriod time.Duration        // between two heartbeats of a machine
	leaseTimeout    time.Duration        // after the last reply that could count
	startedAt       time.Time            // when the owner could first have received a heartbeat
	livenessResetAt time.Time            // missing heartbeats are counted from here at the earliest
	partitioned     bool                 // the shard's machines as a whole are unreachable
	peersHeardAt    time.Time            // when all live controllers had last been heard from
	terminated      map[string]time.Time // by machine: when it was terminated, for constants.TerminatedMachineRetention
	scaleInScans    pace                 // checks for machines to terminate
	lastScaleInAt   time.Time            // when machines were last terminated
}

func newLiveness(cfg Config, now time.Time) liveness {
	return liveness{
		heartbeatPeriod: cfg.HeartbeatPeriod,
		leaseTimeout:    cfg.LeaseTimeout,
		startedAt:       now,
		terminated:      map[string]time.Time{},
	}
}

// periods is the duration of n heartbeat periods.
func (l *liveness) periods(n float64) time.Duration {
	return time.Duration(n * float64(l.heartbeatPeriod))
}

// sinceHeartbeat is for how long no heartbeat of a machine has come while one could have:
// time in which the owner could not receive, or had not yet read any, does not count.
func (l *liveness) sinceHeartbeat(now time.Time, m *machine) time.Duration {
	if l.livenessResetAt.After(m.lastHeartbeat) {
		return now.Sub(l.livenessResetAt)
	}
	return now.Sub(m.lastHeartbeat)
}

// isHeartbeatOverdue reports whether a machine's heartbeat is later than any should be.
func (l *liveness) isHeartbeatOverdue(now time.Time, m *machine) bool {
	return l.sinceHeartbeat(now, m) > l.periods(constants.HeartbeatOverduePeriods)
}

// isSilent reports whether nothing comes from a machine from which something should: it has
// sent nothing in this term or since its lease expired, or its heartbeat is overdue.
func (l *liveness) isSilent(now time.Time, m *machine) bool {
	return !m.up || l.isHeartbeatOverdue(now, m)
}

// isUnreachable reports whether no heartbeat of a machine has come for so long that its
// lease may expire, whether or not it answers direct commands.
func (l *liveness) isUnreachable(now time.Time, m *machine) bool {
	return l.sinceHeartbeat(now, m) > l.periods(constants.UnreachablePeriods)
}

// reportedSinceUnconfirmed reports whether an unconfirmed machine has sent a heartbeat since,
// to this owner or to another controller: the heartbeat that made it unconfirmed may have
// been a late copy.
func (m *machine) reportedSinceUnconfirmed() bool {
	return m.lastHeartbeat.After(m.unconfirmedSince) || m.misroutedAt.After(m.unconfirmedSince)
}

// resetLiveness counts missing heartbeats and unanswered commands anew: the owner's process
// was paused, or a partition has ended and the machines come back one after the other.
func (v *fleetView) resetLiveness(now time.Time) {
	v.livenessResetAt = now
	for _, m := range v.fleet {
		m.unansweredProbes, m.unansweredUnconfirmed = 0, 0
	}
}

// expireLeases releases the attempts on machines whose lease has surely expired.
func (c *Core) expireLeases(now time.Time) {
	for _, m := range c.fleet {
		if m.leaseExpiresAt.IsZero() || now.Before(m.leaseExpiresAt) {
			continue
		}
		if len(m.attempts) > 0 || m.inherited {
			slog.Info("machine's lease expired", logkey.Machine, m.name, "tasks", len(m.attempts))
		}
		c.releaseAttempts(now, m)
		if m.epoch > 0 {
			m.minEpoch = m.epoch + 1
		}
		if m.up || m.inherited {
			m.leaseExpired = true
			m.requestedAt = now // it gets as long to come back as one that boots
		}
		m.inherited = false
		m.up = false
		m.leaseExpiresAt = time.Time{}
		c.needsPlacement = true
		c.finishRebuild(now)
	}
}
