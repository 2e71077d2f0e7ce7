package controller

import (
	"testing"
	"testing/synctest"
	"time"
)

// These tests guard against workers that keep tasks beyond the end of their lease. By the
// protocol a worker kills all its tasks when the last answered heartbeat was sent more than
// lease_s ago. The simulated workers used to check their lease only between two heartbeats, so
// a worker that waited for a response, for up to 4 s, kept its tasks that much too long. The
// sum of authority, lease extension and lease leaves only 2 s of cancel_s. An owner that was
// partitioned with its zone as a job was cancelled, and frozen when the lease ended, therefore
// broke ran_cancelled on a healthy machine ("hung false, cut false, deaf false") in 1 of 1,220
// runs, 45.5 s after the cancellation, with "heartbeat sent controller=n-0" 0.8 s before the end
// of the lease and no response after it.

// leaseEndSlack is how late a simulated worker may notice the end of its lease: one step of the
// worker and one interval of the check.
const leaseEndSlack = 200 * time.Millisecond

// expectNoTaskPastLease checks that no machine, unless it hangs, keeps tasks beyond its lease.
func (w *world) expectNoTaskPastLease(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		overrun := time.Since(m.leaseRenewedAt) - w.times.lease()
		if !m.hung && len(m.tasks) > 0 && overrun > leaseEndSlack {
			t.Fatalf("%s keeps %d tasks %s past the end of its lease", m.name, len(m.tasks), overrun)
		}
	}
}

// A worker ends its tasks when its lease ends, also while it waits for the response to a
// heartbeat.
func TestLeaseEndsWhileHeartbeatWaits(t *testing.T) {
	discardLogs(t)
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			w := newStartedWorld(seed)
			defer w.shutdown()
			jobs := w.boundArrays(1, 600)
			w.waitAllRunning(t, jobs)
			for _, n := range w.controllers {
				n.freeze(40 * time.Second)
			}
			for range 35 * 20 {
				time.Sleep(50 * time.Millisecond)
				w.expectNoTaskPastLease(t)
			}
			if w.eventCount("tasks ended by a lease") == 0 {
				t.Error("no lease ended")
			}
		})
	}
}

// An owner that is partitioned with its zone as a job is cancelled extends the leases there for
// as long as allowed. If the owner answers no heartbeat when the extension ends, the job's tasks
// still end within cancel_s.
func TestLongestLeaseEndsWithinCancelTime(t *testing.T) {
	discardLogs(t)
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			w := newStartedWorld(seed)
			defer w.shutdown()
			j := w.newArray("run-000001", 2, 8, 600) // each task fills a machine
			j.spec.Zone = "a"
			go w.runUser(j, 0, 0)
			w.waitAllRunning(t, []*simJob{j})
			owner := w.ownerController("a")
			time.Sleep(w.randomDuration(time.Second, 4*time.Second))
			w.locked(func() { w.partitionedZone = owner.set.Zone })
			w.waitUntil(t, "the cancellation is confirmed", 20*time.Second, func() bool { return w.cancelAt(1, j) })
			time.Sleep(w.times.cancelWithin() - w.randomDuration(3*time.Second, 5*time.Second))
			owner.freeze(10 * time.Second)
			w.waitUntil(t, "the tasks have ended", 20*time.Second, func() bool { return w.tasksOn("a", j.spec.ID) == 0 })
			if len(w.violations) > 0 {
				t.Errorf("seed %d: %s", seed, w.violations[0])
			}
		})
	}
}
