package loopback

import (
	"time"

	"ravenport/wire"
)

// breakNext has the next machines that are rented never boot, or fail all their tasks.
func (c *cloud) breakNext(bootless, sick int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.neverBootNext, c.failTasksNext = bootless, sick
}

// breaksLeft is how many machines breakNext still waits for.
func (c *cloud) breaksLeft() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.neverBootNext + c.failTasksNext
}

// reclaimSpot tells all spot machines that they are taken back after a notice, and
// returns how many those are.
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

// machineZone is the zone of a machine that is there; empty if it is gone.
func (f *fleet) machineZone(machine string) string {
	f.cloud.mu.Lock()
	defer f.cloud.mu.Unlock()
	if m := f.cloud.machines[machine]; m != nil {
		return m.zone
	}
	return ""
}

// failServiceTask has a task of a service on a machine end with an error.
func (f *fleet) failServiceTask(machine string) {
	f.cloud.mu.Lock()
	m := f.cloud.machines[machine]
	f.cloud.mu.Unlock()
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range m.tasks {
		if x.State == wire.TaskRunning && !f.isArrayTask(x.Task) {
			x.State, x.Cause, x.changesAt = wire.TaskExited, wire.CauseError, time.Time{}
			m.observer.taskEnded(x.Task, m.name)
			m.requestHeartbeat()
			return
		}
	}
}
