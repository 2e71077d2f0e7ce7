package loopback

import (
	"flag"
	"slices"
	"strings"
	"testing"
	"time"

	"ravenport/drain"
	"ravenport/records"
)

// What the drain test plays. The defaults are the short form that the tests run; the
// long one replaces the fleet again and again, with the times that are shipped:
//
//	go test ./internal/loopback -run TestDrainOfRealProcesses -v -timeout 0 -drain.rounds 5 -drain.slow
var (
	drainRounds          = flag.Int("drain.rounds", 1, "how often the whole fleet is replaced")
	drainShippedTimes    = flag.Bool("drain.slow", false, "the times that are shipped instead of short ones")
	drainBudget          = flag.String("drain.budget", "2", "tasks of the team that may be unavailable")
	drainWithoutFailures = flag.Bool("drain.quiet", false, "nothing fails: measure the time that a drain takes")
	drainUnlimited       = flag.Bool("drain.naive", false, "no budget: machines are emptied as fast as they can be")
	drainServices        = flag.Int("drain.services", 8, "services of three replicas")
)

// drainDeployment is a deployment that keeps room for a third of its machines.
func drainDeployment() deployment {
	d := deployment{
		zones: []string{"a", "b", "c"}, machines: 36, cpu: 0.5, memoryMB: 300,
		heartbeatPeriod: time.Second, workerLeaseS: 10, cancelTimeoutS: 40, writeRPS: 80,
		tasksPerArray: 2, taskDuration: 3 * time.Second, arrayInterval: time.Second, services: *drainServices, replicas: 3,
		controllerCount: 3, canPartition: true, controllerLeaseTTL: 2 * time.Second, operatorProperties: "membership.lease.ms = 2000",
		drainingProperties: "disruption.stable.ms = 2000\ndrain.parallel.percent = 34\ndrain.array.wait.ms = 5000\ndrain.replace.within.ms = 30000\n",
	}
	if *drainShippedTimes {
		d.heartbeatPeriod, d.workerLeaseS, d.cancelTimeoutS, d.controllerLeaseTTL, d.operatorProperties = 3*time.Second, 26, 56, 3500*time.Millisecond, ""
		d.drainingProperties = "drain.parallel.percent = 34\n"
	}
	budget := *drainBudget
	if *drainUnlimited {
		budget = "unlimited"
	}
	d.drainingProperties += "disruption.budget.* = " + budget + "\n"
	return d
}

// TestDrainOfRealProcesses replaces the whole fleet of a deployment at work through the
// command line, while controllers and machines fail. Judged by what the workers see, no
// voluntary stop takes more than the budget, no task runs twice and none is lost.
func TestDrainOfRealProcesses(t *testing.T) {
	f := newFleet(t, drainDeployment())
	stable := f.checkDisruptions(t)
	jobs := f.startWorkload(t)
	replicas := f.services * f.replicas
	f.awaitServiceTasks(t, replicas, time.Minute)
	time.Sleep(2 * stable)
	f.checkRefusals(t)
	before := f.disruptionFigures()
	for round := range *drainRounds {
		var failures []drainFailure
		if !*drainWithoutFailures {
			failures = f.usualDrainFailures()
		}
		r := f.replaceFleet(t, failures)
		t.Logf("round %d: %+v", round, r)
		f.awaitServiceTasks(t, replicas, time.Minute)
		if !r.waitedForBudget && !*drainUnlimited {
			t.Errorf("round %d never waited for its budget", round)
		}
	}
	seen := f.disruptionFigures()
	t.Logf("%d stops by choice, %d replaced, %d tasks failed, at most %d down by choice", seen.Stops-before.Stops, seen.Replaced-before.Replaced, seen.Failed-before.Failed, seen.MaxVoluntary)
	if seen.Replaced == before.Replaced || !*drainWithoutFailures && seen.Failed == before.Failed {
		t.Error("nothing was moved, or nothing failed")
	}
	jobs.awaitArrays(t, f)
	for _, broken := range f.observer.violations() {
		t.Error(broken)
	}
	f.saveEvidence(t, nil)
}

// fleetReplacement is what was seen of one replacement of the whole fleet.
type fleetReplacement struct {
	machines        int
	duration        time.Duration
	waitedForBudget bool          // for its budget
	maxDown         int           // tasks of services that did not run, in any second
	downTaskSeconds int           // task-seconds of that
	storeChanges    int           // of the state service, also for the arrays that come and go
	processorTime   time.Duration // processor time of all controllers
}

// replaceFleet drains all machines that there are, while things fail.
func (f *fleet) replaceFleet(t *testing.T, failures []drainFailure) fleetReplacement {
	t.Helper()
	old := map[string]bool{}
	for _, m := range f.cloud.allMachines() {
		old[m.name] = true
	}
	r := fleetReplacement{machines: len(old)}
	_, revision := f.store.unassignedTasks()
	spent := f.processorTime()
	before := f.disruptionFigures()
	number, began := f.startDrain(t), time.Now()
	for sample, look := time.Now(), time.Now(); ; time.Sleep(pointPollInterval) {
		if len(failures) > 0 && failures[0].isDue(number, time.Since(began), before) {
			t.Logf("%s", failures[0].name)
			failures[0].inject()
			failures = failures[1:]
		}
		for now := time.Now(); !sample.After(now); sample = sample.Add(time.Second) {
			down := f.services*f.replicas - f.runningServiceTasks()
			r.maxDown, r.downTaskSeconds = max(r.maxDown, down), r.downTaskSeconds+down
		}
		if time.Now().Before(look) {
			continue
		}
		look = time.Now().Add(100 * time.Millisecond)
		v := f.drainView(t, number)
		r.waitedForBudget = r.waitedForBudget || slices.ContainsFunc(v.Shards, func(p drain.ShardProgress) bool { return strings.Contains(p.WaitingFor, "used up") })
		if v.State == records.DrainFinished {
			break
		}
		if time.Since(began) > 10*time.Minute || v.State == records.DrainStopped {
			t.Fatalf("the drain does not come to its end: %+v", v)
		}
	}
	r.duration = time.Since(began)
	_, now := f.store.unassignedTasks()
	r.storeChanges, r.processorTime = int(now-revision), f.processorTime()-spent
	for _, m := range f.cloud.allMachines() {
		if old[m.name] {
			t.Errorf("%s is still there", m.name)
		}
	}
	if len(failures) > 0 {
		t.Errorf("it ended before %s", failures[0].name)
	}
	return r
}
