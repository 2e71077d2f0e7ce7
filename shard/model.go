// Package shard is a shard's owner: it rebuilds what runs from its machines'
// reports, places tasks by best fit and rents and returns machines. It is
// pure: messages, state and time in, actions out; an actor does the I/O.
//
// Core takes messages in and asks, in every step and in this order:
//
//   - model, resources, jobs, report: what is known of machines, jobs, tasks and attempts, and what
//     a report proves of them
//   - inventory, closing: the durable list of machines, and which of them are closed
//   - place, with bestfit, preempt, elsewhere, and gang with gangfit: which waiting task
//     goes to which machine, who makes room, what goes back to the leader
//   - rent, forecast, gangreserve: what to rent, and the room that is kept ready
//   - empty: notices, and machines to do without
//   - draining, moving: drains, and the account of disruption budgets
//   - silence: machines that are silent or deaf, and returns
//   - assignments: what of the jobs' records is over
//   - direct: commands that go straight to machines
//
// Core is composed of states: fleetView (ownership: whose shard it is, and until when the
// owner may act; knowledge; hearing), pageBook, placement, gangReserves, capacity,
// consolidation, draining with its interruptions and the ledger of package disruption,
// closings, outgoing and figures. A state's method changes that state and what it is handed,
// machines, jobs, attempts (holds) and tasks among it; many are handed the fleetView. Methods
// of Core, some seventy, bring several states together.
//
// push has the figures for leader, users and operators, action what the actor has to do,
// pace how often a step is made, numbers the numbers of attempts and tokens.
package shard

import (
	"math"
	"slices"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/records"
	"ravenport/wire"
)

// knowledge is what the owner knows of machines, jobs and attempts.
type knowledge struct {
	types    map[string]*wire.MachineType
	jobs     map[string]*job
	machines map[string]*machine
	fleet    []*machine // the same, in a fixed order
	byTask   map[taskKey][]*hold
	look     uint64 // counts looks at reports
	freed    bool   // the last look found that something had ended
	rebuilt  bool
}

func newKnowledge() knowledge {
	return knowledge{types: map[string]*wire.MachineType{}, jobs: map[string]*job{}, machines: map[string]*machine{}, byTask: map[taskKey][]*hold{}}
}

// holdKey names one attempt of a task on one machine.
type holdKey struct {
	task    string
	attempt uint64
}

// taskKey names a task.
type taskKey struct {
	job   string
	index int
}

// hold is an attempt that is, or may be, on a machine.
type hold struct {
	key      holdKey
	jobID    string
	index    int
	m        *machine
	state    string // a state of wire, or stateSent
	cause    string
	needs    resources
	image    string
	listed   bool   // a report of this session has shown it
	seen     uint64 // the look at a report that last showed it
	adopted  bool   // it ran already when this owner first heard of it
	direct   bool   // a direct command may have carried its start; such a one can be repeated late
	directed uint64 // the highest token under which one may have
	sentSeq  uint64 // the report whose answer last carried the start
	stop     bool   // to be stopped though its task is still wanted
	instant  bool   // stopping takes no saving
	told     time.Time
	sentAt   time.Time
	runSince time.Time
}

// stateSent: a start was decided and may have been sent, and no report has
// shown the attempt yet.
const stateSent = "sent"

func (h *hold) exited() bool { return h.state == wire.TaskExited }

func (h *hold) isRunning() bool { return h.state == wire.TaskRunning }

// machine is what the owner knows of one machine.
type machine struct {
	name, addr string
	typ        *wire.MachineType
	typeName   string
	spot       bool
	capacity   resources

	page          int    // of the inventory; pageless: on none
	inventoryAddr string // address as in the durable inventory
	durable       bool   // is in the durable inventory
	leaving       bool   // its return is confirmed; it is to leave the inventory

	session, seq uint64
	minSession   uint64    // earlier sessions have surely ended
	token        uint64    // highest token that it has reported
	epoch        uint64    // what the owner's tokens to it end in
	heard        time.Time // its last own report; at first also an answer
	leaseUntil   time.Time // after it, the session last known has surely ended
	inherited    bool      // stood in the inventory when the term began
	up           bool      // has reported in this term
	listed       bool      // the cloud's list has shown it
	missing      int       // lists in a row since then that did not
	lapsed       bool      // its lease ended while nobody heard it; it may come back
	holds        []*hold   // by attempt
	sums         sums
	stale        bool // sums are to be made anew
	images       map[string]bool
	notice       time.Time // when the cloud takes it; zero: no notice
	rentedAt     time.Time
	idleSince    time.Time
	returning    bool
	closing      closing
	cordon       *cordon // it takes no new task; nil: it may
	leavesNext   bool    // a drain that runs takes it in: what comes here would move once more
	draining     bool    // its tasks move elsewhere; it takes new ones last
	spareSince   time.Time
	avoidUntil   time.Time
	forGangs     bool // no array begins here: its room is for gangs
	keptFor      *job // its room is kept for a task of it
	keptUntil    time.Time

	inFlight         bool // a direct command waits for its answer
	nextDirect       time.Time
	wantCommand      bool      // it should be sent what it should do
	commandQueued    bool      // it stands in the queue for that
	misroutedAt      time.Time // when it last reported to another controller
	unanswered       int       // direct commands since it was last heard of
	unconfirmedSince time.Time // since when it is asked to show that answers reach it; zero: it is confirmed
	confirmingToken  uint64    // the token that it must show
	lost             bool      // holds an unwanted attempt that a late command could still bring
	warned           bool      // impossible fields were logged
	unheeded         int       // direct commands without an answer since it is unconfirmed
	answersSince     int       // answers since it last showed the token they carry
	answeredAt       uint64    // the number of its last report that was answered, with those of direct commands right after it
	lastSequence     uint64    // the number of its last own report
	lastSession      uint64    // the session of that
	missed           bool      // its last report shows that it made others elsewhere
}

// sums are what a machine's attempts add up to.
type sums struct {
	used     resources // instantly stopping ones left out: a stop and a start travel in one list and are carried out in order
	live     int       // attempts that have not exited
	services int
	yielding float64 // CPUs that production work may have at once
	exited   int     // exited attempts that a direct command started
	sent     int     // attempts that no report has shown yet
	arrays   float64 // CPUs held by arrays and gangs
	// Of what could be stopped: whether some of it saves first, its lowest
	// priority, and the teams that run arrays beyond their guarantee.
	saving bool
	lowest int
	loose  []string
}

// verified says that the machine has seen one of the owner's tokens, so
// nothing that earlier owners sent can be carried out any more and its report
// shows all that is there.
func (m *machine) verified(term uint64) bool { return m.up && m.token>>constants.EpochBits == term }

// doubted says that answers and commands may not reach the machine.
func (m *machine) unconfirmed() bool { return !m.unconfirmedSince.IsZero() }

// find returns the attempt with a key, or nil.
func (m *machine) find(k holdKey) *hold {
	for _, h := range m.holds {
		if h.key.attempt == k.attempt && h.key.task == k.task {
			return h
		}
	}
	return nil
}

// busy says whether any attempt has not exited.
func (k *knowledge) busy(m *machine) bool { return k.sumsOf(m).live > 0 }

// free is what is left of a machine.
func (k *knowledge) free(m *machine) resources { return m.capacity.minus(k.sumsOf(m).used) }

// prodRoom is what production work can have of an ordinary machine (CPUs):
// what is free, and what lower work holds that can be stopped at once.
func (k *knowledge) prodRoom(m *machine) float64 {
	s := k.sumsOf(m)
	return m.capacity.cpus - s.used.cpus + s.yielding
}

// sumsOf keeps a machine's sums; they are made anew only after a change.
func (k *knowledge) sumsOf(m *machine) *sums {
	if !m.stale {
		return &m.sums
	}
	m.stale = false
	m.sums = sums{lowest: math.MaxInt, loose: m.sums.loose[:0]}
	for _, h := range m.holds {
		if h.exited() {
			if h.direct {
				m.sums.exited++
			}
			continue
		}
		m.sums.live++
		if h.state == stateSent {
			m.sums.sent++
		}
		if !(h.stop && h.instant) {
			m.sums.used = m.sums.used.plus(h.needs)
		}
		t := k.taskOf(h)
		if t == nil {
			continue
		}
		s := &t.job.rec.Spec
		if s.IsService() {
			m.sums.services++
		} else {
			m.sums.arrays += h.needs.cpus
		}
		if stoppable(h, t) {
			m.sums.saving = m.sums.saving || !h.instant || t.job.gang != nil
			m.sums.lowest = min(m.sums.lowest, wire.PriorityLevel(s.Priority))
			if !t.guarantee && !s.IsService() && !slices.Contains(m.sums.loose, s.Team) {
				m.sums.loose = append(m.sums.loose, s.Team)
			}
		}
		if h.instant && !s.IsGang() && stoppable(h, t) && wire.PriorityLevel(s.Priority) < wire.PriorityLevel(wire.PriorityProduction) {
			m.sums.yielding += h.needs.cpus
		}
	}
	return &m.sums
}

// addHold puts an attempt on its machine, in the order of attempts.
func (k *knowledge) addHold(h *hold) {
	m := h.m
	i := len(m.holds)
	for i > 0 && m.holds[i-1].key.attempt > h.key.attempt {
		i--
	}
	m.holds = slices.Insert(m.holds, i, h)
	m.stale = true
	key := taskKey{h.jobID, h.index}
	k.byTask[key] = append(k.byTask[key], h)
}

// dropHold takes an attempt off its machine.
func (k *knowledge) dropHold(h *hold) {
	m := h.m
	if i := slices.Index(m.holds, h); i >= 0 {
		m.holds = slices.Delete(m.holds, i, i+1)
	}
	m.stale = true
	key := taskKey{h.jobID, h.index}
	hs := k.byTask[key]
	if i := slices.Index(hs, h); i >= 0 {
		hs = slices.Delete(hs, i, i+1)
	}
	if len(hs) == 0 {
		delete(k.byTask, key)
	} else {
		k.byTask[key] = hs
	}
}

// somewhere says whether any attempt of a task may be on any machine.
func (k *knowledge) somewhere(jobID string, index int) bool {
	for _, h := range k.byTask[taskKey{jobID, index}] {
		if !h.exited() {
			return true
		}
	}
	return false
}

// job is a job of which the shard looks after some tasks.
type job struct {
	rec     *records.Job
	version uint64
	tasks   map[int]*task
	writing bool // a change of its record is under way
	awaited bool // a newer record is known to be stored, and the feed will bring it
	retryAt time.Time
	backAt  time.Time       // when tasks of it were last sent back
	changed bool            // since its assignments were last looked at
	closeAt time.Time       // when assignments that are over are recorded though others here are not; zero: none is
	errors  map[string]bool // machines on which its tasks failed

	gang      *gang     // of a gang
	gangSince time.Time // since when the gang has been here

	begun   bool    // a task of it runs or is done, here or elsewhere
	stale   bool    // waiting and begun are to be made anew
	waiting []*task // those within the guarantee first, then by index

	place leader.Rank // in the order of the last look at all that wait
}

// task is one task of an open assignment.
type task struct {
	job       *job
	index     int
	hold      *hold
	done      bool
	uncertain bool // may run on an inherited machine that has not reported yet
	leaving   bool // is being sent back to the leader
	notBefore time.Time
	waitSince time.Time
	fails     int
	keep      bool
	guarantee bool
	roomAt    time.Time // until then, work that saves first is making room for it
}

func (t *task) waiting() bool { return t.hold == nil && !t.done && !t.uncertain && !t.leaving }

// touch says that a job's tasks have changed, so that a round's cost follows
// what changed.
func (p *placement) touch(j *job) {
	if !j.stale {
		j.stale = true
		p.touched = append(p.touched, j)
	}
}

// check says that a job's assignments may have something to record.
func (s *closings) check(j *job) {
	s.toClose[j.rec.ID] = j
	j.changed = true
}

// refresh brings the lists of waiting tasks up to date.
func (p *placement) refresh(v *fleetView) {
	for _, j := range p.touched {
		j.stale = false
		j.waiting, j.begun = j.waiting[:0], false
		for i := range j.rec.Assignments {
			j.begun = j.begun || j.rec.Assignments[i].Closed
		}
		if v.jobs[j.rec.ID] == j && j.rec.End == "" {
			for _, t := range j.tasks {
				j.begun = j.begun || t.done || t.hold != nil
				if t.waiting() {
					j.waiting = append(j.waiting, t)
				}
			}
		}
		if len(j.waiting) == 0 {
			delete(p.waiting, j)
			continue
		}
		sort.Slice(j.waiting, func(a, b int) bool {
			x, y := j.waiting[a], j.waiting[b]
			if x.guarantee != y.guarantee {
				return x.guarantee
			}
			return x.index < y.index
		})
		p.waiting[j] = true
	}
	p.touched = p.touched[:0]
}

// recordChanges says that the record known here will be replaced by a newer one:
// nothing may be written on the ground of it.
func (j *job) recordChanges() bool { return j.writing || j.awaited }

// ready lists a job's waiting tasks that may start now.
func (k *knowledge) ready(now time.Time, j *job) []*task { return k.appendReady(nil, now, j) }

// appendReady is ready for rounds, which look at one job after the other: the list
// of the last one makes room for the next.
func (k *knowledge) appendReady(out []*task, now time.Time, j *job) []*task {
	for _, t := range j.waiting {
		// A stray attempt must be gone first.
		if t.waiting() && !now.Before(t.notBefore) && !k.somewhere(j.rec.ID, t.index) {
			out = append(out, t)
		}
	}
	return out
}

// arrivals follows how much work of a sort arrives, as an average that
// forgets over constants.ArrivalMemory.
type arrivals struct {
	cpus    float64 // decayed sum of CPUs
	largest resources
	at      time.Time
}

func (a *arrivals) decay(now time.Time) {
	if !a.at.IsZero() {
		a.cpus *= math.Exp(-now.Sub(a.at).Seconds() / constants.ArrivalMemory.Seconds())
	}
	a.at = now
}

// add counts work that arrived some time ago; a new owner thus knows what its
// forerunner had learned.
func (a *arrivals) add(now time.Time, ago time.Duration, n resources) {
	a.decay(now)
	a.cpus += n.cpus * math.Exp(-max(0, ago.Seconds())/constants.ArrivalMemory.Seconds())
	a.largest = resources{max(a.largest.cpus, n.cpus), max(a.largest.gpus, n.gpus), max(a.largest.mem, n.mem)}
}

// within is how many CPUs are expected within d.
func (a *arrivals) within(now time.Time, d time.Duration) float64 {
	a.decay(now)
	return a.cpus * d.Seconds() / constants.ArrivalMemory.Seconds()
}
