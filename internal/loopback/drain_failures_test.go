package loopback

import (
	"flag"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"ravenport/internal/disruptioncheck"
)

// drainFailure is a failure that is injected during a drain.
type drainFailure struct {
	name   string
	isDue  drainCondition
	inject func()
}

// drainCondition reports whether a failure is due. The parameters are the drain's number,
// the time since the start of the drain, and the figures at the start of the drain.
type drainCondition func(number int, since time.Duration, before disruptioncheck.Figures) bool

// afterDrainStart returns a condition that is true once a duration has passed since the
// start of the drain.
func afterDrainStart(d time.Duration) drainCondition {
	return func(_ int, since time.Duration, _ disruptioncheck.Figures) bool { return since > d }
}

// defaultDrainFailures returns the failures that TestDrainOfRealProcesses injects in each
// replacement of the fleet.
func (f *fleet) defaultDrainFailures() []drainFailure {
	ttl := f.controllerLeaseTTL
	return []drainFailure{
		{"an owner is killed", afterDrainStart(ttl), func() { f.killForLeaseTTL(f.ownerIndex("a")) }},
		{"a machine is lost with what runs on it", afterDrainStart(4 * ttl), func() { f.cloud.remove([]string{f.serviceMachine()}) }},
		{"an owner is paused past its lease", afterDrainStart(5 * ttl), func() { f.pausePastLease(f.ownerIndex("b")) }},
		{"an owner is cut from the state service", afterDrainStart(9 * ttl), func() { f.partitionPastLease(f.ownerIndex("c")) }},
	}
}

// drainFailurePattern selects the failures of TestDrainFailuresOfRealProcesses by their
// names. The test injects one failure in each replacement of the fleet. A run of all
// failures takes half an hour:
//
//	go test ./internal/loopback -run TestDrainFailuresOfRealProcesses -v -timeout 0 -drain.failing killed
var drainFailurePattern = flag.String("drain.failing", "", "inject only failures whose names match this expression; empty: none")

// TestDrainFailuresOfRealProcesses replaces the fleet once for each selected failure. It
// checks the same rules as TestDrainOfRealProcesses.
func TestDrainFailuresOfRealProcesses(t *testing.T) {
	if *drainFailurePattern == "" {
		t.Skip("takes long: -drain.failing selects no failure")
	}
	fleet := newFleet(t, drainDeployment())
	fleet.checkDisruptions(t)
	jobs := fleet.startWorkload(t)
	replicas := fleet.services * fleet.replicas
	fleet.awaitServiceTasks(t, replicas, time.Minute)
	for _, failure := range fleet.chosenDrainFailures(t) {
		time.Sleep(4 * time.Second) // until all tasks are stable
		fleet.cloud.clearLastScaleIn()
		replacement := fleet.replaceFleet(t, []drainFailure{failure})
		fleet.awaitServiceTasks(t, replicas, time.Minute)
		t.Logf("%s: %+v, %+v", failure.name, replacement, fleet.disruptionFigures())
		if n := fleet.cloud.pendingMachineFailures(); n > 0 {
			t.Errorf("%s: %d machines that were to fail were never created", failure.name, n)
		}
	}
	jobs.awaitArrays(t, fleet)
	fleet.checkNoViolations(t)
	fleet.saveEvidence(t, nil)
}

// chosenDrainFailures returns the failures that -drain.failing selects, in the order of
// their names.
func (f *fleet) chosenDrainFailures(t *testing.T) []drainFailure {
	t.Helper()
	chosen := regexp.MustCompile(*drainFailurePattern)
	all := append(f.ownerFailures(t), f.midwayFailures(t)...)
	slices.SortFunc(all, func(a, b drainFailure) int { return strings.Compare(a.name, b.name) })
	return slices.DeleteFunc(all, func(failure drainFailure) bool { return !chosen.MatchString(failure.name) })
}

// ownerFailures returns one failure for each combination of a way in which a shard's owner
// can fail and a point of a drain's step.
func (f *fleet) ownerFailures(t *testing.T) []drainFailure {
	var failures []drainFailure
	for how, inject := range map[string]func(controller int){
		"killed": f.killForLeaseTTL,
		"paused": f.pausePastLease,
		"cut":    f.partitionPastLease,
	} {
		for _, point := range drainPoints {
			zone := ""
			failures = append(failures, drainFailure{
				name: "the holder is " + how + " " + point.name,
				isDue: func(number int, _ time.Duration, before disruptioncheck.Figures) bool {
					zone = point.zoneAt(t, f, number, before)
					return zone != ""
				},
				inject: func() { inject(f.ownerIndex(zone)) },
			})
		}
	}
	return failures
}

// midwayFailures returns the failures that are injected after some tasks were replaced.
func (f *fleet) midwayFailures(t *testing.T) []drainFailure {
	midway := func(_ int, _ time.Duration, before disruptioncheck.Figures) bool {
		return f.disruptionFigures().Replaced > before.Replaced+1
	}
	afterReturn := func(_ int, _ time.Duration, before disruptioncheck.Figures) bool {
		return f.disruptionFigures().Replaced > before.Replaced && f.cloud.lastScaleIn() != ""
	}
	return []drainFailure{
		{"all controllers are restarted", midway, f.restartAllControllers},
		{"a zone is lost with what runs on it", midway, func() { f.loseZone("b") }},
		{"a wave of spot machines is taken back", midway, func() {
			if n := f.cloud.reclaimSpot(5 * time.Second); n == 0 {
				t.Error("there was no spot instance to reclaim")
			}
		}},
		{"two replacements never boot", midway, func() { f.cloud.failNextMachines(2, 0) }},
		{"two replacements never become healthy", midway, func() { f.cloud.failNextMachines(0, 2) }},
		{"a replacement turns unhealthy just after its step closed", afterReturn, func() { f.failServiceTask(f.observer.lastStart()) }},
	}
}

// restartAllControllers kills all controllers at once and starts them again after the
// duration of a lease.
func (f *fleet) restartAllControllers() {
	for i := range f.controllers {
		f.killForLeaseTTL(i)
	}
}

// loseZone terminates all machines of a zone.
func (f *fleet) loseZone(zone string) {
	for _, m := range f.cloud.allMachines() {
		if m.zone == zone {
			f.cloud.remove([]string{m.name})
		}
	}
}
