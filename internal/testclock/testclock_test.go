package testclock

import (
	"testing"
	"time"
)

// Shifting the wall clock does not change durations.
func TestShiftWallClock(t *testing.T) {
	before := time.Now()
	for _, seconds := range []int64{-7200, -1, 1, 7200} {
		after := ShiftWallClock(before.Add(time.Second), seconds)
		if d := after.Sub(before); d != time.Second {
			t.Errorf("%d s: %s passed by the monotonic clock", seconds, d)
		}
		if d := after.Round(0).Sub(before.Round(0)); d != time.Second+time.Duration(seconds)*time.Second {
			t.Errorf("%d s: the wall clock shows %s", seconds, d)
		}
	}
}
