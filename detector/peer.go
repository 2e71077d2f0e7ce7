package detector

import (
	"slices"
	"time"
)

// State is the state of a controller, as an observer sees it.
type State string

// States of a controller.
const (
	Unmonitored State = "unmonitored" // it has sent no heartbeat: only its lease counts
	Alive       State = "alive"
	Suspect     State = "suspect"
	Failed      State = "failed"
)

// maxRetiredIncarnations is how many earlier incarnations of a controller are remembered, so
// that late heartbeats of theirs are not taken for those of a new one.
const maxRetiredIncarnations = 8

// peer is what is known of one other controller.
type peer struct {
	name  string
	state State

	leaseIncarnation    uint64 // incarnation that holds the lease, as the feed shows it; 0: none
	leaseWasHeld        bool   // by some incarnation, since this observer started
	latest              Heartbeat
	retiredIncarnations []uint64 // incarnations before latest.Incarnation, oldest first

	lastSeen      time.Time // last heartbeat, or indirect probe that was answered
	lastAnswer    time.Time // last reply to a call or a probe
	intervalStats intervalStats
	probing       probeRound

	// When the evidence began that this observer holds; zero: it has none.
	unreachableSince time.Time
	unansweredSince  time.Time
	stalledSince     time.Time
	unservedSince    time.Time
	suspectSince     time.Time // when the state became Suspect

	accusations           map[string]Accusation // by this controller, by the name of the accused one
	accusationsReceivedAt time.Time
}

func newPeer(name string, heartbeatInterval time.Duration) *peer {
	return &peer{
		name:          name,
		state:         Unmonitored,
		intervalStats: intervalStats{expected: heartbeatInterval},
		accusations:   map[string]Accusation{},
	}
}

// setSince sets when a condition began: now if it did not hold before, zero if it does not
// hold.
func setSince(since *time.Time, now time.Time, holds bool) {
	switch {
	case !holds:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}

// isMonitored reports whether the controller takes part in failure detection.
func (p *peer) isMonitored() bool { return p.latest.Incarnation != 0 }

// incarnation returns the incarnation that evidence is about.
func (p *peer) incarnation() uint64 {
	if p.latest.Incarnation != 0 {
		return p.latest.Incarnation
	}
	return p.leaseIncarnation
}

// lastIncarnation returns the incarnation that evidence is about, or else the last one
// there was.
func (p *peer) lastIncarnation() uint64 {
	if current := p.incarnation(); current != 0 || len(p.retiredIncarnations) == 0 {
		return current
	}
	return p.retiredIncarnations[len(p.retiredIncarnations)-1]
}

// evidence lists this observer's evidence against the controller.
func (p *peer) evidence() []Evidence {
	var evidence []Evidence
	if !p.unreachableSince.IsZero() {
		evidence = append(evidence, Unreachable)
	}
	if !p.unansweredSince.IsZero() {
		evidence = append(evidence, Unanswered)
	}
	if !p.stalledSince.IsZero() {
		evidence = append(evidence, Stalled)
	}
	if !p.unservedSince.IsZero() {
		evidence = append(evidence, Unserved)
	}
	return evidence
}

// evidenceSince returns when the oldest of the evidence began.
func (p *peer) evidenceSince() time.Time {
	var oldest time.Time
	for _, since := range []time.Time{p.unreachableSince, p.unansweredSince, p.stalledSince, p.unservedSince} {
		if !since.IsZero() && (oldest.IsZero() || since.Before(oldest)) {
			oldest = since
		}
	}
	return oldest
}

// ownAccusation returns this observer's evidence as an accusation, which counts only if
// there is some.
func (p *peer) ownAccusation() Accusation {
	return Accusation{
		Controller:  p.name,
		Incarnation: p.incarnation(),
		Refutation:  p.latest.Refutation,
		Evidence:    p.evidence(),
	}
}

// markSeen records a sign of life.
func (p *peer) markSeen(now time.Time) {
	p.lastSeen = now
	p.unreachableSince = time.Time{}
}

// markAnswered records that the controller answered this observer, or a probe on its
// behalf.
func (p *peer) markAnswered(now time.Time) {
	p.markSeen(now)
	p.lastAnswer = now
	p.unansweredSince = time.Time{}
	p.probing = probeRound{}
}

// accept makes a heartbeat the latest one, and reports whether it could: it must be newer
// than all known of its incarnation, and not of an earlier incarnation.
func (p *peer) accept(h Heartbeat) bool {
	if slices.Contains(p.retiredIncarnations, h.Incarnation) {
		return false
	}
	if h.Incarnation != p.latest.Incarnation {
		p.startIncarnation(h)
		return true
	}
	if !h.isNewerThan(p.latest) {
		return false
	}
	p.latest = h
	return true
}

// startIncarnation forgets what was observed of the incarnation before.
func (p *peer) startIncarnation(h Heartbeat) {
	if p.latest.Incarnation != 0 {
		p.retireIncarnation(p.latest.Incarnation)
	}
	p.latest = h
	p.intervalStats = intervalStats{expected: p.intervalStats.expected}
	p.lastSeen = time.Time{}
	p.lastAnswer = time.Time{}
	p.clearEvidence()
}

// retireIncarnation records that an incarnation of the controller is over.
func (p *peer) retireIncarnation(incarnation uint64) {
	p.retiredIncarnations = append(p.retiredIncarnations, incarnation)
	p.retiredIncarnations = p.retiredIncarnations[max(0, len(p.retiredIncarnations)-maxRetiredIncarnations):]
}

// clearEvidence drops all evidence.
func (p *peer) clearEvidence() {
	for _, since := range []*time.Time{
		&p.unreachableSince, &p.unansweredSince, &p.stalledSince, &p.unservedSince, &p.suspectSince,
	} {
		*since = time.Time{}
	}
	p.probing = probeRound{}
}

// shiftTimestamps moves everything that is measured from a time by a pause of the
// observer, in which it could have received nothing.
func (p *peer) shiftTimestamps(pause time.Duration) {
	for _, timestamp := range []*time.Time{
		&p.lastSeen, &p.lastAnswer,
		&p.unreachableSince, &p.unansweredSince, &p.stalledSince, &p.unservedSince, &p.suspectSince,
		&p.accusationsReceivedAt, &p.probing.phaseStartedAt,
	} {
		if !timestamp.IsZero() {
			*timestamp = timestamp.Add(pause)
		}
	}
}
