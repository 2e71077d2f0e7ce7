package controller

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"ravenport/wire"
)

// runLateScaleIns freezes an owner just as it requests the scale-in of an idle machine from the
// cloud. The successor has work for all machines. Then the first owner resumes. It returns the
// number of tasks of the successor that the late scale-ins ended, and the number of late
// scale-ins.
func runLateScaleIns(t *testing.T, seed uint64, closeBeforeScaleIn bool) (ended, late int) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldWithTimes(seed, []string{"a", "b"}, 3, lease26Times)
		w.lateCommandShare, w.reliableCloud, w.noAnswerLoss, w.lostAnswerShare, w.lateWriteShare, w.repeatedWriteShare, w.lateCopyShare = 0, true, true, 0, 0, 0, 0
		for k := range w.capacity {
			w.capacity[k] = 0
		}
		w.capacity["a/on-demand"] = 2
		for _, n := range w.controllers {
			n.set.Duties.CloseBeforeScaleIn = closeBeforeScaleIn
			n.start()
		}
		go w.expireLeases()
		defer w.shutdown()
		time.Sleep(5 * time.Second)
		first := w.newArray("run-000001", 2, 8, 10) // fills both machines
		first.spec.Zone = "a"
		first.spec.Spot = false
		go w.runUser(first, 0, 0)
		w.waitAllDone(t, 2*time.Minute, []*simJob{first})
		owner := w.controllers[w.owner("a")]
		w.locked(func() { w.onScaleIn = func(*simController) { owner.frozenUntil = time.Now().Add(25 * time.Second) } })
		w.waitUntil(t, "a scale-in was requested", 2*time.Minute, func() bool { return w.eventCount("scale-in requests") > 0 })
		w.locked(func() { w.onScaleIn = nil })
		service := &simJob{spec: wire.Submission{ID: "run-000002", Class: "c", Team: "free", Kind: wire.KindService, Priority: wire.PriorityProduction,
			Tasks: 2, CPUs: 8, MemoryGB: 1, Image: "i", ImageGB: 1, Zone: "a"}, doneTasks: map[int]bool{}}
		w.locked(func() { w.jobs[service.spec.ID] = service })
		go w.runUser(service, 0, 0)
		time.Sleep(60 * time.Second)
		ended, late = w.eventCount("running tasks ended by a late scale-in"), w.eventCount("late scale-ins")
		if len(w.violations) > 0 {
			t.Errorf("rules broken: %v", w.violations)
		}
	})
	return ended, late
}

// If an owner writes a machine as terminating before it requests the scale-in, a scale-in that is
// executed after the owner was replaced ends no task of the successor. Without that write it
// does.
func TestLateScaleInEndsNoTask(t *testing.T) {
	discardLogs(t)
	endedWithoutClosing, lateWithClosing := 0, 0
	for seed := range uint64(6) {
		ended, late := runLateScaleIns(t, seed, true)
		if ended > 0 {
			t.Errorf("seed %d: %d tasks of the successor were ended", seed, ended)
		}
		lateWithClosing += late
		ended, _ = runLateScaleIns(t, seed, false)
		endedWithoutClosing += ended
	}
	if lateWithClosing == 0 || endedWithoutClosing == 0 {
		t.Errorf("the test proves nothing: %d late scale-ins of machines written as terminating, %d tasks ended without that write", lateWithClosing, endedWithoutClosing)
	}
}

// failovers is the number of failovers that TestScaleInUnderForcedFailovers forces.
var failovers = flag.Int("returns.handovers", 60, "number of failovers to force")

// Owners repeatedly freeze as they request a scale-in, for about the duration of a lease or much
// longer, under varying load. Over many failovers no scale-in that was decided under an earlier
// term ends a task that was started on the machine since.
func TestScaleInUnderForcedFailovers(t *testing.T) {
	discardLogs(t)
	total := map[string]int{}
	for seed := uint64(0); total["failovers"] < *failovers; seed++ {
		synctest.Test(t, func(t *testing.T) { forceFailovers(t, seed, total) })
	}
	t.Logf("%d failovers, %d scale-in requests, %d of them late, %d tasks ended", total["failovers"], total["scale-in requests"], total["late scale-ins"], total["taken"])
	if total["taken"] > 0 {
		t.Errorf("scale-ins ended %d tasks that were started on the machine after the decision", total["taken"])
	}
	if total["late scale-ins"] < *failovers/10 {
		t.Errorf("only %d late scale-ins in %d failovers", total["late scale-ins"], total["failovers"])
	}
}

// forceFailovers forces failovers for about ten minutes and adds the counts to total.
func forceFailovers(t *testing.T, seed uint64, total map[string]int) {
	w := newWorldWithTimes(seed, []string{"a", "b"}, 3, lease26Times)
	w.lateCommandShare, w.reliableCloud, w.lateCopyShare = 0, true, 0
	for _, n := range w.controllers {
		n.set.Duties.CloseBeforeScaleIn = true
		n.set.Operator.SpotIdleTimeout, n.set.Operator.OnDemandIdleTimeout = 3*time.Second, 3*time.Second
		n.start()
	}
	go w.expireLeases()
	defer w.shutdown()
	time.Sleep(5 * time.Second)
	w.locked(func() {
		w.onScaleIn = func(by *simController) {
			if time.Now().After(by.frozenUntil) && w.rng.IntN(2) == 0 {
				by.frozenUntil = time.Now().Add(time.Duration(2+w.rng.IntN(14)) * time.Second)
			}
		}
	})
	before := w.term("a") + w.term("b")
	var jobs []*simJob
	for i := range 60 {
		j := w.newArray(fmt.Sprintf("run-%06d", 100+i), 1+int(seed+uint64(i))%4, 4, 8)
		go w.runUser(j, 0, 0)
		jobs = append(jobs, j)
		time.Sleep(w.randomDuration(5*time.Second, 15*time.Second))
	}
	w.locked(func() { w.onScaleIn = nil })
	total["failovers"] += int(w.term("a") + w.term("b") - before)
	w.endFaultsAndWait(t, 4*time.Minute, jobs)
	if len(w.violations) > 0 {
		t.Errorf("seed %d: rules broken: %v", seed, w.violations)
	}
	total["scale-in requests"] += w.eventCount("scale-in requests")
	total["late scale-ins"] += w.eventCount("late scale-ins")
	total["taken"] += w.eventCount("running tasks ended by a late scale-in")
}
