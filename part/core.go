package part

import (
	"log/slog"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/state"
	"ravenport/wire"
)

// Config is what the owner needs to know of the deployment.
type Config struct {
	Part         string
	Report       time.Duration // workers' report period
	LeaseEnd     time.Duration // after the last answer that could count, a worker's lease has surely ended
	IdleSpot     time.Duration
	IdleOrdinary time.Duration
	UseSpot      bool
	ListLag      time.Duration
	ValueBytes   int // the state service's limit on a record
	Order        leader.Order
}

// Core is the state of one part's owner in one term.
type Core struct {
	cfg     Config
	term    uint64
	termVer uint64
	claimed time.Time

	authority time.Time // may act until then
	types     map[string]*wire.MachineType
	jobs      map[string]*job
	machines  map[string]*machine
	counter   uint64
	rebuilt   bool
	deposed   bool

	gone         map[string]time.Time // machines returned lately
	others       map[string]other     // by part
	siblingsAt   time.Time            // when all live controllers had been heard from
	pendingRents map[string]*rental
	rentSeq      int
	refused      map[bool]time.Time // by spot: no more is to be had until then
	queueFrom    int                // where the last round of placing stopped
	rosterWrites int
	bumping      bool
	actions      []Action
	dirty        bool // something changed that placing may use
	pushDirty    bool
	lastPlace    time.Time
	lastMove     time.Time
	prod         arrivals // of production work
	drainAt      time.Time
	drainWork    float64              // CPU seconds before the machines that are there
	drainCPUs    float64              // what those can give to arrays
	spareSince   map[string]time.Time // since when the part could do without a machine
	unplaced     resources            // waiting demand after the last round
}

type rental struct {
	req wire.RentRequest
	at  time.Time
}

// Action is something the actor has to do.
type Action interface{}

// SendCommands is a direct command to a machine.
type SendCommands struct {
	Machine, Addr string
	Request       wire.CommandRequest
}

// Commit is a transaction; its outcome is told with Committed under ID.
type Commit struct {
	ID  string
	Txn wire.Txn
}

// Rent asks the cloud for machines.
type Rent struct{ Request wire.RentRequest }

// Gone says that a machine is gone and its connection can be closed.
type Gone struct{ Addr string }

// Return gives machines back.
type Return struct{ Names []string }

// New makes the core at the moment when the feed showed the claim: jobs and
// roster are as of that revision.
func New(cfg Config, term, termVersion uint64, now time.Time, types []wire.MachineType,
	jobs map[string]*state.Job, versions map[string]uint64, roster map[string]*state.Machine, rosterVersions map[string]uint64) *Core {
	c := &Core{cfg: cfg, term: term, termVer: termVersion, claimed: now,
		types: map[string]*wire.MachineType{}, jobs: map[string]*job{}, machines: map[string]*machine{},
		pendingRents: map[string]*rental{}, refused: map[bool]time.Time{}, spareSince: map[string]time.Time{}, gone: map[string]time.Time{}, others: map[string]other{}, dirty: true, pushDirty: true}
	c.SetTypes(types)
	for key, r := range roster {
		m := c.machine(r.Name)
		c.fromRoster(now, m, r, rosterVersions[key])
		// Whatever earlier owners started, or sent and is still on its way, is
		// bounded by the lease counted from here: they had lost their authority
		// when the claim succeeded.
		m.inherited = r.Addr != ""
		m.leaseUntil = now.Add(cfg.LeaseEnd)
	}
	for id, rec := range jobs {
		c.applyJob(now, id, rec, versions[id], true)
	}
	c.checkRebuilt(now)
	return c
}

// SetTypes takes in the cloud's machine types.
func (c *Core) SetTypes(types []wire.MachineType) {
	for i := range types {
		t := types[i]
		c.types[t.Name] = &t
	}
	for _, m := range c.machines {
		c.size(m)
	}
	c.dirty = true
}

func (c *Core) size(m *machine) {
	if t := c.types[m.typeName]; t != nil {
		m.typ = t
		m.capacity = sizeOf(t)
	}
}

// SetAuthority says until when the owner may answer workers and start tasks.
func (c *Core) SetAuthority(until time.Time) { c.authority = until }

func (c *Core) may(now time.Time) bool { return !c.deposed && now.Before(c.authority) }

func (c *Core) machine(name string) *machine {
	m := c.machines[name]
	if m == nil {
		m = &machine{name: name, holds: map[holdKey]*hold{}, images: map[string]bool{}}
		c.machines[name] = m
	}
	return m
}

func (c *Core) fromRoster(now time.Time, m *machine, r *state.Machine, version uint64) {
	m.rosterVersion = version
	m.rosterAddr = r.Addr
	if m.addr == "" {
		m.addr = r.Addr
	}
	m.typeName, m.spot = r.Type, r.Spot
	c.size(m)
	if m.rentedAt.IsZero() {
		m.rentedAt = now
		if age := now.UnixMilli() - r.RentedMS; r.RentedMS > 0 && age > 0 && age < 3600_000 {
			m.rentedAt = now.Add(-time.Duration(age) * time.Millisecond)
		}
	}
}

// Apply takes in a change from the feed.
func (c *Core) Apply(now time.Time, ch state.Change) {
	switch r := ch.Record.(type) {
	case *state.Job:
		c.applyJob(now, r.ID, r, ch.Version, false)
	case *state.Machine:
		if r.Part == c.cfg.Part {
			m := c.machine(r.Name)
			c.fromRoster(now, m, r, ch.Version)
			c.dirty = true
		}
	case nil:
		if kind, rest := state.KeyKind(ch.Key); kind == "machine" {
			for name, m := range c.machines {
				if rest == c.cfg.Part+"/"+name && m.returning {
					delete(c.machines, name)
				}
			}
		}
	}
}

// applyJob brings the tasks that the part looks after in line with a record.
// inherited marks records from before the term: their tasks may be running.
func (c *Core) applyJob(now time.Time, id string, rec *state.Job, version uint64, inherited bool) {
	j := c.jobs[id]
	mine := false
	for _, ch := range rec.Chunks {
		if ch.Part == c.cfg.Part && !ch.Closed {
			mine = true
		}
	}
	if j == nil && !mine {
		return
	}
	if j == nil {
		j = &job{tasks: map[int]*task{}}
		c.jobs[id] = j
	}
	if version <= j.version {
		return
	}
	j.rec, j.version = rec, version
	j.writing = false
	for _, t := range j.tasks {
		t.leaving = false // a write that was based on an older record can only fail now
	}
	keep := map[int]bool{}
	for _, ch := range rec.Chunks {
		if ch.Part != c.cfg.Part || ch.Closed {
			continue
		}
		for i := ch.From; i < ch.To; i++ {
			keep[i] = true
			t := j.tasks[i]
			if t == nil {
				t = &task{job: j, index: i, uncertain: inherited && !c.rebuilt, waitSince: now}
				j.tasks[i] = t
				c.adoptKnown(t)
				if rec.Spec.Priority == wire.PriorityProduction {
					c.prod.add(now, time.Duration(now.UnixMilli()-rec.AcceptedMS)*time.Millisecond, need(&rec.Spec))
				}
			}
			t.keep, t.guarantee = ch.Keep, ch.Guaranteed
		}
	}
	for i, t := range j.tasks {
		if !keep[i] {
			t.hold = nil
			delete(j.tasks, i)
		}
	}
	c.dirty, c.pushDirty = true, true
	if len(j.tasks) == 0 {
		delete(c.jobs, id)
	}
}

// adoptKnown looks for a task that is already known to be on a machine.
func (c *Core) adoptKnown(t *task) {
	for _, m := range c.machines {
		for _, h := range m.holds {
			if h.jobID == t.job.rec.ID && h.index == t.index {
				c.fillHold(h, t.job)
				c.matchHold(t, h)
			}
		}
	}
}

// wanted says whether an attempt is the one its task should have.
func (c *Core) wanted(h *hold) bool {
	t := c.taskOf(h)
	return t != nil && t.hold == h && !t.done && !h.stop && t.job.rec.End == ""
}

func (c *Core) taskOf(h *hold) *task {
	j := c.jobs[h.jobID]
	if j == nil {
		return nil
	}
	return j.tasks[h.index]
}

func (c *Core) fillHold(h *hold, j *job) {
	s := &j.rec.Spec
	h.needs, h.image = need(s), s.Image
	h.instant = s.CheckpointS == 0
}

// release takes an attempt that is surely gone off its machine and its task.
func (c *Core) release(now time.Time, h *hold) {
	delete(h.m.holds, h.key)
	if t := c.taskOf(h); t != nil && t.hold == h {
		t.hold = nil
		t.waitSince = now
		t.keep = false // lost its machine: what does not fit here goes up at once
	}
	c.dirty, c.pushDirty = true, true
}

// matchHold brings a task in line with an attempt that a report showed.
func (c *Core) matchHold(t *task, h *hold) {
	if h.exited() {
		if h.cause == wire.CauseDone && !t.job.rec.Spec.IsService() {
			t.done = true
			t.uncertain = false
		}
		if t.hold == h {
			t.hold = nil
		}
		return
	}
	if t.hold == nil && !t.done {
		t.hold = h
		t.uncertain = false
	}
}

// absorb takes in a report's task list. beat tells an own report of the
// worker from the answer to a direct command.
func (c *Core) absorb(now time.Time, m *machine, r *wire.Report, beat bool) {
	if r.Session > m.session {
		// The earlier session's end killed and forgot everything.
		for _, h := range m.holds {
			c.release(now, h)
		}
		m.session = r.Session
		m.token = 0
		// A session has a lease of its own from its first moment on, also when
		// the owner hears of it by a direct command's answer.
		m.leaseUntil = now.Add(c.cfg.LeaseEnd)
	}
	m.seq = r.Seq
	m.token = max(m.token, r.Token)
	if r.NoticeS != nil && m.notice.IsZero() {
		m.notice = now.Add(time.Duration(*r.NoticeS * float64(time.Second)))
		slog.Info("machine will be taken back", "machine", m.name, "in_s", *r.NoticeS)
	} else if r.NoticeS == nil {
		m.notice = time.Time{}
	}
	listed := make(map[holdKey]bool, len(r.Tasks))
	for _, ts := range r.Tasks {
		jobID, index, ok := wire.SplitTask(ts.Task)
		if !ok {
			continue
		}
		k := holdKey{ts.Task, ts.Attempt}
		listed[k] = true
		h := m.holds[k]
		if h == nil {
			// Left by an earlier owner, or by a command whose answer was lost.
			h = &hold{key: k, jobID: jobID, index: index, m: m, direct: true, instant: true}
			if j := c.jobs[jobID]; j != nil {
				c.fillHold(h, j)
			}
			m.holds[k] = h
		}
		was := h.state
		h.listed = true
		h.state, h.cause = ts.State, ts.Cause
		if h.state == wire.TaskRunning && was != wire.TaskRunning {
			h.runSince = now
			if j := c.jobs[jobID]; j != nil {
				slog.Debug("task runs", "task", ts.Task, "class", j.rec.Spec.Class, "machine", m.name, "spot", m.spot,
					"accepted_s", float64(now.UnixMilli()-j.rec.AcceptedMS)/1000, "sent_s", now.Sub(h.sentAt).Seconds(), "cached", m.images[h.image])
			}
		}
		if h.state == wire.TaskRunning && h.image != "" {
			m.images[h.image] = true
		}
		if h.exited() && was != wire.TaskExited && !h.runSince.IsZero() {
			if j := c.jobs[jobID]; j != nil {
				slog.Debug("task ended", "task", ts.Task, "cause", h.cause, "machine", m.name, "ran_s", now.Sub(h.runSince).Seconds(), "estimate_s", j.rec.Spec.EstimateS)
			}
		}
		if was != h.state {
			c.dirty, c.pushDirty = true, true
		}
		t := c.taskOf(h)
		if t == nil {
			continue
		}
		if h.exited() && was != wire.TaskExited && h.cause != wire.CauseDone && t.hold == h {
			c.failed(now, t, h)
		}
		c.matchHold(t, h)
	}
	for k, h := range m.holds {
		if listed[k] {
			continue
		}
		switch {
		case h.listed:
			c.release(now, h) // forgotten on our command
		case !h.direct && beat && r.Seq > h.sentSeq:
			// The answer that carried the start was dropped or lost, and an
			// answer is never carried out late: it is not there. A wanted one
			// is sent again, to the same machine, under the same attempt.
			if !c.wanted(h) {
				c.release(now, h)
			}
		}
	}
	if m.busy() {
		m.idleSince = time.Time{}
	} else if m.idleSince.IsZero() {
		m.idleSince = now
	}
	c.checkRebuilt(now)
}

// failed notes that an attempt ended without its task being done.
func (c *Core) failed(now time.Time, t *task, h *hold) {
	t.waitSince = now
	switch h.cause {
	case wire.CauseStopped:
		return
	case wire.CauseError, wire.CauseUnknown:
		slog.Warn("task failed", "task", h.key.task, "machine", h.m.name, "cause", h.cause)
		j := t.job
		if j.errors == nil {
			j.errors = map[string]bool{}
		}
		j.errors[h.m.name] = true
		t.fails++
		// Failing on several machines, the job is at fault, not they.
		if len(j.errors) < constants.JobFaultMachines {
			h.m.avoidUntil = now.Add(constants.FaultPause)
		}
		wait := time.Second << min(t.fails, 5)
		t.notBefore = now.Add(min(wait, constants.JobFaultRetry))
	default: // refused for room, or as busy
		slog.Warn("start refused", "task", h.key.task, "machine", h.m.name, "cause", h.cause)
		t.notBefore = now.Add(constants.RefusedRetry)
	}
}

// checkRebuilt ends the rebuild once every inherited machine has shown all
// that is on it or has surely lost it.
func (c *Core) checkRebuilt(now time.Time) {
	if c.rebuilt {
		return
	}
	for _, m := range c.machines {
		if m.inherited && !m.verified(c.term) {
			return
		}
	}
	c.rebuilt = true
	for _, j := range c.jobs {
		for _, t := range j.tasks {
			t.uncertain = false
		}
	}
	c.dirty = true
	slog.Info("part rebuilt", "part", c.cfg.Part, "term", c.term, "after_ms", now.Sub(c.claimed).Milliseconds(), "machines", len(c.machines))
}

// Report answers a worker's report; ok is false when the owner must not.
func (c *Core) Report(now time.Time, r *wire.Report) (reply wire.ReportReply, ok bool) {
	if r.Token > c.term {
		if !c.deposed {
			slog.Warn("a machine has seen a higher token", "machine", r.Machine, "token", r.Token, "term", c.term)
		}
		c.deposed = true
	}
	if !c.may(now) || r.Zone != c.cfg.Part {
		return reply, false
	}
	if _, gone := c.gone[r.Machine]; gone {
		return reply, false // held back on its way: the machine is gone for good
	}
	// A machine whose return was asked for is answered like any other until
	// the cloud confirms it: an answer that renews its lease without counting
	// it would let the owner believe that the lease had ended.
	m := c.machine(r.Machine)
	if !c.newer(m, r) {
		return reply, false // late or repeated: nothing in it counts
	}
	c.arrive(now, m, r)
	c.absorb(now, m, r, true)
	m.heard, m.unanswered = now, 0
	m.leaseUntil = now.Add(c.cfg.LeaseEnd)
	reply = wire.ReportReply{Token: c.term, Commands: c.orders(now, m, true)}
	return reply, true
}

func (c *Core) newer(m *machine, r *wire.Report) bool {
	if r.Session < m.minSession {
		return false
	}
	return r.Session > m.session || r.Session == m.session && r.Seq > m.seq
}

// arrive notes what a report says of the machine itself.
func (c *Core) arrive(now time.Time, m *machine, r *wire.Report) {
	if !m.up {
		m.up = true
		m.idleSince = now
		c.dirty, c.pushDirty = true, true
		if m.typeName == "" {
			slog.Info("unexpected machine adopted", "machine", m.name)
			m.rentedAt = now
		}
	}
	if m.typeName != r.Type {
		m.typeName = r.Type
		c.size(m)
	}
	m.spot, m.addr = r.Spot, r.Addr
}

// CommandResult takes in what came of a direct command. r is nil without an
// answer; the commands may then still be carried out.
func (c *Core) CommandResult(now time.Time, name string, r *wire.Report) {
	m := c.machines[name]
	if m == nil {
		return
	}
	m.inFlight = false
	if r == nil {
		m.unanswered++
		m.nextDirect = now.Add(constants.RepeatCommand)
		return
	}
	if r.Token > c.term {
		c.deposed = true
	}
	if r.Machine != name || c.deposed || !c.newer(m, r) {
		return
	}
	c.arrive(now, m, r)
	c.absorb(now, m, r, false)
	m.heard, m.unanswered = now, 0
}

// orders lists what a machine should do: stops, then forgets, then starts, so
// that room is free when a start needs it.
func (c *Core) orders(now time.Time, m *machine, beat bool) []wire.Command {
	out := []wire.Command{}
	var starts []wire.Command
	for _, h := range sortedHolds(m) {
		switch {
		case h.exited():
			if beat && c.forgettable(h) {
				out = append(out, wire.Command{Op: wire.OpForget, Task: h.key.task, Attempt: h.key.attempt})
			}
		case !c.wanted(h):
			// A saving task is left to finish unless its time is up.
			if h.state == wire.TaskSaving && now.Sub(h.told) < h.grace(c) {
				continue
			}
			g := 0.0
			if h.told.IsZero() {
				h.told = now
				g = h.grace(c).Seconds()
			}
			out = append(out, wire.Command{Op: wire.OpStop, Task: h.key.task, Attempt: h.key.attempt, GraceS: &g})
		case h.state == stateSent && m.verified(c.term):
			if beat {
				h.sentSeq = m.seq
			} else {
				h.direct = true
			}
			h.sentAt = now
			starts = append(starts, wire.Command{Op: wire.OpStart, Task: h.key.task, Attempt: h.key.attempt})
		}
	}
	m.wantCommand = false
	return append(out, starts...)
}

// grace is the time a stopped attempt gets to save: its saving time, if it
// can save and something may come of it.
func (h *hold) grace(c *Core) time.Duration {
	t := c.taskOf(h)
	if h.instant || t == nil || t.job.rec.End != "" {
		return 0
	}
	return time.Duration((t.job.rec.Spec.SaveS + 0.5) * float64(time.Second))
}

// forgettable says whether an exited attempt may be forgotten by its machine.
// An attempt started by a direct command must be kept while that command
// could arrive once more, late: forgotten, it would start again. A done task
// must be kept until its chunk is closed, or a new owner would run it again.
func (c *Core) forgettable(h *hold) bool {
	if h.direct && h.key.attempt>>constants.AttemptBits >= h.m.token {
		return false
	}
	if h.cause != wire.CauseDone {
		return true
	}
	t := c.taskOf(h)
	return t == nil || t.job.rec.Spec.IsService()
}

func sortedHolds(m *machine) []*hold {
	out := make([]*hold, 0, len(m.holds))
	for _, h := range m.holds {
		out = append(out, h)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].key.attempt < out[b].key.attempt })
	return out
}

// Step does what is due and returns the actions gathered since the last call.
func (c *Core) Step(now time.Time) []Action {
	c.lapse(now)
	if c.may(now) {
		c.roster(now)
		if c.dirty || now.Sub(c.lastPlace) > time.Second {
			c.place(now)
			c.rent(now)
		}
		c.leaveNoticed(now)
		c.consolidate(now)
		c.giveBack(now)
		c.closeChunks(now)
		c.bump(now)
		c.direct(now)
	}
	out := c.actions
	c.actions = nil
	return out
}

// lapse forgets what was on machines whose lease has surely ended.
func (c *Core) lapse(now time.Time) {
	for _, m := range c.machines {
		if m.leaseUntil.IsZero() || now.Before(m.leaseUntil) {
			continue
		}
		if len(m.holds) > 0 || m.inherited {
			slog.Info("machine's lease has ended", "machine", m.name, "tasks", len(m.holds))
		}
		for _, h := range m.holds {
			c.release(now, h)
		}
		if m.session > 0 {
			m.minSession = m.session + 1
		}
		m.inherited = false
		m.up = false
		m.leaseUntil = time.Time{}
		c.dirty = true
		c.checkRebuilt(now)
	}
}

// roster writes machines into the durable roster: none gets a task before.
func (c *Core) roster(now time.Time) {
	for _, m := range c.machines {
		if m.rosterBusy || m.returning || c.rosterWrites >= constants.MaxRosterWrites || m.typeName == "" {
			continue
		}
		if m.rosterVersion != 0 && (m.rosterAddr == m.addr || m.addr == "") {
			continue
		}
		m.rosterBusy, m.rosterSent = true, m.addr
		c.rosterWrites++
		rec := state.Machine{Type: m.typeName, Spot: m.spot, Addr: m.addr, RentedMS: m.rentedAt.UnixMilli()}
		c.commit("machine/"+m.name, wire.Change{Put: state.KeyMachine(c.cfg.Part, m.name), Value: state.Encode(rec)},
			wire.Condition{Key: state.KeyMachine(c.cfg.Part, m.name), Version: m.rosterVersion})
	}
}

// commit gathers a transaction that holds only while the term stands.
func (c *Core) commit(id string, ch wire.Change, conds ...wire.Condition) {
	c.actions = append(c.actions, Commit{ID: id, Txn: wire.Txn{
		If:   append([]wire.Condition{{Key: state.KeyPart(c.cfg.Part), Version: c.termVer}}, conds...),
		Then: []wire.Change{ch},
	}})
}

// direct sends waiting commands straight to the machines.
func (c *Core) direct(now time.Time) {
	for _, m := range c.machines {
		if m.inFlight || m.returning || m.addr == "" || now.Before(m.nextDirect) {
			continue
		}
		// An inherited machine is asked at once for what is on it, and one
		// that missed its report whether it still is there.
		probe := m.inherited && !m.verified(c.term) || m.up && now.Sub(m.heard) > c.periods(constants.ProbePeriods)
		if !probe && !m.wantCommand && !c.overdue(now, m) {
			continue
		}
		req := wire.CommandRequest{Token: c.term, Session: max(m.session, 1), Commands: []wire.Command{}}
		if !probe && m.session > 0 {
			req.Commands = c.orders(now, m, false)
			if len(req.Commands) == 0 {
				continue
			}
		}
		m.inFlight = true
		m.nextDirect = now.Add(constants.RepeatCommand / 4)
		c.actions = append(c.actions, SendCommands{Machine: m.name, Addr: m.addr, Request: req})
	}
}

// periods is a number of report periods.
func (c *Core) periods(n float64) time.Duration {
	return time.Duration(n * float64(c.cfg.Report))
}

// overdue says whether a machine has a decided start without effect.
func (c *Core) overdue(now time.Time, m *machine) bool {
	for _, h := range m.holds {
		if h.state == stateSent && now.Sub(h.sentAt) > constants.RepeatCommand && c.wanted(h) {
			return true
		}
	}
	return false
}

// bump raises the term when a machine holds many attempts that only a higher
// token lets it forget; reports would grow without bound otherwise.
func (c *Core) bump(now time.Time) {
	if c.bumping || !c.rebuilt {
		return
	}
	for _, m := range c.machines {
		n := 0
		for _, h := range m.holds {
			if h.exited() && h.direct {
				n++
			}
		}
		if n >= constants.ExitedBump {
			c.bumping = true
			return
		}
	}
}

// WantsNewTerm says that the owner would like its term raised.
func (c *Core) WantsNewTerm() bool { return c.bumping }

// Raise takes in a higher term of the same owner. Nothing else changes: the
// machines' attempts stay known, and starts wait until they show the token.
func (c *Core) Raise(term, version uint64) {
	c.term, c.termVer, c.bumping = term, version, false
	c.counter = 0
	for _, m := range c.machines {
		m.wantCommand = m.wantCommand || m.up
	}
}
