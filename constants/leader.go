package constants

import "time"

// Leader.
const (
	// LeaderTick is how often the leader looks at its queue without events.
	LeaderTick = 200 * time.Millisecond
	// LeaderRoundGap is the least time between two looks: what comes in between is
	// decided together.
	LeaderRoundGap = 10 * time.Millisecond
	// AggregateStaleAfter is when a shard that pushes nothing is ranked last.
	AggregateStaleAfter = 4 * time.Second
	// MaxQueueShare is how much work, as a share of its capacity, may wait with an
	// owner that gets no more machines (share).
	MaxQueueShare = 0.1
	// MaxQueuedTasks bounds the tasks given to an owner at once beyond what it has
	// room for (tasks).
	MaxQueuedTasks = 1000
	// MaxQueuedCPUs bounds the work that waits with an owner without room that is
	// coming (CPUs): several of the cloud's largest rentals of 50 machines.
	MaxQueuedCPUs = 8000.0
	// PartialAssignmentGap is the least time between two assignments of a job of which
	// some tasks find no room yet: fewer, larger writes.
	PartialAssignmentGap = 500 * time.Millisecond
	// ForecastInterval is how often the leader tells owners what it will assign to
	// them once the state service's allowance permits, and ForecastTTL how long
	// that counts.
	ForecastInterval = 300 * time.Millisecond
	ForecastTTL      = time.Second
	// ForecastMinWait is how long a job must have waited to be in the forecast: without
	// a backlog it is assigned sooner.
	ForecastMinWait = time.Second
	// OverdueAfter is how long a job waits before it comes before all others of
	// its priority if nothing of it has begun: users expect even the largest to
	// begin within four minutes, and room for it may have to come together.
	OverdueAfter = 150 * time.Second
	// OverdueDivisor: an eighth of an overdue array comes before all others; under
	// three times the load that is still less than half of what there is (part).
	OverdueDivisor = 8
	// CapacityHoldTime is how long room is kept for one job at the cost of others.
	CapacityHoldTime = 60 * time.Second
	// RankWorkPerSecond is how much more work of a job weighs as much as a second
	// of waiting when jobs queue (CPU seconds per second): small jobs pass
	// large ones that came shortly before, and are not passed for ever.
	RankWorkPerSecond = 100.0
	// MaxAssignmentsInFlight bounds assignments under way at once (transactions).
	MaxAssignmentsInFlight = 16
	// MaxUrgentInFlight bounds those of them that do not wait for their share of the
	// allowance but are repeated until it is there (transactions): as many as are
	// answered at once without a backlog.
	MaxUrgentInFlight = 4
)
