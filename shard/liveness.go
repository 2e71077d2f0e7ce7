package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
)

// liveness holds what the owner knows about heartbeats apart from single machines: since when
// missing heartbeats are counted, whether the shard is partitioned, and which machines were
// terminated. It is changed by resetLiveness, scaleIn, ScaleInResult, ApplyMachineList and
// ApplyMisroutedHeartbeats.
type liveness struct {
	heartbeatPeriod time.Duration        // time between two heartbeats of a machine
	leaseTimeout    time.Duration        // Config.LeaseTimeout
	startedAt       time.Time            // earliest time at which the owner could receive a heartbeat
	livenessResetAt time.Time            // missing heartbeats are not counted before this time
	partitioned     bool                 // the shard's machines as a whole are unreachable
	peersReportedAt time.Time            // last time at which every live controller had reported
	terminated      map[string]time.Time // time of the confirmed termination by machine; see forgetTerminated
	scaleInScans    pace                 // limits how often machines are checked for termination
	lastScaleInAt   time.Time            // time at which machines were last terminated
}

func newLiveness(cfg Config, now time.Time) liveness {
	return liveness{
		heartbeatPeriod: cfg.HeartbeatPeriod,
		leaseTimeout:    cfg.LeaseTimeout,
		startedAt:       now,
		terminated:      map[string]time.Time{},
	}
}

// isTerminated reports whether the cloud has confirmed the termination of a machine. A
// terminated machine does not return: all that arrives of it or about it later was delayed.
func (l *liveness) isTerminated(name string) bool {
	_, terminated := l.terminated[name]
	return terminated
}

// periods returns the duration of n heartbeat periods.
func (l *liveness) periods(n float64) time.Duration {
	return time.Duration(n * float64(l.heartbeatPeriod))
}

// sinceHeartbeat returns for how long no heartbeat of a machine was received. Time during
// which the owner could not receive heartbeats, or had not yet read those received, does not
// count.
func (l *liveness) sinceHeartbeat(now time.Time, m *machine) time.Duration {
	if l.livenessResetAt.After(m.lastHeartbeat) {
		return now.Sub(l.livenessResetAt)
	}
	return now.Sub(m.lastHeartbeat)
}

// isHeartbeatOverdue reports whether the next heartbeat of a machine is later than any
// heartbeat should be.
func (l *liveness) isHeartbeatOverdue(now time.Time, m *machine) bool {
	return l.sinceHeartbeat(now, m) > l.periods(constants.HeartbeatOverduePeriods)
}

// isHeartbeatMissing reports whether the owner lacks a heartbeat of a machine: the machine
// has sent nothing in this term or since its lease expired, or its heartbeat is overdue.
func (l *liveness) isHeartbeatMissing(now time.Time, m *machine) bool {
	return !m.up || l.isHeartbeatOverdue(now, m)
}

// isUnreachable reports whether no heartbeat of a machine was received for so long that its
// lease may expire, whether or not the machine answers direct commands.
func (l *liveness) isUnreachable(now time.Time, m *machine) bool {
	return l.sinceHeartbeat(now, m) > l.periods(constants.UnreachablePeriods)
}

// reportedSinceUnconfirmed reports whether an unconfirmed machine has sent a heartbeat to
// this owner or to another controller since it became unconfirmed. Until then, the heartbeat
// that made the machine unconfirmed may have been a late copy.
func (m *machine) reportedSinceUnconfirmed() bool {
	return m.lastHeartbeat.After(m.unconfirmedSince) || m.misroutedAt.After(m.unconfirmedSince)
}

// resetLiveness restarts the count of missing heartbeats and unanswered commands. It is
// called when the owner's process was paused, or when a partition has ended and the machines
// reconnect one after the other.
func (v *fleetView) resetLiveness(now time.Time) {
	v.livenessResetAt = now
	for _, m := range v.fleet {
		m.unansweredProbes, m.unansweredUnconfirmed = 0, 0
	}
}

// expireLeases releases the attempts on machines whose lease has expired for certain.
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
			m.requestedAt = now // the machine gets as much time to return as a booting one
		}
		m.inherited = false
		m.up = false
		m.leaseExpiresAt = time.Time{}
		c.needsPlacement = true
		c.finishRebuild(now)
	}
}
