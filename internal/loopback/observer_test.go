package loopback

import (
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"ravenport/internal/disruptioncheck"
)

// execution is the time that a task was on a machine.
type execution struct {
	machine        string
	started, ended time.Time // to is zero while it is there
}

// observer keeps what the workers and the state service saw, as they saw it: where each
// task was and when, which terms were claimed, and under which terms workers obeyed.
type observer struct {
	mu               sync.Mutex
	executions       map[string][]*execution // by task
	completed        map[string]bool         // tasks that completed
	violationTexts   []string
	ownershipHistory map[string][]porcupine.Operation // by zone
	firstCommandAt   map[string]map[uint64]time.Time  // by zone and term: when the first start under it was obeyed
	acquiredAt       map[string]map[uint64]time.Time
	began            time.Time
	// disruptions judges stops of the tasks that isService is true for; nil: nothing does.
	disruptions      *disruptioncheck.Check
	isService        func(task string) bool
	lastStopMachine  string // machine on which a judged task was told to stop last
	lastStartMachine string // machine on which one began to run last
}

func newObserver() *observer {
	return &observer{executions: map[string][]*execution{}, completed: map[string]bool{}, ownershipHistory: map[string][]porcupine.Operation{}, firstCommandAt: map[string]map[uint64]time.Time{},
		acquiredAt: map[string]map[uint64]time.Time{}, began: time.Now()}
}

// taskStarted notes that a task is on a machine; it must be on no other one.
func (r *observer) taskStarted(task, machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, s := range r.executions[task] {
		if s.ended.IsZero() && s.machine != machine {
			r.violationTexts = append(r.violationTexts, fmt.Sprintf("ran_twice: %s starts on %s while it is on %s", task, machine, s.machine))
		}
	}
	r.executions[task] = append(r.executions[task], &execution{machine: machine, started: now})
	if r.checksDisruptionOf(task) {
		r.lastStartMachine = machine
		r.disruptions.TaskUp(task, now)
	}
}

// taskStopped notes that a task was told to stop, and leaves its machine for that.
func (r *observer) taskStopped(task, machine string, running bool) {
	r.mu.Lock()
	if r.checksDisruptionOf(task) && running {
		r.lastStopMachine = machine
		if err := r.disruptions.TaskStopped(task, time.Now()); err != nil {
			r.violationTexts = append(r.violationTexts, "budget: "+err.Error())
		}
	}
	r.mu.Unlock()
	r.taskEnded(task, machine)
}

// taskEnded notes that a task is not on a machine any more.
func (r *observer) taskEnded(task, machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.executions[task] {
		if s.ended.IsZero() && s.machine == machine {
			s.ended = time.Now()
			if r.checksDisruptionOf(task) {
				r.disruptions.TaskDown(task, s.ended)
			}
		}
	}
}

// taskCompleted notes that a task leaves its machine because it is done.
func (r *observer) taskCompleted(task, machine string) {
	r.taskEnded(task, machine)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completed[task] = true
}

// startedArrayTasks counts the tasks that are done, or on a machine and not a service's:
// services are submitted first, and theirs never complete.
func (r *observer) startedArrayTasks(isArray func(task string) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.completed)
	for task, stays := range r.executions {
		if stays[len(stays)-1].ended.IsZero() && !r.completed[task] && isArray(task) {
			n++
		}
	}
	return n
}

// violations returns what was seen to break a rule.
func (r *observer) violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.violationTexts...)
}

// runningTasks counts the tasks that are on a machine now.
func (r *observer) runningTasks() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, stays := range r.executions {
		if last := stays[len(stays)-1]; last.ended.IsZero() {
			n++
		}
	}
	return n
}

// startedTasks counts the tasks that were on any machine.
func (r *observer) startedTasks() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.executions)
}
