package controller

import (
	"testing"
	"time"
)

// A worker counts as unserved by the owner that it was redirected to only if it returns with a
// newer heartbeat within the window and the owner is still the same.
func TestRedirectTracker(t *testing.T) {
	const window = 6 * time.Second
	now := time.Unix(0, 0)
	for name, c := range map[string]struct {
		record func(r *redirectTracker)
		want   int
	}{
		"one heartbeat":          {func(r *redirectTracker) { r.record(now, "m", 1, 5, "n-1") }, 0},
		"returned in the window": {func(r *redirectTracker) { r.record(now, "m", 1, 5, "n-1"); r.record(now.Add(window), "m", 1, 7, "n-1") }, 1},
		"returned after the window": {func(r *redirectTracker) {
			r.record(now, "m", 1, 5, "n-1")
			r.record(now.Add(window+1), "m", 1, 7, "n-1")
		}, 0},
		"a copy":        {func(r *redirectTracker) { r.record(now, "m", 1, 5, "n-1"); r.record(now.Add(1), "m", 1, 5, "n-1") }, 0},
		"an old copy":   {func(r *redirectTracker) { r.record(now, "m", 2, 5, "n-1"); r.record(now.Add(1), "m", 1, 9, "n-1") }, 0},
		"another owner": {func(r *redirectTracker) { r.record(now, "m", 1, 5, "n-1"); r.record(now.Add(1), "m", 1, 6, "n-2") }, 0},
		"a new session": {func(r *redirectTracker) { r.record(now, "m", 1, 5, "n-1"); r.record(now.Add(1), "m", 2, 1, "n-1") }, 1},
		"forgotten": {func(r *redirectTracker) {
			r.record(now, "m", 1, 5, "n-1")
			r.reset()
			r.record(now.Add(1), "m", 1, 6, "n-1")
		}, 0},
	} {
		r := newRedirectTracker(window)
		c.record(r)
		at := now.Add(window)
		if got := r.countReturned(at)["n-1"]; got != c.want {
			t.Errorf("%s: %d", name, got)
		}
		if r.countReturned(at.Add(3 * window)); len(r.workers) != 0 {
			t.Errorf("%s: the worker is never removed", name)
		}
	}
}
