package shard

import (
	"time"

	"ravenport/constants"
)

// fleetHealth is the state of the shard that follows from the heartbeats of all machines.
type fleetHealth struct {
	expected           int  // machines that should send heartbeats to the owner
	reporting          int  // expected machines that have sent a heartbeat or a reply in this term and epoch
	unreachable        int  // reporting machines that are unreachable now
	misrouted          int  // expected machines that have recently sent heartbeats to another controller
	small              bool // fewer than constants.SmallShardMachines machines are expected
	noRecentHeartbeats bool // a small shard of more than two machines from which no recent heartbeat was received
	receiving          bool // the owner has received enough recent heartbeats
}

// assessHealth gathers the figures that distinguish failures of single machines from a
// partition of the owner or the shard. Right after a partition has begun, the last heartbeats
// of most machines are still recent. In a large shard the check therefore counts which of the
// heartbeats that were due in a short window have arrived. In a small shard often no
// heartbeat is due in that window.
func (v *fleetView) assessHealth(now time.Time) fleetHealth {
	var health fleetHealth
	recent, current := 0, 0
	for _, m := range v.fleet {
		if m.scalingIn || m.isDelisted() || !m.up && !m.inherited && !m.leaseExpired {
			continue
		}
		health.expected++
		if now.Sub(m.misroutedAt) < v.misroutedWindow() {
			health.misrouted++
		}
		if !m.up {
			continue
		}
		health.reporting++
		age := now.Sub(m.lastHeartbeat)
		if age < v.periods(constants.RecentHeartbeatPeriods) {
			recent++
		}
		// Until the machine reports a token of this term, its heartbeat may be a late copy.
		if age <= v.periods(constants.HeartbeatOverduePeriods) && m.hasSeenTerm(v.term) {
			current++
		}
		if v.isUnreachable(now, m) {
			health.unreachable++
		}
	}
	health.small = health.expected < constants.SmallShardMachines
	if health.small {
		health.receiving = current*2 > health.expected
		health.noRecentHeartbeats = health.expected > constants.MaxCoincidentFailures && current == 0
	} else {
		health.receiving = recent*constants.RecentHeartbeatDivisor >= health.expected
	}
	return health
}

// isIsolatedFailure reports whether an unreachable machine has failed individually. That is
// the case if the cloud no longer lists the machine, or if the owner receives heartbeats of
// other machines. In a small shard (but not with health.noRecentHeartbeats) it is also the
// case if the machine has been unreachable for so long that another controller would have
// received its heartbeat, all controllers have reported recently, and none has received one.
// If another controller has recently received a heartbeat of the machine, the machine has
// not failed. Otherwise the owner or the whole shard is partitioned, and terminating
// machines would end all tasks that run on them.
func (l *liveness) isIsolatedFailure(now time.Time, m *machine, health fleetHealth) bool {
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
	peerReportDelay := l.periods(constants.MaxHeartbeatIntervalPeriods) + constants.ControllerSwitchTime + 2*constants.MaxPushInterval
	if health.receiving {
		return true
	}
	return health.small && !health.noRecentHeartbeats && l.hasRecentPeerReports(now) && now.Sub(last) > peerReportDelay
}

// hasRecentPeerReports reports whether all live controllers have reported recently.
func (l *liveness) hasRecentPeerReports(now time.Time) bool {
	return now.Sub(l.peersReportedAt) < constants.MaxPushInterval*2
}

// misroutedWindow returns for how long a heartbeat to another controller counts.
func (l *liveness) misroutedWindow() time.Duration {
	return l.periods(constants.MisroutedHeartbeatPeriods)
}

// IsIsolated reports whether the owner no longer receives the heartbeats of its machines, and
// whether the machines have sent them to other controllers. If both are true, the machines
// cannot reach the owner. In a large shard it is enough that hardly any heartbeat arrives and
// that other controllers receive heartbeats of a considerable part of the machines, because
// the leases of the machines expire while the owner waits.
func (v *fleetView) IsIsolated(now time.Time) (isolated, misrouted bool) {
	health := v.assessHealth(now)
	if health.small {
		return health.unreachable*2 > health.expected, health.misrouted*2 > health.expected
	}
	if now.Sub(v.acquiredAt) < v.periods(constants.MaxHeartbeatIntervalPeriods) {
		return false, false // some machines may not have had to send a heartbeat in this term yet
	}
	misrouted = health.misrouted*constants.RecentHeartbeatDivisor > health.expected
	// If no controller ever received a heartbeat of the machines, the side that has failed is
	// unknown.
	return !health.receiving && (health.reporting > 0 || misrouted), misrouted
}

// IsPartitioned reports whether the last check found that the shard's machines as a whole are
// unreachable.
func (l *liveness) IsPartitioned() bool { return l.partitioned }

// detectPartition reports whether the shard's machines as a whole are unreachable. In that
// case the owner requests no more machines, because they would be unreachable too, and the
// leader assigns no task to the shard that may run in another shard.
func (l *liveness) detectPartition(now time.Time, health fleetHealth) bool {
	delay := l.periods(constants.MaxHeartbeatIntervalPeriods)
	// After all controllers were down, a worker may send its heartbeat to this controller
	// only after it has tried the others and its next heartbeat is due.
	return (!health.small && !health.receiving || health.noRecentHeartbeats) &&
		now.Sub(l.startedAt) > delay+constants.ControllerSwitchTime && now.Sub(l.livenessResetAt) > delay
}

// MisroutedHeartbeat is a heartbeat that a machine sent to a controller other than the owner
// of the machine's shard.
type MisroutedHeartbeat struct {
	Machine string `json:"m"`
	Epoch   uint64 `json:"s"`
	Seq     uint64 `json:"q"`
}

// ApplyMisroutedHeartbeats records which machines sent heartbeats to another controller.
// allPeersReported says that every live controller has reported. A heartbeat that is no newer
// than the machine's last one to this owner may be a late copy and proves nothing.
func (v *fleetView) ApplyMisroutedHeartbeats(now time.Time, list []MisroutedHeartbeat, allPeersReported bool) {
	for _, heartbeat := range list {
		m := v.machines[heartbeat.Machine]
		if m == nil {
			continue
		}
		if heartbeat.Epoch > m.lastHeartbeatEpoch || heartbeat.Epoch == m.lastHeartbeatEpoch && heartbeat.Seq > m.lastHeartbeatSeq {
			m.misroutedAt = now
			m.unansweredProbes = 0 // the machine runs: probes that were unanswered before do not count
		}
	}
	if allPeersReported {
		v.peersReportedAt = now
	}
}
