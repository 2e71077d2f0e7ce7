package loopback

import (
	"sync"
	"sync/atomic"
	"time"

	"ravenport/wire"
)

// machine stands in for a worker with its machine.
type machine struct {
	name, addr, zone       string
	spot                   bool
	createdAt              time.Time
	neverBoots, failsTasks bool      // it never comes up; every task that starts on it fails
	reclaimedAt            time.Time // when its provider takes it back, of which it tells; zero: never
	stopped                chan struct{}
	ended                  atomic.Bool

	mu             sync.Mutex
	epoch          uint64
	leaseRenewedAt time.Time // when the last answered report was sent
	lease          time.Duration
	seq            uint64
	fencingToken   uint64
	observer       *observer
	tasks          []*task // in the order of their starts
	heartbeatDue   chan struct{}
}

func newMachine(name, addr, zone string, spot bool) *machine {
	return &machine{name: name, addr: addr, zone: zone, spot: spot, createdAt: time.Now(), epoch: 1, stopped: make(chan struct{}), heartbeatDue: make(chan struct{}, 1)}
}

// terminate takes the machine away, with all that is on it.
func (m *machine) terminate() {
	if m.ended.Swap(true) {
		return
	}
	close(m.stopped)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.killTasks()
}

// killTasks ends and forgets all tasks. The caller holds the lock.
func (m *machine) killTasks() {
	for _, t := range m.tasks {
		m.observer.taskEnded(t.Task, m.name)
	}
	m.tasks = nil
}

// usedCPUs is how many CPUs the machine's tasks hold, and whether the machine is up and
// has been answered.
func (m *machine) usedCPUs(f *fleet) (float64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	cpus := 0.0
	for _, t := range m.tasks {
		if t.State != wire.TaskExited {
			cpus += f.taskCPUs(t.Task)
		}
	}
	return cpus, m.fencingToken > 0 && !m.ended.Load()
}

// task is one attempt on a machine.
type task struct {
	wire.TaskStatus
	changesAt time.Time // when its state changes by itself; zero: it does not
	duration  time.Duration
}

// imageFetchTime is how long a task waits for its image.
const imageFetchTime = 200 * time.Millisecond

// advanceUntilStopped lets time pass on the machine until it ends, whatever its reports wait for.
func (m *machine) advanceUntilStopped() {
	look := time.NewTicker(50 * time.Millisecond)
	defer look.Stop()
	for {
		select {
		case <-m.stopped:
			return
		case <-look.C:
		}
		m.mu.Lock()
		changed := m.advance()
		m.mu.Unlock()
		if changed {
			m.requestHeartbeat()
		}
	}
}

// advance lets time pass, and says whether it changed anything.
func (m *machine) advance() bool {
	changed := false
	if !m.leaseRenewedAt.IsZero() && time.Since(m.leaseRenewedAt) > m.lease {
		m.killTasks()
		m.epoch++
		m.leaseRenewedAt = time.Now()
		changed = true
	}
	for _, t := range m.tasks {
		if t.changesAt.IsZero() || time.Now().Before(t.changesAt) {
			continue
		}
		changed = true
		switch {
		case t.State == wire.TaskFetching:
			m.observer.taskStarted(t.Task, m.name)
			t.State, t.changesAt = wire.TaskRunning, time.Time{}
			if t.duration > 0 {
				t.changesAt = time.Now().Add(t.duration)
			}
		default:
			m.observer.taskCompleted(t.Task, m.name)
			t.State, t.Cause, t.changesAt = wire.TaskExited, wire.CauseDone, time.Time{}
		}
	}
	return changed
}
