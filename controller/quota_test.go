package controller

import (
	"slices"
	"testing"
	"time"
)

// Done tasks of an array no longer count against its team's limit while other tasks of the array
// still run. Otherwise another job of the team would wait although it fits within the limit.
func TestDoneTasksFreeQuota(t *testing.T) {
	runScenarios(t, []scenario{{name: "one of eight tasks keeps running", times: lease26Times, zones: []string{"a", "b"}, seeds: []uint64{1, 2}, body: func(t *testing.T, w *world) {
		w.locked(func() { w.faultFreeSince = time.Now() })
		long := w.newArray("run-000001", 8, 1, 10)
		long.spec.Team, long.spec.Zone, long.runTimesS = "tight", "a", slices.Repeat([]float64{3}, 8)
		long.runTimesS[5] = 400
		go w.runUser(long, 0, 0)
		w.waitUntil(t, "all tasks but one are done", 2*time.Minute, func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return len(long.doneTasks) == 7
		})
		next := w.newArray("run-000002", 1, 7, 10)
		next.spec.Team = "tight"
		go w.runUser(next, 0, 0)
		w.waitUntil(t, "the second job is done", 2*time.Minute, func() bool { return w.hasEnded(next) })
		if w.hasEnded(long) {
			w.fail(t, "the first job has already ended: the test proves nothing")
		}
	}}})
}
