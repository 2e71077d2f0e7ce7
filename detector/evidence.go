package detector

import "slices"

// Evidence is a kind of reason to suspect a controller.
type Evidence string

// Kinds of evidence.
const (
	// Unreachable means that no heartbeat of the controller arrived within its suspicion
	// timeout, and that no probe was answered.
	Unreachable Evidence = "unreachable"
	// Unanswered means that the controller's own heartbeats arrive, but that it answers
	// neither calls nor probes.
	Unanswered Evidence = "unanswered"
	// Stalled means that the controller's own heartbeat names an actor that makes no
	// progress.
	Stalled Evidence = "stalled"
	// Unserved means that workers that were redirected to the controller returned to the
	// observer.
	Unserved Evidence = "unserved"
	// LeaseLost means that the controller's key in the key-value store was deleted or
	// belongs to another incarnation.
	LeaseLost Evidence = "lease ended"
)

// isAboutWork reports whether the evidence shows that the controller does not do its
// work.
func (e Evidence) isAboutWork() bool { return e == Stalled || e == Unserved }

// isRefutable reports whether a heartbeat from the accused controller removes the
// evidence.
func (e Evidence) isRefutable() bool { return e == Unreachable }

// Accusation is the sender's own evidence against an incarnation of a controller.
type Accusation struct {
	Controller  string     `json:"node"`
	Incarnation uint64     `json:"proc"`
	Refutation  uint64     `json:"ref,omitempty"` // the latest one that the accuser has received
	Evidence    []Evidence `json:"ev"`
}

// isAboutWork reports whether any of the evidence is about work.
func (a Accusation) isAboutWork() bool {
	return slices.ContainsFunc(a.Evidence, Evidence.isAboutWork)
}

// isRefutable reports whether a heartbeat from the accused controller removes all of the
// evidence.
func (a Accusation) isRefutable() bool {
	isNotRefutable := func(e Evidence) bool { return !e.isRefutable() }
	return !slices.ContainsFunc(a.Evidence, isNotRefutable)
}
