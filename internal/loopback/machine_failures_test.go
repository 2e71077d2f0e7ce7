package loopback

import (
	"time"

	"ravenport/wire"
)

// failNextMachines makes a number of the next created machines never boot. A number of
// machines that are created after those fail all their tasks.
func (c *cloud) failNextMachines(neverBoot, failTasks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.neverBootNext = neverBoot
	c.failTasksNext = failTasks
}

// pendingMachineFailures returns the number of machines that failNextMachines has asked for
// and that were not created yet.
func (c *cloud) pendingMachineFailures() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.neverBootNext + c.failTasksNext
}

// reclaimSpot gives all spot instances notice, reclaims them when the notice ends, and
// returns their number.
func (c *cloud) reclaimSpot(notice time.Duration) int {
	n := 0
	for _, m := range c.allMachines() {
		if !m.spot {
			continue
		}
		n++
		m.mu.Lock()
		m.reclaimedAt = time.Now().Add(notice)
		m.requestHeartbeat()
		m.mu.Unlock()
		time.AfterFunc(notice, func() { c.remove([]string{m.name}) })
	}
	return n
}

// machineZone returns the zone of a machine, or "" if the machine does not exist any more.
func (f *fleet) machineZone(machine string) string {
	f.cloud.mu.Lock()
	defer f.cloud.mu.Unlock()
	if m := f.cloud.machines[machine]; m != nil {
		return m.zone
	}
	return ""
}

// failServiceTask makes one running task of a service on a machine exit with an error.
func (f *fleet) failServiceTask(machine string) {
	f.cloud.mu.Lock()
	m := f.cloud.machines[machine]
	f.cloud.mu.Unlock()
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.tasks {
		if t.State == wire.TaskRunning && !f.isArrayTask(t.Task) {
			t.exit(wire.CauseError)
			m.observer.taskEnded(t.Task, m.name)
			m.requestHeartbeat()
			return
		}
	}
}
