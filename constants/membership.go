package constants

import "time"

// Membership, authority and leases.
const (
	// ClockDrift is the protocol's bound on how far two steady clocks drift
	// apart (share), doubled for safety.
	ClockDrift = 0.001
	// AuthorityMargin is taken off an authority and added to every waiting
	// time, for steps of timers and for the moment between check and act.
	AuthorityMargin = 250 * time.Millisecond
	// LeaseMargin is waited beyond a worker's lease before its tasks count
	// as killed.
	LeaseMargin = time.Second
	// RenewalsPerLife is how often a lease is renewed within its life, so that
	// a few lost or slow renewals do no harm (renewals).
	RenewalsPerLife = 4
	// TypesEvery is how often the machine types, and with them the spot
	// prices, are read.
	TypesEvery = 60 * time.Second
	// HeapShare is the part of the machine's memory that the heap may take
	// before the collector works harder (share).
	HeapShare = 0.6
	// GCPercent is how much the heap may grow between two collections (percent).
	GCPercent = 400
	// MemberTick is how often membership looks at its deadlines.
	MemberTick = 100 * time.Millisecond
	// ClaimStep separates the claims of candidates of different rank.
	ClaimStep = 400 * time.Millisecond
	// TakeoverWork is the processor time that the takeover of a part of some hundreds
	// of machines costs: their reports, questions to them and the rebuild. For as
	// long as that takes on its share of a processor a controller that owns a shard
	// leaves another one vacant, but no longer than SecondShardWaitMost: a process that
	// ended is usually back sooner.
	TakeoverWork        = 400 * time.Millisecond
	SecondShardWaitMost = 5 * time.Second
	// ClaimRetry is how long a claim is repeated that is refused for rate alone.
	ClaimRetry = time.Second
	// FirstClaimWait is how long a fresh controller leaves what it is not
	// the first choice for, so that controllers started together share out.
	FirstClaimWait = 1600 * time.Millisecond
	// CutPause is how long a controller that gave a shard up because its
	// machines could not reach it is not given it back.
	CutPause = 45 * time.Second
	// TakeoverGap is the least time between two orphaned shards that one controller
	// takes over where failure detection is on: the first one's claim is known to
	// all by then, and ranks it behind others for the next.
	TakeoverGap = 500 * time.Millisecond
	// RevokedWait is how long a controller that was revoked a short while ago leaves a
	// vacant term to others: longer than an owner leaves another shard vacant, so that
	// its shard does not come straight back to it.
	RevokedWait = SecondShardWaitMost + 2*time.Second
	// UnservedLeast is of how many machines of an owner at least it must be known
	// that it does not serve them before that is held against it: one alone may have
	// a fault of its own (machines).
	UnservedLeast = 2
	// MonitorTell is how often the monitor tells what it sees and proposes.
	MonitorTell = 500 * time.Millisecond
	// StatusEvents is how many of the latest membership events the status shows
	// (events).
	StatusEvents = 20
	// PeersAway is when a controller that heard from no other one, though some
	// are alive, takes itself for cut off.
	PeersAway = 3 * time.Second
	// ExtensionLife is how long a controller that promised claims nothing, and
	// what a starting one waits, since its forerunner may have promised. Long
	// enough to be renewed three times within.
	ExtensionLife = 1500 * time.Millisecond
	// ExtensionEvery is how often lease extensions are asked for.
	ExtensionEvery = 400 * time.Millisecond
	// ExtensionQuiet is how long nothing must have come from the state service
	// before lease extensions are asked for or given: a renewal's answer comes sooner.
	ExtensionQuiet = time.Second
	// HandBackAfter is how long a better-placed controller must have been
	// up before it is given its shard back.
	HandBackAfter = 5 * time.Second
	// HandBackSettled is how long a shard must have been rebuilt and in reach
	// before it is handed back: machines that were out of reach come back within
	// a period or so, and what they lost is placed meanwhile.
	HandBackSettled = 12 * time.Second
)
