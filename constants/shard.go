package constants

import "time"

// Shard owner.
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
	// PlaceEvery is how often everything is placed anew without a cause.
	PlaceEvery = time.Second
	// RentGap is the least time between two looks at what to rent.
	RentGap = 250 * time.Millisecond
	// FillLooks bounds the jobs of which tasks are looked at for the room that
	// falls free on one machine (jobs).
	FillLooks = 8
	// PushEvery is how often an owner pushes its aggregate when nothing
	// changes; changes are pushed after PushInterval.
	PushEvery = time.Second
	PushGap   = 100 * time.Millisecond
	// PushGapMachine lengthens PushInterval for each machine of a shard: taking its
	// figures costs in proportion.
	PushGapMachine = 300 * time.Microsecond
	// RepeatCommand is when a direct command without effect is sent again.
	RepeatCommand = time.Second
	// ProbePeriods: a machine unheard for that many report periods is asked
	// directly; reports come a quarter late at most. Two questions without an
	// answer, and it has failed (periods).
	ProbePeriods = 1.3
	// SilentPeriods: a machine unheard for that many report periods gets no
	// tasks, and has failed if it did not answer once (periods).
	SilentPeriods = 2.2
	// HearingPeriods is how far back an owner of many machines looks for reports
	// to know that it hears, and HearingShare the part of its machines of which
	// one must have come: a quarter of those that were due (periods, part).
	HearingPeriods = 0.5
	HearingShare   = 8
	// FewMachines: of fewer, the reports of so short a time say nothing
	// (machines).
	FewMachines = 16
	// FewTogether: of more machines than that, none falls silent by chance just
	// when all others do (machines).
	FewTogether = 2
	// ListsMissing is how many of the cloud's lists in a row a machine must be
	// absent from to count as taken: one may be older than the one before (lists).
	ListsMissing = 2
	// LateReport is how late a report may be (periods), and NextController when
	// a worker without an answer has turned to another controller: after 4 s
	// and one more.
	LateReport     = 1.25
	NextController = 5 * time.Second
	// MisroutedPeriods is how long a report to another controller counts for the
	// machine's owner (periods).
	MisroutedPeriods = 2.0
	// MutePeriods is when a machine that answers calls but makes no reports is
	// given up: its lease ends soon (periods).
	MutePeriods = 3.0
	// DeafAsks is how many direct commands in a row an unconfirmed machine leaves
	// unanswered before it is given up, however often it is heard (commands).
	DeafAsks = 3
	// TakeoverAsk is how long a new owner of many machines waits for their own
	// reports, which come within a second or two, before it asks them.
	TakeoverAsk = 1500 * time.Millisecond
	// TakeoverPatience is when a new owner to whom most machines have come back
	// gives up those that did not answer: reports of all that live come within
	// two seconds or so, and much of the shard's work waits for the last one.
	TakeoverPatience = 3500 * time.Millisecond
	// AskTimeout bounds a question to a machine, which carries no command.
	AskTimeout = 1200 * time.Millisecond
	// UnreachableCalls bounds the calls under way to a shard that is out of reach as a
	// whole (calls): enough to notice its return.
	UnreachableCalls = 32
	// AsksAStep bounds the machines that are asked directly in one step: each
	// question costs a connection.
	AsksAStep = 32
	// GoneMemory is how long a returned machine's late reports are refused.
	GoneMemory = 15 * time.Minute
	// SilentAtTakeover: the same for a new owner, which asks at once (periods).
	SilentAtTakeover = 2.0
	// AttemptBits is the part of an attempt number that counts within a
	// term (bits).
	AttemptBits = 24
	// EpochBits is the part of a token that counts within a term (bits).
	EpochBits = 20
	// TermUsed is when an owner asks for a new term: that much of the numbers of this
	// one is used (sixteenths). A large fleet starts its sixteen million attempts
	// within hours.
	TermUsed = 15
	// InventoryGap is the least time between two writes of the inventory, and
	// InventoryShare the part of the state service's changes that one shard's pages
	// may use: a new machine waits for its page.
	InventoryGap   = 250 * time.Millisecond
	InventoryShare = 0.1
	// InventoryPages bounds the pages in one such write (pages).
	InventoryPages = 3
	// InventoryEntryBytes is what a machine takes of a page beside its name: an
	// address and signs (bytes).
	InventoryEntryBytes = 30
	// PageFill is how much of a value a page may take (percent).
	PageFill = 90
	// LeastValue is the smallest value that the inventory's pages are made for when
	// the state service finds fault with one (bytes): a few machines.
	LeastValue = 512
	// NoticeMoves is how many tasks leave a machine that is about to be taken
	// in one step, so that room is found for each (tasks).
	NoticeMoves = 2
	// NoticeMargin is kept between the end of saving and the end of a machine.
	NoticeMargin = 3 * time.Second
	// NoticeDoubt is how many times longer than the notice a task must be
	// expected to run before it is moved: estimates are often wrong by half
	// (factor).
	NoticeDoubt = 1.5
	// CloudListEvery is how often an owner reads the cloud's list, for each page
	// of machines that it has: a longer list takes more of the allowance.
	CloudListEvery = 10 * time.Second
	// RefusedPause is how long a refused kind of machine is not asked for.
	RefusedPause = 10 * time.Second
	// BootUsual is how long, in nominal boot times, a machine that has not
	// come up is counted on: most take up to 1.5 of them (factor).
	BootUsual = 1.7
	// BootPatience is when, in nominal boot times, it is returned: some take
	// several of them, and a few never come up but cost all the same (factor).
	BootPatience = 3.0
	// ExitedRaise is how many exited attempts that must not be forgotten yet
	// a machine may hold before it is sent a higher token, under which they
	// can be: each makes its every report longer (attempts).
	ExitedRaise = 4
	// KeepWait is how long tasks wait in a shard that gets no more machines
	// before they are sent back to the leader.
	KeepWait = 5 * time.Second
	// KeepLong is how long a task waits in a shard before room for a single one
	// elsewhere is enough to send it back: users allow 90 s beside room.
	KeepLong = 40 * time.Second
	// MoveGap separates two looks at whether a machine can be emptied, and so
	// two moved services: the last one has usually started again by then.
	MoveGap = time.Second
	// MachinesACollect: for each that many machines, one more may be kept for a
	// task that finds no room for long (machines).
	MachinesACollect = 50
	// MachinesAMove: for each that many ordinary machines, one service more is
	// moved at once (machines).
	MachinesAMove = 40
	// CloseWait is how long assignments that are over wait for the job's others in
	// the shard, to be recorded with them. Room within a team's limit is free
	// that much later.
	CloseWait = 3 * time.Second
	// SpareFor is how long a shard must have been able to do without a machine
	// before it is emptied, so that a lull between two jobs empties none.
	SpareFor = 10 * time.Second
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
	// LeastLeft is what a task that outran its estimate is expected to run on.
	LeastLeft = 5 * time.Second
	// GangReplace: a lost task of a gang that has not begun is replaced while that
	// much of the time is left unused for which its others wait (percent): an image
	// may have to come yet.
	GangReplace = 60
	// GangPatience is how long a gang waits in a shard for room that may be coming
	// before it goes to another shard that could start it at once.
	GangPatience = 3 * time.Second
	// FetchSlow is how much longer than usual a slow fetch of an image takes
	// (factor): rates differ by a third, and a gang asks for few fetches.
	FetchSlow = 1.2
	// GangsFaint: with less than that much of the largest gang expected while a
	// machine would boot, none is expected and no room is kept (share).
	GangsFaint = 0.02
	// ShapeMemory is how long the shape of a gang is remembered after the last of
	// its kind: longer than most classes pause, and not for ever.
	ShapeMemory = 10 * time.Minute
	// MaxShapes bounds them: an owner looks at its machines for each (shapes).
	MaxShapes = 32
	// FaultPause is how long a machine that failed a task is avoided.
	FaultPause = 60 * time.Second
	// JobFaultMachines: a job that failed on that many machines is itself at
	// fault (machines).
	JobFaultMachines = 3
	// RefusedRetry is when a task whose start was refused is tried again.
	RefusedRetry = 500 * time.Millisecond
	// Best fit leaves a machine between 0 and 2 free (shares of its CPUs and
	// memory); these come on top and put one reason before another (same unit).
	ScoreCold     = 10.0 // the image must be fetched
	ScoreShared   = 3.0  // less, for an ordinary machine with services
	ScoreOrdinary = 5.0  // an ordinary machine that could be emptied
	ScoreDraining = 20.0 // it is being emptied
	ScoreForGangs = 9.0  // its room is held ready for gangs
	// CostCold is what fetching an image weighs against work that is lost by
	// stopping it (CPU seconds).
	CostCold = 100.0
	// CostWarm is what may be lost at most so that a production task finds its
	// image, where it could also start on a machine without it (CPU seconds).
	CostWarm = 400.0
	// CostMissed is what it weighs that a job misses an objective because a task
	// of it is stopped (CPU seconds for each of the task's CPUs).
	CostMissed = 60.0
	// JobFaultRetry is the longest wait before a failing task is tried again.
	JobFaultRetry = 30 * time.Second
)
