package controller

import (
	"errors"
	"testing"
	"time"

	"ravenport/worker"
)

// errReplyHeld is the error of a direct command whose reply the network holds back for too long.
var errReplyHeld = errors.New("the reply is held back")

// holdReply delays the reply to a direct command until shortly after the machine's termination.
// The command times out if the machine is not terminated by then.
func (w *world) holdReply(m *simWorker, reply worker.Result) worker.Result {
	const timeout, delay, interval = 2 * time.Second, 50 * time.Millisecond, 10 * time.Millisecond
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(interval) {
		removed := false
		w.locked(func() { removed = m.removed })
		if removed {
			time.Sleep(delay)
			w.locked(func() { w.observed["replies after a termination"]++ })
			return reply
		}
	}
	return worker.Result{Err: errReplyHeld}
}

// holdBackMachines makes the network hold back what one machine of each zone's array sends, until
// the machine is terminated. The key-value store is slow, so that each machine stays in the
// inventory for a while after its termination.
func holdBackMachines(t *testing.T, w *world, afterReply func()) {
	b := w.startWorkload(t, 90)
	for _, j := range b.zoneArrays {
		m := w.machinesRunning(j.spec.ID)[0]
		w.locked(func() { m.cutFromControllers, m.repliesHeld = true, true })
	}
	w.locked(func() { w.storeLatency = 300 * time.Millisecond })
	w.waitUntil(t, "a reply arrives after the termination", 90*time.Second, func() bool { return w.eventCount("replies after a termination") > 0 })
	afterReply()
	time.Sleep(w.times.lease())
	w.locked(func() {
		for _, m := range w.machines {
			m.repliesHeld = false
		}
	})
	w.endFaultsAndWait(t, 6*time.Minute, b.mustFinish)
}

// TestReplyAfterTermination: the reply to a direct command arrived after the cloud had confirmed
// the machine's termination and before the machine had left the inventory. The owner believed for
// ever that the machine's tasks ran, and never started them again.
func TestReplyAfterTermination(t *testing.T) {
	list := []scenario{
		{name: "the owner goes on", body: func(t *testing.T, w *world) {
			holdBackMachines(t, w, func() {})
		}},
		{name: "all owners end afterwards", body: func(t *testing.T, w *world) {
			holdBackMachines(t, w, func() {
				for _, n := range w.controllers {
					n.restart(w.randomDuration(500*time.Millisecond, 2*time.Second))
				}
			})
		}},
		{name: "the store is unavailable afterwards", body: func(t *testing.T, w *world) {
			holdBackMachines(t, w, func() {
				w.setOutage(true)
				time.Sleep(5 * time.Second)
				w.setOutage(false)
			})
		}},
	}
	for i := range list {
		list[i].zones, list[i].times, list[i].seeds = faultZones, lease26Times, []uint64{1, 2}
	}
	runScenarios(t, list)
}
