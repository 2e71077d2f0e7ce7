package controller

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// allCancellationCases makes TestCancelledTasksEndInTime run its whole table. By default the
// test runs every cancellationCaseStride-th case.
var allCancellationCases = flag.Bool("sim.cancellations", false, "run all cases of cancellations under faults")

// cancellationCaseStride is the distance in the table between two cases that a default run
// takes. It is prime, so that each value of each column occurs.
const cancellationCaseStride = 13

// controllerFault is a fault of the controllers or of a service that they depend on, injected
// during a cancellation. It ends by itself.
type controllerFault struct {
	name   string
	inject func(w *world, owner, other *simController)
}

// workerFault is a fault of the machine whose task is cancelled. It lasts until the end of the
// case.
type workerFault struct {
	name   string
	inject func(*simWorker)
}

var controllerFaults = []controllerFault{
	{"no fault", func(*world, *simController, *simController) {}},
	{"owner revoked", func(w *world, owner, other *simController) { w.proposeRevocation(other, owner) }},
	{"owner revoked, then its successor revoked", func(w *world, owner, other *simController) {
		w.proposeRevocation(other, owner)
		time.AfterFunc(12*time.Second, func() { w.proposeRevocation(owner, other) })
	}},
	{"owner ends", func(_ *world, owner, _ *simController) { owner.restart(8 * time.Second) }},
	{"all controllers end", func(w *world, _, _ *simController) {
		for _, n := range w.controllers {
			n.restart(3 * time.Second)
		}
	}},
	{"owner frozen", func(_ *world, owner, _ *simController) { owner.freeze(15 * time.Second) }},
	{"owner refused by the store", func(w *world, owner, _ *simController) {
		w.injectTemporarily(30*time.Second, func(on bool) { owner.cutFromStore = on })
	}},
	{"store unavailable", func(w *world, _, _ *simController) {
		w.setOutage(true)
		time.AfterFunc(20*time.Second, func() { w.setOutage(false) })
	}},
	{"owner cut from store and controllers", func(w *world, owner, _ *simController) {
		w.injectTemporarily(60*time.Second, func(on bool) { owner.cutFromStore, owner.cutFromPeers = on, on })
	}},
	{"owner ends, then the store is unavailable", func(w *world, owner, _ *simController) {
		owner.restart(8 * time.Second)
		time.AfterFunc(6*time.Second, func() {
			w.setOutage(true)
			time.AfterFunc(20*time.Second, func() { w.setOutage(false) })
		})
	}},
	{"heartbeats do not reach the owner", func(w *world, owner, _ *simController) {
		w.injectTemporarily(60*time.Second, func(on bool) { owner.heartbeatsLost = on })
	}},
	{"cloud unavailable", func(w *world, _, _ *simController) {
		w.injectTemporarily(20*time.Second, func(on bool) { w.cloudUnavailable = on })
	}},
	{"zone partitioned", func(w *world, owner, _ *simController) {
		w.injectTemporarily(30*time.Second, func(on bool) {
			w.partitionedZone = ""
			if on {
				w.partitionedZone = "a"
			}
		})
	}},
}

var workerFaults = []workerFault{
	{"healthy", func(*simWorker) {}},
	{"hung", func(m *simWorker) { m.hung = true }},
	{"cut off", func(m *simWorker) { m.disconnected = true }},
	{"deaf", func(m *simWorker) { m.receivesNothing = true }},
	{"mute", func(m *simWorker) { m.cutFromControllers = true }},
}

// Times of the faults, relative to the confirmation of the cancellation to the user.
var (
	controllerFaultOffsets = []time.Duration{-5 * time.Second, -200 * time.Millisecond, 300 * time.Millisecond}
	workerFaultOffsets     = []time.Duration{-8 * time.Second, -100 * time.Millisecond, time.Second, 7 * time.Second}
)

// cancellationCase is one combination of faults during a cancellation.
type cancellationCase struct {
	controllerFault   controllerFault
	workerFault       workerFault
	controllerFaultAt time.Duration
	workerFaultAt     time.Duration
	machines          int // in the zone of the cancelled task
}

func (c cancellationCase) String() string {
	return fmt.Sprintf("%s at %s, %s at %s, %d machines", c.controllerFault.name, c.controllerFaultAt, c.workerFault.name, c.workerFaultAt, c.machines)
}

// cancellationCases returns all combinations.
func cancellationCases() []cancellationCase {
	var cases []cancellationCase
	for _, machines := range []int{1, 4} {
		for _, controllerFault := range controllerFaults {
			for _, controllerFaultAt := range controllerFaultOffsets {
				for _, workerFault := range workerFaults {
					for _, workerFaultAt := range workerFaultOffsets {
						cases = append(cases, cancellationCase{controllerFault, workerFault, controllerFaultAt, workerFaultAt, machines})
					}
				}
			}
		}
	}
	return cases
}

// Under each combination of a controller fault and a machine fault during a job's cancellation,
// no task of the job is on any machine when cancel_s has passed.
func TestCancelledTasksEndInTime(t *testing.T) {
	discardLogs(t)
	casesRun := 0
	for i, c := range cancellationCases() {
		if !*allCancellationCases && i%cancellationCaseStride != 0 {
			continue
		}
		casesRun++
		c.run(t, uint64(i))
	}
	t.Logf("%d cases", casesRun)
}

// run runs one case and reports broken rules.
func (c cancellationCase) run(t *testing.T, seed uint64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(seed, []string{"a", "b"}, 3)
		w.lateCommandShare, w.reliableCloud = 0, true
		for _, n := range w.controllers {
			n.enableDetection()
			n.start()
		}
		go w.expireLeases()
		defer w.shutdown()
		time.Sleep(5 * time.Second)
		j := w.newArray("run-000001", c.machines, 8, 600) // each task fills a machine
		j.spec.Zone = "a"
		other := w.newArray("run-000002", 3, 8, 600)
		other.spec.Zone = "b"
		go w.runUser(j, 0, 0)
		go w.runUser(other, 0, 0)
		w.waitAllRunning(t, []*simJob{j, other})
		time.Sleep(10 * time.Second)
		c.cancelUnderFaults(t, w, j)
		time.Sleep(w.times.cancelWithin() + 15*time.Second)
		if len(w.violations) > 0 {
			t.Errorf("case %d: %s: %d broken rules, first: %s", seed, c, len(w.violations), strings.Join(w.violations[:1], "; "))
		}
	})
}

// cancelUnderFaults cancels a job and injects the faults at their times.
func (c cancellationCase) cancelUnderFaults(t *testing.T, w *world, j *simJob) {
	t.Helper()
	owner := w.ownerController("a")
	var confirmingIndex int
	for i, n := range w.controllers {
		if n != owner {
			confirmingIndex = i
		}
	}
	machine := w.machinesRunning(j.spec.ID)[0]
	const leadTime = 10 * time.Second // before the cancellation
	time.AfterFunc(leadTime+c.controllerFaultAt, func() { c.controllerFault.inject(w, owner, w.controllers[confirmingIndex]) })
	time.AfterFunc(leadTime+c.workerFaultAt, func() {
		w.locked(func() {
			c.workerFault.inject(machine)
			machine.recordState("machine fails")
		})
	})
	time.Sleep(leadTime - 10*time.Millisecond)
	w.waitUntil(t, "the cancellation is confirmed", time.Minute, func() bool {
		confirmingIndex = (confirmingIndex + 1) % len(w.controllers)
		return w.controllers[confirmingIndex].running() != nil && w.cancelAt(confirmingIndex, j)
	})
}
