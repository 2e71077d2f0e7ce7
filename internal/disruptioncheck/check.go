// Package disruptioncheck checks that voluntary stops of tasks do not exceed a disruption
// budget. The check uses only the workers' view: tests report to it when a task starts to
// run, ends or is stopped.
package disruptioncheck

import (
	"fmt"
	"time"
)

// Check tracks the tasks that should run. It is not safe for concurrent use.
type Check struct {
	limit        int           // tasks that may be unavailable
	stableAfter  time.Duration // a task is stable once it has run this long
	reactionTime time.Duration // every controller knows of a failure that is older than this

	runningSince    map[string]time.Time
	notRunningSince map[string]time.Time
	voluntary       map[string]bool // stopped voluntarily, and not known to be stable again
	figures         Figures
}

// Figures counts stops, replacements and failures of tasks.
type Figures struct {
	Stops        int // voluntary stops
	Replaced     int // voluntarily stopped tasks that run again
	Failed       int // running tasks that ended without a voluntary stop
	MaxVoluntary int // maximum number of tasks that were voluntarily unavailable at once
}

// New returns a check of a disruption budget under which limit tasks may be unavailable.
// A voluntarily stopped task counts against the budget until it has run again for
// stableAfter. A task that has not run for longer than reactionTime because of a failure
// counts against the budget too.
func New(limit int, stableAfter, reactionTime time.Duration) *Check {
	return &Check{
		limit:           limit,
		stableAfter:     stableAfter,
		reactionTime:    reactionTime,
		runningSince:    map[string]time.Time{},
		notRunningSince: map[string]time.Time{},
		voluntary:       map[string]bool{},
	}
}

// SetLimit changes the number of tasks that may be unavailable.
func (c *Check) SetLimit(limit int) { c.limit = limit }

// Figures returns the figures so far.
func (c *Check) Figures() Figures { return c.figures }

// NotRunningCount returns the number of tasks that currently do not run.
func (c *Check) NotRunningCount() int { return len(c.notRunningSince) }

// TaskRunning records that a task runs. It has no effect if that is recorded already.
func (c *Check) TaskRunning(task string, now time.Time) {
	if _, wasRunning := c.runningSince[task]; wasRunning {
		return
	}
	c.runningSince[task] = now
	delete(c.notRunningSince, task)
	if c.voluntary[task] {
		c.figures.Replaced++
	}
}

// TaskNotRunning records that a task does not run, whatever the reason. It has no effect
// if that is recorded already.
func (c *Check) TaskNotRunning(task string, now time.Time) {
	if _, wasNotRunning := c.notRunningSince[task]; wasNotRunning {
		return
	}
	_, wasRunning := c.runningSince[task]
	c.notRunningSince[task] = now
	delete(c.runningSince, task)
	if wasRunning { // a failure: TaskStopped removes a stopped task from runningSince
		c.figures.Failed++
		delete(c.voluntary, task)
	}
}

// Remove records that a task no longer has to run.
func (c *Check) Remove(task string) {
	delete(c.runningSince, task)
	delete(c.notRunningSince, task)
	delete(c.voluntary, task)
}

// TaskStopped records the voluntary stop of a running task. If the stop exceeds the
// budget, the error has the number of unavailable tasks and the limit.
func (c *Check) TaskStopped(task string, now time.Time) error {
	c.figures.Stops++
	c.voluntary[task] = true
	delete(c.runningSince, task)
	c.notRunningSince[task] = now
	c.removeStable(now)
	voluntary := len(c.voluntary)
	overdue := c.overdueFailures(now)
	c.figures.MaxVoluntary = max(c.figures.MaxVoluntary, voluntary)
	if voluntary+overdue > c.limit {
		return fmt.Errorf("%s is stopped: %d are down by choice and %d have long been, %d may be", task, voluntary, overdue, c.limit)
	}
	return nil
}

// removeStable removes the tasks that are stable again from the voluntarily stopped tasks.
func (c *Check) removeStable(now time.Time) {
	for task := range c.voluntary {
		startedAt, isRunning := c.runningSince[task]
		if isRunning && now.Sub(startedAt) >= c.stableAfter {
			delete(c.voluntary, task)
		}
	}
}

// overdueFailures counts the failed tasks whose failure every controller knows by now.
func (c *Check) overdueFailures(now time.Time) int {
	count := 0
	for task, since := range c.notRunningSince {
		if !c.voluntary[task] && now.Sub(since) > c.reactionTime {
			count++
		}
	}
	return count
}
