package drain

import (
	"time"

	"ravenport/window"
)

// Policy configures how fast drains proceed and when they give up.
type Policy struct {
	ParallelPercent        float64       // of a shard's machines that may be cordoned at once
	StableAfter            time.Duration // a task that has run for so long counts as available
	ArrayGracePeriod       time.Duration // for tasks of arrays and gangs to end by themselves
	ReplacementTimeout     time.Duration // within which a moved task must be available elsewhere
	MaxConsecutiveFailures int           // that stop the drain
	// Windows is when machines may be cordoned; nil: at any time. The drain of a machine
	// that is cordoned is finished even when the window has closed.
	Windows *window.Schedule
}

// MaxCordoned is how many of a shard's machines may be cordoned at once; at least one.
func (p *Policy) MaxCordoned(machines int) int {
	return max(1, int(p.ParallelPercent*float64(machines)/100))
}
