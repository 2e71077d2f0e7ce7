package shard

import (
	"time"

	"ravenport/constants"
)

// fleetHealth is what the heartbeats of all machines together prove.
type fleetHealth struct {
	expected    int  // machines that should send heartbeats to the owner
	reporting   int  // those that have, in this term and epoch
	unreachable int  // those of them that are unreachable now
	misrouted   int  // machines that have sent heartbeats to another controller lately
	small       bool // fewer than constants.SmallShardMachines are expected
	noneHeard   bool // the fleet is small, but of more than two, and no heartbeat has come lately
	receiving   bool // enough heartbeats have come lately
}

// assessHealth distinguishes machines that fail by themselves from a partition of the owner
// or the shard. Right after the begin of a partition the last heartbeats of most machines are
// recent, so for many machines it counts which of the heartbeats that were due in the last
// moment have come; for few, that would often be none.
func (v *fleetView) assessHealth(now time.Time) fleetHealth {
	var s fleetHealth
	recent, current := 0, 0
	for _, m := range v.fleet {
		if m.scalingIn || m.isDelisted() || !m.up && !m.inherited && !m.leaseExpired {
			continue
		}
		s.expected++
		if now.Sub(m.misroutedAt) < v.misroutedWindow() {
			s.misrouted++
		}
		if !m.up {
			continue
		}
		s.reporting++
		age := now.Sub(m.lastHeartbeat)
		if age < v.periods(constants.RecentHeartbeatPeriods) {
			recent++
		}
		// Until it shows a token of this term, its heartbeat may be a late copy.
		if age <= v.periods(constants.HeartbeatOverduePeriods) && m.hasSeenTerm(v.term) {
			current++
		}
		if v.isUnreachable(now, m) {
			s.unreachable++
		}
	}
	s.small = s.expected < constants.SmallShardMachines
	if s.small {
		s.receiving = current*2 > s.expected
		s.noneHeard = s.expected > constants.MaxCoincidentFailures && current == 0
	} else {
		s.receiving = recent*constants.RecentHeartbeatDivisor >= s.expected
	}
	return s
}

// isIsolatedFailure reports whether an unreachable machine has failed by itself: the owner
// receives heartbeats of others or, in a small fleet, the machine has been unreachable for so
// long that another controller would have heard from it, all controllers are heard from, and
// none has. Otherwise the owner or the whole shard is partitioned: terminating machines would
// then end everything that runs on them.
func (l *liveness) isIsolatedFailure(now time.Time, m *machine, s fleetHealth) bool {
	if now.Sub(m.misroutedAt) < l.misroutedWindow() {
		return false
	}
	if m.isDelisted() {
		return true
	}
	last := m.lastHeartbeat
	if last.Before(l.startedAt) {
		last = l.startedAt
	}
	otherControllers := l.periods(constants.MaxHeartbeatIntervalPeriods) + constants.ControllerSwitchTime + 2*constants.MaxPushInterval
	if s.receiving {
		return true
	}
	return s.small && !s.noneHeard && l.hasHeardPeers(now) && now.Sub(last) > otherControllers
}

// hasHeardPeers reports whether all live controllers were heard from lately.
func (l *liveness) hasHeardPeers(now time.Time) bool {
	return now.Sub(l.peersHeardAt) < constants.MaxPushInterval*2
}

// misroutedWindow is how long a heartbeat to another controller counts.
func (l *liveness) misroutedWindow() time.Duration {
	return l.periods(constants.MisroutedHeartbeatPeriods)
}

// IsIsolated reports whether the owner no longer receives its machines' heartbeats, and
// whether they have been sending them to other controllers: then it is the owner that they
// cannot reach. For many machines it is enough that hardly any heartbeat comes and a fair
// share is heard by others: their leases expire while the owner waits.
func (v *fleetView) IsIsolated(now time.Time) (isolated, misrouted bool) {
	s := v.assessHealth(now)
	if s.small {
		return s.unreachable*2 > s.expected, s.misrouted*2 > s.expected
	}
	if now.Sub(v.acquiredAt) < v.periods(constants.MaxHeartbeatIntervalPeriods) {
		return false, false // not all heartbeats can have come yet
	}
	misrouted = s.misrouted*constants.RecentHeartbeatDivisor > s.expected
	// If no controller ever heard from the machines, it is not known which side has failed.
	return !s.receiving && (s.reporting > 0 || misrouted), misrouted
}

// IsPartitioned reports whether the shard's machines as a whole counted as unreachable at the
// last check.
func (l *liveness) IsPartitioned() bool { return l.partitioned }

// detectPartition reports whether the shard's machines as a whole are unreachable. Then the
// owner requests no more, which would be unreachable as well, and the leader assigns nothing
// to the shard that may go to another.
func (l *liveness) detectPartition(now time.Time, s fleetHealth) bool {
	delay := l.periods(constants.MaxHeartbeatIntervalPeriods)
	// Where all controllers had ended, a worker may come back to this one only
	// after it has tried the others and its next heartbeat is due.
	return (!s.small && !s.receiving || s.noneHeard) &&
		now.Sub(l.startedAt) > delay+constants.ControllerSwitchTime && now.Sub(l.livenessResetAt) > delay
}

// MisroutedHeartbeat is a heartbeat that a machine sent to another controller than its
// shard's owner.
type MisroutedHeartbeat struct {
	Machine string `json:"m"`
	Epoch   uint64 `json:"s"`
	Seq     uint64 `json:"q"`
}

// ApplyMisroutedHeartbeats records which machines sent heartbeats to another controller;
// allPeersHeard says that every live controller was heard from. A heartbeat that is no newer
// than the machine's last one to this owner may be a late copy and proves nothing.
func (v *fleetView) ApplyMisroutedHeartbeats(now time.Time, list []MisroutedHeartbeat, allPeersHeard bool) {
	for _, heartbeat := range list {
		m := v.machines[heartbeat.Machine]
		if m == nil {
			continue
		}
		if heartbeat.Epoch > m.lastHeartbeatEpoch || heartbeat.Epoch == m.lastHeartbeatEpoch && heartbeat.Seq > m.lastHeartbeatSeq {
			m.misroutedAt = now
			m.unansweredProbes = 0 // it runs: what it left unanswered before does not count
		}
	}
	if allPeersHeard {
		v.peersHeardAt = now
	}
}
