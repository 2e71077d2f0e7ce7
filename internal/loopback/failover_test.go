package loopback

import (
	"flag"
	"regexp"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"ravenport/history"
)

// Flags of the failover tests. Their defaults give the short run of CI. A long run, for one
// size of deployment, is:
//
//	go test ./internal/loopback -run TestTakeoverOfRealProcesses -v -timeout 0 -takeover.rounds 30 -takeover.slow -takeover.controllers 5
var (
	failoverRounds         = flag.Int("takeover.rounds", 1, "number of failures of each kind")
	failoverControllers    = flag.Int("takeover.controllers", 3, "controllers")
	failoverMachines       = flag.Int("takeover.machines", 24, "maximum number of machines of the cloud")
	failoverDefaultTimes   = flag.Bool("takeover.slow", false, "use the default times instead of short ones")
	failoverPattern        = flag.String("takeover.only", "", "inject only failures whose names match this expression")
	failoverEarlierProgram = flag.String("takeover.earlier", "", "a program of an earlier version, without failure detection, that the first controller runs")
	evidenceDir            = flag.String("takeover.keep", "", "directory in which logs and the second-by-second table are saved even if the test passes")
	failoverDetection      = flag.Bool("takeover.detection", true, "failure detection is on")
)

const (
	// largeFleet is a number of machines. A fleet with more machines is filled with services
	// of largeServiceReplicas replicas each.
	largeFleet           = 100
	largeServiceReplicas = 400
)

// shortDetection has settings with which failure detection takes seconds.
const shortDetection = `detection.heartbeat.ms = 250
detection.suspect.min.ms = 700
detection.suspect.max.ms = 2000
detection.declare.ms = 1500
detection.probe.timeout.ms = 250
detection.stall.ms = 2000`

// failoverDeployment returns a deployment with the default times, or with short times so
// that a failover takes seconds.
func failoverDeployment() deployment {
	deployment := deployment{
		zones:           []string{"a", "b", "c"},
		machines:        *failoverMachines,
		cpu:             0.5,
		memoryMB:        300,
		heartbeatPeriod: time.Second,
		workerLeaseS:    10,
		cancelTimeoutS:  40,
		writeRPS:        80,
		tasksPerArray:   6,
		arrayInterval:   300 * time.Millisecond,
		taskDuration:    3 * time.Second,
		services:        6,
		replicas:        3,

		controllerCount:     *failoverControllers,
		operatorProperties:  "membership.lease.ms = 2000",
		detectionProperties: shortDetection,
		controllerLeaseTTL:  2 * time.Second,
		canPartition:        true,
	}
	if *failoverMachines > largeFleet { // a replica uses an eighth of a machine; the remaining capacity is for job arrays
		deployment.services = *failoverMachines * 7 / largeServiceReplicas
		deployment.replicas = largeServiceReplicas
	}
	if *failoverDefaultTimes {
		deployment.useDefaultTimes()
		deployment.detectionProperties = "detection.revoke = true"
	}
	if !*failoverDetection {
		deployment.detectionProperties = ""
	}
	return deployment
}

// TestTakeoverOfRealProcesses injects failures into real controller processes while jobs
// are submitted and run. It checks that another controller takes over from a failed owner,
// that an owner that did not fail keeps its shard, that no task runs twice and no task is
// lost, and that term acquisitions and executed commands are linearizable.
func TestTakeoverOfRealProcesses(t *testing.T) {
	deployment := failoverDeployment()
	deployment.earlierProgram = *failoverEarlierProgram
	fleet := newFleet(t, deployment)
	jobs := fleet.startWorkload(t)
	time.Sleep(8 * time.Second) // machines boot, shards are rebuilt
	fleet.awaitLargeServices(t)
	sampler := fleet.startSampling(jobs)
	pattern := regexp.MustCompile(*failoverPattern)
	for _, failure := range controllerFailures(deployment) {
		if !pattern.MatchString(failure.name) {
			continue
		}
		var failovers []failover
		for round := range *failoverRounds {
			zone := deployment.zones[round%len(deployment.zones)]
			failovers = append(failovers, fleet.failOwner(t, failure, zone))
			time.Sleep(deployment.controllerLeaseTTL + time.Second)
		}
		logSummary(t, failure, failovers)
	}
	jobs.awaitArrays(t, fleet)
	fleet.checkRules(t)
	fleet.saveEvidence(t, sampler.finish())
}

// failOwner injects a failure into the owner of a zone's shard, waits for the failover and
// returns its figures.
func (f *fleet) failOwner(t *testing.T, failure failure, zone string) failover {
	t.Helper()
	if failure.harmless || failure.needsDetection {
		// A shard whose owner is in another zone may move only because of that, without any
		// failure.
		zone = f.awaitLocalOwner(t)
	}
	name, term := f.store.shardOwner(zone)
	owner := f.controllerIndex(name)
	if owner < 0 {
		t.Fatalf("the shard of zone %s has no owner", zone)
	}
	limit := 8*f.controllerLeaseTTL + 10*time.Second
	if failure.harmless {
		limit = failure.duration
	}
	startedAt := time.Now()
	failure.inject(f, owner)
	newName, newTerm := name, term
	for time.Since(startedAt) < limit && (newName == name || failure.harmless) {
		time.Sleep(20 * time.Millisecond)
		newName, newTerm = f.store.shardOwner(zone)
	}
	if newName != name {
		f.awaitFirstCommand(zone, newTerm)
	}
	failure.repair(f, owner)
	figures := f.readStateChanges(startedAt, name, failure.harmless)
	figures.moved = newTerm != term
	if figures.moved {
		figures.acquired = f.observer.acquisition(zone, newTerm).Sub(startedAt)
		if at := f.observer.firstCommand(zone, newTerm); !at.IsZero() {
			figures.firstCommand = at.Sub(startedAt)
		}
	}
	if failure.harmless && figures.moved {
		t.Errorf("%s: the shard of zone %s moved from %s, term %d, to %s, term %d", failure.name, zone, name, term, newName, newTerm)
	}
	if !failure.harmless && !figures.moved && (*failoverDetection || !failure.needsDetection) {
		t.Errorf("%s: no controller took over the shard of zone %s within %s", failure.name, zone, limit)
	}
	if failure.needsDetection && figures.moved && figures.declared == 0 {
		t.Errorf("%s: the shard moved, but no controller declared its owner failed", failure.name)
	}
	if figures.falseDeclarations > 0 {
		t.Errorf("%s: %d controllers that had not failed were declared failed", failure.name, figures.falseDeclarations)
	}
	return figures
}

// awaitFirstCommand waits until a worker has executed a command of a new term, or until the
// duration of a lease and 3 s have passed.
func (f *fleet) awaitFirstCommand(zone string, term uint64) {
	end := time.Now().Add(f.controllerLeaseTTL + 3*time.Second)
	for time.Now().Before(end) && f.observer.firstCommand(zone, term).IsZero() {
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitLocalOwner waits until a controller owns the shard of its own zone, and returns the
// zone.
func (f *fleet) awaitLocalOwner(t *testing.T) string {
	t.Helper()
	for end := time.Now().Add(2 * time.Minute); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i, zone := range f.zones {
			if name, _ := f.store.shardOwner(zone); f.controllerIndex(name) >= 0 && f.controllerIndex(name)%len(f.zones) == i {
				return zone
			}
		}
	}
	t.Fatal("no shard is owned by a controller of its zone")
	return ""
}

// checkRules checks the observations of the workers and the store over the whole test: no
// rule was violated, ownership is linearizable, and membership events were stored.
func (f *fleet) checkRules(t *testing.T) {
	t.Helper()
	f.checkNoViolations(t)
	for zone, result := range f.observer.checkOwnership() {
		t.Logf("ownership of %s: %d acquisitions and executed commands: %s", zone, len(f.observer.ownershipHistory[zone]), result)
		if result != porcupine.Ok {
			t.Errorf("acquisitions and executed commands of %s are not linearizable: %s", zone, result)
		}
	}
	if !*failoverDetection {
		return
	}
	eventCount := 0
	for _, c := range f.controllers {
		if c.program != f.program {
			continue // the earlier version stores no membership events
		}
		events, err := history.Read(f.historyPath(c))
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		eventCount += len(events)
	}
	if eventCount == 0 {
		t.Error("no membership event was stored")
	}
}

var idleDuration = flag.Duration("takeover.rest", 0, "how long idle controllers are measured")

// TestRestingControllers measures the processor time of idle controllers, with or without
// failure detection (-takeover.detection):
//
//	go test ./internal/loopback -run TestRestingControllers -v -takeover.rest 60s
func TestRestingControllers(t *testing.T) {
	if *idleDuration == 0 {
		t.Skip("nothing to measure: -takeover.rest is not set")
	}
	f := newFleet(t, failoverDeployment())
	time.Sleep(10 * time.Second)
	before := f.processorTime()
	time.Sleep(*idleDuration)
	processorTime := f.processorTime() - before
	t.Logf("%d controllers, detection %v: %.2f ms of processor time a second each", len(f.controllers), *failoverDetection,
		1000*processorTime.Seconds()/idleDuration.Seconds()/float64(len(f.controllers)))
}
