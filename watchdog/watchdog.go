// Package watchdog finds actors that have messages and handle none. It is pure:
// samples and time in, names out.
package watchdog

import (
	"slices"
	"time"
)

// Sample is an actor's progress at one moment.
type Sample struct {
	Name    string
	Handled uint64 // rises with each message that was handled
	Pending int    // messages that wait or are being handled
}

// progress is when an actor was last seen to have done what it had to do.
type progress struct {
	handled uint64
	at      time.Time
}

// Watchdog watches the actors of one process.
type Watchdog struct {
	limit time.Duration
	seen  map[string]progress
	last  time.Time
}

// New makes a watchdog that takes an actor for stalled after limit.
func New(limit time.Duration) *Watchdog {
	return &Watchdog{limit: limit, seen: map[string]progress{}}
}

// gapShare is the part of the limit beyond which the time between two
// observations counts as a pause of the whole process.
const gapShare = 4

// Observe takes in a sample of every actor and returns the names of those that are
// stalled, sorted. A pause of the process as a whole, in which nothing could make
// progress, is not held against any of them.
func (w *Watchdog) Observe(now time.Time, samples []Sample) []string {
	pause := time.Duration(0)
	if gap := now.Sub(w.last); !w.last.IsZero() && gap > w.limit/gapShare {
		pause = gap
	}
	w.last = now
	seen := make(map[string]progress, len(samples))
	var stalled []string
	for _, s := range samples {
		p, known := w.seen[s.Name]
		if !known || s.Pending == 0 || s.Handled != p.handled {
			p = progress{s.Handled, now}
		} else {
			p.at = p.at.Add(pause)
		}
		seen[s.Name] = p
		if now.Sub(p.at) >= w.limit {
			stalled = append(stalled, s.Name)
		}
	}
	w.seen = seen
	slices.Sort(stalled)
	return stalled
}
