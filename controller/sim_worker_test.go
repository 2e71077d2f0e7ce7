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

// simWorker is a machine and the worker that runs on it.
type simWorker struct {
	world              *world
	name, zone         string
	spot               bool
	kind               string
	createdAt, bootsAt time.Time
	removed            bool
	hung               bool
	cutFromControllers bool // its heartbeats reach no controller, while direct commands reach it
	disconnected       bool // messages arrive in neither direction
	receivesNothing    bool // its heartbeats arrive, while answers and commands do not reach it
	repliesHeld        bool // the replies to direct commands are held back until its termination
	epoch              uint64
	seq, token         uint64
	lastAcceptedSeq    uint64    // the last heartbeat of this epoch that was answered with status 200
	leaseRenewedAt     time.Time // when the last answered heartbeat was sent
	tasks              map[string]*simTask
	changed            bool        // its state has changed since the last heartbeat
	unansweredCommands []time.Time // when the answer to a direct command was lost
	reclaimAt          time.Time   // when the provider reclaims the machine, announced in heartbeats; zero: never
}

// simTask is one attempt of a task on a machine.
type simTask struct {
	name         string
	attempt      uint64
	state        wire.TaskState
	cause        wire.ExitCause
	checkpointed bool
	nextChange   time.Time // when its next state change is due; zero: none is scheduled
	fetchedAt    time.Time // when its image had been fetched
}

func (m *simWorker) heartbeat() *wire.Heartbeat {
	m.seq++
	r := &wire.Heartbeat{Machine: m.name, Addr: m.name, Type: m.world.typeIn(m.zone), Zone: m.zone, Spot: m.spot, Epoch: m.epoch, Seq: m.seq, FencingToken: m.token}
	if !m.reclaimAt.IsZero() {
		left := max(0, time.Until(m.reclaimAt).Seconds())
		r.NoticeS = &left
	}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, Cause: t.cause, Checkpointed: t.checkpointed})
	}
	return r
}

// workerLoop is the state that a worker's loop keeps between two heartbeats.
type workerLoop struct {
	worker *simWorker
	target int       // index of the controller that receives the heartbeats
	next   time.Time // when the next heartbeat is due
	sent   time.Time // when the last one was sent
}

// run runs the worker from the end of its boot until the machine is removed.
func (m *simWorker) run() {
	w := m.world
	for time.Now().Before(m.bootsAt) {
		select {
		case <-w.done:
			return
		case <-time.After(min(time.Second, time.Until(m.bootsAt))):
		}
	}
	w.mu.Lock()
	m.leaseRenewedAt = time.Now()
	loop := &workerLoop{worker: m, target: w.rng.IntN(len(w.controllers))}
	w.mu.Unlock()
	loop.next = time.Now()
	for {
		time.Sleep(cmp.Or(w.workerInterval, 100*time.Millisecond))
		if !loop.step() {
			return
		}
	}
}

// step advances the machine to the current time and sends a heartbeat if one is due. It
// reports whether the worker continues.
func (l *workerLoop) step() bool {
	m, w := l.worker, l.worker.world
	w.mu.Lock()
	select {
	case <-w.done:
		m.removed = true
	default:
	}
	if m.removed || m.hung {
		defer w.mu.Unlock()
		return !m.removed
	}
	m.advance()
	now := time.Now()
	if m.disconnected || m.cutFromControllers || now.Before(l.next) && !(m.changed && now.Sub(l.sent) >= 500*time.Millisecond) {
		w.mu.Unlock()
		return true
	}
	m.changed = false
	heartbeat := m.heartbeat()
	n := w.controllers[l.target]
	process := n.process
	reachable := process != nil && !n.cutFromWorkers && !n.heartbeatsLost && !w.isPartitioned(m.zone, n)
	l.next = now.Add(settings.Seconds(w.times.reportS * (0.75 + 0.5*w.rng.Float64())))
	l.sent = now
	w.recordHeartbeat(heartbeatEvent(reachable), n.set.Controller, heartbeat)
	w.mu.Unlock()
	if !reachable {
		l.tryNext(now)
		return true
	}
	response := m.send(n, process, heartbeat)
	w.mu.Lock()
	defer w.mu.Unlock()
	l.handleResponse(n, heartbeat, response)
	return true
}

// heartbeatEvent returns the name of a sent heartbeat in the event record.
func heartbeatEvent(reachable bool) string {
	if reachable {
		return "heartbeat sent"
	}
	return "heartbeat that reaches no controller"
}

// tryNext selects the next controller and schedules a heartbeat one second after now.
func (l *workerLoop) tryNext(now time.Time) {
	l.target = (l.target + 1) % len(l.worker.world.controllers)
	l.next = now.Add(time.Second)
}

// send sends a heartbeat to a controller and returns the response, or nil if none arrives
// within 4 s. A copy of the heartbeat may be delivered later.
func (m *simWorker) send(n *simController, process *Controller, heartbeat *wire.Heartbeat) *httpwire.Response {
	w := m.world
	answer := &simAnswer{response: make(chan *httpwire.Response, 1)}
	time.Sleep(w.randomDuration(time.Millisecond, 5*time.Millisecond))
	w.locked(func() { n.heartbeatReceivedAt = time.Now() })
	process.control.Tell(workerHeartbeat{answer, heartbeat})
	if w.keepHeartbeats {
		w.locked(func() { w.keptHeartbeats = append(w.keptHeartbeats, heartbeat) })
	}
	if w.chance(w.lateCopyShare) {
		go w.deliverLateCopy(heartbeat)
	}
	for end := time.After(4 * time.Second); ; {
		select {
		case response := <-answer.response:
			time.Sleep(w.randomDuration(time.Millisecond, 5*time.Millisecond))
			return response
		case <-end:
			return nil
		case <-time.After(cmp.Or(w.workerInterval, 100*time.Millisecond)):
			w.locked(m.expireLease) // a pending answer does not delay the end of the lease
		}
	}
}

// deliverLateCopy delivers a copy of a heartbeat to a random controller, up to three leases
// later.
func (w *world) deliverLateCopy(heartbeat *wire.Heartbeat) {
	time.Sleep(w.randomDuration(time.Second, 3*w.times.lease()))
	w.mu.Lock()
	to := w.controllers[w.rng.IntN(len(w.controllers))].process
	w.mu.Unlock()
	if to != nil {
		w.deliverCopy(to, heartbeat)
	}
}

// handleResponse renews the lease and carries out the commands in a controller's answer, or
// selects another controller. The caller holds the lock.
func (l *workerLoop) handleResponse(n *simController, heartbeat *wire.Heartbeat, response *httpwire.Response) {
	m, w := l.worker, l.worker.world
	w.recordAnswer(n.set.Controller, heartbeat, response)
	switch {
	case response != nil && response.Status == 200 && !w.dropAnswer(m) && !w.isPartitioned(m.zone, n):
		var reply wire.HeartbeatReply
		if err := json.Unmarshal(response.Body, &reply); err != nil {
			panic(err)
		}
		if reply.FencingToken >= m.token && m.epoch == heartbeat.Epoch && !m.hung {
			if reply.FencingToken > m.token {
				m.changed = true
			}
			m.token = reply.FencingToken
			m.leaseRenewedAt = l.sent
			n.heartbeatAnsweredAt = l.sent
			m.lastAcceptedSeq = heartbeat.Seq
			w.recordCommands("reply carried out", n.set.Controller, m.name, m.epoch, reply.FencingToken, reply.Commands)
			m.execute(reply.Commands, true)
		}
	case response != nil && response.Status == 421 && !m.receivesNothing:
		var redirect wire.Redirect
		if err := json.Unmarshal(response.Body, &redirect); err != nil {
			panic(err)
		}
		to := slices.IndexFunc(w.controllers, func(n *simController) bool { return n.set.Controller == redirect.Controller })
		if to < 0 || to == l.target {
			l.tryNext(time.Now())
			return
		}
		l.target = to
		l.next = time.Now()
	default:
		l.tryNext(time.Now())
	}
}

// dropAnswer reports whether an answer to the worker is lost. The caller holds the lock.
func (w *world) dropAnswer(m *simWorker) bool {
	return m.disconnected || m.receivesNothing || !w.noAnswerLoss && w.rng.Float64() < cmp.Or(w.answerLossShare, 0.01)
}

// expireLease ends all tasks and begins a new epoch if the lease has expired, unless the
// machine hangs. The caller holds the lock.
func (m *simWorker) expireLease() {
	now := time.Now()
	if !m.hung && !m.removed && !m.world.ignoreWorkerLeases && now.Sub(m.leaseRenewedAt) > m.world.times.lease() {
		slog.Debug("sim: lease expires", "machine", m.name, "epoch", m.epoch)
		m.recordState("worker's lease expires")
		for _, t := range m.tasks {
			m.recordTask("task ended by the lease", t)
		}
		m.world.observed["tasks ended by a lease"] += len(m.tasks)
		m.tasks = map[string]*simTask{}
		m.epoch++
		m.lastAcceptedSeq = 0
		m.leaseRenewedAt = now
		m.changed = true
	}
}

// advance makes the state changes that are due on the machine. The caller holds the lock.
func (m *simWorker) advance() {
	m.expireLease()
	now := time.Now()
	for _, t := range m.tasks {
		if t.nextChange.IsZero() || now.Before(t.nextChange) {
			continue
		}
		job, i, _ := wire.ParseTaskName(t.name)
		j := m.world.jobs[job]
		m.changed = true
		switch t.state {
		case wire.TaskFetching:
			t.state = wire.TaskRunning
			t.nextChange = time.Time{}
			t.fetchedAt = now
			if j.spec.IsGang() {
				m.world.checkTaskStart(m, t, j)
				if t.state = wire.TaskWaitingForGang; j.doneTasks[i] {
					m.exit(t, wire.CauseDone)
				}
				continue
			}
			if !j.spec.IsService() {
				t.nextChange = now.Add(settings.Seconds(j.spec.EstimateS))
				if i < len(j.runTimesS) {
					t.nextChange = now.Add(settings.Seconds(j.runTimesS[i]))
				}
				if j.doneTasks[i] {
					t.nextChange = now
				}
			}
			m.world.checkTaskStart(m, t, j)
		case wire.TaskRunning:
			t.state, t.cause = wire.TaskExited, wire.CauseDone
			t.nextChange = time.Time{}
			j.doneTasks[i] = true
		}
	}
}

// checkNoJobWaits checks that, after the last fault has ended, no job waits for more than 90 s
// while a suitable machine has enough free CPUs and the job's team is below its quota.
func (w *world) checkNoJobWaits() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faultFreeSince.IsZero() {
		return
	}
	activeTasks := map[string]int{}
	usedCPUs := map[string]float64{}
	freeCPUs := map[*simWorker]float64{}
	for _, m := range w.machines {
		if time.Now().Before(m.bootsAt) || m.hung || m.disconnected || m.receivesNothing || m.cutFromControllers {
			continue
		}
		freeCPUs[m] = simTypes[0].CPUs
		for _, x := range m.tasks {
			if id, _, _ := wire.ParseTaskName(x.name); x.state != wire.TaskExited {
				activeTasks[id]++
				usedCPUs[w.jobs[id].spec.Team] += w.jobs[id].spec.CPUs
				freeCPUs[m] -= w.jobs[id].spec.CPUs
			}
		}
	}
	for id, j := range w.jobs {
		s := &j.spec
		fits := s.Team != "tight" || usedCPUs["tight"]+s.CPUs <= 10
		if fits {
			fits = false
			for m, f := range freeCPUs {
				fits = fits || f >= s.CPUs && (s.Spot || !m.spot) && (s.Zone == "" || s.Zone == m.zone) && s.AllowsType(w.typeIn(m.zone))
			}
		}
		// The placement of an all-or-nothing job depends on its other tasks, so one free
		// machine does not mean that the job can start.
		if !fits || activeTasks[id] > 0 || !j.accepted || j.cancelRequested || len(j.doneTasks) >= s.Tasks || s.AllOrNothing() {
			j.idleSince = time.Time{}
		} else if j.idleSince.IsZero() {
			j.idleSince = time.Now()
		} else if time.Since(j.idleSince) > 90*time.Second {
			w.violate("waits", "%s waits beside room", id)
			j.idleSince = time.Time{}
		}
	}
}

// checkCancelledJobsEnd checks that no task of a cancelled job is on any machine after the
// limit for cancellations, whether the machine runs, hangs or is unreachable. A task is on its
// machine until it exits or is killed, or until the machine is terminated.
func (w *world) checkCancelledJobsEnd() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		for _, t := range m.tasks {
			job, _, _ := wire.ParseTaskName(t.name)
			j := w.jobs[job]
			if w.ignoreTasksHungPastLease && time.Since(m.leaseRenewedAt) > w.times.lease() {
				continue
			}
			if onMachine(t.state) && !j.cancelled.IsZero() && !j.overran && time.Since(j.cancelled) > w.times.cancelWithin() {
				j.overran = true
				w.violateTask("ran_cancelled", t.name, m.name, "%s on %s (hung %v, cut %v, deaf %v)", t.name, m.name, m.hung, m.disconnected, m.receivesNothing)
			}
		}
	}
}

// checkTaskStart checks the rules on a task that starts. The caller holds the lock.
func (w *world) checkTaskStart(m *simWorker, t *simTask, j *simJob) {
	w.starts++
	j.starts++
	if w.disruption != nil {
		w.observeTasks()
	}
	if !j.cancelled.IsZero() {
		w.observed["starts after a confirmed cancellation"]++
	}
	m.recordTask("task starts", t)
	slog.Debug("sim: task starts", "task", t.name, "attempt", t.attempt, "machine", m.name, "epoch", m.epoch, "token", m.token)
	usedCPUs, inZone := 0.0, 0
	zones := map[string]bool{}
	for _, other := range w.machines {
		if !w.ignoreWorkerLeases && time.Since(other.leaseRenewedAt) > w.times.lease() {
			continue // the machine hung past its lease: the worker ends these tasks before it does anything else
		}
		for _, x := range other.tasks {
			if !onMachine(x.state) {
				continue
			}
			job, _, _ := wire.ParseTaskName(x.name)
			otherJob := w.jobs[job]
			if x.name == t.name && other != m {
				w.violateTask("ran_twice", t.name, m.name, "%s on %s and %s", t.name, m.name, other.name)
			}
			if otherJob.spec.Team == j.spec.Team {
				usedCPUs += otherJob.spec.CPUs
			}
			if otherJob == j {
				zones[other.zone] = true
				if other.zone == m.zone {
					inZone++
				}
			}
		}
	}
	if j.spec.Team == "tight" && usedCPUs > 10+1e-6 {
		w.violateTask("quota", t.name, m.name, "%s: %g CPUs", t.name, usedCPUs)
	}
	if !j.spec.AllowsType(w.typeIn(m.zone)) || m.spot && !j.spec.Spot || j.spec.Zone != "" && j.spec.Zone != m.zone ||
		j.spec.OneZone && len(zones) > 1 || j.spec.Spread && inZone > (j.spec.Tasks+1)/2 {
		w.violateTask("wrong_place", t.name, m.name, "%s on %s", t.name, m.name)
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > w.times.cancelWithin() {
		w.violateTask("ran_cancelled", t.name, m.name, "%s started on %s", t.name, m.name)
	}
}

// execute carries out commands. The caller holds the lock.
func (m *simWorker) execute(cmds []wire.Command, inAnswer bool) {
	for _, c := range cmds {
		key := fmt.Sprintf("%s#%d", c.Task, c.Attempt)
		t := m.tasks[key]
		switch c.Op {
		case wire.OpStart:
			if t == nil {
				m.start(key, c, inAnswer)
			}
		case wire.OpStop:
			if t != nil && t.state != wire.TaskExited {
				m.stopTask(t, c)
			}
		case wire.OpForget:
			if t != nil && t.state == wire.TaskExited {
				delete(m.tasks, key)
			}
		}
	}
}

// start carries out a start command. The caller holds the lock.
func (m *simWorker) start(key string, c wire.Command, inAnswer bool) {
	job, _, _ := wire.ParseTaskName(c.Task)
	if inAnswer {
		// The commands of an answer are never carried out late. So the owner decided the
		// start within its authority and without knowing of the cancellation.
		if j := m.world.jobs[job]; !j.cancelled.IsZero() && time.Since(j.cancelled) > 4*time.Second {
			m.world.violateTask("started_cancelled", c.Task, m.name, "%s on %s", c.Task, m.name)
		}
	}
	t := &simTask{name: c.Task, attempt: c.Attempt, state: wire.TaskFetching}
	m.tasks[key] = t
	m.changed = true
	usedCPUs := 0.0
	for _, o := range m.tasks {
		if o == t || o.state == wire.TaskExited {
			continue
		}
		other, _, _ := wire.ParseTaskName(o.name)
		usedCPUs += m.world.jobs[other].spec.CPUs
		if o.name == t.name {
			t.state, t.cause = wire.TaskExited, wire.CauseOtherAttempt
		}
	}
	if t.state != wire.TaskExited && usedCPUs+m.world.jobs[job].spec.CPUs > 8+1e-6 {
		t.state, t.cause = wire.TaskExited, wire.CauseNoCapacity
	}
	if _, healthy := m.world.healthyMachines[m.name]; m.world.healthyMachines != nil && !healthy && t.state != wire.TaskExited {
		t.state, t.cause = wire.TaskExited, wire.CauseError
	}
	if t.state == wire.TaskFetching {
		t.nextChange = time.Now().Add(time.Duration(m.world.rng.IntN(3000)) * time.Millisecond)
	}
}

// stopTask carries out a stop command for a task that has not exited. The caller holds the
// lock.
func (m *simWorker) stopTask(t *simTask, c wire.Command) {
	job, _, _ := wire.ParseTaskName(c.Task)
	if t.state == wire.TaskRunning && m.reclaimAt.IsZero() {
		m.world.recordTaskStop(t.name)
	}
	m.recordTask("task stopped", t)
	j := m.world.jobs[job]
	if !j.spec.IsGang() {
		t.state, t.cause, t.nextChange = wire.TaskExited, wire.CauseStopped, time.Time{}
		m.changed = true
		return
	}
	graceS := 0.0
	if c.GraceS != nil {
		graceS = *c.GraceS
	}
	m.stopGangTask(t, j, graceS)
}

// simCommands delivers direct commands to workers, some of them late or twice.
type simCommands struct{ n *simController }

func (c *simCommands) Disconnect(string) {}

func (c *simCommands) Close() {}

func (c *simCommands) Send(ctx context.Context, addr string, req wire.CommandRequest, done func(worker.Result)) {
	w := c.n.world
	go func() {
		c.n.waitWhileFrozen()
		w.locked(func() {
			w.recordCommands("direct command sent", c.n.set.Controller, addr, req.Epoch, req.FencingToken, req.Commands)
		})
		time.Sleep(w.randomDuration(time.Millisecond, 5*time.Millisecond))
		if w.chance(w.lateCommandShare) { // a copy is delivered late
			go func() {
				time.Sleep(w.randomDuration(time.Second, 30*time.Second))
				c.deliver(addr, req)
			}()
		}
		if w.chance(w.lateCommandShare) { // the command is delayed: the sender times out, and the command arrives later
			go func() {
				time.Sleep(w.randomDuration(time.Second, 30*time.Second))
				if c.deliver(addr, req).Executed {
					w.locked(func() { w.observed["commands carried out late"]++ })
				}
			}()
			time.Sleep(2 * time.Second)
			done(worker.Result{Err: fmt.Errorf("no answer")})
			return
		}
		w.mu.Lock()
		m := w.machines[addr]
		unreachable := m == nil || m.disconnected || m.hung || m.receivesNothing || c.n.cutFromWorkers || time.Now().Before(m.bootsAt) || w.isPartitioned(m.zone, c.n)
		w.mu.Unlock()
		if unreachable {
			time.Sleep(2 * time.Second)
			if m != nil && w.chance(0.5) {
				go func() {
					time.Sleep(w.randomDuration(time.Second, 30*time.Second))
					c.deliver(addr, req)
				}()
			}
			done(worker.Result{Err: fmt.Errorf("no answer")})
			return
		}
		r := c.deliver(addr, req)
		time.Sleep(w.randomDuration(time.Millisecond, 5*time.Millisecond))
		if !w.noAnswerLoss && w.chance(cmp.Or(w.answerLossShare, 0.02)) {
			w.locked(func() { m.unansweredCommands = append(m.unansweredCommands, time.Now()) })
			r = worker.Result{Err: fmt.Errorf("the answer was lost")}
		}
		if m.repliesHeld {
			r = w.holdReply(m, r)
		}
		c.n.waitWhileFrozen()
		done(r)
	}()
}

func (c *simCommands) deliver(addr string, req wire.CommandRequest) worker.Result {
	w := c.n.world
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.machines[addr]
	for m != nil && w.isPartitioned(m.zone, c.n) { // the command is delayed until the partition ends
		w.mu.Unlock()
		time.Sleep(time.Second)
		w.mu.Lock()
	}
	if m == nil || m.removed || m.hung || m.receivesNothing || time.Now().Before(m.bootsAt) {
		return worker.Result{Err: fmt.Errorf("gone")}
	}
	if (req.FencingToken < m.token || req.Epoch != m.epoch) && !w.ignoreTokens {
		return worker.Result{Heartbeat: m.heartbeat()}
	}
	if req.FencingToken > m.token {
		m.changed = true
	}
	m.token = max(m.token, req.FencingToken)
	w.recordCommands("direct command carried out", c.n.set.Controller, addr, req.Epoch, req.FencingToken, req.Commands)
	m.execute(req.Commands, false)
	return worker.Result{Executed: true, Heartbeat: m.heartbeat()}
}

// deliverCopy delivers a copy of a heartbeat to a controller.
func (w *world) deliverCopy(to *Controller, r *wire.Heartbeat) {
	w.locked(func() {
		w.observed["copies"]++
		w.recordHeartbeat("late copy of a heartbeat", to.name, r)
		if m := w.machines[r.Machine]; m != nil && w.makeCopiesCurrent {
			fresh := *r
			fresh.Epoch, fresh.Seq, fresh.FencingToken = m.epoch, m.seq+1, m.token
			r = &fresh
		}
	})
	to.control.Tell(workerHeartbeat{&simAnswer{response: make(chan *httpwire.Response, 1)}, r})
}

// restart restarts the worker's process at once, without its tasks and with a new epoch. The
// caller holds the lock.
func (m *simWorker) restart() {
	m.recordState("worker restarts")
	m.tasks = map[string]*simTask{}
	m.epoch++
	m.lastAcceptedSeq = 0
	m.leaseRenewedAt = time.Now()
	m.changed = true
}
