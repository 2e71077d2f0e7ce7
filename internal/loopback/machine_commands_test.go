package loopback

import (
	"encoding/json"
	"net"
	"slices"
	"time"

	"ravenport/httpwire"
	"ravenport/wire"
)

// commandLimits limits the size of the requests that a worker reads.
var commandLimits = httpwire.Limits{Header: 8 << 10, Body: 64 << 10}

// readBufferSize is the size of a worker's read buffer (bytes).
const readBufferSize = 8 << 10

// listen serves direct commands until the machine is terminated.
func (m *machine) listen(f *fleet) error {
	listener, err := net.Listen("tcp4", m.addr)
	if err != nil {
		return err
	}
	go func() {
		<-m.done
		listener.Close()
	}()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go m.serveConnection(f, conn)
		}
	}()
	return nil
}

// serveConnection responds to the requests of one connection in sequence.
func (m *machine) serveConnection(f *fleet, conn net.Conn) {
	defer conn.Close()
	var received []byte
	buffer := make([]byte, readBufferSize)
	for {
		n, err := conn.Read(buffer)
		if err != nil || m.terminated.Load() {
			return
		}
		received = append(received, buffer[:n]...)
		request, used, err := httpwire.ParseRequest(received, commandLimits)
		if err != nil {
			return
		}
		if used == 0 {
			continue
		}
		received = received[used:]
		response := httpwire.AppendResponse(nil, m.handleCommands(f, request.Body))
		if _, err := conn.Write(response); err != nil {
			return
		}
	}
}

// handleCommands executes the direct commands of a request. It rejects the commands if their
// fencing token is lower than the worker's, if they are for another epoch of the worker, or
// if the machine was terminated.
func (m *machine) handleCommands(f *fleet, body []byte) *httpwire.Response {
	var request wire.CommandRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return &httpwire.Response{Status: 400}
	}
	f.directCommands.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	status := 409
	if request.FencingToken >= m.fencingToken && request.Epoch == m.epoch && !m.terminated.Load() {
		status = 200
		m.executeUnderToken(f, request.FencingToken, request.Commands, time.Now())
	}
	return &httpwire.Response{Status: status, Body: m.nextHeartbeat()}
}

// executeUnderToken executes commands under a fencing token. startedAt is the start of the
// request or the heartbeat exchange that contained the commands. The caller must hold the
// lock.
func (m *machine) executeUnderToken(f *fleet, token uint64, commands []wire.Command, startedAt time.Time) {
	isHigher := token > m.fencingToken
	m.fencingToken = token
	if isHigher || len(commands) > 0 {
		m.observer.commandsExecuted(m.zone, m.name, token, startedAt, time.Now())
	}
	m.execute(f, commands)
}

// execute executes commands in order. Repeated commands have no effect. The caller must hold
// the lock.
func (m *machine) execute(f *fleet, commands []wire.Command) {
	for _, c := range commands {
		at := slices.IndexFunc(m.tasks, func(t *task) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
		exists := at >= 0
		switch {
		case c.Op == wire.OpStart && !exists:
			f.taskStarts.Add(1)
			m.start(c, f.randomTaskDuration(c.Task))
		case c.Op == wire.OpStop && exists:
			m.stop(m.tasks[at])
		case c.Op == wire.OpForget && exists:
			m.tasks = slices.Delete(m.tasks, at, at+1)
		}
	}
}

// start starts an attempt. The caller must hold the lock.
func (m *machine) start(c wire.Command, duration time.Duration) {
	t := &task{changesAt: time.Now().Add(imageFetchTime), duration: duration}
	t.Task = c.Task
	t.Attempt = c.Attempt
	t.State = wire.TaskFetching
	if m.failsTasks {
		t.exit(wire.CauseError)
	}
	m.tasks = append(m.tasks, t)
	m.requestHeartbeat()
}

// stop stops an attempt, unless the attempt has ended. A stop is voluntary only if the task
// is running and the machine is not being reclaimed. The caller must hold the lock.
func (m *machine) stop(t *task) {
	if t.State == wire.TaskExited {
		return
	}
	isVoluntary := t.State == wire.TaskRunning && m.reclaimedAt.IsZero()
	m.observer.taskStopped(t.Task, m.name, isVoluntary)
	t.exit(wire.CauseStopped)
	m.requestHeartbeat()
}
