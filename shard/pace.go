package shard

import "time"

// pace limits how often a piece of work is done.
type pace struct{ last time.Time }

// due reports whether at least interval has passed since the work was last done. If so, it records
// now as the time at which the work is done.
func (p *pace) due(now time.Time, interval time.Duration) bool {
	if now.Sub(p.last) < interval {
		return false
	}
	p.last = now
	return true
}
