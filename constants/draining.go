package constants

import "time"

// Drains and disruption budgets.
const (
	// DrainInterval is how often an owner counts the unavailable tasks of its shard and
	// continues its drains. Counting a few thousand tasks takes less than a millisecond.
	DrainInterval = 250 * time.Millisecond
	// MinClaimWriteInterval is the least time between two writes of a shard's disruption
	// claim while a drain runs, and MinIdleClaimWriteInterval while none does. The claims of
	// all shards together then use a small part of the lowest write rate limit in use.
	MinClaimWriteInterval     = time.Second
	MinIdleClaimWriteInterval = 5 * time.Second
	// AssignmentHandoverTime is how long the owners of all other shards count a task as
	// unavailable after its assignment to a shard. Within it, the shard's owner reads the
	// record, counts the task and writes its claim.
	AssignmentHandoverTime = 5 * time.Second
	// MaxSurgeTasks bounds the tasks for which an owner scales out at a time so that they
	// can be migrated (tasks): the machines of one request to the cloud.
	MaxSurgeTasks = 50
	// MaxMigrationSearches bounds the tasks for which an owner searches a machine with free
	// capacity each time it continues its drains (tasks): each search scans all machines of
	// the shard.
	MaxMigrationSearches = 32
	// MaxDrainMachineNames bounds the machines that a status or a selection lists by name
	// (machines): a selection must fit in one value of the key-value store.
	MaxDrainMachineNames = 20
	// MaxFinishedDrains bounds the drains that have ended, finished or cancelled, whose
	// records are kept (drains).
	MaxFinishedDrains = 20
	// DrainCallTimeout bounds a call about drains between controllers: a plan queries the
	// owner of each shard.
	DrainCallTimeout = 8 * time.Second
)
