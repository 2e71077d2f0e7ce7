// Package history keeps a bounded record of membership events in a compressed file.
// A truncated or damaged file is read up to the damage and never keeps a program from
// starting.
package history

import (
	"fmt"
	"strings"
	"time"
)

// Event is one change of a controller's state as an observer saw it, with its evidence.
type Event struct {
	At          time.Time `json:"at"` // time of day of the observer
	Observer    string    `json:"by"`
	Controller  string    `json:"node"`
	Incarnation uint64    `json:"proc"`
	From        string    `json:"from,omitempty"`
	To          string    `json:"to"`
	Evidence    []string  `json:"ev,omitempty"`
	Accusers    []string  `json:"acc,omitempty"`
}

// String returns the event on one line.
func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", e.At.UTC().Format(time.RFC3339Nano), e.Observer, e.Controller)
	if e.From != "" {
		fmt.Fprintf(&b, " %s ->", e.From)
	}
	fmt.Fprintf(&b, " %s process=%x", e.To, e.Incarnation)
	if len(e.Evidence) > 0 {
		fmt.Fprintf(&b, " evidence=%s", strings.Join(e.Evidence, ","))
	}
	if len(e.Accusers) > 0 {
		fmt.Fprintf(&b, " accusers=%s", strings.Join(e.Accusers, ","))
	}
	return b.String()
}
