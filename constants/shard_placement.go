package constants

import "time"

// Placement of tasks: rounds, retries after failures, and scores.
const (
	// PlacementInterval is the longest time between two placement rounds when nothing
	// has changed.
	PlacementInterval = time.Second
	// MaxJobsPerFill bounds the jobs whose tasks the owner tries to place when capacity
	// becomes free on a machine (jobs).
	MaxJobsPerFill = 8
	// OffloadWait is how long tasks wait in a shard that cannot scale out before they
	// are offloaded to the leader.
	OffloadWait = 5 * time.Second
	// OverdueOffloadWait is how long a task waits in a shard before free capacity for a
	// single task in other shards is enough to offload it: users accept a wait of 90 s while
	// there is free capacity.
	OverdueOffloadWait = 40 * time.Second
	// MachinesPerReservation is the number of machines of a shard per additional machine
	// that may be reserved for an overdue job (machines).
	MachinesPerReservation = 50
	// MinRemainingRuntime is the expected remaining runtime of a task that has outrun
	// its estimate.
	MinRemainingRuntime = 5 * time.Second
	// FaultyMachinePause is how long a machine on which a task failed gets no tasks.
	FaultyMachinePause = 60 * time.Second
	// FaultyJobMachines is the number of machines on which a job must have failed to be
	// considered faulty itself (machines).
	FaultyJobMachines = 3
	// RefusedStartRetryDelay is the delay before a task whose start was refused is tried
	// again.
	RefusedStartRetryDelay = 500 * time.Millisecond
	// MaxFailedTaskRetryDelay is the longest delay before a failing task is tried again.
	MaxFailedTaskRetryDelay = 30 * time.Second
	// Best fit scores a machine by the share of it that would stay free, from 0 to 2 (share
	// of its CPUs plus share of its memory). The lowest score is best. The following terms
	// are added or subtracted in the same unit. Terms above 2 outweigh any difference in
	// fit.
	ScoreImageMissing   = 10.0 // added: the image must be fetched
	ScoreServiceMachine = 3.0  // subtracted for a spot task: an on-demand machine with services stays in use anyway
	ScoreOnDemand       = 5.0  // added for a spot task: an on-demand machine that could become empty
	ScoreDraining       = 20.0 // added: services are migrated off the machine
	ScoreGangReserve    = 9.0  // added for tasks other than a gang's: the capacity is reserved for gangs
	// CostImageFetch is the weight of an image fetch relative to the work that preemption
	// loses (CPU seconds).
	CostImageFetch = 100.0
	// MaxCostForImage is the largest preemption cost that is accepted so that a production
	// task starts on a machine that has its image, if it could also start on a machine
	// without the image (CPU seconds).
	MaxCostForImage = 400.0
	// CostObjectiveMissed is added to the preemption cost if the victim's job would miss an
	// objective (CPU seconds for each CPU of the task).
	CostObjectiveMissed = 60.0
)
