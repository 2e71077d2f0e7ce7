package constants

import "time"

// Leader.
const (
	// LeaderTickInterval is the interval of the leader's rounds when no events arrive.
	LeaderTickInterval = 200 * time.Millisecond
	// MinLeaderRoundInterval is the least time between two of the leader's rounds: events
	// that arrive in between are handled together.
	MinLeaderRoundInterval = 10 * time.Millisecond
	// AggregateStaleAfter is the age at which a shard's aggregate is ignored. The shard is
	// then ranked last.
	AggregateStaleAfter = 4 * time.Second
	// MaxQueueShare bounds the queued work of an owner that gets no more machines (share of
	// the shard's capacity).
	MaxQueueShare = 0.1
	// MaxQueuedTasks bounds the tasks that are assigned to an owner at once beyond those
	// that fit in its shard now (tasks).
	MaxQueuedTasks = 1000
	// MaxQueuedCPUs bounds the queued work of an owner for which no machines are being
	// provisioned (CPUs): several of the cloud's largest scale-outs, of 50 machines.
	MaxQueuedCPUs = 8000.0
	// MinPartialAssignmentInterval is the least time between two assignments of a job of
	// which some tasks fit nowhere yet: this makes writes fewer and larger.
	MinPartialAssignmentInterval = 500 * time.Millisecond
	// ForecastInterval is how often the leader sends each owner a forecast of what the
	// leader will assign to it once the key-value store's request rate limit permits.
	ForecastInterval = 300 * time.Millisecond
	// ForecastTTL is how long a forecast is valid.
	ForecastTTL = time.Second
	// ForecastMinWait is how long a job must have waited before forecasts include it:
	// without a backlog it is assigned sooner.
	ForecastMinWait = time.Second
	// OverdueAfter is how long a job of which no task has started waits before it is ordered
	// ahead of all others of its priority. Users expect even the largest job to start within
	// four minutes, and its capacity may first have to be accumulated.
	OverdueAfter = 150 * time.Second
	// OverdueArrayDivisor determines the part of an overdue array that is ordered ahead of
	// all other jobs: an eighth, which is less than half of the capacity even under three
	// times the normal load.
	OverdueArrayDivisor = 8
	// CapacityHoldTime is how long capacity or quota is reserved for one job at the expense
	// of others.
	CapacityHoldTime = 60 * time.Second
	// RankWorkPerSecond is the additional work of a job that offsets one second of waiting
	// in the order of waiting jobs (CPU seconds per second). Small jobs overtake large ones
	// that arrived shortly before, and large ones do not starve.
	RankWorkPerSecond = 100.0
	// MaxAssignmentsInFlight bounds the commits of assignments that have no result yet
	// (transactions).
	MaxAssignmentsInFlight = 16
	// MaxUrgentInFlight bounds the commits without a result that are retried until they are
	// written, instead of waiting for their share of the request rate limit (transactions):
	// as many as the store answers at once without a backlog.
	MaxUrgentInFlight = 4
)
