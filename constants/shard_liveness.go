package constants

import "time"

// Liveness of machines: overdue heartbeats, unconfirmed machines, partitions and failover.
const (
	// HeartbeatOverduePeriods is the time without a heartbeat after which a machine is
	// probed directly (periods): heartbeats are at most a quarter of a period late. After
	// MaxUnansweredCommands without a response the machine is considered failed.
	HeartbeatOverduePeriods = 1.3
	// UnreachablePeriods is the time without a heartbeat after which a machine gets no tasks
	// (periods).
	UnreachablePeriods = 2.2
	// RecentHeartbeatPeriods is the window in which an owner of many machines checks whether
	// it receives heartbeats (periods). Within it, one in RecentHeartbeatDivisor of its
	// machines must have sent a heartbeat (divisor): a quarter of those that were due.
	RecentHeartbeatPeriods = 0.5
	RecentHeartbeatDivisor = 8
	// SmallShardMachines is the number of machines below which a shard is small (machines):
	// the heartbeats of so few machines within RecentHeartbeatPeriods are no evidence.
	SmallShardMachines = 16
	// MaxCoincidentFailures is the largest number of machines that may all be unreachable at
	// once because of independent failures (machines). If a shard has more machines and all
	// of them are unreachable, the shard or its owner is assumed to be partitioned.
	MaxCoincidentFailures = 2
	// DelistedAfterLists is the number of successive lists of the cloud from which a machine
	// must be absent to be considered terminated (lists): a single list may be older than
	// the previous one.
	DelistedAfterLists = 2
	// MaxHeartbeatIntervalPeriods is the longest time between two heartbeats of a machine
	// (periods). ControllerSwitchTime is the time by which a worker that gets no reply has
	// switched to another controller: a worker switches after 4 s, and one second is added.
	MaxHeartbeatIntervalPeriods = 1.25
	ControllerSwitchTime        = 5 * time.Second
	// MisroutedHeartbeatPeriods is how long the owner of a machine takes into account a
	// heartbeat that the machine sent to another controller (periods).
	MisroutedHeartbeatPeriods = 2.0
	// NoHeartbeatPeriods is the time after which a machine that answers commands but sends
	// no heartbeats is terminated (periods): its lease expires soon.
	NoHeartbeatPeriods = 3.0
	// MaxUnansweredCommands is how many direct commands in a row a machine may leave
	// unanswered before it is terminated (commands). A machine without heartbeats is then
	// considered failed; an unconfirmed machine is terminated however many heartbeats it
	// sends.
	MaxUnansweredCommands = 3
	// FailoverProbeTimeout is the time after which a new owner that has received heartbeats
	// from most machines terminates those that did not answer. Heartbeats of all live
	// machines arrive within about two seconds, and much of the shard's work waits for the
	// last machine.
	FailoverProbeTimeout = 3500 * time.Millisecond
	// TerminatedMachineRetention is how long a terminated machine is remembered at least, so
	// that its late heartbeats are refused.
	TerminatedMachineRetention = 15 * time.Minute
	// FailoverUnreachablePeriods replaces UnreachablePeriods for a new owner, which probes
	// at once (periods).
	FailoverUnreachablePeriods = 2.0
	// CloudListInterval is how often an owner reads a list of the cloud that has one page.
	// The interval grows in proportion to the pages, since a longer list uses more of the
	// rate limit, except while the shard is partitioned.
	CloudListInterval = 10 * time.Second
)
