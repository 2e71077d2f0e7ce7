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

// Flags of the drain tests. Their defaults give the short run of CI. A long run replaces the
// fleet repeatedly, with the default times:
//
//	go test ./internal/loopback -run TestDrainOfRealProcesses -v -timeout 0 -drain.rounds 5 -drain.slow
var (
	drainRounds          = flag.Int("drain.rounds", 1, "number of replacements of the whole fleet")
	drainDefaultTimes    = flag.Bool("drain.slow", false, "use the default times instead of short ones")
	drainBudget          = flag.String("drain.budget", "2", "tasks of the team that may be unavailable")
	drainWithoutFailures = flag.Bool("drain.quiet", false, "inject no failures, to measure the time that a drain takes")
	drainUnlimited       = flag.Bool("drain.naive", false, "use no disruption budget: machines are drained as fast as possible")
	drainServices        = flag.Int("drain.services", 8, "number of services, each with three replicas")
)

// shortDraining has settings of drains with which each step takes seconds.
const shortDraining = `disruption.stable.ms = 2000
drain.parallel.percent = 34
drain.array.wait.ms = 5000
drain.replace.within.ms = 30000
`

// drainDeployment returns a deployment that can run its jobs while a third of its machines
// are drained.
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

// TestDrainOfRealProcesses replaces the whole fleet with the drain command while jobs run
// and controllers and machines fail. The test checks the workers' view: no voluntary stop
// exceeds the disruption budget, no task runs twice and no task is lost.
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
			t.Errorf("round %d: the drain never waited for the disruption budget", round)
		}
	}
	after := fleet.disruptionFigures()
	t.Logf("%d voluntary stops, %d tasks replaced, %d tasks failed, at most %d tasks voluntarily unavailable",
		after.Stops-before.Stops, after.Replaced-before.Replaced, after.Failed-before.Failed, after.MaxVoluntary)
	if after.Replaced == before.Replaced || !*drainWithoutFailures && after.Failed == before.Failed {
		t.Error("no task was replaced, or no task failed")
	}
	jobs.awaitArrays(t, fleet)
	fleet.checkNoViolations(t)
	fleet.saveEvidence(t, nil)
}

// fleetReplacement holds the figures of one replacement of the whole fleet.
type fleetReplacement struct {
	machines        int
	duration        time.Duration
	waitedForBudget bool          // a step waited for a disruption budget that was used up
	maxDown         int           // maximum number of tasks of services that did not run, over all seconds
	downTaskSeconds int           // sum of the tasks of services that did not run, over all seconds
	storeChanges    int           // number of store revisions, including those for job arrays
	processorTime   time.Duration // of all controllers
}

// replacementTimeout is the time limit for one replacement of the whole fleet.
const replacementTimeout = 10 * time.Minute

// replaceFleet drains all current machines and injects the failures meanwhile. It checks
// that each machine was replaced.
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
			t.Fatalf("the drain did not finish: %+v", view)
		}
	}
	replacement.duration = time.Since(startedAt)
	_, revision := f.store.unassignedTasks()
	replacement.storeChanges = int(revision - revisionBefore)
	replacement.processorTime = f.processorTime() - processorTimeBefore
	for _, m := range f.cloud.allMachines() {
		if isOld[m.name] {
			t.Errorf("machine %s was not terminated", m.name)
		}
	}
	if len(failures) > 0 {
		t.Errorf("the drain finished before this failure was due: %s", failures[0].name)
	}
	return replacement
}

// addDown adds the number of tasks of services that did not run in one second.
func (r *fleetReplacement) addDown(down int) {
	r.maxDown = max(r.maxDown, down)
	r.downTaskSeconds += down
}

// waitsForBudget reports whether a drain waits in a shard because a disruption budget is
// used up.
func waitsForBudget(progress drain.ShardProgress) bool {
	return strings.Contains(progress.WaitingFor, "used up")
}
