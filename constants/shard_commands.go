package constants

import "time"

// Direct commands and probes of machines.
const (
	// CommandRetryInterval is the time after which a direct command that had no effect is
	// sent again.
	CommandRetryInterval = time.Second
	// FailoverProbeDelay is how long a new owner of many machines waits for their
	// heartbeats, which arrive within a second or two, before it probes the machines.
	FailoverProbeDelay = 1500 * time.Millisecond
	// ProbeTimeout bounds a probe of a machine. A probe carries no commands other than
	// stops.
	ProbeTimeout = time.Second
	// MaxCommandsWhilePartitioned bounds the direct commands in flight to a partitioned
	// shard (commands): enough to detect the end of the partition.
	MaxCommandsWhilePartitioned = 32
	// MaxProbesPerStep bounds the machines that are probed in one step (machines): each
	// probe needs a connection.
	MaxProbesPerStep = 32
	// MaxTaskEntriesBytes bounds the commands in one message to a machine, and the task
	// statuses in one message of a machine (bytes). The protocol's limit of 64 KiB is for
	// the whole message.
	MaxTaskEntriesBytes = 60 << 10
	// TaskEntryBytes is an upper bound on the encoded size of a command, or of a task's
	// status, without the task's name (bytes).
	TaskEntryBytes = 100
	// TaskEntryUnit is the unit to which the size of a task's entry is rounded up (bytes).
	TaskEntryUnit = 128
	// CrowdedStatusShare is the share of MaxTaskEntriesBytes above which the finished tasks
	// on a machine are closed one by one, so that the machine may forget them: they take
	// room in its heartbeats, which waiting tasks need.
	CrowdedStatusShare = 0.5
	// ExitsBeforeTokenRaise is how many exited attempts that must not be dropped yet a
	// machine may have before the owner sends it a higher token, under which they can be
	// dropped (attempts): each of them makes every heartbeat of the machine longer.
	ExitsBeforeTokenRaise = 4
)
