package window

import (
	"testing"
	"time"
)

// FuzzParse checks that Parse does not panic on any rule and zone from an operator's
// settings, and returns either a schedule or an error.
func FuzzParse(f *testing.F) {
	f.Add("FREQ=DAILY;BYHOUR=2", "UTC")
	f.Add("FREQ=WEEKLY;BYDAY=MO,TU;BYHOUR=25", "Africa/Johannesburg")
	f.Add("FREQ=YEARLY;INTERVAL=0", "UTC")
	f.Add("", "nowhere")
	now := time.Unix(1_000_000_000, 0)
	f.Fuzz(func(t *testing.T, rule, zone string) {
		schedule, err := Parse(rule, zone, time.Hour, now)
		if (err == nil) != (schedule != nil) {
			t.Errorf("%q in %q: schedule %v, error %v", rule, zone, schedule, err)
		}
	})
}
