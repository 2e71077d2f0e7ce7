package constants

import "time"

// Scale out, consolidation and reclaimed spot machines.
const (
	// ScaleOutInterval is the least time between two computations of what to scale out.
	ScaleOutInterval = 250 * time.Millisecond
	// ScaleOutRefusedPause is how long no more machines of a kind are requested after
	// the cloud has refused some.
	ScaleOutRefusedPause = 10 * time.Second
	// PendingBootTimes is how long, in nominal boot times, a machine that has not come
	// up counts as pending capacity: most take up to 1.5 of them (factor).
	PendingBootTimes = 1.7
	// MaxBootTimes is when, in nominal boot times, such a machine is scaled in: some
	// take several of them, and a few never come up but cost all the same (factor).
	MaxBootTimes = 3.0
	// ArrivalTimeConstant is the time constant of the decaying average of arriving work.
	ArrivalTimeConstant = 120 * time.Second
	// ReserveFactor is how many times the arrivals expected while a machine boots are
	// held in reserve: arrivals are bursty (factor).
	ReserveFactor = 2.0
	// BacklogBootTimes and BacklogObjectiveShare bound how long waiting work may queue
	// for existing machines before the shard scales out for it: in nominal boot times,
	// since a new machine would not be up sooner, and as a share of the class's
	// objective (factor, share).
	BacklogBootTimes      = 0.8
	BacklogObjectiveShare = 0.45
	// BacklogWaitBootTimes is the longest wait of a task in the backlog of the existing
	// machines, in nominal boot times (factor).
	BacklogWaitBootTimes = 0.5
	// MaxReclaimEvictions bounds the tasks that are evicted in one step from a machine
	// that the cloud will take back, so that each finds capacity (tasks).
	MaxReclaimEvictions = 2
	// ReclaimMargin is the least time between the end of a checkpoint and the moment at
	// which the machine is taken back.
	ReclaimMargin = 3 * time.Second
	// ReclaimRuntimeFactor: a task is evicted from a machine that the cloud will take
	// back if its expected remaining runtime is longer than the remaining time by this
	// factor: estimates are often wrong by half (factor).
	ReclaimRuntimeFactor = 1.5
	// ConsolidationInterval is the least time between two consolidation steps, and so
	// between two migrations: a migrated service has usually started again by then.
	ConsolidationInterval = time.Second
	// MachinesPerMigration: for each so many on-demand machines, one more service is
	// migrated at once (machines).
	MachinesPerMigration = 40
	// MinRedundantTime is how long a machine must have been redundant before services are
	// migrated off it, so that a lull between two jobs has no effect.
	MinRedundantTime = 10 * time.Second
)
