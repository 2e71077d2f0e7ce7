package watchdog

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ravenport/internal/testseed"
)

// An actor is stalled if, and only if, it had something to do for the stall timeout and did
// nothing of it while the process as a whole went on.
func TestStalledActorsAreFound(t *testing.T) {
	const stallTimeout, step = 5 * time.Second, time.Second
	rapid.Check(t, func(t *rapid.T) {
		w := New(stallTimeout)
		now := time.Unix(0, 0)
		idle := time.Duration(0) // for how long the actor was seen to do nothing, pauses left out
		s := Sample{Name: "a"}
		w.Observe(now, []Sample{s})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			pause := rapid.SampledFrom([]time.Duration{0, 0, 0, 30 * time.Second}).Draw(t, "pause")
			now = now.Add(step + pause)
			works := rapid.IntRange(0, 9).Draw(t, "works") == 0
			s.Pending = rapid.IntRange(0, 20).Draw(t, "pending") % 8
			if works {
				s.Handled++
			}
			switch {
			case works || s.Pending == 0:
				idle = 0
			case pause == 0:
				idle += step
			}
			got := w.Observe(now, []Sample{s, {Name: "idle"}})
			if want := idle >= stallTimeout; slices.Contains(got, "a") != want || slices.Contains(got, "idle") {
				t.Fatalf("after %s without progress: %v", idle, got)
			}
		}
	})
}
