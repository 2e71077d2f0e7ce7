// Package disruptioncheck checks, by what the workers see alone, that voluntary stops of
// tasks keep within a disruption budget. Tests report to it when tasks start to run, end
// or are stopped.
package disruptioncheck

import (
	"fmt"
	"time"
)

// Check follows the tasks that should be up. It is not safe for concurrent use.
type Check struct {
	limit        int           // tasks that may be down
	stableAfter  time.Duration // a task that has run for so long is up
	reactionTime time.Duration // a failure this old is known to every controller

	runningSince    map[string]time.Time
	notRunningSince map[string]time.Time
	voluntary       map[string]bool // stopped voluntarily, and not known to be up again since
	figures         Figures
}

// Figures count what was seen.
type Figures struct {
	Stops        int // voluntary stops
	Replaced     int // of the stopped tasks, those that run again
	Failed       int // tasks that went down involuntarily
	MaxVoluntary int // most tasks that were down voluntarily at once
}

// New returns a check of a budget that lets limit tasks be down. A task is up once it has
// run for stableAfter; a task that has been down involuntarily for longer than
// reactionTime counts against the budget too.
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

// SetLimit changes the budget.
func (c *Check) SetLimit(limit int) { c.limit = limit }

// Figures returns what was seen so far.
func (c *Check) Figures() Figures { return c.figures }

// NotRunningCount returns the number of tasks that do not run now.
func (c *Check) NotRunningCount() int { return len(c.notRunningSince) }

// TaskRunning records that a task runs.
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

// TaskNotRunning records that a task does not run, for whatever reason.
func (c *Check) TaskNotRunning(task string, now time.Time) {
	if _, wasNotRunning := c.notRunningSince[task]; wasNotRunning {
		return
	}
	_, wasRunning := c.runningSince[task]
	c.notRunningSince[task] = now
	delete(c.runningSince, task)
	if wasRunning { // it was not stopped: TaskStopped would have marked it as down
		c.figures.Failed++
		delete(c.voluntary, task)
	}
}

// Remove records that a task need not be up any more.
func (c *Check) Remove(task string) {
	delete(c.runningSince, task)
	delete(c.notRunningSince, task)
	delete(c.voluntary, task)
}

// TaskStopped records the voluntary stop of a task that runs. The error says by how much
// it exceeds the budget.
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

// removeStable takes the stopped tasks that are up again out of those that are down
// voluntarily.
func (c *Check) removeStable(now time.Time) {
	for task := range c.voluntary {
		startedAt, isRunning := c.runningSince[task]
		if isRunning && now.Sub(startedAt) >= c.stableAfter {
			delete(c.voluntary, task)
		}
	}
}

// overdueFailures counts the tasks whose failure every controller knows by now.
func (c *Check) overdueFailures(now time.Time) int {
	count := 0
	for task, since := range c.notRunningSince {
		if !c.voluntary[task] && now.Sub(since) > c.reactionTime {
			count++
		}
	}
	return count
}
