package constants

import "time"

// Leader.
const (
	// LeaderTickInterval is the interval of the leader's rounds when no events arrive.
	LeaderTickInterval = 200 * time.Millisecond
	// MinLeaderRoundInterval is the least time between two of the leader's rounds: events in
	// between are decided together.
	MinLeaderRoundInterval = 10 * time.Millisecond
	// AggregateStaleAfter is the age at which a shard's aggregate no longer counts: the
	// shard is ranked last.
	AggregateStaleAfter = 4 * time.Second
	// MaxQueueShare bounds the work that may wait with an owner which gets no more
	// machines (share of the shard's capacity).
	MaxQueueShare = 0.1
	// MaxQueuedTasks bounds the tasks that are assigned to an owner at once beyond those
	// that fit its shard now (tasks).
	MaxQueuedTasks = 1000
	// MaxQueuedCPUs bounds the work that waits with an owner without machines being
	// provisioned for it (CPUs): several of the cloud's largest scale-outs, of 50
	// machines.
	MaxQueuedCPUs = 8000.0
	// MinPartialAssignmentInterval is the least time between two assignments of a job of which
	// some tasks fit nowhere yet: fewer, larger writes.
	MinPartialAssignmentInterval = 500 * time.Millisecond
	// ForecastInterval is how often the leader sends owners the forecast of what it will
	// assign to them once the key-value store's request allowance permits.
	ForecastInterval = 300 * time.Millisecond
	// ForecastTTL is how long a forecast counts.
	ForecastTTL = time.Second
	// ForecastMinWait is how long a job must have waited to be in the forecast: without
	// a backlog it is assigned sooner.
	ForecastMinWait = time.Second
	// OverdueAfter is how long a job of which no task has started waits before it comes
	// before all others of its priority: users expect even the largest job to begin
	// within four minutes, and the capacity for it may have to be collected first.
	OverdueAfter = 150 * time.Second
	// OverdueArrayDivisor: an eighth of an overdue array comes before all other jobs; under
	// three times the load that is still less than half of the capacity.
	OverdueArrayDivisor = 8
	// CapacityHoldTime is how long capacity or quota is held for one job at the cost of
	// others.
	CapacityHoldTime = 60 * time.Second
	// RankWorkPerSecond is how much more work of a job weighs as much as a second of
	// waiting in the order of waiting jobs (CPU seconds per second): small jobs pass
	// large ones that came shortly before, and large ones are not passed for ever.
	RankWorkPerSecond = 100.0
	// MaxAssignmentsInFlight bounds the commits of assignments without a result
	// (transactions).
	MaxAssignmentsInFlight = 16
	// MaxUrgentInFlight bounds the commits without a result that are repeated until they
	// are written, rather than wait for their share of the request allowance
	// (transactions): as many as are answered at once without a backlog.
	MaxUrgentInFlight = 4
)
