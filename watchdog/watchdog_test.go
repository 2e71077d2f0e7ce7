package watchdog

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ravenport/internal/testseed"
)

// An actor is stalled if, and only if, it had pending messages for the stall timeout and
// handled none of them while the process as a whole was running.
func TestStalledActorsAreFound(t *testing.T) {
	const stallTimeout, step = 5 * time.Second, time.Second
	rapid.Check(t, func(t *rapid.T) {
		watchdog := New(stallTimeout)
		now := time.Unix(0, 0)
		idle := time.Duration(0) // for how long the actor had messages and handled none, without pauses
		sample := Sample{Name: "a"}
		watchdog.Observe(now, []Sample{sample})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			pause := rapid.SampledFrom([]time.Duration{0, 0, 0, 30 * time.Second}).Draw(t, "pause")
			now = now.Add(step + pause)
			works := rapid.IntRange(0, 9).Draw(t, "works") == 0
			sample.Pending = rapid.IntRange(0, 20).Draw(t, "pending") % 8
			if works {
				sample.Handled++
			}
			switch {
			case works || sample.Pending == 0:
				idle = 0
			case pause == 0:
				idle += step
			}
			got := watchdog.Observe(now, []Sample{sample, {Name: "idle"}})
			if want := idle >= stallTimeout; slices.Contains(got, "a") != want || slices.Contains(got, "idle") {
				t.Fatalf("after %s without progress: %v", idle, got)
			}
		}
	})
}
