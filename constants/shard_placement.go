package constants

import "time"

// Placement of tasks: rounds, retries after failures, and scores.
const (
	// PlaceEvery is how often everything is placed anew without a cause.
	PlaceEvery = time.Second
	// FillLooks bounds the jobs of which tasks are looked at for the room that
	// falls free on one machine (jobs).
	FillLooks = 8
	// KeepWait is how long tasks wait in a shard that gets no more machines
	// before they are sent back to the leader.
	KeepWait = 5 * time.Second
	// KeepLong is how long a task waits in a shard before room for a single one
	// elsewhere is enough to send it back: users allow 90 s beside room.
	KeepLong = 40 * time.Second
	// MachinesACollect: for each that many machines, one more may be kept for a
	// task that finds no room for long (machines).
	MachinesACollect = 50
	// LeastLeft is what a task that outran its estimate is expected to run on.
	LeastLeft = 5 * time.Second
	// FaultPause is how long a machine that failed a task is avoided.
	FaultPause = 60 * time.Second
	// JobFaultMachines: a job that failed on that many machines is itself at
	// fault (machines).
	JobFaultMachines = 3
	// RefusedRetry is when a task whose start was refused is tried again.
	RefusedRetry = 500 * time.Millisecond
	// JobFaultRetry is the longest wait before a failing task is tried again.
	JobFaultRetry = 30 * time.Second
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
)
