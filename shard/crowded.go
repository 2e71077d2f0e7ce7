package shard

import (
	"ravenport/constants"
	"ravenport/wire"
)

// closeFinishedOnCrowdedMachines requests that finished tasks are closed one by one where they
// take much of the room in their machine's heartbeats. A machine lists a finished task until
// its assignment is closed, which may wait for tasks that find no room because of that.
func (c *Core) closeFinishedOnCrowdedMachines() {
	for _, m := range c.fleet {
		if !c.isCrowded(m) {
			continue
		}
		for _, a := range m.attempts {
			j := c.jobs[a.jobID]
			if j == nil || j.gang != nil || j.closesFinishedTasks || !a.hasExited() || a.cause != wire.CauseDone {
				continue
			}
			j.closesFinishedTasks = true
			c.queueForClose(j)
		}
	}
}

// isCrowded reports whether the statuses of a machine's tasks take much of the room in its
// heartbeats.
func (k *knownState) isCrowded(m *machine) bool {
	return k.usageOf(m).used.messageBytes > constants.CrowdedStatusShare*constants.MaxTaskEntriesBytes
}
