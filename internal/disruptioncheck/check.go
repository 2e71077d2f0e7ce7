// Package disruptioncheck judges, from the workers' side alone, whether voluntary stops
// keep within a budget of disruption. Tests feed it what machines see: tasks that begin
// to run, end, or are told to stop.
package disruptioncheck

import (
	"fmt"
	"time"
)

// Check follows the tasks that should be up. It is not safe for concurrent use.
type Check struct {
	most   int           // tasks that may be down
	stable time.Duration // a task that has run for so long is up
	known  time.Duration // a failure this old is known to everybody who decides

	upSince   map[string]time.Time
	downSince map[string]time.Time
	byChoice  map[string]bool // stopped, and not proved up again since
	figures   Figures
}

// Figures are what was seen.
type Figures struct {
	Stops    int // by choice
	Replaced int // of those, tasks that run again
	Failed   int // tasks that went down otherwise
	Worst    int // most that was down by choice at once
}

// New makes a check of a budget of so many tasks.
func New(most int, stable, known time.Duration) *Check {
	return &Check{most: most, stable: stable, known: known, upSince: map[string]time.Time{}, downSince: map[string]time.Time{}, byChoice: map[string]bool{}}
}

// SetMost changes the budget.
func (c *Check) SetMost(most int) { c.most = most }

// Figures returns what was seen so far.
func (c *Check) Figures() Figures { return c.figures }

// Down counts the tasks that do not run now.
func (c *Check) Down() int { return len(c.downSince) }

// SawUp takes in that a task runs.
func (c *Check) SawUp(task string, now time.Time) {
	if _, wasUp := c.upSince[task]; wasUp {
		return
	}
	c.upSince[task] = now
	delete(c.downSince, task)
	if c.byChoice[task] {
		c.figures.Replaced++
	}
}

// SawDown takes in that a task does not run, for whatever reason.
func (c *Check) SawDown(task string, now time.Time) {
	if _, wasDown := c.downSince[task]; wasDown {
		return
	}
	_, wasUp := c.upSince[task]
	c.downSince[task] = now
	delete(c.upSince, task)
	if wasUp { // nobody stopped it
		c.figures.Failed++
		delete(c.byChoice, task)
	}
}

// Forget takes in that a task need not be up any more.
func (c *Check) Forget(task string) {
	delete(c.upSince, task)
	delete(c.downSince, task)
	delete(c.byChoice, task)
}

// Stop judges the voluntary stop of a task that runs. The error says by how much the
// budget is broken.
func (c *Check) Stop(task string, now time.Time) error {
	c.figures.Stops++
	c.byChoice[task] = true
	delete(c.upSince, task)
	c.downSince[task] = now
	count, old := 0, 0
	for name := range c.byChoice {
		up, runs := c.upSince[name]
		switch {
		case !runs || now.Sub(up) < c.stable:
			count++
		default:
			delete(c.byChoice, name) // it has proved itself
		}
	}
	for name, since := range c.downSince {
		if !c.byChoice[name] && now.Sub(since) > c.known {
			old++
		}
	}
	c.figures.Worst = max(c.figures.Worst, count)
	if count+old > c.most {
		return fmt.Errorf("%s is stopped: %d are down by choice and %d have long been, %d may be", task, count, old, c.most)
	}
	return nil
}
