// Package part is a part's owner: it rebuilds what runs from its machines'
// reports, places tasks by best fit and rents and returns machines. It is
// pure: messages, state and time in, actions out; an actor does the I/O.
package part

import (
	"math"
	"time"

	"ravenport/constants"
	"ravenport/state"
	"ravenport/wire"
)

// resources is an amount of what tasks take of machines.
type resources struct{ cpus, gpus, mem float64 }

func (r resources) plus(o resources) resources {
	return resources{r.cpus + o.cpus, r.gpus + o.gpus, r.mem + o.mem}
}

func (r resources) minus(o resources) resources {
	return resources{r.cpus - o.cpus, r.gpus - o.gpus, r.mem - o.mem}
}

// slack forgives rounding in sums of decimal amounts.
const slack = 1e-6

func (r resources) fits(in resources) bool {
	return r.cpus <= in.cpus+slack && r.gpus <= in.gpus+slack && r.mem <= in.mem+slack
}

// sizeOf is what a machine of a type has.
func sizeOf(t *wire.MachineType) resources { return resources{t.CPUs, t.GPUs, t.MemoryGB} }

func need(s *wire.Submission) resources { return resources{s.CPUs, s.GPUs, s.MemoryGB} }

// holdKey names one attempt of a task on one machine.
type holdKey struct {
	task    string
	attempt uint64
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
	direct   bool   // a direct command may have carried its start; such a one can be repeated late
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

// machine is what the owner knows of one machine.
type machine struct {
	name, addr string
	typ        *wire.MachineType
	typeName   string
	spot       bool
	capacity   resources

	rosterVersion uint64 // 0: not in the durable roster
	rosterAddr    string // address as in the roster
	rosterBusy    bool
	rosterSent    string    // address in the write under way
	dropAt        time.Time // when taking it off the roster is tried again

	session, seq uint64
	minSession   uint64 // earlier sessions have surely ended
	token        uint64 // highest token that it has reported
	heard        time.Time
	leaseUntil   time.Time // after it, the session last known has surely ended
	inherited    bool      // stood in the roster when the term began
	up           bool      // has reported in this term
	holds        map[holdKey]*hold
	images       map[string]bool
	notice       time.Time // when the cloud takes it; zero: no notice
	rentedAt     time.Time
	idleSince    time.Time
	returning    bool
	draining     bool // its tasks move elsewhere; it takes new ones last
	avoidUntil   time.Time

	inFlight    bool // a direct command waits for its answer
	nextDirect  time.Time
	wantCommand bool
	strayAt     time.Time // when it last reported to another controller
	unanswered  int       // direct commands since it was last heard of
}

// verified says that the machine has seen the owner's token in its present
// session, so nothing that earlier owners sent can be carried out any more
// and its report shows all that is there.
func (m *machine) verified(term uint64) bool { return m.up && m.token == term }

// used is what its attempts take, instantly stopping ones left out: a stop
// and a start travel in one list and are carried out in order.
func (m *machine) used() resources {
	var u resources
	for _, h := range m.holds {
		if !h.exited() && !(h.stop && h.instant) {
			u = u.plus(h.needs)
		}
	}
	return u
}

func (m *machine) free() resources { return m.capacity.minus(m.used()) }

func (m *machine) busy() bool {
	for _, h := range m.holds {
		if !h.exited() {
			return true
		}
	}
	return false
}

// job is a job of which the part looks after some tasks.
type job struct {
	rec     *state.Job
	version uint64
	tasks   map[int]*task
	writing bool // a change of its record is under way
	retryAt time.Time
	errors  map[string]bool // machines on which its tasks failed
}

// task is one task of an open chunk.
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
