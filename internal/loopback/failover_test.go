package loopback

import (
	"flag"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"ravenport/history"
)

// What a takeover test plays. The defaults are the short form that the tests run; the
// long one is, for one size of deployment:
//
//	go test ./internal/loopback -run TestTakeoverOfRealProcesses -v -timeout 0 -takeover.rounds 30 -takeover.slow -takeover.controllers 5
var (
	failoverRounds         = flag.Int("takeover.rounds", 1, "takeovers of each kind")
	failoverControllers    = flag.Int("takeover.controllers", 3, "controllers")
	failoverMachines       = flag.Int("takeover.machines", 24, "machines that may be rented")
	failoverShippedTimes   = flag.Bool("takeover.slow", false, "the times that are shipped instead of short ones")
	failoverPattern        = flag.String("takeover.only", "", "play only kinds whose names match this expression")
	failoverEarlierProgram = flag.String("takeover.earlier", "", "a program of an earlier version, without failure detection, that the first controller runs")
	evidenceDir            = flag.String("takeover.keep", "", "directory in which logs and the second-by-second table are kept also if nothing fails")
	failoverDetection      = flag.Bool("takeover.detection", true, "failure detection is on")
)

// A fleet of more machines than largeFleet is filled with services of so many replicas.
const (
	largeFleet           = 100
	largeServiceReplicas = 400
)

// failoverDeployment is a deployment with short times, so that a takeover takes
// seconds, or with those that are shipped.
func failoverDeployment() deployment {
	d := deployment{
		zones: []string{"a", "b", "c"}, machines: *failoverMachines, cpu: 0.5, memoryMB: 300,
		heartbeatPeriod: time.Second, workerLeaseS: 10, cancelTimeoutS: 40, writeRPS: 80,
		tasksPerArray: 6, taskDuration: 3 * time.Second, arrayInterval: 300 * time.Millisecond, services: 6, replicas: 3,
		controllerCount: *failoverControllers, canPartition: true, controllerLeaseTTL: 2 * time.Second,
		operatorProperties: "membership.lease.ms = 2000",
		detectionProperties: "detection.heartbeat.ms = 250\ndetection.suspect.min.ms = 700\ndetection.suspect.max.ms = 2000\n" +
			"detection.declare.ms = 1500\ndetection.probe.timeout.ms = 250\ndetection.stall.ms = 2000",
	}
	if *failoverMachines > largeFleet { // a replica takes an eighth of a machine; the rest is for arrays
		d.services, d.replicas = *failoverMachines*7/largeServiceReplicas, largeServiceReplicas
	}
	if *failoverShippedTimes {
		d.heartbeatPeriod, d.workerLeaseS, d.cancelTimeoutS, d.controllerLeaseTTL = 3*time.Second, 26, 56, 3500*time.Millisecond
		d.operatorProperties, d.detectionProperties = "", "detection.revoke = true"
	}
	if !*failoverDetection {
		d.detectionProperties = ""
	}
	return d
}

// TestTakeoverOfRealProcesses lets real controllers on loopback fail while jobs come and
// run. Whoever fails is replaced without a person, whoever does not fail is not; no task
// runs twice, none is lost, and claims and obeyed commands have one order.
func TestTakeoverOfRealProcesses(t *testing.T) {
	d := failoverDeployment()
	d.earlierProgram = *failoverEarlierProgram
	f := newFleet(t, d)
	jobs := f.startWorkload(t)
	time.Sleep(8 * time.Second) // machines boot, shards are rebuilt
	f.awaitLargeServices(t)
	count := f.startSampling(jobs)
	only := regexp.MustCompile(*failoverPattern)
	for _, kind := range controllerFailures(d) {
		if !only.MatchString(kind.name) {
			continue
		}
		var seen []failover
		for round := range *failoverRounds {
			seen = append(seen, f.failOwner(t, kind, d.zones[round%len(d.zones)]))
			time.Sleep(d.controllerLeaseTTL + time.Second)
		}
		logSummary(t, kind, seen)
	}
	jobs.awaitArrays(t, f)
	f.checkRules(t)
	f.saveEvidence(t, count.finish())
}

// failOwner brings one failure about and measures what comes of it.
func (f *fleet) failOwner(t *testing.T, kind failure, zone string) failover {
	t.Helper()
	if kind.harmless || kind.needsDetection { // of a shard that is not at home it would not be known why it moves
		zone = f.awaitLocalOwner(t)
	}
	name, term := f.store.shardOwner(zone)
	owner := f.controllerIndex(name)
	if owner < 0 {
		t.Fatalf("nobody owns the shard of %s", zone)
	}
	limit := 8*f.controllerLeaseTTL + 10*time.Second
	if kind.harmless {
		limit = kind.duration
	}
	began := time.Now()
	kind.inject(f, owner)
	now, after := name, term
	for time.Since(began) < limit && (now == name || kind.harmless) {
		time.Sleep(20 * time.Millisecond)
		now, after = f.store.shardOwner(zone)
	}
	if now != name { // until the new owner's first command
		for end := time.Now().Add(f.controllerLeaseTTL + 3*time.Second); time.Now().Before(end) && f.observer.firstCommand(zone, after).IsZero(); {
			time.Sleep(20 * time.Millisecond)
		}
	}
	kind.repair(f, owner)
	x := f.readStateChanges(began, name, kind.harmless)
	x.moved = after != term
	if x.moved {
		x.acquired = f.observer.acquisition(zone, after).Sub(began)
		if at := f.observer.firstCommand(zone, after); !at.IsZero() {
			x.firstCommand = at.Sub(began)
		}
	}
	switch {
	case kind.harmless && x.moved:
		t.Errorf("%s: the shard of %s went from %s, term %d, to %s, term %d", kind.name, zone, name, term, now, after)
	case !kind.harmless && !x.moved && (*failoverDetection || !kind.needsDetection):
		t.Errorf("%s: nobody took the shard of %s over within %s", kind.name, zone, limit)
	}
	if kind.needsDetection && x.moved && x.declared == 0 {
		t.Errorf("%s: it moved, and nobody declared it failed", kind.name)
	}
	if x.falseDeclarations > 0 {
		t.Errorf("%s: %d controllers that had not failed were declared failed", kind.name, x.falseDeclarations)
	}
	return x
}

// awaitLocalOwner is a zone whose shard is owned by a controller in it.
func (f *fleet) awaitLocalOwner(t *testing.T) string {
	t.Helper()
	for end := time.Now().Add(2 * time.Minute); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i, zone := range f.zones {
			if name, _ := f.store.shardOwner(zone); f.controllerIndex(name) >= 0 && f.controllerIndex(name)%len(f.zones) == i {
				return zone
			}
		}
	}
	t.Fatal("no shard is at home")
	return ""
}

// checkRules judges what workers and state service recorded over the whole test.
func (f *fleet) checkRules(t *testing.T) {
	t.Helper()
	for _, broken := range f.observer.violations() {
		t.Error(broken)
	}
	for zone, result := range f.observer.checkOwnership() {
		t.Logf("ownership of %s: %d claims and obeyed commands: %s", zone, len(f.observer.ownershipHistory[zone]), result)
		if result != porcupine.Ok {
			t.Errorf("claims and obeyed commands of %s have no order: %s", zone, result)
		}
	}
	if !*failoverDetection {
		return
	}
	kept := 0
	for _, c := range f.controllers {
		if c.program != f.program {
			continue
		}
		events, err := history.Read(filepath.Join(filepath.Dir(c.settingsPath), c.name+".history"))
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		kept += len(events)
	}
	if kept == 0 {
		t.Error("no membership event was kept")
	}
}

var restDuration = flag.Duration("takeover.rest", 0, "how long controllers at rest are measured")

// TestRestingControllers measures what failure detection costs while nothing fails; it
// is a measurement, for one size, with and without it:
//
//	go test ./internal/loopback -run TestRestingControllers -v -takeover.rest 60s
func TestRestingControllers(t *testing.T) {
	if *restDuration == 0 {
		t.Skip("a measurement: -takeover.rest says for how long")
	}
	f := newFleet(t, failoverDeployment())
	time.Sleep(10 * time.Second)
	before := f.processorTime()
	time.Sleep(*restDuration)
	spent := f.processorTime() - before
	t.Logf("%d controllers, detection %v: %.2f ms of processor time a second each", len(f.controllers), *failoverDetection,
		1000*spent.Seconds()/restDuration.Seconds()/float64(len(f.controllers)))
}
