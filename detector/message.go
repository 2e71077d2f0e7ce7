package detector

import (
	"errors"
	"fmt"
)

// Heartbeat is a controller's statement of its own condition.
type Heartbeat struct {
	// Incarnation names the process, as under its key in the key-value store; 0: it has
	// none yet.
	Incarnation uint64 `json:"proc"`
	// Refutation rises whenever the process learns that it is suspected as unreachable.
	Refutation uint64 `json:"ref,omitempty"`
	// Sequence rises with every heartbeat of the process.
	Sequence uint64 `json:"seq"`
	// Stalled names the process's actors that have messages and handle none.
	Stalled []string `json:"stalled,omitempty"`
}

// isNewerThan reports whether a heartbeat of the same incarnation is newer than another.
func (h Heartbeat) isNewerThan(other Heartbeat) bool { return h.Sequence > other.Sequence }

// Message is what controllers exchange: a heartbeat and the sender's accusations.
type Message struct {
	Controller  string       `json:"node"` // the sender
	Heartbeat   Heartbeat    `json:"hb"`
	Accusations []Accusation `json:"acc,omitempty"`
}

// Reasons for which messages are dropped.
var (
	ErrUnknownController = errors.New("detector: message of an unknown controller")
	ErrMalformedMessage  = errors.New("detector: malformed message")
)

// DroppedMessageError is a message that was dropped.
type DroppedMessageError struct {
	Sender string // as the message names it
	Reason error  // wraps ErrUnknownController or ErrMalformedMessage
}

func (e *DroppedMessageError) Error() string { return e.Reason.Error() }

// Unwrap returns the reason.
func (e *DroppedMessageError) Unwrap() error { return e.Reason }

// Limits on a message, far above what a sound one has.
const (
	maxStalled   = 64  // actors
	maxActorName = 128 // bytes
)

// validate returns an error that wraps ErrMalformedMessage for a message that no
// controller of a deployment of this many would send.
func (m Message) validate(controllers int) error {
	if len(m.Accusations) > controllers {
		return fmt.Errorf("%w: %d accusations among %d controllers", ErrMalformedMessage, len(m.Accusations), controllers)
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
