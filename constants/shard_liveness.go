package constants

import "time"

// Liveness of machines: overdue heartbeats, unconfirmed machines, partitions and failover.
const (
	// HeartbeatOverduePeriods: a machine without a heartbeat for that many heartbeat
	// periods is probed directly; heartbeats come a quarter of a period late at most.
	// After MaxUnansweredCommands without an answer it has failed (periods).
	HeartbeatOverduePeriods = 1.3
	// UnreachablePeriods: a machine without a heartbeat for that many heartbeat
	// periods gets no tasks (periods).
	UnreachablePeriods = 2.2
	// RecentHeartbeatPeriods is the window in which an owner of many machines looks for
	// heartbeats to know that it receives any, and RecentHeartbeatDivisor the part of its
	// machines of which one must have come: a quarter of those that were due
	// (periods, part).
	RecentHeartbeatPeriods = 0.5
	RecentHeartbeatDivisor = 8
	// SmallShardMachines: of fewer machines, the heartbeats of so short a window prove nothing
	// (machines).
	SmallShardMachines = 16
	// MaxCoincidentFailures: of more machines than that, one does not fail by chance just
	// when all others do (machines).
	MaxCoincidentFailures = 2
	// DelistedAfterLists is how many of the cloud's lists in a row a machine must be
	// absent from to count as terminated: one may be older than the one before (lists).
	DelistedAfterLists = 2
	// MaxHeartbeatIntervalPeriods is how long after the one before a heartbeat may come
	// (periods), and ControllerSwitchTime when a worker without a reply has turned to
	// another controller: after 4 s and one more.
	MaxHeartbeatIntervalPeriods = 1.25
	ControllerSwitchTime        = 5 * time.Second
	// MisroutedHeartbeatPeriods is how long a heartbeat to another controller counts for the
	// machine's owner (periods).
	MisroutedHeartbeatPeriods = 2.0
	// NoHeartbeatPeriods is when a machine that answers commands but sends no heartbeats
	// is terminated: its lease expires soon (periods).
	NoHeartbeatPeriods = 3.0
	// MaxUnansweredCommands is how many direct commands in a row a machine leaves
	// unanswered before it is terminated: one without heartbeats as failed, and an
	// unconfirmed one however many heartbeats it sends (commands).
	MaxUnansweredCommands = 3
	// FailoverProbeTimeout is when a new owner that has heard from most machines
	// terminates those that did not answer: heartbeats of all live machines come within
	// two seconds or so, and much of the shard's work waits for the last one.
	FailoverProbeTimeout = 3500 * time.Millisecond
	// TerminatedMachineRetention is how long late heartbeats of a terminated machine are refused.
	TerminatedMachineRetention = 15 * time.Minute
	// FailoverUnreachablePeriods is UnreachablePeriods for a new owner, which probes at
	// once (periods).
	FailoverUnreachablePeriods = 2.0
	// CloudListInterval is how often an owner reads the cloud's list, for each page
	// of machines that it has: a longer list takes more of the allowance.
	CloudListInterval = 10 * time.Second
)
