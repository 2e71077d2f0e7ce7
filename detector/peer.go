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

// pastProcesses is how many earlier processes of a controller are remembered, so
// that late heartbeats of theirs are not taken for those of a new one.
const pastProcesses = 8

// peer is what is known of one other controller.
type peer struct {
	name  string
	state State

	lease     uint64 // process that holds the lease, as the state service shows
	leaseSeen bool   // there was one since this observer started
	latest    Heartbeat
	past      []uint64  // processes before latest.Process
	heardAt   time.Time // when it was last heard itself, or a probe showed that others hear it
	answered  time.Time // when a call or a probe was last answered
	intervals intervals

	probe         probeState
	unreachableAt time.Time // when the silence began that is held against it; zero: none
	unansweredAt  time.Time // the same for calls
	stalledAt     time.Time
	unservedAt    time.Time
	suspectAt     time.Time

	opinion   map[string]Accusation // what this controller accuses others of, by name
	opinionAt time.Time
}

// probeState is how far the probing of a silent controller has come.
type probeState struct {
	startedAt    time.Time
	direct       bool // a direct probe was sent, and not answered yet
	directFailed bool
	waiting      map[string]bool // controllers asked to probe, without an answer yet
	indirectSent bool
}

func (p *probeState) done() bool {
	return p.directFailed && p.indirectSent && len(p.waiting) == 0
}

// monitored says whether the controller takes part in failure detection.
func (p *peer) monitored() bool { return p.latest.Process != 0 }

// process is the process that evidence is about.
func (p *peer) process() uint64 {
	if p.latest.Process != 0 {
		return p.latest.Process
	}
	return p.lease
}

// lastProcess is the process that evidence is about, or the last one there was.
func (p *peer) lastProcess() uint64 {
	if current := p.process(); current != 0 || len(p.past) == 0 {
		return current
	}
	return p.past[len(p.past)-1]
}

// evidence lists what this observer holds against the controller.
func (p *peer) evidence() []Evidence {
	var out []Evidence
	if !p.unreachableAt.IsZero() {
		out = append(out, Unreachable)
	}
	if !p.unansweredAt.IsZero() {
		out = append(out, Unanswered)
	}
	if !p.stalledAt.IsZero() {
		out = append(out, Stalled)
	}
	if !p.unservedAt.IsZero() {
		out = append(out, Unserved)
	}
	return out
}

// evidenceSince is when the oldest of the evidence began.
func (p *peer) evidenceSince() time.Time {
	var first time.Time
	for _, t := range []time.Time{p.unreachableAt, p.unansweredAt, p.stalledAt, p.unservedAt} {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}

// hear notes that the controller is there.
func (p *peer) hear(now time.Time) {
	p.heardAt = now
	p.unreachableAt = time.Time{}
}

// answer notes that it answered a call, or somebody else's.
func (p *peer) answer(now time.Time) {
	p.hear(now)
	p.answered = now
	p.unansweredAt = time.Time{}
	p.probe = probeState{}
}

// adopt takes in a heartbeat, and says whether it is one to be believed: newer
// than all known of its process, and not of an earlier process.
func (p *peer) adopt(h Heartbeat) bool {
	if slices.Contains(p.past, h.Process) {
		return false
	}
	if h.Process != p.latest.Process {
		p.begin(h)
		return true
	}
	if !h.newer(p.latest) {
		return false
	}
	p.latest = h
	return true
}

// begin starts anew with another process of the controller.
func (p *peer) begin(h Heartbeat) {
	if p.latest.Process != 0 {
		p.retire(p.latest.Process)
	}
	p.latest = h
	p.intervals = intervals{expected: p.intervals.expected}
	p.heardAt, p.answered = time.Time{}, time.Time{}
	p.clear()
}

// retire notes that a process of the controller is over.
func (p *peer) retire(process uint64) {
	p.past = append(p.past, process)
	p.past = p.past[max(0, len(p.past)-pastProcesses):]
}

// clear drops all evidence.
func (p *peer) clear() {
	for _, t := range []*time.Time{&p.unreachableAt, &p.unansweredAt, &p.stalledAt, &p.unservedAt, &p.suspectAt} {
		*t = time.Time{}
	}
	p.probe = probeState{}
}

// postpone moves everything that is measured from a time by a pause of the
// observer, in which it could have heard nothing.
func (p *peer) postpone(pause time.Duration) {
	for _, t := range []*time.Time{&p.heardAt, &p.answered, &p.unreachableAt, &p.unansweredAt, &p.stalledAt, &p.unservedAt, &p.suspectAt, &p.opinionAt, &p.probe.startedAt} {
		if !t.IsZero() {
			*t = t.Add(pause)
		}
	}
}
