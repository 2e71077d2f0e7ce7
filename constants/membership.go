package constants

import "time"

// Membership, authority and leases.
const (
	// MaxClockDrift is the protocol's bound on how far two steady clocks drift
	// apart (share), doubled for safety.
	MaxClockDrift = 0.001
	// AuthorityMargin is taken off an authority and added to every waiting
	// time, for steps of timers and for the moment between check and act.
	AuthorityMargin = 250 * time.Millisecond
	// WorkerLeaseMargin is waited beyond a worker's lease before its tasks count
	// as killed.
	WorkerLeaseMargin = time.Second
	// RenewalsPerTTL is how often a lease is renewed within its life, so that
	// a few lost or slow renewals do no harm (renewals).
	RenewalsPerTTL = 4
	// MachineTypesInterval is how often the machine types, and with them the spot
	// prices, are read.
	MachineTypesInterval = 60 * time.Second
	// HeapMemoryShare is the part of the machine's memory that the heap may take
	// before the collector works harder (share).
	HeapMemoryShare = 0.6
	// GCPercent is how much the heap may grow between two collections (percent).
	GCPercent = 400
	// MembershipTickInterval is how often membership looks at its deadlines.
	MembershipTickInterval = 100 * time.Millisecond
	// AcquisitionRankDelay separates the claims of candidates of different rank.
	AcquisitionRankDelay = 400 * time.Millisecond
	// FailoverCPUTime is the processor time that the takeover of a part of some hundreds
	// of machines costs: their reports, questions to them and the rebuild. For as
	// long as that takes on its share of a processor a controller that owns a shard
	// leaves another one vacant, but no longer than MaxSecondShardDelay: a process that
	// ended is usually back sooner.
	FailoverCPUTime     = 400 * time.Millisecond
	MaxSecondShardDelay = 5 * time.Second
	// AcquisitionRetryTime is how long a claim is repeated that is refused for rate alone.
	AcquisitionRetryTime = time.Second
	// StartupAcquisitionDelay is how long a fresh controller leaves what it is not
	// the first choice for, so that controllers started together share out.
	StartupAcquisitionDelay = 1600 * time.Millisecond
	// FailbackCooldown is how long a controller that gave a shard up because its
	// machines could not reach it is not given it back.
	FailbackCooldown = 45 * time.Second
	// MinFailoverInterval is the least time between two orphaned shards that one controller
	// takes over where failure detection is on: the first one's claim is known to
	// all by then, and ranks it behind others for the next.
	MinFailoverInterval = 500 * time.Millisecond
	// RevokedAcquisitionDelay is how long a controller that was revoked a short while ago leaves a
	// vacant term to others: longer than an owner leaves another shard vacant, so that
	// its shard does not come straight back to it.
	RevokedAcquisitionDelay = MaxSecondShardDelay + 2*time.Second
	// MinUnservedMachines is of how many machines of an owner at least it must be known
	// that it does not serve them before that is held against it: one alone may have
	// a fault of its own (machines).
	MinUnservedMachines = 2
	// MonitorPublishInterval is how often the monitor tells what it sees and proposes.
	MonitorPublishInterval = 500 * time.Millisecond
	// StatusEventCount is how many of the latest membership events the status shows
	// (events).
	StatusEventCount = 20
	// PeerSilenceTimeout is when a controller that heard from no other one, though some
	// are alive, takes itself for cut off.
	PeerSilenceTimeout = 3 * time.Second
	// ExtensionTTL is how long a controller that promised claims nothing, and
	// what a starting one waits, since its forerunner may have promised. Long
	// enough to be renewed three times within.
	ExtensionTTL = 1500 * time.Millisecond
	// ExtensionRequestInterval is how often lease extensions are asked for.
	ExtensionRequestInterval = 400 * time.Millisecond
	// ExtensionStoreSilence is how long nothing must have come from the state service
	// before lease extensions are asked for or given: a renewal's answer comes sooner.
	ExtensionStoreSilence = time.Second
	// FailbackMinUptime is how long a better-placed controller must have been
	// up before it is given its shard back.
	FailbackMinUptime = 5 * time.Second
	// FailbackSettleTime is how long a shard must have been rebuilt and in reach
	// before it is handed back: machines that were out of reach come back within
	// a period or so, and what they lost is placed meanwhile.
	FailbackSettleTime = 12 * time.Second
)
