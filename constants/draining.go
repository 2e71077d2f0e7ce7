package constants

import "time"

// Drains and disruption budgets.
const (
	// DrainInterval is how often an owner counts the unavailable tasks of its shard and
	// continues its drains: a few thousand tasks are counted within a millisecond.
	DrainInterval = 250 * time.Millisecond
	// MinClaimWriteInterval is the least time between two writes of a shard's disruption claim
	// while a drain runs, and MinIdleClaimWriteInterval while none does: the claims of all shards
	// together then take a small part of the smallest write allowance that is in use.
	MinClaimWriteInterval     = time.Second
	MinIdleClaimWriteInterval = 5 * time.Second
	// AssignmentHandoverTime is how long the owners of all other shards count a task as
	// unavailable that was just assigned to a shard: the shard's owner needs to read the
	// record, to count and to write its claim.
	AssignmentHandoverTime = 5 * time.Second
	// MaxSurgeTasks bounds the tasks that an owner scales out for at a time so that they
	// can be moved (tasks): one request's worth of machines.
	MaxSurgeTasks = 50
	// MaxMigrationSearches bounds the tasks for which an owner searches a machine with
	// free capacity each time it continues its drains (tasks): a search is over all
	// machines of the shard.
	MaxMigrationSearches = 32
	// MaxDrainMachineNames bounds the machines that a status or a selection names
	// (machines): a selection must fit a value of the key-value store.
	MaxDrainMachineNames = 20
	// MaxFinishedDrains is how many drains that have ended are kept (drains).
	MaxFinishedDrains = 20
	// DrainCallTimeout bounds a call about drains between controllers: a plan asks the
	// owner of each shard.
	DrainCallTimeout = 8 * time.Second
)
