package shard

import (
	"time"

	"ravenport/constants"
)

// fleetHealth is what the owner hears of its machines taken together.
type fleetHealth struct {
	expected    int // machines that should report here
	reporting   int // those that have, in this term and session
	unreachable int // those that have been silent
	misrouted   int // those that another controller has heard since
	small       bool
	noneHeard   bool // there are few, but more than two, and none is heard
	receiving   bool // enough reports have come lately
}

// assessHealth tells machines that fail by themselves from an owner that hears
// nobody. Right after a cut most machines were heard not long ago, so of many
// it is asked how many of the reports that were due in the last moment have
// come; of few, that would often be none.
func (v *fleetView) assessHealth(now time.Time) fleetHealth {
	var s fleetHealth
	recent, fresh := 0, 0
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
		silence := now.Sub(m.lastHeartbeat)
		if silence < v.periods(constants.RecentHeartbeatPeriods) {
			recent++
		}
		// Until it shows a token of this term, what came of it may be a late copy.
		if silence <= v.periods(constants.HeartbeatOverduePeriods) && m.hasSeenTerm(v.term) {
			fresh++
		}
		if v.isUnreachable(now, m) {
			s.unreachable++
		}
	}
	s.small = s.expected < constants.SmallFleet
	if s.small {
		s.receiving = fresh*2 > s.expected
		s.noneHeard = s.expected > constants.MaxCoincidentFailures && fresh == 0
	} else {
		s.receiving = recent*constants.RecentHeartbeatShare >= s.expected
	}
	return s
}

// isIsolatedFailure says whether a silent machine is silent by itself: the owner hears
// others, or, where there are few, it has been silent for long enough to be
// heard by another controller, and all of those are heard and none was. Else it
// is the owner or the whole shard that is cut off: returning machines then would
// end everything that runs on them.
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
	elsewhere := l.periods(constants.MaxHeartbeatDelayPeriods) + constants.ControllerSwitchTime + 2*constants.MaxPushInterval
	return s.receiving || s.small && !s.noneHeard && l.hasHeardPeers(now) && now.Sub(last) > elsewhere
}

// hasHeardPeers says whether all live controllers were heard from lately.
func (l *liveness) hasHeardPeers(now time.Time) bool {
	return now.Sub(l.peersHeardAt) < constants.MaxPushInterval*2
}

// misroutedWindow is how long a report to another controller counts.
func (l *liveness) misroutedWindow() time.Duration { return l.periods(constants.MisroutedPeriods) }

// IsIsolated says whether the owner no longer hears its machines, and whether they
// have been reporting to other controllers: then it is the owner that they
// cannot reach. Of many machines it is enough that hardly any report comes and
// a fair share is heard elsewhere: their leases run out while one waits.
func (v *fleetView) IsIsolated(now time.Time) (isolated, misroutedReports bool) {
	s := v.assessHealth(now)
	if s.small {
		return s.unreachable*2 > s.expected, s.misrouted*2 > s.expected
	}
	if now.Sub(v.acquiredAt) < v.periods(constants.MaxHeartbeatDelayPeriods) {
		return false, false // not all can have come yet
	}
	misroutedReports = s.misrouted*constants.RecentHeartbeatShare > s.expected
	// Of machines that nobody ever heard it is not known whose fault it is.
	return !s.receiving && (s.reporting > 0 || misroutedReports), misroutedReports
}

// IsPartitioned says whether the shard's machines as a whole count as out of reach.
func (l *liveness) IsPartitioned() bool { return l.partitioned }

// detectPartition says that the shard's machines as a whole are out of reach. Then none are
// rented, which would be so as well, and the leader sends nothing here that may
// go elsewhere.
func (l *liveness) detectPartition(now time.Time, s fleetHealth) bool {
	// Where all controllers had ended, a worker may come back to this one only
	// after it has tried the others and its next report is due.
	return (!s.small && !s.receiving || s.noneHeard) && now.Sub(l.startedAt) > l.periods(constants.MaxHeartbeatDelayPeriods)+constants.ControllerSwitchTime &&
		now.Sub(l.livenessResetAt) > l.periods(constants.MaxHeartbeatDelayPeriods)
}

// MisroutedHeartbeat is a report that a machine made to another controller.
type MisroutedHeartbeat struct {
	Machine string `json:"m"`
	Epoch   uint64 `json:"s"`
	Seq     uint64 `json:"q"`
}

// ApplyMisroutedHeartbeats takes in which machines reported to another controller. A report that
// is no newer than the machine's last one here may be a late copy and says
// nothing.
func (v *fleetView) ApplyMisroutedHeartbeats(now time.Time, list []MisroutedHeartbeat, all bool) {
	for _, s := range list {
		if m := v.machines[s.Machine]; m != nil && (s.Epoch > m.lastHeartbeatEpoch || s.Epoch == m.lastHeartbeatEpoch && s.Seq > m.lastHeartbeatSeq) {
			m.misroutedAt = now
		}
	}
	if all {
		v.peersHeardAt = now
	}
}
