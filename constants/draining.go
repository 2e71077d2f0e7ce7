package constants

import "time"

// Drains and the account of disruption budgets.
const (
	// DrainInterval is how often an owner counts what is unavailable in its shard and
	// goes on with its drains: a few thousand tasks are counted within a millisecond.
	DrainInterval = 250 * time.Millisecond
	// ClaimWriteGap is the least time between two writes of a shard's claim while a drain
	// runs, and ClaimWriteGapIdle while none does: claims of all shards together then take
	// a small part of the smallest allowance of changes that is in use.
	ClaimWriteGap     = time.Second
	ClaimWriteGapIdle = 5 * time.Second
	// AssignmentHandoverTime is for how long a task that was just given to a shard is counted
	// by the owners of all others: the shard's owner needs to read the record, to
	// count and to write its claim.
	AssignmentHandoverTime = 5 * time.Second
	// MaxSurgeTasks bounds the tasks for whose move an owner rents at a time (tasks):
	// one request's worth of machines.
	MaxSurgeTasks = 50
	// MaxMigrationSearches bounds the tasks for which an owner looks for a machine with room each
	// time it goes on with its drains (tasks): a look is at all machines of the shard.
	MaxMigrationSearches = 32
	// MaxDrainMachineNames bounds the machines that a status or a selection names (machines): a
	// selection must fit a value of the state service.
	MaxDrainMachineNames = 20
	// MaxFinishedDrains is how many drains are kept that are over (drains).
	MaxFinishedDrains = 20
	// DrainCallTimeout bounds a call about drains between controllers: a plan asks the
	// owner of each shard.
	DrainCallTimeout = 8 * time.Second
)
