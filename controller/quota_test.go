package controller

import (
	"slices"
	"testing"
	"time"
)

// The done tasks of an array do not hold its team's limit until the last one ends:
// another job of the team would wait beside room for it.
func TestDoneTasksFreeQuota(t *testing.T) {
	runScenarios(t, []scenario{{name: "one task of eight runs on", times: magnoliaTimes, zones: []string{"a", "b"}, seeds: []uint64{1, 2}, body: func(t *testing.T, w *world) {
		w.locked(func() { w.calmSince = time.Now() })
		long := w.newArray("run-000001", 8, 1, 10)
		long.spec.Team, long.spec.Zone, long.runs = "tight", "a", slices.Repeat([]float64{3}, 8)
		long.runs[5] = 400
		go w.runUser(long, 0, 0)
		w.waitUntil(t, "all but one are done", 2*time.Minute, func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return len(long.doneTasks) == 7
		})
		next := w.newArray("run-000002", 1, 7, 10)
		next.spec.Team = "tight"
		go w.runUser(next, 0, 0)
		w.waitUntil(t, "the other one is done", 2*time.Minute, func() bool { return w.hasEnded(next) })
		if w.hasEnded(long) {
			w.fail(t, "the first one has ended: nothing was held")
		}
	}}})
}
