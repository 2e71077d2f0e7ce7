package controller

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"ravenport/wire"
)

// lateReturns plays an owner that stands still just as it asks the cloud to take back
// an idle machine; its successor has work for all machines; then the first one goes on.
// It returns how many tasks that the successor had started were taken by the late
// return, and how many late returns came about.
func lateReturns(t *testing.T, seed uint64, closeFirst bool) (taken, late int) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldOf(seed, []string{"a", "b"}, 3, magnoliaTimes)
		w.late, w.tame, w.lossless, w.lostAnswers, w.lateWrites, w.repeats, w.lateCopies = 0, true, true, 0, 0, 0, 0
		for k := range w.capacity {
			w.capacity[k] = 0
		}
		w.capacity["a/ordinary"] = 2
		for _, n := range w.controllers {
			n.set.Duties.CordonBeforeScaleIn = closeFirst
			n.start()
		}
		go w.expireLeases()
		defer w.shut()
		time.Sleep(5 * time.Second)
		first := w.newArray("run-000001", 2, 8, 10) // fills both machines
		first.spec.Zone = "a"
		first.spec.Spot = false
		go w.user(first, 0, 0)
		w.allDone(t, 2*time.Minute, []*simJob{first})
		owner := w.controllers[w.owner("a")]
		w.do(func() { w.onReturn = func(*simController) { owner.frozenUntil = time.Now().Add(25 * time.Second) } })
		w.until(t, "a return is on its way", 2*time.Minute, func() bool { return w.count("returns asked") > 0 })
		w.do(func() { w.onReturn = nil })
		service := &simJob{spec: wire.Submission{ID: "run-000002", Class: "c", Team: "free", Kind: wire.KindService, Priority: wire.PriorityProduction,
			Tasks: 2, CPUs: 8, MemoryGB: 1, Image: "i", ImageGB: 1, Zone: "a"}, doneTasks: map[int]bool{}}
		w.do(func() { w.jobs[service.spec.ID] = service })
		go w.user(service, 0, 0)
		time.Sleep(60 * time.Second)
		taken, late = w.count("running tasks taken by a late return"), w.count("late returns")
		if len(w.broken) > 0 {
			t.Errorf("rules broken: %v", w.broken)
		}
	})
	return taken, late
}

// A return that an owner decided, and that is carried out after it was replaced, takes
// nothing that its successor has started, where machines are closed first; without
// that it does.
func TestLateReturnHitsNothing(t *testing.T) {
	quietLogs(t)
	hitWithout, lateWith := 0, 0
	for seed := range uint64(6) {
		taken, late := lateReturns(t, seed, true)
		if taken > 0 {
			t.Errorf("seed %d: %d tasks of the successor were taken", seed, taken)
		}
		lateWith += late
		taken, _ = lateReturns(t, seed, false)
		hitWithout += taken
	}
	if lateWith == 0 || hitWithout == 0 {
		t.Errorf("it hardly came about: %d late returns of closed machines, %d tasks taken without closing", lateWith, hitWithout)
	}
}

// handovers is how many forced handovers TestReturnsUnderForcedHandovers plays.
var handovers = flag.Int("returns.handovers", 60, "forced handovers to play")

// Owners stand still as they ask for returns, for about a lease or much longer, again and
// again, under a load that comes and goes. Over many handovers no return that was
// decided under an earlier term takes anything that came to a machine since.
func TestReturnsUnderForcedHandovers(t *testing.T) {
	quietLogs(t)
	total := map[string]int{}
	for seed := uint64(0); total["handovers"] < *handovers; seed++ {
		synctest.Test(t, func(t *testing.T) { forceHandovers(t, seed, total) })
	}
	t.Logf("%d handovers, %d returns asked, %d of them late, %d tasks taken", total["handovers"], total["returns asked"], total["late returns"], total["taken"])
	if total["taken"] > 0 {
		t.Errorf("%d tasks that came to a machine after its return was decided were taken by it", total["taken"])
	}
	if total["late returns"] < *handovers/10 {
		t.Errorf("only %d late returns in %d handovers", total["late returns"], total["handovers"])
	}
}

// forceHandovers plays ten minutes of them and adds up what was seen.
func forceHandovers(t *testing.T, seed uint64, total map[string]int) {
	w := newWorldOf(seed, []string{"a", "b"}, 3, magnoliaTimes)
	w.late, w.tame, w.lateCopies = 0, true, 0
	for _, n := range w.controllers {
		n.set.Duties.CordonBeforeScaleIn = true
		n.set.Operator.SpotIdleTimeout, n.set.Operator.OnDemandIdleTimeout = 3*time.Second, 3*time.Second
		n.start()
	}
	go w.expireLeases()
	defer w.shut()
	time.Sleep(5 * time.Second)
	w.do(func() {
		w.onReturn = func(by *simController) {
			if time.Now().After(by.frozenUntil) && w.rng.IntN(2) == 0 {
				by.frozenUntil = time.Now().Add(time.Duration(2+w.rng.IntN(14)) * time.Second)
			}
		}
	})
	before := w.term("a") + w.term("b")
	var jobs []*simJob
	for i := range 60 {
		j := w.newArray(fmt.Sprintf("run-%06d", 100+i), 1+int(seed+uint64(i))%4, 4, 8)
		go w.user(j, 0, 0)
		jobs = append(jobs, j)
		time.Sleep(w.between(5*time.Second, 15*time.Second))
	}
	w.do(func() { w.onReturn = nil })
	total["handovers"] += int(w.term("a") + w.term("b") - before)
	w.settle(t, 4*time.Minute, jobs)
	if len(w.broken) > 0 {
		t.Errorf("seed %d: rules broken: %v", seed, w.broken)
	}
	total["returns asked"] += w.count("returns asked")
	total["late returns"] += w.count("late returns")
	total["taken"] += w.count("running tasks taken by a late return")
}
