package detector

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ravenport/internal/testclock"
)

// Jumps of the wall clock by hours, forward and back, change nothing: live controllers
// are not suspected, and a failed controller is declared failed within the usual bounds
// of time.
func TestWallClockJumpsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		network := newNetwork(3)
		network.start(time.Now())
		network.readClock = func(c *simController, now time.Time) time.Time {
			return testclock.ShiftWallClock(now, int64(rapid.IntRange(-7200, 7200).Draw(t, "jump")))
		}
		network.run(10 * time.Second)
		for _, c := range network.controllers {
			if c.reached("n-0", Suspect) || c.reached("n-1", Suspect) || c.reached("n-2", Suspect) {
				t.Fatalf("%s suspects a live controller: %+v", c.name, c.stateChanges)
			}
		}
		for _, c := range network.controllers[:2] {
			c.detector.SetUnserved(network.readClock(c, network.now), "n-2", true)
		}
		network.run(4 * time.Second)
		if network.controllers[0].reached("n-2", Failed) {
			t.Fatal("declared failed too early")
		}
		network.run(10 * time.Second)
		if !network.controllers[0].reached("n-2", Failed) {
			t.Fatal("not declared failed in time")
		}
	})
}
