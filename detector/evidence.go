package detector

import "slices"

// Evidence is a kind of reason to suspect a controller.
type Evidence string

// Kinds of evidence.
const (
	// Unreachable: it was silent for longer than its suspicion timeout, and no probe was
	// answered.
	Unreachable Evidence = "unreachable"
	// Unanswered: its own heartbeats come, and it answers neither calls nor probes.
	Unanswered Evidence = "unanswered"
	// Stalled: its own heartbeat names an actor that makes no progress.
	Stalled Evidence = "stalled"
	// Unserved: workers that were redirected to it came back to the observer.
	Unserved Evidence = "unserved"
	// LeaseLost: its key in the key-value store is gone or another incarnation's.
	LeaseLost Evidence = "lease ended"
)

// isAboutWork reports whether the evidence shows that work is not done.
func (e Evidence) isAboutWork() bool { return e == Stalled || e == Unserved }

// isRefutable reports whether a controller's own heartbeat ends the evidence.
func (e Evidence) isRefutable() bool { return e == Unreachable }

// Accusation is the sender's own evidence against an incarnation of a controller.
type Accusation struct {
	Controller  string     `json:"node"`
	Incarnation uint64     `json:"proc"`
	Refutation  uint64     `json:"ref,omitempty"` // the latest that the accuser knew
	Evidence    []Evidence `json:"ev"`
}

// isAboutWork reports whether any of the evidence is about work.
func (a Accusation) isAboutWork() bool {
	return slices.ContainsFunc(a.Evidence, Evidence.isAboutWork)
}

// isRefutable reports whether the accused controller's own heartbeat ends all of the
// evidence.
func (a Accusation) isRefutable() bool {
	isNotRefutable := func(e Evidence) bool { return !e.isRefutable() }
	return !slices.ContainsFunc(a.Evidence, isNotRefutable)
}
