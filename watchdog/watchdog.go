// Package watchdog finds actors that have messages and handle none. It is pure:
// samples and monotonic time in, names out.
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

// progress is what an actor had handled when it last made progress or had nothing to do.
type progress struct {
	handled      uint64
	lastProgress time.Time
}

// Watchdog watches the actors of one process. It is used by one goroutine.
type Watchdog struct {
	stallTimeout time.Duration
	progress     map[string]progress // by actor, as of the last observation
	lastObserved time.Time
}

// New makes a watchdog that takes an actor for stalled once it has made no progress for
// stallTimeout.
func New(stallTimeout time.Duration) *Watchdog {
	return &Watchdog{stallTimeout: stallTimeout, progress: map[string]progress{}}
}

// pauseDivisor is the fraction of the stall timeout, as its divisor, beyond which the
// time between two observations counts as a pause of the whole process.
const pauseDivisor = 4

// Observe evaluates a sample of every actor and returns the names of those that are
// stalled, sorted. A pause of the process as a whole, in which nothing could make
// progress, does not count against any of them.
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
// in it, and otherwise 0.
func (w *Watchdog) pauseSinceLast(now time.Time) time.Duration {
	interval := now.Sub(w.lastObserved)
	if w.lastObserved.IsZero() || interval <= w.stallTimeout/pauseDivisor {
		return 0
	}
	return interval
}
