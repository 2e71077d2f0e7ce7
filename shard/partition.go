package shard

import (
	"time"

	"ravenport/constants"
)

// census is what the owner hears of its machines taken together.
type census struct {
	known int // machines that should report here
	up    int // those that have, in this term and session
	quiet int // those that have been silent
	seen  int // those that another controller has heard since
	few   bool
	none  bool // there are few, but more than two, and none is heard
	hears bool // enough reports have come lately
}

// census tells machines that fail by themselves from an owner that hears
// nobody. Right after a cut most machines were heard not long ago, so of many
// it is asked how many of the reports that were due in the last moment have
// come; of few, that would often be none.
func (v *fleetView) census(now time.Time) census {
	var s census
	recent, fresh := 0, 0
	for _, m := range v.fleet {
		if m.scalingIn || m.isDelisted() || !m.up && !m.inherited && !m.leaseExpired {
			continue
		}
		s.known++
		if now.Sub(m.misroutedAt) < v.misroutedMemory() {
			s.seen++
		}
		if !m.up {
			continue
		}
		s.up++
		silence := now.Sub(m.lastHeartbeat)
		if silence < v.periods(constants.HearingPeriods) {
			recent++
		}
		// Until it shows a token of this term, what came of it may be a late copy.
		if silence <= v.periods(constants.ProbePeriods) && m.hasSeenTerm(v.term) {
			fresh++
		}
		if v.silent(now, m) {
			s.quiet++
		}
	}
	s.few = s.known < constants.FewMachines
	if s.few {
		s.hears = fresh*2 > s.known
		s.none = s.known > constants.FewTogether && fresh == 0
	} else {
		s.hears = recent*constants.HearingShare >= s.known
	}
	return s
}

// alone says whether a silent machine is silent by itself: the owner hears
// others, or, where there are few, it has been silent for long enough to be
// heard by another controller, and all of those are heard and none was. Else it
// is the owner or the whole shard that is cut off: returning machines then would
// end everything that runs on them.
func (hear *hearing) alone(now time.Time, m *machine, s census) bool {
	if now.Sub(m.misroutedAt) < hear.misroutedMemory() {
		return false
	}
	if m.isDelisted() {
		return true
	}
	last := m.lastHeartbeat
	if last.Before(hear.began) {
		last = hear.began
	}
	elsewhere := hear.periods(constants.LateReport) + constants.NextController + 2*constants.PushEvery
	return s.hears || s.few && !s.none && hear.siblingsHeard(now) && now.Sub(last) > elsewhere
}

// siblingsHeard says whether all live controllers were heard from lately.
func (hear *hearing) siblingsHeard(now time.Time) bool {
	return now.Sub(hear.siblingsAt) < constants.PushEvery*2
}

// misroutedMemory is how long a report to another controller counts.
func (hear *hearing) misroutedMemory() time.Duration { return hear.periods(constants.MisroutedPeriods) }

// CutOff says whether the owner no longer hears its machines, and whether they
// have been reporting to other controllers: then it is the owner that they
// cannot reach. Of many machines it is enough that hardly any report comes and
// a fair share is heard elsewhere: their leases run out while one waits.
func (v *fleetView) CutOff(now time.Time) (silent, misroutedReports bool) {
	s := v.census(now)
	if s.few {
		return s.quiet*2 > s.known, s.seen*2 > s.known
	}
	if now.Sub(v.claimed) < v.periods(constants.LateReport) {
		return false, false // not all can have come yet
	}
	misroutedReports = s.seen*constants.HearingShare > s.known
	// Of machines that nobody ever heard it is not known whose fault it is.
	return !s.hears && (s.up > 0 || misroutedReports), misroutedReports
}

// Unreachable says whether the shard's machines as a whole count as out of reach.
func (hear *hearing) Unreachable() bool { return hear.isUnreachable }

// unreachable says that the shard's machines as a whole are out of reach. Then none are
// rented, which would be so as well, and the leader sends nothing here that may
// go elsewhere.
func (hear *hearing) unreachable(now time.Time, s census) bool {
	// Where all controllers had ended, a worker may come back to this one only
	// after it has tried the others and its next report is due.
	return (!s.few && !s.hears || s.none) && now.Sub(hear.began) > hear.periods(constants.LateReport)+constants.NextController &&
		now.Sub(hear.rested) > hear.periods(constants.LateReport)
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
		v.siblingsAt = now
	}
}
