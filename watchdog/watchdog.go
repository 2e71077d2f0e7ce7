// Package watchdog detects actors that have pending messages and handle none. It is
// pure: its input is samples and monotonic time, its output is the names of stalled
// actors.
package watchdog

import (
	"slices"
	"time"
)

// Sample is an actor's progress at one moment.
type Sample struct {
	Name    string
	Handled uint64 // increases with each handled message
	Pending int    // messages that are queued or being handled
}

// progress records when an actor last made progress or had no pending messages, and how
// many messages it had handled by then.
type progress struct {
	handled      uint64
	lastProgress time.Time
}

// Watchdog monitors the actors of one process. It must be used by a single goroutine.
type Watchdog struct {
	stallTimeout time.Duration
	progress     map[string]progress // by actor, as of the last observation
	lastObserved time.Time
}

// New returns a watchdog that considers an actor stalled once it has made no progress
// for stallTimeout.
func New(stallTimeout time.Duration) *Watchdog {
	return &Watchdog{stallTimeout: stallTimeout, progress: map[string]progress{}}
}

// pauseDivisor sets the pause threshold as a fraction of the stall timeout. If the time
// between two observations exceeds stallTimeout / pauseDivisor, it counts as a pause of
// the whole process.
const pauseDivisor = 4

// Observe evaluates a sample of every actor and returns the names of the stalled actors,
// sorted. A pause of the whole process does not count as time without progress, because
// no actor could make progress during the pause.
func (w *Watchdog) Observe(now time.Time, samples []Sample) []string {
	pause := w.pauseSinceLast(now)
	w.lastObserved = now
	observed := make(map[string]progress, len(samples))
	var stalled []string
	for _, sample := range samples {
		current, known := w.progress[sample.Name]
		if !known || sample.Pending == 0 || sample.Handled != current.handled {
			current = progress{handled: sample.Handled, lastProgress: now}
		} else {
			current.lastProgress = current.lastProgress.Add(pause)
		}
		observed[sample.Name] = current
		if now.Sub(current.lastProgress) >= w.stallTimeout {
			stalled = append(stalled, sample.Name)
		}
	}
	w.progress = observed
	slices.Sort(stalled)
	return stalled
}

// pauseSinceLast returns the time since the last observation if the process was paused
// during that time, and otherwise 0.
func (w *Watchdog) pauseSinceLast(now time.Time) time.Duration {
	interval := now.Sub(w.lastObserved)
	if w.lastObserved.IsZero() || interval <= w.stallTimeout/pauseDivisor {
		return 0
	}
	return interval
}
