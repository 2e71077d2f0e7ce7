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
	// ExitsBeforeTokenRaise is how many exited attempts that must not be dropped yet a
	// machine may have before the owner sends it a higher token, under which they can be
	// dropped (attempts): each of them makes every heartbeat of the machine longer.
	ExitsBeforeTokenRaise = 4
)
