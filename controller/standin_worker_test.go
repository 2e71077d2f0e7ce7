package controller

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"ravenport/httpwire"
	"ravenport/settings"
	"ravenport/wire"
	"ravenport/worker"
)

type simWorker struct {
	w           *world
	name, zone  string
	spot        bool
	kind        string
	born, boots time.Time
	gone        bool
	hung        bool
	mute        bool // it reaches no controller, while direct commands reach it
	cut         bool // nothing reaches it or comes from it
	deaf        bool // its reports arrive, answers and commands do not reach it
	session     uint64
	seq, token  uint64
	taken       uint64    // the last report of this session that was answered 200
	renewed     time.Time // when the last answered report was sent
	held        map[string]*simTask
	changed     bool
	unheard     []time.Time // when a direct command to it had no answer
	takenBack   time.Time   // when its provider takes it back, of which it tells; zero: never
}

type simTask struct {
	name    string
	attempt uint64
	state   string
	cause   string
	kept    bool
	next    time.Time // when its state changes by itself
	since   time.Time // when its image was there
}

func (m *simWorker) report() *wire.Heartbeat {
	m.seq++
	r := &wire.Heartbeat{Machine: m.name, Addr: m.name, Type: "box", Zone: m.zone, Spot: m.spot, Epoch: m.session, Seq: m.seq, FencingToken: m.token}
	if !m.takenBack.IsZero() {
		left := max(0, time.Until(m.takenBack).Seconds())
		r.NoticeS = &left
	}
	for _, t := range m.held {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, Cause: t.cause, Checkpointed: t.kept})
	}
	return r
}

// run is a worker's life.
func (m *simWorker) run() {
	w := m.w
	for time.Now().Before(m.boots) {
		select {
		case <-w.stop:
			return
		case <-time.After(min(time.Second, time.Until(m.boots))):
		}
	}
	w.mu.Lock()
	m.renewed = time.Now()
	node := w.rng.IntN(len(w.controllers))
	w.mu.Unlock()
	next, sent := time.Now(), time.Time{}
	for {
		time.Sleep(cmp.Or(w.pause, 100*time.Millisecond))
		w.mu.Lock()
		select {
		case <-w.stop:
			m.gone = true
		default:
		}
		if m.gone {
			w.mu.Unlock()
			return
		}
		if m.hung {
			w.mu.Unlock()
			continue
		}
		m.advance()
		now := time.Now()
		if m.cut || m.mute || now.Before(next) && !(m.changed && now.Sub(sent) >= 500*time.Millisecond) {
			w.mu.Unlock()
			continue
		}
		m.changed = false
		r := m.report()
		n := w.controllers[node]
		ctl, shut := n.process, n.cutWork || n.cutReports || w.apart(m.zone, n)
		next = now.Add(settings.Seconds(w.times.reportS * (0.75 + 0.5*w.rng.Float64())))
		sent = now
		w.mu.Unlock()
		if ctl == nil || shut {
			node = (node + 1) % len(w.controllers)
			next = now.Add(time.Second)
			continue
		}
		a := &simAnswer{got: make(chan *httpwire.Response, 1)}
		time.Sleep(w.between(time.Millisecond, 5*time.Millisecond))
		w.do(func() { n.reported = time.Now() })
		ctl.control.Tell(workerHeartbeat{a, r})
		if w.keepCopies {
			w.do(func() { w.copies = append(w.copies, r) })
		}
		if w.chance(w.lateCopies) { // a late copy of the report, to any controller
			go func() {
				time.Sleep(w.between(time.Second, 3*w.times.lease()))
				w.mu.Lock()
				to := w.controllers[w.rng.IntN(len(w.controllers))].process
				w.mu.Unlock()
				if to != nil {
					w.copy(to, r)
				}
			}()
		}
		var resp *httpwire.Response
		select {
		case resp = <-a.got:
			time.Sleep(w.between(time.Millisecond, 5*time.Millisecond))
		case <-time.After(4 * time.Second):
		}
		w.mu.Lock()
		switch {
		case resp != nil && resp.Status == 200 && !w.dropAnswer(m) && !w.apart(m.zone, n):
			var rep wire.HeartbeatReply
			if err := json.Unmarshal(resp.Body, &rep); err != nil {
				panic(err)
			}
			if rep.FencingToken >= m.token && m.session == r.Epoch && !m.hung {
				if rep.FencingToken > m.token {
					m.changed = true
				}
				m.token = rep.FencingToken
				m.renewed = now
				n.answered = now
				m.taken = r.Seq
				m.execute(rep.Commands, true)
			}
		case resp != nil && resp.Status == 421 && !m.deaf:
			var red wire.Redirect
			if err := json.Unmarshal(resp.Body, &red); err != nil {
				panic(err)
			}
			to := slices.IndexFunc(w.controllers, func(n *simController) bool { return n.set.Controller == red.Controller })
			if to >= 0 && to != node {
				node = to
				next = time.Now()
			} else {
				node = (node + 1) % len(w.controllers)
				next = time.Now().Add(time.Second)
			}
		default:
			node = (node + 1) % len(w.controllers)
			next = time.Now().Add(time.Second)
		}
		w.mu.Unlock()
	}
}

// dropAnswer loses an answer now and then. The caller holds the lock.
func (w *world) dropAnswer(m *simWorker) bool {
	return m.cut || m.deaf || !w.lossless && w.rng.Float64() < cmp.Or(w.loss, 0.01)
}

// advance lets time pass on the machine. The caller holds the lock.
func (m *simWorker) advance() {
	now := time.Now()
	if !m.w.noLease && now.Sub(m.renewed) > m.w.times.lease() {
		slog.Debug("stand-in: lease ends", "machine", m.name, "session", m.session)
		m.w.seen["tasks ended by a lease"] += len(m.held)
		m.held = map[string]*simTask{}
		m.session++
		m.taken = 0
		m.renewed = now
		m.changed = true
	}
	for _, t := range m.held {
		if t.next.IsZero() || now.Before(t.next) {
			continue
		}
		job, i, _ := wire.ParseTaskName(t.name)
		j := m.w.jobs[job]
		m.changed = true
		switch t.state {
		case wire.TaskFetching:
			t.state = wire.TaskRunning
			t.next = time.Time{}
			t.since = now
			if j.spec.IsGang() {
				m.w.started(m, t, j)
				if t.state = wire.TaskWaitingForGang; j.doneTasks[i] {
					m.exit(t, wire.CauseDone)
				}
				continue
			}
			if !j.spec.IsService() {
				t.next = now.Add(settings.Seconds(j.spec.EstimateS))
				if i < len(j.runs) {
					t.next = now.Add(settings.Seconds(j.runs[i]))
				}
				if j.doneTasks[i] {
					t.next = now
				}
			}
			m.w.started(m, t, j)
		case wire.TaskRunning:
			t.state, t.cause = wire.TaskExited, wire.CauseDone
			t.next = time.Time{}
			j.doneTasks[i] = true
		}
	}
}

// idle sees to it that, once all troubles are over, no job waits for 90 s while a
// machine that fits has room and its team is under its limit.
func (w *world) idle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calm.IsZero() {
		return
	}
	here := map[string]int{}
	used := map[string]float64{}
	free := map[*simWorker]float64{}
	for _, m := range w.machines {
		if time.Now().Before(m.boots) || m.hung || m.cut || m.deaf || m.mute {
			continue
		}
		free[m] = simTypes[0].CPUs
		for _, x := range m.held {
			if id, _, _ := wire.ParseTaskName(x.name); x.state != wire.TaskExited {
				here[id]++
				used[w.jobs[id].spec.Team] += w.jobs[id].spec.CPUs
				free[m] -= w.jobs[id].spec.CPUs
			}
		}
	}
	for id, j := range w.jobs {
		s := &j.spec
		fits := s.Team != "tight" || used["tight"]+s.CPUs <= 10
		if fits {
			fits = false
			for m, f := range free {
				fits = fits || f >= s.CPUs && (s.Spot || !m.spot) && (s.Zone == "" || s.Zone == m.zone)
			}
		}
		// One that is bound to its other tasks may fit nowhere else for a reason.
		if !fits || here[id] > 0 || !j.accepted || j.asked || len(j.doneTasks) >= s.Tasks || s.AllOrNothing() {
			j.idleSince = time.Time{}
		} else if j.idleSince.IsZero() {
			j.idleSince = time.Now()
		} else if time.Since(j.idleSince) > 90*time.Second {
			w.broke("waits", "%s waits beside room", id)
			j.idleSince = time.Time{}
		}
	}
}

// overstayed sees to it that no task of a cancelled job is on any machine past its
// time, whether the machine runs, hangs or cannot be reached: a task is there until
// it exits, is killed or the machine is gone.
func (w *world) overstayed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		for _, t := range m.held {
			job, _, _ := wire.ParseTaskName(t.name)
			j := w.jobs[job]
			if w.deadHangs && time.Since(m.renewed) > w.times.lease() {
				continue
			}
			if onMachine(t.state) && !j.cancelled.IsZero() && !j.overstayed && time.Since(j.cancelled) > w.times.cancelWithin() {
				j.overstayed = true
				w.broke("ran_cancelled", "%s on %s (hung %v, cut %v, deaf %v)", t.name, m.name, m.hung, m.cut, m.deaf)
			}
		}
	}
}

// started checks the rules on a task that starts. The caller holds the lock.
func (w *world) started(m *simWorker, t *simTask, j *simJob) {
	w.starts++
	j.starts++
	if w.disruption != nil {
		w.lookAtTasks()
	}
	if !j.cancelled.IsZero() {
		w.seen["starts after a confirmed cancellation"]++
	}
	slog.Debug("stand-in: task starts", "task", t.name, "attempt", t.attempt, "machine", m.name, "session", m.session, "token", m.token)
	used, inZone := 0.0, 0
	zones := map[string]bool{}
	for _, o := range w.machines {
		if !w.noLease && time.Since(o.renewed) > w.times.lease() {
			continue // hangs beyond its lease: what it held is dead, and it will see to that before anything else
		}
		for _, x := range o.held {
			if !onMachine(x.state) {
				continue
			}
			job, _, _ := wire.ParseTaskName(x.name)
			k := w.jobs[job]
			if x.name == t.name && o != m {
				w.broke("ran_twice", "%s on %s and %s", t.name, m.name, o.name)
			}
			if k.spec.Team == j.spec.Team {
				used += k.spec.CPUs
			}
			if k == j {
				zones[o.zone] = true
				if o.zone == m.zone {
					inZone++
				}
			}
		}
	}
	if j.spec.Team == "tight" && used > 10+1e-6 {
		w.broke("quota", "%s: %g CPUs", t.name, used)
	}
	if m.spot && !j.spec.Spot || j.spec.Zone != "" && j.spec.Zone != m.zone ||
		j.spec.OneZone && len(zones) > 1 || j.spec.Spread && inZone > (j.spec.Tasks+1)/2 {
		w.broke("wrong_place", "%s on %s", t.name, m.name)
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > w.times.cancelWithin() {
		w.broke("ran_cancelled", "%s started on %s", t.name, m.name)
	}
}

// execute carries out commands. The caller holds the lock.
func (m *simWorker) execute(cmds []wire.Command, inAnswer bool) {
	for _, c := range cmds {
		key := fmt.Sprintf("%s#%d", c.Task, c.Attempt)
		t := m.held[key]
		switch c.Op {
		case wire.OpStart:
			if t != nil {
				continue
			}
			if id, _, _ := wire.ParseTaskName(c.Task); inAnswer {
				// An answer is never carried out late, so whoever gave it decided the
				// start within its authority and without knowing of the cancellation.
				if j := m.w.jobs[id]; !j.cancelled.IsZero() && time.Since(j.cancelled) > 4*time.Second {
					m.w.broke("started_cancelled", "%s on %s", c.Task, m.name)
				}
			}
			t = &simTask{name: c.Task, attempt: c.Attempt, state: wire.TaskFetching}
			m.held[key] = t
			m.changed = true
			used := 0.0
			for _, o := range m.held {
				job, _, _ := wire.ParseTaskName(o.name)
				if o != t && o.state != wire.TaskExited {
					used += m.w.jobs[job].spec.CPUs
					if o.name == t.name {
						t.state, t.cause = wire.TaskExited, wire.CauseOtherAttempt
					}
				}
			}
			job, _, _ := wire.ParseTaskName(c.Task)
			if t.state != wire.TaskExited && used+m.w.jobs[job].spec.CPUs > 8+1e-6 {
				t.state, t.cause = wire.TaskExited, wire.CauseNoCapacity
			}
			if _, sound := m.w.faulty[m.name]; m.w.faulty != nil && !sound && t.state != wire.TaskExited {
				t.state, t.cause = wire.TaskExited, wire.CauseError
			}
			if t.state == wire.TaskFetching {
				t.next = time.Now().Add(time.Duration(m.w.rng.IntN(3000)) * time.Millisecond)
			}
		case wire.OpStop:
			if t == nil || t.state == wire.TaskExited {
				continue
			}
			job, _, _ := wire.ParseTaskName(c.Task)
			if t.state == wire.TaskRunning && m.takenBack.IsZero() {
				m.w.stopped(t.name)
			}
			if j := m.w.jobs[job]; j.spec.IsGang() {
				graceS := 0.0
				if c.GraceS != nil {
					graceS = *c.GraceS
				}
				m.stopGangTask(t, j, graceS)
			} else {
				t.state, t.cause, t.next = wire.TaskExited, wire.CauseStopped, time.Time{}
				m.changed = true
			}
		case wire.OpForget:
			if t != nil && t.state == wire.TaskExited {
				delete(m.held, key)
			}
		}
	}
}

// simCommands delivers direct commands, some of them late or twice.
type simCommands struct{ n *simController }

func (c *simCommands) Forget(string) {}

func (c *simCommands) Close() {}

func (c *simCommands) Send(ctx context.Context, addr string, req wire.CommandRequest, done func(worker.Result)) {
	w := c.n.w
	go func() {
		c.n.waitWhileFrozen()
		time.Sleep(w.between(time.Millisecond, 5*time.Millisecond))
		if w.chance(w.late) { // a late copy
			go func() {
				time.Sleep(w.between(time.Second, 30*time.Second))
				c.deliver(addr, req)
			}()
		}
		if w.chance(w.late) { // held back: the sender gives up, the command arrives all the same
			go func() {
				time.Sleep(w.between(time.Second, 30*time.Second))
				if c.deliver(addr, req).Executed {
					w.do(func() { w.seen["commands carried out late"]++ })
				}
			}()
			time.Sleep(2 * time.Second)
			done(worker.Result{Err: fmt.Errorf("no answer")})
			return
		}
		w.mu.Lock()
		m := w.machines[addr]
		silent := m == nil || m.cut || m.hung || m.deaf || c.n.cutWork || time.Now().Before(m.boots) || w.apart(m.zone, c.n)
		w.mu.Unlock()
		if silent {
			time.Sleep(2 * time.Second)
			if m != nil && w.chance(0.5) {
				go func() {
					time.Sleep(w.between(time.Second, 30*time.Second))
					c.deliver(addr, req)
				}()
			}
			done(worker.Result{Err: fmt.Errorf("no answer")})
			return
		}
		r := c.deliver(addr, req)
		time.Sleep(w.between(time.Millisecond, 5*time.Millisecond))
		if !w.lossless && w.chance(cmp.Or(w.loss, 0.02)) {
			w.do(func() { m.unheard = append(m.unheard, time.Now()) })
			r = worker.Result{Err: fmt.Errorf("the answer was lost")}
		}
		c.n.waitWhileFrozen()
		done(r)
	}()
}

func (c *simCommands) deliver(addr string, req wire.CommandRequest) worker.Result {
	w := c.n.w
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.machines[addr]
	for m != nil && w.apart(m.zone, c.n) { // a cut holds it back
		w.mu.Unlock()
		time.Sleep(time.Second)
		w.mu.Lock()
	}
	if m == nil || m.gone || m.hung || m.deaf || time.Now().Before(m.boots) {
		return worker.Result{Err: fmt.Errorf("gone")}
	}
	if (req.FencingToken < m.token || req.Epoch != m.session) && !w.noTokens {
		return worker.Result{Heartbeat: m.report()}
	}
	if req.FencingToken > m.token {
		m.changed = true
	}
	m.token = max(m.token, req.FencingToken)
	m.execute(req.Commands, false)
	return worker.Result{Executed: true, Heartbeat: m.report()}
}

// copy lets a copy of a report come to a controller.
func (w *world) copy(to *Controller, r *wire.Heartbeat) {
	w.do(func() {
		w.seen["copies"]++
		if m := w.machines[r.Machine]; m != nil && w.freshCopies {
			fresh := *r
			fresh.Epoch, fresh.Seq, fresh.FencingToken = m.session, m.seq+1, m.token
			r = &fresh
		}
	})
	to.control.Tell(workerHeartbeat{&simAnswer{got: make(chan *httpwire.Response, 1)}, r})
}

// restart is a worker's process that is back at once: it holds nothing of what
// it held, under a new session. The caller holds the lock.
func (m *simWorker) restart() {
	m.held = map[string]*simTask{}
	m.session++
	m.taken = 0
	m.renewed = time.Now()
	m.changed = true
}
