package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"ravenport/constants"
	"ravenport/records"
)

// A leader that cannot be called by the other controllers, although its own calls reach them,
// knows the figures of its own shard only. It must transfer the leadership, so that the machines
// of the other shards still get work. See docs/incidents/deaf-leader.md.
func TestLeaderWithoutPeerStatusTransfersTerm(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newWorldWithTimes(2, []string{"a", "b", "c"}, 3, lease26Times)
		w.lateCommandShare, w.reliableCloud, w.lostAnswerShare, w.lateWriteShare, w.repeatedWriteShare = 0, true, 0, 0, 0
		for k := range w.capacity {
			w.capacity[k] = 4
		}
		for _, n := range w.controllers {
			n.start()
		}
		go w.expireLeases()
		defer w.shutdown()
		time.Sleep(5 * time.Second)
		w.waitAllRunning(t, w.boundArrays(0, 600)) // each shard has machines
		leader := w.termHolder(records.KeyLeader)
		w.locked(func() { w.controllers[leader].peerCallsLost, w.controllers[leader].heartbeatsLost = true, true })
		start := time.Now()
		w.waitUntil(t, "another leader", 3*constants.PeerContactTimeout, func() bool { return w.termHolder(records.KeyLeader) != leader })
		t.Logf("another controller became leader after %s", time.Since(start))
		j := w.newArray("run-000100", 4, 2, 5)
		go w.runUser(j, 0, 0)
		submittedAt := time.Now()
		w.waitUntil(t, "a new job starts", 10*time.Second, func() bool { return w.tasksOn("", j.spec.ID) > 0 })
		t.Logf("the new job started after %s", time.Since(submittedAt))
		if len(w.violations) > 0 {
			t.Error(w.violations)
		}
	})
}
