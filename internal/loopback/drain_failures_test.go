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

// drainFailure is a failure that is injected in the middle of a drain.
type drainFailure struct {
	name   string
	isDue  drainCondition
	inject func()
}

// drainCondition reports whether it is time for a failure: by the drain's number, the time
// since the drain was started, and the figures at that time.
type drainCondition func(number int, since time.Duration, before disruptioncheck.Figures) bool

// afterDrainStart is true a time after the drain was started.
func afterDrainStart(d time.Duration) drainCondition {
	return func(_ int, since time.Duration, _ disruptioncheck.Figures) bool { return since > d }
}

// defaultDrainFailures returns the failures of each replacement in TestDrainOfRealProcesses.
func (f *fleet) defaultDrainFailures() []drainFailure {
	ttl := f.controllerLeaseTTL
	return []drainFailure{
		{"an owner is killed", afterDrainStart(ttl), func() { f.killForLeaseTTL(f.ownerIndex("a")) }},
		{"a machine is lost with what runs on it", afterDrainStart(4 * ttl), func() { f.cloud.remove([]string{f.serviceMachine()}) }},
		{"an owner is paused past its lease", afterDrainStart(5 * ttl), func() { f.pausePastLease(f.ownerIndex("b")) }},
		{"an owner is cut from the state service", afterDrainStart(9 * ttl), func() { f.partitionPastLease(f.ownerIndex("c")) }},
	}
}

// drainFailurePattern chooses the failures of TestDrainFailuresOfRealProcesses: those whose
// names match, one in each replacement of the fleet. All of them take half an hour:
//
//	go test ./internal/loopback -run TestDrainFailuresOfRealProcesses -v -timeout 0 -drain.failing killed
var drainFailurePattern = flag.String("drain.failing", "", "failures to inject: an expression that their names match; empty: none")

// TestDrainFailuresOfRealProcesses replaces the fleet once for each failure that is chosen.
// It checks the same as TestDrainOfRealProcesses.
func TestDrainFailuresOfRealProcesses(t *testing.T) {
	if *drainFailurePattern == "" {
		t.Skip("a long run: no failure is chosen by -drain.failing")
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
			t.Errorf("%s: %d machines that were to break were never created", failure.name, n)
		}
	}
	jobs.awaitArrays(t, fleet)
	fleet.checkNoViolations(t)
	fleet.saveEvidence(t, nil)
}

// chosenDrainFailures returns the failures that the flag chooses, by name.
func (f *fleet) chosenDrainFailures(t *testing.T) []drainFailure {
	t.Helper()
	chosen := regexp.MustCompile(*drainFailurePattern)
	all := append(f.ownerFailures(t), f.midwayFailures(t)...)
	slices.SortFunc(all, func(a, b drainFailure) int { return strings.Compare(a.name, b.name) })
	return slices.DeleteFunc(all, func(failure drainFailure) bool { return !chosen.MatchString(failure.name) })
}

// ownerFailures returns a failure for each way in which a shard's owner can fail, and each
// point of a step at which it can.
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

// midwayFailures returns the failures that are injected once some tasks are replaced.
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
				t.Error("there was no spot machine")
			}
		}},
		{"two replacements never boot", midway, func() { f.cloud.failNextMachines(2, 0) }},
		{"two replacements never become healthy", midway, func() { f.cloud.failNextMachines(0, 2) }},
		{"a replacement turns unhealthy just after its step closed", afterReturn, func() { f.failServiceTask(f.observer.lastStart()) }},
	}
}

// restartAllControllers kills all controllers at once, and starts them again after the life
// of a lease.
func (f *fleet) restartAllControllers() {
	for i := range f.controllers {
		f.killForLeaseTTL(i)
	}
}

// loseZone ends all machines of a zone.
func (f *fleet) loseZone(zone string) {
	for _, m := range f.cloud.allMachines() {
		if m.zone == zone {
			f.cloud.remove([]string{m.name})
		}
	}
}
