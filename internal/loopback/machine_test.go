package loopback

import (
	"sync"
	"sync/atomic"
	"time"

	"ravenport/wire"
)

// machine is a fake machine with its worker.
type machine struct {
	name       string
	addr       string
	zone       string
	spot       bool
	createdAt  time.Time
	neverBoots bool
	failsTasks bool // every task that starts on the machine fails
	lease      time.Duration
	observer   *observer
	done       chan struct{} // closed when the machine is terminated
	terminated atomic.Bool
	// heartbeatDue requests that the next heartbeat is sent before its regular time.
	heartbeatDue chan struct{}

	mu             sync.Mutex
	epoch          uint64
	leaseRenewedAt time.Time // when the last answered heartbeat was sent; zero: the machine has not booted yet
	seq            uint64    // sequence number of the latest heartbeat
	fencingToken   uint64    // highest token received so far
	tasks          []*task   // in the order of their start commands
	reclaimedAt    time.Time // when the cloud reclaims the machine, as announced in heartbeats; zero: never
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

// terminate terminates the machine and all its tasks.
func (m *machine) terminate() {
	if m.terminated.Swap(true) {
		return
	}
	close(m.done)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.killTasks()
}

// killTasks ends and removes all tasks. The caller must hold the lock.
func (m *machine) killTasks() {
	for _, t := range m.tasks {
		m.observer.taskEnded(t.Task, m.name)
	}
	m.tasks = nil
}

// usedCPUs returns the number of CPUs that the machine's tasks use, and whether the machine
// is available: it has received a fencing token and is not terminated.
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
	changesAt time.Time     // when the state changes without a command; zero: never
	duration  time.Duration // run time; 0: the task runs until it is stopped
}

// exit ends the attempt with a cause.
func (t *task) exit(cause wire.ExitCause) {
	t.State = wire.TaskExited
	t.Cause = cause
	t.changesAt = time.Time{}
}

// tickInterval is the interval at which a machine checks whether a heartbeat or a change of
// a task's state is due.
const tickInterval = 50 * time.Millisecond

// imageFetchTime is the time that a task takes to fetch its image.
const imageFetchTime = 200 * time.Millisecond

// advanceUntilTerminated advances the states of tasks until the machine is terminated. It
// runs concurrently with run, so that tasks advance while a heartbeat waits for its reply.
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

// advance ends all tasks and begins a new epoch if the lease has expired, makes the changes
// of tasks' states that are due, and reports whether anything changed. The caller must hold
// the lock.
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
