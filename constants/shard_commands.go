package constants

import "time"

// Direct commands and probes of machines.
const (
	// CommandRetryInterval is when a direct command without effect is sent again.
	CommandRetryInterval = time.Second
	// FailoverProbeDelay is how long a new owner of many machines waits for their own
	// heartbeats, which come within a second or two, before it probes them.
	FailoverProbeDelay = 1500 * time.Millisecond
	// ProbeTimeout bounds a probe of a machine, which carries no commands but stops.
	ProbeTimeout = time.Second
	// MaxCommandsWhilePartitioned bounds the direct commands in flight to a partitioned
	// shard (commands): enough to notice the end of the partition.
	MaxCommandsWhilePartitioned = 32
	// MaxProbesPerStep bounds the machines that are probed in one step: each probe costs
	// a connection (machines).
	MaxProbesPerStep = 32
	// ExitsBeforeTokenRaise is how many exited attempts that must not be forgotten yet
	// a machine may hold before it is sent a higher token, under which they
	// can be: each makes its every heartbeat longer (attempts).
	ExitsBeforeTokenRaise = 4
)
