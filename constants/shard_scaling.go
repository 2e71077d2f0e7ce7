package constants

import "time"

// Scale out, consolidation and spot notices.
const (
	// RentGap is the least time between two looks at what to rent.
	RentGap = 250 * time.Millisecond
	// RefusedPause is how long a refused kind of machine is not asked for.
	RefusedPause = 10 * time.Second
	// BootUsual is how long, in nominal boot times, a machine that has not
	// come up is counted on: most take up to 1.5 of them (factor).
	BootUsual = 1.7
	// BootPatience is when, in nominal boot times, it is returned: some take
	// several of them, and a few never come up but cost all the same (factor).
	BootPatience = 3.0
	// ArrivalMemory is how long arrivals count when room is held ready for
	// more of them.
	ArrivalMemory = 120 * time.Second
	// ReserveFactor is how many times the arrivals expected while a machine
	// boots are held ready: arrivals come in clumps (factor).
	ReserveFactor = 2.0
	// DrainBoots and DrainShare bound how long waiting work may queue before
	// machines that are there rather than have one rented: in nominal boot
	// times, since a new machine would not be sooner, and as a share of the
	// class's objective (factor, share).
	DrainBoots = 0.8
	DrainShare = 0.45
	// DrainWait is how long a task waits at most in that hope, in nominal boot
	// times (factor).
	DrainWait = 0.5
	// NoticeMoves is how many tasks leave a machine that is about to be taken
	// in one step, so that room is found for each (tasks).
	NoticeMoves = 2
	// NoticeMargin is kept between the end of saving and the end of a machine.
	NoticeMargin = 3 * time.Second
	// NoticeDoubt is how many times longer than the notice a task must be
	// expected to run before it is moved: estimates are often wrong by half
	// (factor).
	NoticeDoubt = 1.5
	// MoveGap separates two looks at whether a machine can be emptied, and so
	// two moved services: the last one has usually started again by then.
	MoveGap = time.Second
	// MachinesAMove: for each that many ordinary machines, one service more is
	// moved at once (machines).
	MachinesAMove = 40
	// SpareFor is how long a shard must have been able to do without a machine
	// before it is emptied, so that a lull between two jobs empties none.
	SpareFor = 10 * time.Second
)
