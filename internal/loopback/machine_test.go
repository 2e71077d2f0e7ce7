package loopback

import (
	"sync"
	"sync/atomic"
	"time"

	"ravenport/wire"
)

// machine stands in for a machine with its worker.
type machine struct {
	name       string
	addr       string
	zone       string
	spot       bool
	createdAt  time.Time
	neverBoots bool
	failsTasks bool // every task that starts on it fails
	lease      time.Duration
	observer   *observer
	done       chan struct{} // closed when the machine is terminated
	terminated atomic.Bool
	// heartbeatDue has the next heartbeat sent before its time.
	heartbeatDue chan struct{}

	mu             sync.Mutex
	epoch          uint64
	leaseRenewedAt time.Time // when the last heartbeat with a reply was sent; zero: not up yet
	seq            uint64    // of the latest heartbeat
	fencingToken   uint64    // highest one so far
	tasks          []*task   // in the order of their starts
	reclaimedAt    time.Time // when the cloud reclaims it, which its heartbeats say; zero: never
}

func newMachine(name, addr, zone string, spot bool) *machine {
	return &machine{
		name:         name,
		addr:         addr,
		zone:         zone,
		spot:         spot,
		createdAt:    time.Now(),
		epoch:        1,
		done:         make(chan struct{}),
		heartbeatDue: make(chan struct{}, 1),
	}
}

// terminate ends the machine and all its tasks.
func (m *machine) terminate() {
	if m.terminated.Swap(true) {
		return
	}
	close(m.done)
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

// usedCPUs returns the CPUs that the machine's tasks hold, and whether the machine is up
// and has received a reply to a heartbeat.
func (m *machine) usedCPUs(f *fleet) (float64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	cpus := 0.0
	for _, t := range m.tasks {
		if t.State != wire.TaskExited {
			cpus += f.taskCPUs(t.Task)
		}
	}
	return cpus, m.fencingToken > 0 && !m.terminated.Load()
}

// task is one attempt of a task on a machine.
type task struct {
	wire.TaskStatus
	changesAt time.Time     // when its state changes by itself; zero: it does not
	duration  time.Duration // how long it runs; 0: until it is stopped
}

// exit ends the attempt for a cause.
func (t *task) exit(cause wire.ExitCause) {
	t.State = wire.TaskExited
	t.Cause = cause
	t.changesAt = time.Time{}
}

// tickInterval is how often a machine looks at its clock.
const tickInterval = 50 * time.Millisecond

// imageFetchTime is how long a task waits for its image.
const imageFetchTime = 200 * time.Millisecond

// advanceUntilTerminated changes the states of tasks until the machine ends, also while a
// heartbeat waits for its reply.
func (m *machine) advanceUntilTerminated() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.done:
			return
		case <-ticker.C:
		}
		m.mu.Lock()
		changed := m.advance()
		m.mu.Unlock()
		if changed {
			m.requestHeartbeat()
		}
	}
}

// advance does what is due by now: it ends all tasks if the lease has expired, and changes
// the states of tasks. It reports whether anything changed. The caller holds the lock.
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
		if t.State != wire.TaskFetching {
			m.observer.taskCompleted(t.Task, m.name)
			t.exit(wire.CauseDone)
			continue
		}
		m.observer.taskStarted(t.Task, m.name)
		t.State = wire.TaskRunning
		t.changesAt = time.Time{}
		if t.duration > 0 {
			t.changesAt = time.Now().Add(t.duration)
		}
	}
	return changed
}
