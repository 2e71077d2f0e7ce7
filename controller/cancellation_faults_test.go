package controller

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// allCancellationCases plays the whole table of TestCancelledTasksEndInTime. Otherwise it
// plays every cancellationCaseStride-th case, each in its turn of the table.
var allCancellationCases = flag.Bool("sim.cancellations", false, "play all cases of cancellations that meet faults")

// cancellationCaseStride is how many cases of the table a usual run plays one of. It is
// prime, so that every value of each column comes up.
const cancellationCaseStride = 13

// controllerFault is something that happens to the controllers, or to what they need, while
// a cancellation is on its way. It ends by itself.
type controllerFault struct {
	name   string
	inject func(w *world, owner, other *simController)
}

// workerFault is something that happens to the machine whose task is cancelled, until the
// end of the play.
type workerFault struct {
	name   string
	inject func(*simWorker)
}

var controllerFaults = []controllerFault{
	{"no fault", func(*world, *simController, *simController) {}},
	{"owner revoked", func(w *world, owner, other *simController) { w.proposeRevocation(other, owner) }},
	{"owner revoked, and its successor", func(w *world, owner, other *simController) {
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
		w.lasting(30*time.Second, func(on bool) { owner.cutFromStore = on })
	}},
	{"store away", func(w *world, _, _ *simController) {
		w.setOutage(true)
		time.AfterFunc(20*time.Second, func() { w.setOutage(false) })
	}},
	{"owner cut from store and controllers", func(w *world, owner, _ *simController) {
		w.lasting(60*time.Second, func(on bool) { owner.cutFromStore, owner.cutFromPeers = on, on })
	}},
	{"owner ends, then the store is away", func(w *world, owner, _ *simController) {
		owner.restart(8 * time.Second)
		time.AfterFunc(6*time.Second, func() {
			w.setOutage(true)
			time.AfterFunc(20*time.Second, func() { w.setOutage(false) })
		})
	}},
	{"heartbeats do not reach the owner", func(w *world, owner, _ *simController) {
		w.lasting(60*time.Second, func(on bool) { owner.heartbeatsLost = on })
	}},
	{"cloud away", func(w *world, _, _ *simController) {
		w.lasting(20*time.Second, func(on bool) { w.cloudUnavailable = on })
	}},
	{"zone cut off", func(w *world, owner, _ *simController) {
		w.lasting(30*time.Second, func(on bool) {
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

// Moments, counted from when the user is told of the cancellation.
var (
	controllerFaultOffsets = []time.Duration{-5 * time.Second, -200 * time.Millisecond, 300 * time.Millisecond}
	workerFaultOffsets     = []time.Duration{-8 * time.Second, -100 * time.Millisecond, time.Second, 7 * time.Second}
)

// cancellationCase is one combination of faults that a cancellation meets.
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

// cancellationCases is the table of all combinations.
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

// Whatever happens to the controllers and to the machine while a job is cancelled, no task
// of it is on any machine when cancel_s is over.
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

// run plays one case and reports the rules that were broken.
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

// cancelUnderFaults has a job cancelled, with the faults at their moments.
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
