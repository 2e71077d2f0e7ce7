package constants

import "time"

// Scale-out, consolidation and reclaimed spot machines.
const (
	// ScaleOutInterval is the least time between two computations of the machines to scale
	// out.
	ScaleOutInterval = 250 * time.Millisecond
	// ScaleOutRefusedPause is how long no machines of a kind are requested after the cloud
	// has refused some of that kind.
	ScaleOutRefusedPause = 10 * time.Second
	// PendingBootTimes is how long, in nominal boot times, a machine that has not come up
	// counts as pending capacity (factor): most machines take up to 1.5 of them.
	PendingBootTimes = 1.7
	// MaxBootTimes is the time, in nominal boot times, after which a machine that has not
	// come up is scaled in (factor): some machines take several boot times, and a few never
	// come up but cost as much as others.
	MaxBootTimes = 3.0
	// ArrivalTimeConstant is the time constant of the decaying average of arriving work.
	ArrivalTimeConstant = 120 * time.Second
	// ReserveFactor is the multiple of the arrivals expected during a machine's boot that is
	// held in reserve (factor): arrivals are bursty.
	ReserveFactor = 2.0
	// BacklogBootTimes and BacklogObjectiveShare bound how long waiting work may queue for
	// existing machines before the shard scales out for it: in nominal boot times, since a
	// new machine would not be up sooner, and as a share of the class's objective (factor,
	// share).
	BacklogBootTimes      = 0.8
	BacklogObjectiveShare = 0.45
	// BacklogWaitBootTimes is how long a task may wait in the backlog of the existing
	// machines, in nominal boot times (factor).
	BacklogWaitBootTimes = 0.5
	// MaxReclaimEvictions bounds the tasks that are evicted in one step from a machine that
	// the cloud will reclaim, so that each finds capacity (tasks).
	MaxReclaimEvictions = 2
	// ReclaimMargin is the least time between the end of a checkpoint and the moment at
	// which the cloud reclaims the machine.
	ReclaimMargin = 3 * time.Second
	// ReclaimRuntimeFactor is the ratio of a task's expected remaining runtime to the time
	// before its machine is reclaimed above which the task is evicted (factor): estimates
	// are often wrong by half.
	ReclaimRuntimeFactor = 1.5
	// ConsolidationInterval is the least time between two consolidation steps, and so
	// between two migrations: a migrated service has usually restarted by then.
	ConsolidationInterval = time.Second
	// MachinesPerMigration is the number of on-demand machines per additional service that
	// may be migrated at the same time (machines).
	MachinesPerMigration = 40
	// MinRedundantTime is how long a machine must have been redundant before services are
	// migrated off it, so that a short pause between two jobs has no effect.
	MinRedundantTime = 10 * time.Second
)
