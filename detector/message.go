package detector

import (
	"errors"
	"fmt"
)

// Evidence is a kind of reason to suspect a controller.
type Evidence string

// Kinds of evidence.
const (
	// Unreachable: it was silent beyond its bound, and no probe was answered.
	Unreachable Evidence = "unreachable"
	// Unanswered: its own heartbeats come, and it answers neither calls nor probes.
	Unanswered Evidence = "unanswered"
	// Stalled: its own heartbeat names an actor that makes no progress.
	Stalled Evidence = "stalled"
	// Unserved: workers that were sent to it came back to the observer.
	Unserved Evidence = "unserved"
	// LeaseLost: its key in the state service is gone or another process's.
	LeaseLost Evidence = "lease ended"
)

// isAboutWork says whether the evidence shows that work is not done.
func (e Evidence) isAboutWork() bool { return e == Stalled || e == Unserved }

// isRefutable says whether a controller's own word ends the evidence.
func (e Evidence) isRefutable() bool { return e == Unreachable }

// Heartbeat is what a controller says of itself.
type Heartbeat struct {
	// Incarnation names the process by the incarnation under its key in the state
	// service; 0: it has none yet.
	Incarnation uint64 `json:"proc"`
	// Refutation rises whenever the process learns that its silence is suspected.
	Refutation uint64 `json:"ref,omitempty"`
	// Sequence rises with every heartbeat of the process.
	Sequence uint64 `json:"seq"`
	// Stalled names the process's actors that have messages and handle none.
	Stalled []string `json:"stalled,omitempty"`
}

// isNewerThan says whether a heartbeat of the same process is newer than another one.
func (h Heartbeat) isNewerThan(than Heartbeat) bool { return h.Sequence > than.Sequence }

// Accusation is the sender's own evidence against a controller's process.
type Accusation struct {
	Controller  string     `json:"node"`
	Incarnation uint64     `json:"proc"`
	Refutation  uint64     `json:"ref,omitempty"` // the latest that the accuser knew
	Evidence    []Evidence `json:"ev"`
}

// isAboutWork says whether any of the evidence is about work.
func (a Accusation) isAboutWork() bool {
	for _, e := range a.Evidence {
		if e.isAboutWork() {
			return true
		}
	}
	return false
}

// isRefutable says whether the accused one's own word ends all of the evidence.
func (a Accusation) isRefutable() bool {
	for _, e := range a.Evidence {
		if !e.isRefutable() {
			return false
		}
	}
	return true
}

// Message is what controllers exchange: a heartbeat and the sender's accusations.
type Message struct {
	Controller  string       `json:"node"`
	Heartbeat   Heartbeat    `json:"hb"`
	Accusations []Accusation `json:"acc,omitempty"`
}

// Errors of messages that are dropped.
var (
	ErrUnknownController = errors.New("detector: message of an unknown controller")
	ErrMalformedMessage  = errors.New("detector: malformed message")
)

// Limits on a message, far above what a sound one has.
const (
	maxStalled   = 64  // actors
	maxActorName = 128 // bytes
)

// validate says what is wrong with a message, if anything.
func (m Message) validate(members int) error {
	if len(m.Accusations) > members {
		return fmt.Errorf("%w: %d accusations among %d controllers", ErrMalformedMessage, len(m.Accusations), members)
	}
	if len(m.Heartbeat.Stalled) > maxStalled {
		return fmt.Errorf("%w: %d stalled actors", ErrMalformedMessage, len(m.Heartbeat.Stalled))
	}
	for _, name := range m.Heartbeat.Stalled {
		if len(name) > maxActorName {
			return fmt.Errorf("%w: an actor's name has %d bytes", ErrMalformedMessage, len(name))
		}
	}
	for _, a := range m.Accusations {
		if a.Incarnation == 0 || len(a.Evidence) == 0 {
			return fmt.Errorf("%w: an accusation of %q without process or evidence", ErrMalformedMessage, a.Controller)
		}
	}
	return nil
}
