package constants

import "time"

// Steps of a shard owner, its pushes to the leader, and the numbers of its term.
const (
	// MaxOwnerStepInterval is how often an owner makes a step when no event causes one, to
	// check its deadlines.
	MaxOwnerStepInterval = 250 * time.Millisecond
	// MinOwnerStepInterval is the least time between two steps of an owner: events
	// that arrive in between are handled together.
	MinOwnerStepInterval = 20 * time.Millisecond
	// ProcessPauseThreshold is the time between two steps above which the process is
	// considered to have been paused: its own timer causes a step every
	// MaxOwnerStepInterval.
	ProcessPauseThreshold = 1500 * time.Millisecond
	// FleetScanInterval is how often an owner checks every machine of its fleet for
	// lease expiry, spot notices and due probes.
	FleetScanInterval = 100 * time.Millisecond
	// ScaleInScanInterval is how often an owner checks whether its shard is partitioned and
	// which machines to terminate: the timeouts of these checks are seconds long.
	ScaleInScanInterval = 250 * time.Millisecond
	// MaxPushInterval is how often an owner pushes its aggregate when nothing changes.
	// MinPushInterval is the least time between two pushes of an empty shard: an owner
	// pushes changes after Core.PushInterval.
	MaxPushInterval = time.Second
	MinPushInterval = 100 * time.Millisecond
	// PushIntervalPerMachine lengthens Core.PushInterval for each machine of a shard: the
	// cost of an aggregate is proportional to the number of machines.
	PushIntervalPerMachine = 300 * time.Microsecond
	// AttemptBits is the number of low bits of an attempt number that count within a term
	// (bits).
	AttemptBits = 24
	// TokenCounterBits is the number of low bits of a fencing token that count within a term
	// (bits).
	TokenCounterBits = 20
	// RenewTermAtSixteenths is the used part of a term's numbers at which an owner acquires
	// a new term (sixteenths). A large fleet starts the sixteen million attempts of a term
	// within hours.
	RenewTermAtSixteenths = 15
)
