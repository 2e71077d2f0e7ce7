package failover

import "time"

// Pacer limits how often one controller takes over a shard, so that the controller
// serves one shard before it takes over the next, and other controllers can take over
// some of the shards. The zero value sets no limit.
type Pacer struct {
	MinInterval  time.Duration
	lastTakeover time.Time
}

// IsReady reports whether another shard may be taken over now.
func (p *Pacer) IsReady(now time.Time) bool {
	return p.MinInterval == 0 || p.lastTakeover.IsZero() || now.Sub(p.lastTakeover) >= p.MinInterval
}

// Record records that a shard was taken over.
func (p *Pacer) Record(now time.Time) { p.lastTakeover = now }
