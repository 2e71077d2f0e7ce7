// Package constants holds every constant of ravenport, each with its unit and
// reason. What belongs to a deployment comes from its settings file instead,
// and what operators may wish to change is a default of package settings.
package constants

import "time"

// Front: connections of users, workers and health checks.
const (
	// MaxBody is the protocol's limit on a request's body (bytes).
	MaxBody = 64 << 10
	// MaxHeader bounds a message's first line and headers (bytes); real ones
	// take a few hundred.
	MaxHeader = 8 << 10
	// ServerReadBuffer is what the event loop reads at once (bytes): a whole
	// usual report, without holding much memory.
	ServerReadBuffer = 16 << 10
	// ServerTick is how often idle connections are looked for.
	ServerTick = time.Second
	// ServerIdle ends connections without a request: twenty report periods
	// of a slow deployment, so that no worker or poller is cut off.
	ServerIdle = 60 * time.Second
	// ServerSpare is after which time without a request a connection may be
	// closed for a new one when there are no more: workers report and users ask
	// more often.
	ServerSpare = 15 * time.Second
	// ServerSlowRequest ends connections that sent part of a request and
	// stopped: users give up after 5 s themselves.
	ServerSlowRequest = 10 * time.Second
	// ReservedSockets are kept from the front for state service, cloud,
	// workers and peers: at least so many, and of many sockets one in so many
	// (sockets, part).
	ReservedSockets = 256
	ReservedShare   = 6
	// OwnSockets of those are for anything but direct commands (sockets).
	OwnSockets = 64
	// ServerCrowded: with more than that many eighths of the front's sockets in
	// use, answers end their connections. All workers of a large fleet may come
	// to one controller; between two reports they must not shut out users and
	// health checks (eighths).
	ServerCrowded = 7
)

// Clients of the state service, the cloud and workers.
const (
	// DialTimeout bounds setting up a connection: a silent host must not
	// hold a call, and a lost first packet is sent again within a second.
	DialTimeout = 1500 * time.Millisecond
	// IdleConns are connections kept open to one server (connections).
	IdleConns = 8
	// ClientMaxBody bounds an answer (bytes): a page of keys has at most 512 KiB.
	ClientMaxBody = 4 << 20
	// StateTimeout bounds a call to the state service; usual answers take
	// 10 ms, slow ones a few hundred.
	StateTimeout = 2 * time.Second
	// StatePage is how many keys are read at once (keys).
	StatePage = 200
	// WatchWait is how long a watch stays open. Short enough that a hung
	// connection is noticed soon.
	WatchWait = 5 * time.Second
	// ReadShare is the part of the state service's requests that the watches of
	// all controllers may use, and the part that their reads of the revision
	// may; leases, writes and reads of keys have the rest (share).
	ReadShare = 0.33
	// ReadGapMin and ReadGapMax bound the time between two of them: enough for
	// a burst of changes to come in few answers, and too little to be noticed.
	ReadGapMin = 10 * time.Millisecond
	ReadGapMax = 200 * time.Millisecond
	// RetryMin and RetryMax bound the wait before a failed call is repeated.
	RetryMin = 100 * time.Millisecond
	RetryMax = 2 * time.Second
	// StateShare is the part of the state service's allowance that one
	// controller may use by itself (share); a refusal for rate is harmless.
	StateShare = 0.7
	// AllowanceWait is how long a write that a user waits for may queue for
	// the allowance before the user is told to come back, a second or more later:
	// a burst of submissions takes its turn within that.
	AllowanceWait = 600 * time.Millisecond
	// UrgentRetry is the least wait before a write that cannot wait is repeated
	// that was refused for rate alone, and as much is added at random.
	UrgentRetry = 40 * time.Millisecond
	// LaterShare is the part of the write allowance that one controller's
	// writes that can wait may use (share).
	LaterShare = 0.5
	// CloudShare is the part of the cloud's calls that one controller may use
	// (share). Not all controllers own a shard; a refusal for rate is harmless.
	CloudShare = 0.5
	// CloudTimeout bounds a call to the cloud.
	CloudTimeout = 5 * time.Second
	// CommandTimeout bounds a direct command: the next report carries the
	// same commands anyway.
	CommandTimeout = 2 * time.Second
	// CommandFanout bounds a shard's direct commands under way at once (calls):
	// each is a socket, and a silent machine holds one for CommandTimeout. Fewer
	// where all shards on one controller would need more than is reserved, and
	// CommandsLeast at least.
	CommandFanout = 200
	CommandsLeast = 16
	// IdleCommands bounds the connections to workers that are kept open for
	// the next command (connections).
	IdleCommands = 100
)

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

// Controllers among themselves.
const (
	// PeerMaxMessage bounds a message (bytes); counts of many jobs may be long.
	PeerMaxMessage = 4 << 20
	// PeerBuffer is gRPC's buffer per connection and direction (bytes).
	PeerBuffer = 8 << 10
	// PeerTimeout bounds a call to another controller.
	PeerTimeout = 1500 * time.Millisecond
	// CancellationsKept is how many of the latest cancellations are remembered at
	// least, to be named to a controller whose feed is behind (jobs): those of
	// minutes at several a second, where a feed is behind by a lease's life.
	CancellationsKept = 512
	// StateSilence is when a controller that heard nothing from the state
	// service counts as cut off from it.
	StateSilence = 3 * time.Second
)

// API server.
const (
	// BarrierWait is how long a poll waits for the feed to reach the
	// revision read for it before the key itself is read.
	BarrierWait = 150 * time.Millisecond
	// AnswerLimit is when a request that could not be decided is refused;
	// polls allow 2 s, submissions 5 s.
	AnswerLimit = 1500 * time.Millisecond
	// DownFor is how long after a failed call to the state service requests
	// that need it are refused without another try.
	DownFor = 300 * time.Millisecond
	// MaxWaiting bounds requests that wait for the state service (requests).
	MaxWaiting = 512
	// Turns is into how many groups the jobs are divided, whose polls have their
	// turn under overload, and TurnLength is how long: longer than the 5 s
	// between two polls, and all within the 75 s after which users take a job
	// for forgotten.
	Turns      = 8
	TurnLength = 7 * time.Second
	// RetryAfterS is what a refused user is told to wait (s).
	RetryAfterS = 1
	// RetrySpreadS is over how much longer submissions are spread that came too
	// many at once for the state service's allowance (s).
	RetrySpreadS = 3
)

// Rounds of decisions, the leader's and the owners'.
const (
	// RoundBudget bounds one round; the next goes on where it stopped. It is meant as
	// processor time: on a share of a processor a round may take longer, up to
	// RoundBudgetMost, since what comes meanwhile waits for its end.
	RoundBudget     = 5 * time.Millisecond
	RoundBudgetMost = 50 * time.Millisecond
)

// Leader.
const (
	// LeaderTick is how often the leader looks at its queue without events.
	LeaderTick = 200 * time.Millisecond
	// LeaderGap is the least time between two looks: what comes in between is
	// decided together.
	LeaderGap = 10 * time.Millisecond
	// StaleAggregate is when a shard that pushes nothing is ranked last.
	StaleAggregate = 4 * time.Second
	// QueueShare is how much work, as a share of its capacity, may wait with an
	// owner that gets no more machines (share).
	QueueShare = 0.1
	// MaxGiven bounds the tasks given to an owner at once beyond what it has
	// room for (tasks).
	MaxGiven = 1000
	// MaxQueued bounds the work that waits with an owner without room that is
	// coming (CPUs): several of the cloud's largest rentals of 50 machines.
	MaxQueued = 8000.0
	// PartialGap is the least time between two assignments of a job of which
	// some tasks find no room yet: fewer, larger writes.
	PartialGap = 500 * time.Millisecond
	// ForecastEvery is how often the leader tells owners what it will assign to
	// them once the state service's allowance permits, and ForecastLife how long
	// that counts.
	ForecastEvery = 300 * time.Millisecond
	ForecastLife  = time.Second
	// ForecastAfter is how long a job must have waited to be in the forecast: without
	// a backlog it is assigned sooner.
	ForecastAfter = time.Second
	// BeginWithin is how long a job waits before it comes before all others of
	// its priority if nothing of it has begun: users expect even the largest to
	// begin within four minutes, and room for it may have to come together.
	BeginWithin = 150 * time.Second
	// OverdueShare: an eighth of an overdue array comes before all others; under
	// three times the load that is still less than half of what there is (part).
	BeginShare = 8
	// CollectFor is how long room is kept for one job at the cost of others.
	CollectFor = 60 * time.Second
	// WorkPerSecond is how much more work of a job weighs as much as a second
	// of waiting when jobs queue (CPU seconds per second): small jobs pass
	// large ones that came shortly before, and are not passed for ever.
	WorkPerSecond = 100.0
	// MaxAssignments bounds assignments under way at once (transactions).
	MaxAssignments = 16
	// MaxUrgent bounds those of them that do not wait for their share of the
	// allowance but are repeated until it is there (transactions): as many as are
	// answered at once without a backlog.
	MaxUrgent = 4
)

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

// Drains and the account of disruption budgets.
const (
	// DrainEvery is how often an owner counts what is unavailable in its shard and
	// goes on with its drains: a few thousand tasks are counted within a millisecond.
	DrainEvery = 250 * time.Millisecond
	// ClaimGap is the least time between two writes of a shard's claim while a drain
	// runs, and ClaimGapIdle while none does: claims of all shards together then take
	// a small part of the smallest allowance of changes that is in use.
	ClaimGap     = time.Second
	ClaimGapIdle = 5 * time.Second
	// ClaimTransit is for how long a task that was just given to a shard is counted
	// by the owners of all others: the shard's owner needs to read the record, to
	// count and to write its claim.
	ClaimTransit = 5 * time.Second
	// DrainRentals bounds the tasks for whose move an owner rents at a time (tasks):
	// one request's worth of machines.
	DrainRentals = 50
	// DrainLooks bounds the tasks for which an owner looks for a machine with room each
	// time it goes on with its drains (tasks): a look is at all machines of the shard.
	DrainLooks = 32
	// DrainNames bounds the machines that a status or a selection names (machines): a
	// selection must fit a value of the state service.
	DrainNames = 20
	// DrainsKept is how many drains are kept that are over (drains).
	DrainsKept = 20
	// DrainCallTimeout bounds a call about drains between controllers: a plan asks the
	// owner of each shard.
	DrainCallTimeout = 8 * time.Second
)

// Metrics.
const (
	// LatencyMaxMS is the end of latency histograms (ms): nobody waits longer.
	LatencyMaxMS = 60_000
	// LatencyDigits is their resolution (significant digits).
	LatencyDigits = 2
)
