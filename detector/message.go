package detector

import (
	"errors"
	"fmt"
)

// Heartbeat is a controller's report of its own state.
type Heartbeat struct {
	// Incarnation identifies the process, as the record under the controller's key in
	// the key-value store does; 0 means that the process has no incarnation yet.
	Incarnation uint64 `json:"proc"`
	// Refutation increases whenever the process learns that it is suspected as
	// unreachable.
	Refutation uint64 `json:"ref,omitempty"`
	// Sequence increases with every heartbeat of the process.
	Sequence uint64 `json:"seq"`
	// Stalled names the process's actors that have pending messages and handle none.
	Stalled []string `json:"stalled,omitempty"`
}

// isNewerThan reports whether a heartbeat of the same incarnation is newer than another.
func (h Heartbeat) isNewerThan(other Heartbeat) bool { return h.Sequence > other.Sequence }

// Message is sent between controllers. It carries a heartbeat and the sender's
// accusations.
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

// DroppedMessageError reports a message that was dropped.
type DroppedMessageError struct {
	Sender string // as named in the message
	Reason error  // wraps ErrUnknownController or ErrMalformedMessage
}

func (e *DroppedMessageError) Error() string { return e.Reason.Error() }

// Unwrap returns the reason.
func (e *DroppedMessageError) Unwrap() error { return e.Reason }

// Limits on a message, far above the values in a valid message.
const (
	maxStalled   = 64  // actors
	maxActorName = 128 // bytes
)

// validate returns an error that wraps ErrMalformedMessage if the message exceeds a
// limit or has an incomplete accusation. The argument is the number of configured
// controllers.
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
