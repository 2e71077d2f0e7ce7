package loopback

import (
	"fmt"
	"testing"
	"time"

	"ravenport/internal/disruptioncheck"
)

// noLimit is a disruption budget that no test exceeds.
const noLimit = 1 << 30

// checkDisruptions starts to check voluntary stops of services against the disruption
// budget. It returns the time after which a running task is stable.
func (f *fleet) checkDisruptions(t *testing.T) time.Duration {
	t.Helper()
	limit := noLimit
	if !*drainUnlimited {
		if _, err := fmt.Sscan(*drainBudget, &limit); err != nil {
			t.Fatal(err)
		}
	}
	stableAfter := 2 * time.Second
	if *drainDefaultTimes {
		stableAfter = 10 * time.Second
	}
	reactionTime := time.Duration(f.workerLeaseS)*time.Second + 20*time.Second
	f.observer.mu.Lock()
	defer f.observer.mu.Unlock()
	f.observer.disruptions = disruptioncheck.New(limit, stableAfter, reactionTime)
	f.observer.isService = func(task string) bool { return !f.isArrayTask(task) }
	return stableAfter
}

// checksDisruptionOf reports whether stops of a task are checked. The caller must hold the
// lock.
func (o *observer) checksDisruptionOf(task string) bool {
	return o.disruptions != nil && o.isService(task)
}

// disruptionFigures returns the figures of the disruption check so far.
func (f *fleet) disruptionFigures() disruptioncheck.Figures {
	f.observer.mu.Lock()
	defer f.observer.mu.Unlock()
	return f.observer.disruptions.Figures()
}

// runningServiceTasks returns the number of tasks of services that are on a machine.
func (f *fleet) runningServiceTasks() int {
	f.observer.mu.Lock()
	defer f.observer.mu.Unlock()
	n := 0
	for task := range f.observer.executions {
		if f.observer.isRunning(task) && f.observer.checksDisruptionOf(task) {
			n++
		}
	}
	return n
}

// serviceMachine returns a machine on which a task of a service runs, or "" if there is no
// such machine.
func (f *fleet) serviceMachine() string {
	f.observer.mu.Lock()
	defer f.observer.mu.Unlock()
	for task := range f.observer.executions {
		if f.observer.isRunning(task) && f.observer.checksDisruptionOf(task) {
			return f.observer.lastExecution(task).machine
		}
	}
	return ""
}

// awaitServiceTasks waits until at least a number of tasks of services run.
func (f *fleet) awaitServiceTasks(t *testing.T, replicas int, limit time.Duration) {
	t.Helper()
	for end := time.Now().Add(limit); f.runningServiceTasks() < replicas; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d replicas run after %s", f.runningServiceTasks(), replicas, limit)
		}
	}
}

// lastStop returns the machine of the latest voluntary stop of a service's task.
func (o *observer) lastStop() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastStopMachine
}

// lastStart returns the machine of the latest start of a service's task.
func (o *observer) lastStart() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastStartMachine
}

// checkNoViolations fails the test if the observer has recorded a violation.
func (f *fleet) checkNoViolations(t *testing.T) {
	t.Helper()
	for _, violation := range f.observer.violations() {
		t.Error(violation)
	}
}
