package loopback

import (
	"fmt"
	"testing"
	"time"

	"ravenport/internal/disruptioncheck"
)

// checkStops has stops of some tasks judged.
func (r *observer) checkStops(c *disruptioncheck.Check, isService func(string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disruptions, r.isService = c, isService
}

// checksDisruptionOf says whether stops of a task are judged. The caller holds the lock.
func (r *observer) checksDisruptionOf(task string) bool {
	return r.disruptions != nil && r.isService(task)
}

// checkDisruptions has stops judged from now on, and returns for how long a task must have run.
func (f *fleet) checkDisruptions(t *testing.T) time.Duration {
	t.Helper()
	most, stable := 1<<30, 2*time.Second
	if !*drainUnlimited {
		if _, err := fmt.Sscan(*drainBudget, &most); err != nil {
			t.Fatal(err)
		}
	}
	if *drainShippedTimes {
		stable = 10 * time.Second
	}
	known := time.Duration(f.workerLeaseS)*time.Second + 20*time.Second
	f.observer.checkStops(disruptioncheck.New(most, stable, known), func(task string) bool { return !f.isArrayTask(task) })
	return stable
}

func (f *fleet) disruptionFigures() disruptioncheck.Figures {
	f.observer.mu.Lock()
	defer f.observer.mu.Unlock()
	return f.observer.disruptions.Figures()
}

// runningServiceTasks counts the tasks of services that are on a machine.
func (f *fleet) runningServiceTasks() int {
	f.observer.mu.Lock()
	defer f.observer.mu.Unlock()
	n := 0
	for task, stays := range f.observer.executions {
		if stays[len(stays)-1].ended.IsZero() && f.observer.checksDisruptionOf(task) {
			n++
		}
	}
	return n
}

// awaitServiceTasks waits until so many tasks of services run.
func (f *fleet) awaitServiceTasks(t *testing.T, replicas int, limit time.Duration) {
	t.Helper()
	for end := time.Now().Add(limit); f.runningServiceTasks() < replicas; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d replicas run after %s", f.runningServiceTasks(), replicas, limit)
		}
	}
}

// readMachine reads the machine that a record's field names.
func (r *observer) readMachine(field *string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *field
}
