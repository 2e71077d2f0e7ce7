package testclock

import (
	"testing"
	"time"
)

// Durations are computed from the monotonic clock, so that shifting the wall clock does
// not change them.
func TestShiftWallClock(t *testing.T) {
	before := time.Now()
	for _, seconds := range []int64{-7200, -1, 1, 7200} {
		after := ShiftWallClock(before.Add(time.Second), seconds)
		if d := after.Sub(before); d != time.Second {
			t.Errorf("wall clock shifted by %d s: the monotonic clock advanced by %s", seconds, d)
		}
		if d := after.Round(0).Sub(before.Round(0)); d != time.Second+time.Duration(seconds)*time.Second {
			t.Errorf("wall clock shifted by %d s: the wall clock advanced by %s", seconds, d)
		}
	}
}
