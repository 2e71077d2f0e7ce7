package drain

import (
	"time"

	"ravenport/window"
)

// Policy configures how fast drains proceed and after how many failures they stop.
type Policy struct {
	ParallelPercent        float64       // percentage of a shard's machines that may be cordoned at once
	StableAfter            time.Duration // a task that has run for this long counts as available
	ArrayGracePeriod       time.Duration // time for tasks of arrays and gangs to end without being stopped
	ReplacementTimeout     time.Duration // within which a moved task must be available on another machine
	MaxConsecutiveFailures int           // number of failed replacements in a row that stops the drain
	// Windows is the schedule of the maintenance windows in which machines may be cordoned.
	// nil: machines may be cordoned at any time. The drain of a cordoned machine continues
	// after the window has closed.
	Windows *window.Schedule
}

// MaxCordoned returns how many of a shard's machines may be cordoned at once, at least one.
func (p *Policy) MaxCordoned(machines int) int {
	return max(1, int(p.ParallelPercent*float64(machines)/100))
}
