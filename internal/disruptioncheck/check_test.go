package disruptioncheck

import (
	"testing"
	"time"
)

const (
	stableAfter  = 10 * time.Second
	reactionTime = time.Minute
)

// newCheck returns a check with a budget of one task, and tasks a and b that have been
// stable for a long time.
func newCheck(start time.Time) *Check {
	c := New(1, stableAfter, reactionTime)
	c.TaskRunning("a", start.Add(-time.Hour))
	c.TaskRunning("b", start.Add(-time.Hour))
	return c
}

// A stop exceeds the budget while another stopped task does not run again or is not stable
// yet, and while a failed task that every controller knows of has not been replaced.
func TestStopsAgainstBudget(t *testing.T) {
	start := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return start.Add(d) }
	for name, c := range map[string]struct {
		before  func(c *Check)
		wantErr bool
	}{
		"the first stop": {func(*Check) {}, false},
		"another task is stopped": {func(c *Check) {
			_ = c.TaskStopped("b", start)
		}, true},
		"another task was stopped and is not stable": {func(c *Check) {
			_ = c.TaskStopped("b", start)
			c.TaskRunning("b", after(2*time.Minute-stableAfter+time.Second))
		}, true},
		"another task was stopped and is stable": {func(c *Check) {
			_ = c.TaskStopped("b", start)
			c.TaskRunning("b", after(2*time.Minute-stableAfter))
		}, false},
		"another task failed long ago": {func(c *Check) {
			c.TaskNotRunning("b", after(2*time.Minute-reactionTime-time.Second))
		}, true},
		"another task failed just now": {func(c *Check) {
			c.TaskNotRunning("b", after(2*time.Minute-reactionTime))
		}, false},
		"another task was stopped and no longer has to run": {func(c *Check) {
			_ = c.TaskStopped("b", start)
			c.Remove("b")
		}, false},
	} {
		check := newCheck(start)
		c.before(check)
		if err := check.TaskStopped("a", after(2*time.Minute)); (err != nil) != c.wantErr {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Stops, replacements and failures are counted separately.
func TestFigures(t *testing.T) {
	start := time.Unix(1000, 0)
	c := newCheck(start)
	if err := c.TaskStopped("a", start); err != nil {
		t.Fatal(err)
	}
	c.TaskNotRunning("a", start) // the worker reports the same stop; this is no failure
	c.TaskRunning("a", start.Add(time.Second))
	c.TaskNotRunning("b", start.Add(2*time.Second))
	if want := (Figures{Stops: 1, Replaced: 1, Failed: 1, MaxVoluntary: 1}); c.Figures() != want {
		t.Errorf("figures %+v, want %+v", c.Figures(), want)
	}
	if c.NotRunningCount() != 1 {
		t.Errorf("%d tasks do not run, want 1", c.NotRunningCount())
	}
}
