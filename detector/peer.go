package detector

import (
	"slices"
	"time"
)

// State is what a controller counts as.
type State string

// States of a controller.
const (
	Unmonitored State = "unmonitored" // it has sent no heartbeat: only its lease counts
	Alive       State = "alive"
	Suspect     State = "suspect"
	Failed      State = "failed"
)

// maxRetired is how many earlier processes of a controller are remembered, so
// that late heartbeats of theirs are not taken for those of a new one.
const maxRetired = 8

// peer is what is known of one other controller.
type peer struct {
	name  string
	state State

	leaseHolder  uint64 // process that holds the lease, as the state service shows
	leaseWasHeld bool   // there was one since this observer started
	latest       Heartbeat
	retired      []uint64  // processes before latest.Process
	lastSeen     time.Time // when it was last heard itself, or a probe showed that others hear it
	lastAnswer   time.Time // when a call or a probe was last answered
	intervals    intervalStats

	probing          probeRound
	unreachableSince time.Time // when the silence began that is held against it; zero: none
	unansweredSince  time.Time // the same for calls
	stalledSince     time.Time
	unservedSince    time.Time
	suspectSince     time.Time

	accusations   map[string]Accusation // what this controller accuses others of, by name
	accusationsAt time.Time
}

// probeRound is how far the probing of a silent controller has come.
type probeRound struct {
	startedAt    time.Time
	directSent   bool // a direct probe was sent, and not answered yet
	directFailed bool
	pendingVia   map[string]bool // controllers asked to probe, without an answer yet
	indirectSent bool
}

func (p *probeRound) isExhausted() bool {
	return p.directFailed && p.indirectSent && len(p.pendingVia) == 0
}

// isMonitored says whether the controller takes part in failure detection.
func (p *peer) isMonitored() bool { return p.latest.Incarnation != 0 }

// incarnation is the process that evidence is about.
func (p *peer) incarnation() uint64 {
	if p.latest.Incarnation != 0 {
		return p.latest.Incarnation
	}
	return p.leaseHolder
}

// lastIncarnation is the process that evidence is about, or the last one there was.
func (p *peer) lastIncarnation() uint64 {
	if current := p.incarnation(); current != 0 || len(p.retired) == 0 {
		return current
	}
	return p.retired[len(p.retired)-1]
}

// evidence lists what this observer holds against the controller.
func (p *peer) evidence() []Evidence {
	var out []Evidence
	if !p.unreachableSince.IsZero() {
		out = append(out, Unreachable)
	}
	if !p.unansweredSince.IsZero() {
		out = append(out, Unanswered)
	}
	if !p.stalledSince.IsZero() {
		out = append(out, Stalled)
	}
	if !p.unservedSince.IsZero() {
		out = append(out, Unserved)
	}
	return out
}

// evidenceSince is when the oldest of the evidence began.
func (p *peer) evidenceSince() time.Time {
	var first time.Time
	for _, t := range []time.Time{p.unreachableSince, p.unansweredSince, p.stalledSince, p.unservedSince} {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}

// markSeen notes that the controller is there.
func (p *peer) markSeen(now time.Time) {
	p.lastSeen = now
	p.unreachableSince = time.Time{}
}

// markAnswered notes that it answered a call, or somebody else's.
func (p *peer) markAnswered(now time.Time) {
	p.markSeen(now)
	p.lastAnswer = now
	p.unansweredSince = time.Time{}
	p.probing = probeRound{}
}

// accept takes in a heartbeat, and says whether it is one to be believed: newer
// than all known of its process, and not of an earlier process.
func (p *peer) accept(h Heartbeat) bool {
	if slices.Contains(p.retired, h.Incarnation) {
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

// startIncarnation starts anew with another process of the controller.
func (p *peer) startIncarnation(h Heartbeat) {
	if p.latest.Incarnation != 0 {
		p.retireIncarnation(p.latest.Incarnation)
	}
	p.latest = h
	p.intervals = intervalStats{expected: p.intervals.expected}
	p.lastSeen, p.lastAnswer = time.Time{}, time.Time{}
	p.clearEvidence()
}

// retireIncarnation notes that a process of the controller is over.
func (p *peer) retireIncarnation(process uint64) {
	p.retired = append(p.retired, process)
	p.retired = p.retired[max(0, len(p.retired)-maxRetired):]
}

// clearEvidence drops all evidence.
func (p *peer) clearEvidence() {
	for _, t := range []*time.Time{&p.unreachableSince, &p.unansweredSince, &p.stalledSince, &p.unservedSince, &p.suspectSince} {
		*t = time.Time{}
	}
	p.probing = probeRound{}
}

// shiftTimestamps moves everything that is measured from a time by a pause of the
// observer, in which it could have heard nothing.
func (p *peer) shiftTimestamps(pause time.Duration) {
	for _, t := range []*time.Time{&p.lastSeen, &p.lastAnswer, &p.unreachableSince, &p.unansweredSince, &p.stalledSince, &p.unservedSince, &p.suspectSince, &p.accusationsAt, &p.probing.startedAt} {
		if !t.IsZero() {
			*t = t.Add(pause)
		}
	}
}
