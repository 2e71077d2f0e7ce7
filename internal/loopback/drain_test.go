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

// Flags of the drain tests. The defaults are the short form that CI runs; the long one
// replaces the fleet again and again, with the default times:
//
//	go test ./internal/loopback -run TestDrainOfRealProcesses -v -timeout 0 -drain.rounds 5 -drain.slow
var (
	drainRounds          = flag.Int("drain.rounds", 1, "how often the whole fleet is replaced")
	drainDefaultTimes    = flag.Bool("drain.slow", false, "the default times instead of short ones")
	drainBudget          = flag.String("drain.budget", "2", "tasks of the team that may be unavailable")
	drainWithoutFailures = flag.Bool("drain.quiet", false, "nothing fails: measure the time that a drain takes")
	drainUnlimited       = flag.Bool("drain.naive", false, "no budget: machines are emptied as fast as they can be")
	drainServices        = flag.Int("drain.services", 8, "services of three replicas")
)

// shortDraining are settings of drains under which steps take seconds.
const shortDraining = `disruption.stable.ms = 2000
drain.parallel.percent = 34
drain.array.wait.ms = 5000
drain.replace.within.ms = 30000
`

// drainDeployment returns a deployment that can spare a third of its machines.
func drainDeployment() deployment {
	deployment := deployment{
		zones:           []string{"a", "b", "c"},
		machines:        36,
		cpu:             0.5,
		memoryMB:        300,
		heartbeatPeriod: time.Second,
		workerLeaseS:    10,
		cancelTimeoutS:  40,
		writeRPS:        80,
		tasksPerArray:   2,
		arrayInterval:   time.Second,
		taskDuration:    3 * time.Second,
		services:        *drainServices,
		replicas:        3,

		controllerCount:    3,
		operatorProperties: "membership.lease.ms = 2000",
		drainingProperties: shortDraining,
		controllerLeaseTTL: 2 * time.Second,
		canPartition:       true,
	}
	if *drainDefaultTimes {
		deployment.useDefaultTimes()
		deployment.drainingProperties = "drain.parallel.percent = 34\n"
	}
	budget := *drainBudget
	if *drainUnlimited {
		budget = "unlimited"
	}
	deployment.drainingProperties += "disruption.budget.* = " + budget + "\n"
	return deployment
}

// TestDrainOfRealProcesses replaces the whole fleet of a deployment at work through the
// command line, while controllers and machines fail. By what the workers see, no voluntary
// stop exceeds the disruption budget, no task runs twice and none is lost.
func TestDrainOfRealProcesses(t *testing.T) {
	fleet := newFleet(t, drainDeployment())
	stableAfter := fleet.checkDisruptions(t)
	jobs := fleet.startWorkload(t)
	replicas := fleet.services * fleet.replicas
	fleet.awaitServiceTasks(t, replicas, time.Minute)
	time.Sleep(2 * stableAfter)
	fleet.checkRefusals(t)
	before := fleet.disruptionFigures()
	for round := range *drainRounds {
		var failures []drainFailure
		if !*drainWithoutFailures {
			failures = fleet.defaultDrainFailures()
		}
		replacement := fleet.replaceFleet(t, failures)
		t.Logf("round %d: %+v", round, replacement)
		fleet.awaitServiceTasks(t, replicas, time.Minute)
		if !replacement.waitedForBudget && !*drainUnlimited {
			t.Errorf("round %d never waited for its budget", round)
		}
	}
	after := fleet.disruptionFigures()
	t.Logf("%d stops by choice, %d replaced, %d tasks failed, at most %d down by choice",
		after.Stops-before.Stops, after.Replaced-before.Replaced, after.Failed-before.Failed, after.MaxVoluntary)
	if after.Replaced == before.Replaced || !*drainWithoutFailures && after.Failed == before.Failed {
		t.Error("nothing was moved, or nothing failed")
	}
	jobs.awaitArrays(t, fleet)
	fleet.checkNoViolations(t)
	fleet.saveEvidence(t, nil)
}

// fleetReplacement holds the figures of one replacement of the whole fleet.
type fleetReplacement struct {
	machines        int
	duration        time.Duration
	waitedForBudget bool          // a step waited because a disruption budget was used up
	maxDown         int           // most tasks of services that did not run, in any second
	downTaskSeconds int           // sum of those tasks over all seconds
	storeChanges    int           // revisions of the store, also for the job arrays
	processorTime   time.Duration // of all controllers
}

// replacementTimeout bounds one replacement of the whole fleet.
const replacementTimeout = 10 * time.Minute

// replaceFleet drains all machines that there are, while failures are injected.
func (f *fleet) replaceFleet(t *testing.T, failures []drainFailure) fleetReplacement {
	t.Helper()
	isOld := map[string]bool{}
	for _, m := range f.cloud.allMachines() {
		isOld[m.name] = true
	}
	replacement := fleetReplacement{machines: len(isOld)}
	_, revisionBefore := f.store.unassignedTasks()
	processorTimeBefore := f.processorTime()
	figuresBefore := f.disruptionFigures()
	number := f.startDrain(t)
	startedAt := time.Now()
	nextSample, nextStatus := startedAt, startedAt
	for ; ; time.Sleep(pointPollInterval) {
		if len(failures) > 0 && failures[0].isDue(number, time.Since(startedAt), figuresBefore) {
			t.Logf("%s", failures[0].name)
			failures[0].inject()
			failures = failures[1:]
		}
		for now := time.Now(); !nextSample.After(now); nextSample = nextSample.Add(sampleInterval) {
			replacement.addDown(f.services*f.replicas - f.runningServiceTasks())
		}
		if time.Now().Before(nextStatus) {
			continue
		}
		nextStatus = time.Now().Add(100 * time.Millisecond)
		view := f.drainView(t, number)
		if slices.ContainsFunc(view.Shards, waitsForBudget) {
			replacement.waitedForBudget = true
		}
		if view.State == records.DrainFinished {
			break
		}
		if time.Since(startedAt) > replacementTimeout || view.State == records.DrainStopped {
			t.Fatalf("the drain does not come to its end: %+v", view)
		}
	}
	replacement.duration = time.Since(startedAt)
	_, revision := f.store.unassignedTasks()
	replacement.storeChanges = int(revision - revisionBefore)
	replacement.processorTime = f.processorTime() - processorTimeBefore
	for _, m := range f.cloud.allMachines() {
		if isOld[m.name] {
			t.Errorf("%s is still there", m.name)
		}
	}
	if len(failures) > 0 {
		t.Errorf("it ended before %s", failures[0].name)
	}
	return replacement
}

// addDown adds the number of tasks of services that do not run in one second.
func (r *fleetReplacement) addDown(down int) {
	r.maxDown = max(r.maxDown, down)
	r.downTaskSeconds += down
}

// waitsForBudget reports whether a drain waits in a shard for a disruption budget.
func waitsForBudget(progress drain.ShardProgress) bool {
	return strings.Contains(progress.WaitingFor, "used up")
}
