package loopback

import (
	"encoding/json"
	"net"
	"time"

	"ravenport/httpwire"
	"ravenport/wire"
)

// listen answers direct commands until the machine ends.
func (m *machine) listen(f *fleet) error {
	l, err := net.Listen("tcp4", m.addr)
	if err != nil {
		return err
	}
	go func() {
		<-m.stopped
		l.Close()
	}()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go m.serveConnection(f, conn)
		}
	}()
	return nil
}

func (m *machine) serveConnection(f *fleet, conn net.Conn) {
	defer conn.Close()
	limits := httpwire.Limits{Header: 8 << 10, Body: 64 << 10}
	var buf []byte
	chunk := make([]byte, 8<<10)
	for {
		n, err := conn.Read(chunk)
		if err != nil || m.ended.Load() {
			return
		}
		buf = append(buf, chunk[:n]...)
		msg, used, err := httpwire.ParseRequest(buf, limits)
		if err != nil {
			return
		}
		if used == 0 {
			continue
		}
		buf = buf[used:]
		if _, err := conn.Write(httpwire.AppendResponse(nil, m.handleCommands(f, msg.Body))); err != nil {
			return
		}
	}
}

// handleCommands carries out a direct command.
func (m *machine) handleCommands(f *fleet, body []byte) *httpwire.Response {
	var req wire.CommandRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return &httpwire.Response{Status: 400}
	}
	f.directCommands.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	status := 409
	if req.FencingToken >= m.fencingToken && req.Epoch == m.epoch && !m.ended.Load() {
		status = 200
		m.executeUnderToken(f, req.FencingToken, req.Commands, time.Now())
	}
	return &httpwire.Response{Status: status, Body: m.nextHeartbeat()}
}

// executeUnderToken carries out commands under a token that came in answer to something that began
// at a time. The caller holds the lock.
func (m *machine) executeUnderToken(f *fleet, token uint64, commands []wire.Command, began time.Time) {
	higher := token > m.fencingToken
	m.fencingToken = token
	if higher || len(commands) > 0 {
		m.observer.commandsExecuted(m.zone, m.name, token, began, time.Now())
	}
	m.execute(f, commands)
}

// execute carries out commands in order. The caller holds the lock.
func (m *machine) execute(f *fleet, commands []wire.Command) {
	for _, c := range commands {
		at := -1
		for i, t := range m.tasks {
			if t.Task == c.Task && t.Attempt == c.Attempt {
				at = i
			}
		}
		switch {
		case c.Op == wire.OpStart && at < 0:
			f.taskStarts.Add(1)
			t := &task{changesAt: time.Now().Add(imageFetchTime), duration: f.randomTaskDuration(c.Task)}
			t.Task, t.Attempt, t.State = c.Task, c.Attempt, wire.TaskFetching
			if m.failsTasks {
				t.State, t.Cause, t.changesAt = wire.TaskExited, wire.CauseError, time.Time{}
			}
			m.tasks = append(m.tasks, t)
			m.requestHeartbeat()
		case c.Op == wire.OpStop && at >= 0 && m.tasks[at].State != wire.TaskExited:
			m.observer.taskStopped(c.Task, m.name, m.tasks[at].State == wire.TaskRunning && m.reclaimedAt.IsZero())
			m.tasks[at].State, m.tasks[at].Cause, m.tasks[at].changesAt = wire.TaskExited, wire.CauseStopped, time.Time{}
			m.requestHeartbeat()
		case c.Op == wire.OpForget && at >= 0:
			m.tasks = append(m.tasks[:at], m.tasks[at+1:]...)
		}
	}
}
