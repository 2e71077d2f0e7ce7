package failover

import "time"

// Pacer spaces out the shards that one controller takes over, so that it serves the
// first of them before it takes the next, and others may come before it. The zero value
// allows everything at once.
type Pacer struct {
	MinInterval  time.Duration
	lastTakeover time.Time
}

// IsReady reports whether another shard may be taken over now.
func (p *Pacer) IsReady(now time.Time) bool {
	return p.MinInterval == 0 || p.lastTakeover.IsZero() || now.Sub(p.lastTakeover) >= p.MinInterval
}

// Record notes that a shard was taken over.
func (p *Pacer) Record(now time.Time) { p.lastTakeover = now }
