package constants

import "time"

// Failover, and failback of a shard to the controller of its own zone.
const (
	// FailoverCPUTime is the processor time that taking over a shard of some hundreds of
	// machines costs: their heartbeats, probes of them and the rebuild. A controller that
	// already owns a shard leaves another one vacant for as long as this work takes on its
	// share of a processor, but no longer than MaxSecondShardDelay: a process that ended has
	// usually restarted by then.
	FailoverCPUTime     = 400 * time.Millisecond
	MaxSecondShardDelay = 5 * time.Second
	// MinFailoverInterval is the least time between two takeovers of orphaned shards by one
	// controller when failure detection is on. All controllers know of the first acquisition
	// by then and rank the controller behind others for the next shard.
	MinFailoverInterval = 500 * time.Millisecond
	// RevokedAcquisitionDelay is how long a recently revoked controller leaves a vacant term
	// to others. It is longer than an owner leaves another shard vacant, so that the revoked
	// controller does not reacquire its shard at once.
	RevokedAcquisitionDelay = MaxSecondShardDelay + 2*time.Second
	// FailbackCooldown is how long a controller that lost a shard because the shard's
	// machines could not reach the controller does not get the shard back. It is also how
	// long leadership that was transferred away from a partitioned leader is not
	// transferred for this reason again, and how long after a revocation a controller
	// gets terms only if there is no other candidate (member.recentlyRevoked).
	FailbackCooldown = 45 * time.Second
	// FailbackMinUptime is how long a preferred controller must have been up before its
	// shard is transferred back to it.
	FailbackMinUptime = 5 * time.Second
	// FailbackStabilizationTime is how long a shard must have been rebuilt and reachable
	// before it is transferred back: unreachable machines usually send heartbeats again
	// within about one period, and their lost tasks are placed meanwhile.
	FailbackStabilizationTime = 12 * time.Second
)
