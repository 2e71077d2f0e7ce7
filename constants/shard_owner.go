package constants

import "time"

// Steps of a shard owner, its pushes to the leader, and the numbers of its term.
const (
	// OwnerTick is how often an owner looks at its deadlines without events.
	OwnerTick = 250 * time.Millisecond
	// OwnerGap is the least time between two steps of an owner: what arrives in
	// between is decided together.
	OwnerGap = 20 * time.Millisecond
	// StoodStill is a gap between two steps after which the process counts as
	// having stood still: its own timer wakes an owner every OwnerTick.
	StoodStill = 1500 * time.Millisecond
	// SlowStep is how often an owner looks at its whole fleet for leases, notices
	// and machines to be asked.
	SlowStep = 100 * time.Millisecond
	// CensusEvery is how often it looks whom of its fleet it hears, whether the shard
	// is cut off and which machines to return: silences count in seconds.
	CensusEvery = 250 * time.Millisecond
	// PushEvery is how often an owner pushes its aggregate when nothing
	// changes; changes are pushed after PushInterval.
	PushEvery = time.Second
	PushGap   = 100 * time.Millisecond
	// PushGapMachine lengthens PushInterval for each machine of a shard: taking its
	// figures costs in proportion.
	PushGapMachine = 300 * time.Microsecond
	// AttemptBits is the part of an attempt number that counts within a
	// term (bits).
	AttemptBits = 24
	// EpochBits is the part of a token that counts within a term (bits).
	EpochBits = 20
	// TermUsed is when an owner asks for a new term: that much of the numbers of this
	// one is used (sixteenths). A large fleet starts its sixteen million attempts
	// within hours.
	TermUsed = 15
)
