package constants

import "time"

// Failover, and the failback of a shard to the controller of its own zone.
const (
	// FailoverCPUTime is the processor time that taking over a shard of some hundreds of
	// machines costs: their heartbeats, queries to them and the rebuild. For as long as
	// that takes on its share of a processor a controller that owns a shard leaves another
	// one vacant, but no longer than MaxSecondShardDelay: a process that ended is usually
	// back sooner.
	FailoverCPUTime     = 400 * time.Millisecond
	MaxSecondShardDelay = 5 * time.Second
	// MinFailoverInterval is the least time between two orphaned shards that one controller
	// takes over where failure detection is on: the first one's acquisition is known to
	// all by then, and ranks it behind others for the next.
	MinFailoverInterval = 500 * time.Millisecond
	// RevokedAcquisitionDelay is how long a controller that was revoked a short while ago
	// leaves a vacant term to others: longer than an owner leaves another shard vacant, so
	// that its shard does not come straight back to it.
	RevokedAcquisitionDelay = MaxSecondShardDelay + 2*time.Second
	// FailbackCooldown is how long a controller that gave a shard up because its
	// machines could not reach it does not get it back.
	FailbackCooldown = 45 * time.Second
	// FailbackMinUptime is how long a preferred controller must have been up before it
	// gets its shard back.
	FailbackMinUptime = 5 * time.Second
	// FailbackStabilizationTime is how long a shard must have been rebuilt and reachable before
	// it is given back: machines that were unreachable come back within a period or so,
	// and what they lost is placed meanwhile.
	FailbackStabilizationTime = 12 * time.Second
)
