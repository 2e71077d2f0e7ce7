package constants

import "time"

// Leader.
const (
	// LeaderTick is how often the leader looks at its queue without events.
	LeaderTick = 200 * time.Millisecond
	// LeaderGap is the least time between two looks: what comes in between is
	// decided together.
	LeaderGap = 10 * time.Millisecond
	// StaleAggregate is when a shard that pushes nothing is ranked last.
	StaleAggregate = 4 * time.Second
	// QueueShare is how much work, as a share of its capacity, may wait with an
	// owner that gets no more machines (share).
	QueueShare = 0.1
	// MaxGiven bounds the tasks given to an owner at once beyond what it has
	// room for (tasks).
	MaxGiven = 1000
	// MaxQueued bounds the work that waits with an owner without room that is
	// coming (CPUs): several of the cloud's largest rentals of 50 machines.
	MaxQueued = 8000.0
	// PartialGap is the least time between two assignments of a job of which
	// some tasks find no room yet: fewer, larger writes.
	PartialGap = 500 * time.Millisecond
	// ForecastEvery is how often the leader tells owners what it will assign to
	// them once the state service's allowance permits, and ForecastLife how long
	// that counts.
	ForecastEvery = 300 * time.Millisecond
	ForecastLife  = time.Second
	// ForecastAfter is how long a job must have waited to be in the forecast: without
	// a backlog it is assigned sooner.
	ForecastAfter = time.Second
	// BeginWithin is how long a job waits before it comes before all others of
	// its priority if nothing of it has begun: users expect even the largest to
	// begin within four minutes, and room for it may have to come together.
	BeginWithin = 150 * time.Second
	// OverdueShare: an eighth of an overdue array comes before all others; under
	// three times the load that is still less than half of what there is (part).
	BeginShare = 8
	// CollectFor is how long room is kept for one job at the cost of others.
	CollectFor = 60 * time.Second
	// WorkPerSecond is how much more work of a job weighs as much as a second
	// of waiting when jobs queue (CPU seconds per second): small jobs pass
	// large ones that came shortly before, and are not passed for ever.
	WorkPerSecond = 100.0
	// MaxAssignments bounds assignments under way at once (transactions).
	MaxAssignments = 16
	// MaxUrgent bounds those of them that do not wait for their share of the
	// allowance but are repeated until it is there (transactions): as many as are
	// answered at once without a backlog.
	MaxUrgent = 4
)
