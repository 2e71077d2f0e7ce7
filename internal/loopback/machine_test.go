package loopback

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ravenport/httpwire"
	"ravenport/wire"
)

// answerTimeout is after which time without an answer a worker turns to the next
// controller, and leastGap the least time between two of its reports.
const (
	answerTimeout = 4 * time.Second
	leastGap      = 500 * time.Millisecond
)

// imageFetch is how long a task waits for its image.
const imageFetch = 200 * time.Millisecond

// machine stands in for a worker with its machine.
type machine struct {
	name, addr, zone string
	spot             bool
	born             time.Time
	bootless, sick   bool      // it never comes up; every task that starts on it fails
	takenBack        time.Time // when its provider takes it back, of which it tells; zero: never
	stop             chan struct{}
	ended            atomic.Bool

	mu      sync.Mutex
	session uint64
	renewed time.Time // when the last answered report was sent
	lease   time.Duration
	seq     uint64
	token   uint64
	record  *record
	tasks   []*task // in the order of their starts
	changed chan struct{}
}

// task is one attempt on a machine.
type task struct {
	wire.TaskStatus
	next time.Time // when its state changes by itself; zero: it does not
	runs time.Duration
}

func newMachine(name, addr, zone string, spot bool) *machine {
	return &machine{name: name, addr: addr, zone: zone, spot: spot, born: time.Now(), session: 1, stop: make(chan struct{}), changed: make(chan struct{}, 1)}
}

// end takes the machine away, with all that is on it.
func (m *machine) end() {
	if m.ended.Swap(true) {
		return
	}
	close(m.stop)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.killAll()
}

// killAll ends and forgets all tasks. The caller holds the lock.
func (m *machine) killAll() {
	for _, t := range m.tasks {
		m.record.leaves(t.Task, m.name)
	}
	m.tasks = nil
}

// live lets time pass on the machine until it ends, whatever its reports wait for.
func (m *machine) live() {
	look := time.NewTicker(50 * time.Millisecond)
	defer look.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-look.C:
		}
		m.mu.Lock()
		changed := m.advance()
		m.mu.Unlock()
		if changed {
			m.notice()
		}
	}
}

// listen answers direct commands until the machine ends.
func (m *machine) listen(f *fleet) error {
	l, err := net.Listen("tcp4", m.addr)
	if err != nil {
		return err
	}
	go func() {
		<-m.stop
		l.Close()
	}()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(f, conn)
		}
	}()
	return nil
}

func (m *machine) serve(f *fleet, conn net.Conn) {
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
		if _, err := conn.Write(httpwire.AppendResponse(nil, m.command(f, msg.Body))); err != nil {
			return
		}
	}
}

// command carries out a direct command.
func (m *machine) command(f *fleet, body []byte) *httpwire.Response {
	var req wire.CommandRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return &httpwire.Response{Status: 400}
	}
	f.commands.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	status := 409
	if req.FencingToken >= m.token && req.Epoch == m.session && !m.ended.Load() {
		status = 200
		m.obey(f, req.FencingToken, req.Commands, time.Now())
	}
	return &httpwire.Response{Status: status, Body: m.report()}
}

// obey carries out commands under a token that came in answer to something that began
// at a time. The caller holds the lock.
func (m *machine) obey(f *fleet, token uint64, commands []wire.Command, began time.Time) {
	higher := token > m.token
	m.token = token
	if higher || len(commands) > 0 {
		m.record.obeys(m.zone, m.name, token, began, time.Now())
	}
	m.execute(f, commands)
}

// report writes the next report. The caller holds the lock.
func (m *machine) report() []byte {
	m.advance()
	m.seq++
	r := wire.Heartbeat{Machine: m.name, Addr: m.addr, Type: machineType.Name, Zone: m.zone, Spot: m.spot, Epoch: m.session, Seq: m.seq, FencingToken: m.token, Tasks: []wire.TaskStatus{}}
	if !m.takenBack.IsZero() {
		left := max(0, time.Until(m.takenBack).Seconds())
		r.NoticeS = &left
	}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, t.TaskStatus)
	}
	body, err := json.Marshal(r)
	if err != nil {
		panic(err) // a type of wire
	}
	return body
}

// advance lets time pass, and says whether it changed anything.
func (m *machine) advance() bool {
	changed := false
	if !m.renewed.IsZero() && time.Since(m.renewed) > m.lease {
		m.killAll()
		m.session++
		m.renewed = time.Now()
		changed = true
	}
	for _, t := range m.tasks {
		if t.next.IsZero() || time.Now().Before(t.next) {
			continue
		}
		changed = true
		switch {
		case t.State == wire.TaskFetching:
			m.record.arrives(t.Task, m.name)
			t.State, t.next = wire.TaskRunning, time.Time{}
			if t.runs > 0 {
				t.next = time.Now().Add(t.runs)
			}
		default:
			m.record.completes(t.Task, m.name)
			t.State, t.Cause, t.next = wire.TaskExited, wire.CauseDone, time.Time{}
		}
	}
	return changed
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
			f.starts.Add(1)
			t := &task{next: time.Now().Add(imageFetch), runs: f.runsFor(c.Task)}
			t.Task, t.Attempt, t.State = c.Task, c.Attempt, wire.TaskFetching
			if m.sick {
				t.State, t.Cause, t.next = wire.TaskExited, wire.CauseError, time.Time{}
			}
			m.tasks = append(m.tasks, t)
			m.notice()
		case c.Op == wire.OpStop && at >= 0 && m.tasks[at].State != wire.TaskExited:
			m.record.stops(c.Task, m.name, m.tasks[at].State == wire.TaskRunning && m.takenBack.IsZero())
			m.tasks[at].State, m.tasks[at].Cause, m.tasks[at].next = wire.TaskExited, wire.CauseStopped, time.Time{}
			m.notice()
		case c.Op == wire.OpForget && at >= 0:
			m.tasks = append(m.tasks[:at], m.tasks[at+1:]...)
		}
	}
}

// notice has the next report made soon.
func (m *machine) notice() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// run is a worker's life: it reports to one controller at a time.
func (m *machine) run(f *fleet) {
	if err := m.listen(f); err != nil {
		panic(fmt.Sprintf("listening on %s: %v", m.addr, err))
	}
	m.mu.Lock()
	m.renewed = time.Now()
	m.mu.Unlock()
	go m.live()
	node := rand.IntN(len(f.controllers))
	look := time.NewTicker(50 * time.Millisecond)
	defer look.Stop()
	var next, sent time.Time
	changed := true
	for {
		select {
		case <-m.stop:
			return
		case <-m.changed:
			changed = true
		case <-look.C:
		}
		if now := time.Now(); now.Before(next) && !(changed && now.Sub(sent) >= leastGap) {
			continue
		}
		changed = false
		sent = time.Now()
		next = sent.Add(time.Duration(float64(f.period) * (0.75 + rand.Float64()/2)))
		var soon bool
		if node, soon = m.tell(f, node); soon {
			next = time.Now()
		} else if node < 0 {
			return
		}
	}
}

// tell makes one report. It returns the controller for the next one, and whether
// that is due at once.
func (m *machine) tell(f *fleet, node int) (int, bool) {
	if f.cutOff[node].Load() {
		time.Sleep(answerTimeout)
		return (node + 1) % len(f.controllers), true
	}
	m.mu.Lock()
	sent, session := time.Now(), m.session
	body := m.report()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	msg, err := f.client(m, node).Do(ctx, "POST", wire.PathHeartbeat, body)
	f.reports.Add(1)
	switch {
	case err == nil && msg.Status == 200:
		var reply wire.HeartbeatReply
		if err := json.Unmarshal(msg.Body, &reply); err != nil {
			panic(fmt.Sprintf("unreadable answer to a report: %v", err))
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		if reply.FencingToken < m.token || session != m.session || m.ended.Load() {
			return node, false
		}
		if reply.FencingToken > m.token {
			m.notice()
		}
		m.renewed = sent
		m.obey(f, reply.FencingToken, reply.Commands, sent)
		return node, false
	case err == nil && msg.Status == 421:
		var redirect wire.Redirect
		if err := json.Unmarshal(msg.Body, &redirect); err == nil {
			if to := f.index(redirect.Controller); to >= 0 && to != node {
				return to, true
			}
		}
	}
	time.Sleep(time.Second)
	return (node + 1) % len(f.controllers), true
}
