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

// drainFailure is something that fails in the middle of a drain.
type drainFailure struct {
	name string
	// isDue says whether it is time for it, so long after the drain's start, and since the
	// figures were taken.
	isDue  func(number int, since time.Duration, before disruptioncheck.Figures) bool
	inject func()
}

// afterDrainStart is due so long after a drain's start.
func afterDrainStart(d time.Duration) func(int, time.Duration, disruptioncheck.Figures) bool {
	return func(_ int, since time.Duration, _ disruptioncheck.Figures) bool { return since > d }
}

// usualDrainFailures are the failures of each replacement of the fleet.
func (f *fleet) usualDrainFailures() []drainFailure {
	life := f.controllerLeaseTTL
	return []drainFailure{
		{"an owner is killed", afterDrainStart(life), func() { f.killForLeaseTTL(f.ownerIndex("a")) }},
		{"a machine is lost with what runs on it", afterDrainStart(4 * life), func() { f.cloud.remove([]string{f.serviceMachine()}) }},
		{"an owner is paused past its lease", afterDrainStart(5 * life), func() { f.pausePastLease(f.ownerIndex("b")) }},
		{"an owner is cut from the state service", afterDrainStart(9 * life), func() { f.partitionPastLease(f.ownerIndex("c")) }},
	}
}

// serviceMachine is a machine on which a task of a service runs.
func (f *fleet) serviceMachine() string {
	f.observer.mu.Lock()
	defer f.observer.mu.Unlock()
	for task, stays := range f.observer.executions {
		if last := stays[len(stays)-1]; last.ended.IsZero() && f.observer.checksDisruptionOf(task) {
			return last.machine
		}
	}
	return ""
}

// drainFailurePattern chooses which failures TestDrainFailuresOfRealProcesses plays: those whose
// name matches, one in each replacement of the fleet. All take half an hour:
//
//	go test ./internal/loopback -run TestDrainFailuresOfRealProcesses -v -timeout 0 -drain.failing killed
var drainFailurePattern = flag.String("drain.failing", "", "failures to play: an expression that their names match; empty: none")

// TestDrainFailuresOfRealProcesses replaces the fleet once for each failure that is chosen,
// which comes at a point of a step. Judged as in TestDrainOfRealProcesses.
func TestDrainFailuresOfRealProcesses(t *testing.T) {
	if *drainFailurePattern == "" {
		t.Skip("a long run: no failure is chosen by -drain.failing")
	}
	f := newFleet(t, drainDeployment())
	f.checkDisruptions(t)
	jobs := f.startWorkload(t)
	replicas := f.services * f.replicas
	f.awaitServiceTasks(t, replicas, time.Minute)
	for _, failure := range f.chosenDrainFailures(t) {
		time.Sleep(4 * time.Second) // all are stable
		f.cloud.forgetScaleIn()
		r := f.replaceFleet(t, []drainFailure{failure})
		f.awaitServiceTasks(t, replicas, time.Minute)
		t.Logf("%s: %+v, %+v", failure.name, r, f.disruptionFigures())
		if n := f.cloud.breaksLeft(); n > 0 {
			t.Errorf("%s: %d machines that were to be hurt were never rented", failure.name, n)
		}
	}
	jobs.awaitArrays(t, f)
	for _, broken := range f.observer.violations() {
		t.Error(broken)
	}
	f.saveEvidence(t, nil)
}

// chosenDrainFailures lists the failures that were chosen.
func (f *fleet) chosenDrainFailures(t *testing.T) []drainFailure {
	var all []drainFailure
	for how, hurt := range f.ownerFailures() {
		for _, point := range drainPoints {
			failure := drainFailure{name: "the holder is " + how + " " + point.name}
			zone := ""
			failure.isDue = func(number int, _ time.Duration, before disruptioncheck.Figures) bool {
				zone = point.zoneAt(t, f, number, before)
				return zone != ""
			}
			failure.inject = func() { hurt(f.ownerIndex(zone)) }
			all = append(all, failure)
		}
	}
	midway := func(_ int, _ time.Duration, before disruptioncheck.Figures) bool {
		return f.disruptionFigures().Replaced > before.Replaced+1
	}
	all = append(all,
		drainFailure{"all controllers are restarted", midway, func() {
			for node := range f.controllers {
				f.controllers[node].kill()
				time.AfterFunc(f.controllerLeaseTTL, func() { f.restartController(node) })
			}
		}},
		drainFailure{"a zone is lost with what runs on it", midway, func() {
			for _, m := range f.cloud.allMachines() {
				if m.zone == "b" {
					f.cloud.remove([]string{m.name})
				}
			}
		}},
		drainFailure{"a wave of spot machines is taken back", midway, func() {
			if n := f.cloud.reclaimSpot(5 * time.Second); n == 0 {
				t.Error("there was no spot machine")
			}
		}},
		drainFailure{"two replacements never boot", midway, func() { f.cloud.breakNext(2, 0) }},
		drainFailure{"two replacements never become healthy", midway, func() { f.cloud.breakNext(0, 2) }},
		drainFailure{"a replacement turns unhealthy just after its step closed", func(_ int, _ time.Duration, before disruptioncheck.Figures) bool {
			return f.disruptionFigures().Replaced > before.Replaced && f.cloud.lastScaleIn() != ""
		}, func() { f.failServiceTask(f.observer.readMachine(&f.observer.lastStartMachine)) }},
	)
	chosen := regexp.MustCompile(*drainFailurePattern)
	slices.SortFunc(all, func(a, b drainFailure) int { return strings.Compare(a.name, b.name) })
	return slices.DeleteFunc(all, func(x drainFailure) bool { return !chosen.MatchString(x.name) })
}

// ownerFailures are the ways in which the owner of a shard fails.
func (f *fleet) ownerFailures() map[string]func(node int) {
	return map[string]func(int){"killed": f.killForLeaseTTL, "paused": f.pausePastLease, "cut": f.partitionPastLease}
}
