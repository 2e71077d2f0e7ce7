package loopback

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"ravenport/internal/disruptioncheck"
)

// execution is a period during which a task was on a machine.
type execution struct {
	machine string
	started time.Time
	ended   time.Time // zero while the task is on the machine
}

// observer records events from the view of the workers and the store: on which machine each
// task was and when, which terms were acquired, and under which terms workers executed
// commands.
type observer struct {
	startedAt time.Time

	mu             sync.Mutex
	executions     map[string][]*execution // by task
	completed      map[string]bool         // tasks that completed
	violationTexts []string

	ownershipHistory map[string][]porcupine.Operation // by zone
	acquiredAt       map[string]map[uint64]time.Time  // by zone and term
	firstCommandAt   map[string]map[uint64]time.Time  // by zone and term

	// disruptions checks the stops of tasks for which isService is true. If disruptions is
	// nil, no stop is checked.
	disruptions      *disruptioncheck.Check
	isService        func(task string) bool
	lastStopMachine  string // machine of the latest voluntary stop of such a task
	lastStartMachine string // machine of the latest start of such a task
}

func newObserver() *observer {
	return &observer{
		startedAt:        time.Now(),
		executions:       map[string][]*execution{},
		completed:        map[string]bool{},
		ownershipHistory: map[string][]porcupine.Operation{},
		acquiredAt:       map[string]map[uint64]time.Time{},
		firstCommandAt:   map[string]map[uint64]time.Time{},
	}
}

// taskStarted records that a task has started on a machine. If the task is also on another
// machine, that is a violation.
func (o *observer) taskStarted(task, machine string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for _, e := range o.executions[task] {
		if e.ended.IsZero() && e.machine != machine {
			o.violationTexts = append(o.violationTexts, fmt.Sprintf("ran_twice: %s starts on %s while it is on %s", task, machine, e.machine))
		}
	}
	o.executions[task] = append(o.executions[task], &execution{machine: machine, started: now})
	if o.checksDisruptionOf(task) {
		o.lastStartMachine = machine
		o.disruptions.TaskRunning(task, now)
	}
}

// taskStopped records that a task was stopped by a command. Voluntary stops of services are
// checked against the disruption budget.
func (o *observer) taskStopped(task, machine string, isVoluntary bool) {
	o.mu.Lock()
	if isVoluntary && o.checksDisruptionOf(task) {
		o.lastStopMachine = machine
		if err := o.disruptions.TaskStopped(task, time.Now()); err != nil {
			o.violationTexts = append(o.violationTexts, "budget: "+err.Error())
		}
	}
	o.mu.Unlock()
	o.taskEnded(task, machine)
}

// taskEnded records that a task is no longer on a machine.
func (o *observer) taskEnded(task, machine string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range o.executions[task] {
		if !e.ended.IsZero() || e.machine != machine {
			continue
		}
		e.ended = time.Now()
		if o.checksDisruptionOf(task) {
			o.disruptions.TaskNotRunning(task, e.ended)
		}
	}
}

// taskCompleted records that a task has ended by itself and is done.
func (o *observer) taskCompleted(task, machine string) {
	o.taskEnded(task, machine)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.completed[task] = true
}

// startedArrayTasks returns the number of tasks of job arrays that are done or on a machine.
// All completed tasks count, since tasks of services never complete.
func (o *observer) startedArrayTasks(isArray func(task string) bool) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := len(o.completed)
	for task := range o.executions {
		if o.isRunning(task) && !o.completed[task] && isArray(task) {
			n++
		}
	}
	return n
}

// lastExecution returns the latest execution of a task that has at least one. The caller
// must hold the lock.
func (o *observer) lastExecution(task string) *execution {
	executions := o.executions[task]
	return executions[len(executions)-1]
}

// isRunning reports whether a task is on a machine now. The task must have at least one
// execution. The caller must hold the lock.
func (o *observer) isRunning(task string) bool { return o.lastExecution(task).ended.IsZero() }

// violations returns a text for each recorded violation of a rule.
func (o *observer) violations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.violationTexts)
}

// runningTasks returns the number of tasks that are on a machine now.
func (o *observer) runningTasks() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for task := range o.executions {
		if o.isRunning(task) {
			n++
		}
	}
	return n
}

// startedTasks returns the number of tasks that have been on a machine.
func (o *observer) startedTasks() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.executions)
}
