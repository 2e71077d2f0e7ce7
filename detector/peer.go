package detector

import (
	"slices"
	"time"
)

// State is the state of a controller from the view of one observer.
type State string

// States of a controller.
const (
	Unmonitored State = "unmonitored" // no heartbeat has arrived; only the controller's lease is evaluated
	Alive       State = "alive"
	Suspect     State = "suspect"
	Failed      State = "failed"
)

// maxRetiredIncarnations limits how many earlier incarnations of a controller are
// remembered, so that their late heartbeats are not mistaken for heartbeats of a new
// incarnation.
const maxRetiredIncarnations = 8

// peer is this observer's state of one other controller.
type peer struct {
	name  string
	state State

	leaseIncarnation    uint64 // incarnation that holds the lease according to the feed; 0: none
	leaseWasHeld        bool   // by some incarnation, since this observer started
	latest              Heartbeat
	retiredIncarnations []uint64 // incarnations before latest.Incarnation, oldest first

	lastHeartbeat time.Time // last heartbeat, sent by the controller or in answer to a probe
	lastAnswer    time.Time // last reply to a call or a probe
	intervalStats intervalStats
	probing       probeRound

	// Start of each kind of evidence; zero means that this observer has no evidence of
	// that kind.
	unreachableSince time.Time
	unansweredSince  time.Time
	stalledSince     time.Time
	unservedSince    time.Time
	suspectSince     time.Time // when the state became Suspect

	accusations           map[string]Accusation // made by this controller; the key is the accused controller's name
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

// setSince records the start of a condition: now if the condition did not hold before,
// zero if it does not hold now.
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

// lastIncarnation returns the incarnation that evidence is about or, if there is none,
// the latest retired incarnation.
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

// evidenceSince returns the start of the oldest evidence.
func (p *peer) evidenceSince() time.Time {
	var oldest time.Time
	for _, since := range []time.Time{p.unreachableSince, p.unansweredSince, p.stalledSince, p.unservedSince} {
		if !since.IsZero() && (oldest.IsZero() || since.Before(oldest)) {
			oldest = since
		}
	}
	return oldest
}

// ownAccusation returns this observer's evidence as an accusation. An accusation without
// evidence does not count.
func (p *peer) ownAccusation() Accusation {
	return Accusation{
		Controller:  p.name,
		Incarnation: p.incarnation(),
		Refutation:  p.latest.Refutation,
		Evidence:    p.evidence(),
	}
}

// markHeartbeatReceived records a heartbeat of the controller, which removes the evidence
// that the controller is unreachable.
func (p *peer) markHeartbeatReceived(now time.Time) {
	p.lastHeartbeat = now
	p.unreachableSince = time.Time{}
}

// markAnswered records that the controller answered this observer, or another controller
// that probed it for this observer.
func (p *peer) markAnswered(now time.Time) {
	p.markHeartbeatReceived(now)
	p.lastAnswer = now
	p.unansweredSince = time.Time{}
	p.probing = probeRound{}
}

// accept makes a heartbeat the latest one and reports whether it was accepted. It must
// be newer than all known heartbeats of its incarnation, and must not belong to an
// earlier incarnation.
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

// startIncarnation discards the observations of the previous incarnation.
func (p *peer) startIncarnation(h Heartbeat) {
	if p.latest.Incarnation != 0 {
		p.retireIncarnation(p.latest.Incarnation)
	}
	p.latest = h
	p.intervalStats = intervalStats{expected: p.intervalStats.expected}
	p.lastHeartbeat = time.Time{}
	p.lastAnswer = time.Time{}
	p.clearEvidence()
}

// retireIncarnation records that an incarnation of the controller has ended.
func (p *peer) retireIncarnation(incarnation uint64) {
	p.retiredIncarnations = append(p.retiredIncarnations, incarnation)
	p.retiredIncarnations = p.retiredIncarnations[max(0, len(p.retiredIncarnations)-maxRetiredIncarnations):]
}

// clearEvidence removes all evidence and ends the probe round.
func (p *peer) clearEvidence() {
	for _, since := range []*time.Time{
		&p.unreachableSince, &p.unansweredSince, &p.stalledSince, &p.unservedSince, &p.suspectSince,
	} {
		*since = time.Time{}
	}
	p.probing = probeRound{}
}

// shiftTimestamps moves all timestamps forward by a pause of the observer, because the
// observer could receive no messages during the pause.
func (p *peer) shiftTimestamps(pause time.Duration) {
	for _, timestamp := range []*time.Time{
		&p.lastHeartbeat, &p.lastAnswer,
		&p.unreachableSince, &p.unansweredSince, &p.stalledSince, &p.unservedSince, &p.suspectSince,
		&p.accusationsReceivedAt, &p.probing.phaseStartedAt,
	} {
		if !timestamp.IsZero() {
			*timestamp = timestamp.Add(pause)
		}
	}
}
