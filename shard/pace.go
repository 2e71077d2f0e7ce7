package shard

import "time"

// pace limits how often a step is made.
type pace struct{ last time.Time }

// due reports whether gap has passed since the step was last made, and if so records now as
// the time of the next one.
func (p *pace) due(now time.Time, gap time.Duration) bool {
	if now.Sub(p.last) < gap {
		return false
	}
	p.last = now
	return true
}
