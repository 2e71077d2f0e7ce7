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
	// LeaseEnded: its key in the state service is gone or another process's.
	LeaseEnded Evidence = "lease ended"
)

// aboutWork says whether the evidence shows that work is not done.
func (e Evidence) aboutWork() bool { return e == Stalled || e == Unserved }

// refutable says whether a controller's own word ends the evidence.
func (e Evidence) refutable() bool { return e == Unreachable }

// Heartbeat is what a controller says of itself.
type Heartbeat struct {
	// Process names the process by the incarnation under its key in the state
	// service; 0: it has none yet.
	Process uint64 `json:"proc"`
	// Refutation rises whenever the process learns that its silence is suspected.
	Refutation uint64 `json:"ref,omitempty"`
	// Sequence rises with every heartbeat of the process.
	Sequence uint64 `json:"seq"`
	// Stalled names the process's actors that have messages and handle none.
	Stalled []string `json:"stalled,omitempty"`
}

// newer says whether a heartbeat of the same process is newer than another one.
func (h Heartbeat) newer(than Heartbeat) bool { return h.Sequence > than.Sequence }

// Accusation is the sender's own evidence against a controller's process.
type Accusation struct {
	Controller string     `json:"node"`
	Process    uint64     `json:"proc"`
	Refutation uint64     `json:"ref,omitempty"` // the latest that the accuser knew
	Evidence   []Evidence `json:"ev"`
}

// aboutWork says whether any of the evidence is about work.
func (a Accusation) aboutWork() bool {
	for _, e := range a.Evidence {
		if e.aboutWork() {
			return true
		}
	}
	return false
}

// refutable says whether the accused one's own word ends all of the evidence.
func (a Accusation) refutable() bool {
	for _, e := range a.Evidence {
		if !e.refutable() {
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
	ErrUnknownNode = errors.New("detector: message of an unknown controller")
	ErrMalformed   = errors.New("detector: malformed message")
)

// Limits on a message, far above what a sound one has.
const (
	maxStalled   = 64  // actors
	maxActorName = 128 // bytes
)

// check says what is wrong with a message, if anything.
func (m Message) check(members int) error {
	if len(m.Accusations) > members {
		return fmt.Errorf("%w: %d accusations among %d controllers", ErrMalformed, len(m.Accusations), members)
	}
	if len(m.Heartbeat.Stalled) > maxStalled {
		return fmt.Errorf("%w: %d stalled actors", ErrMalformed, len(m.Heartbeat.Stalled))
	}
	for _, name := range m.Heartbeat.Stalled {
		if len(name) > maxActorName {
			return fmt.Errorf("%w: an actor's name has %d bytes", ErrMalformed, len(name))
		}
	}
	for _, a := range m.Accusations {
		if a.Process == 0 || len(a.Evidence) == 0 {
			return fmt.Errorf("%w: an accusation of %q without process or evidence", ErrMalformed, a.Controller)
		}
	}
	return nil
}
