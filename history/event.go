// Package history stores a bounded number of recent membership events in a compressed file.
// A truncated or damaged file is read up to the damage. It never prevents a program from
// starting.
package history

import (
	"fmt"
	"strings"
	"time"
)

// Event is one change of a controller's state as seen by an observer, with the evidence for
// the change.
type Event struct {
	At          time.Time `json:"at"` // wall clock time at the observer
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
