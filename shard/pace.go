package shard

import "time"

// pace keeps a step from being made more often than every so long.
type pace struct{ last time.Time }

// due says whether the step may be made now, and notes it as made if so.
func (p *pace) due(now time.Time, gap time.Duration) bool {
	if now.Sub(p.last) < gap {
		return false
	}
	p.last = now
	return true
}
