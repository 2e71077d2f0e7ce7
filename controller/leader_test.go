package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"ravenport/constants"
	"ravenport/records"
)

// A leader that the others' calls do not reach, though its own reach them, knows the
// figures of its own shard alone. It hands the leadership on, and work goes on coming
// to the machines of the others; see docs/incidents/deaf-leader.md.
func TestLeaderThatNobodyTellsHandsOn(t *testing.T) {
	quietLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newWorldOf(2, []string{"a", "b", "c"}, 3, magnoliaTimes)
		w.late, w.tame, w.lostAnswers, w.lateWrites, w.repeats = 0, true, 0, 0, 0
		for k := range w.capacity {
			w.capacity[k] = 4
		}
		for _, n := range w.controllers {
			n.start()
		}
		go w.expireLeases()
		defer w.shut()
		time.Sleep(5 * time.Second)
		w.allRun(t, w.boundArrays(0, 600)) // each shard has machines
		leader := w.holder(records.KeyLeader)
		w.do(func() { w.controllers[leader].noCalls, w.controllers[leader].cutReports = true, true })
		cut := time.Now()
		w.until(t, "another leader", 3*constants.PeerSilenceTimeout, func() bool { return w.holder(records.KeyLeader) != leader })
		t.Logf("another one leads after %s", time.Since(cut))
		j := w.newArray("run-000100", 4, 2, 5)
		go w.user(j, 0, 0)
		began := time.Now()
		w.until(t, "new work begins beside the leader that was", 10*time.Second, func() bool { return w.tasksOn("", j.spec.ID) > 0 })
		t.Logf("new work begins after %s", time.Since(began))
		if len(w.broken) > 0 {
			t.Error(w.broken)
		}
	})
}
