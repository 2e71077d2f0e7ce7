package loopback

import (
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"ravenport/constants"
	"ravenport/internal/disruptioncheck"
)

// stay is the time that a task was on a machine.
type stay struct {
	machine  string
	from, to time.Time // to is zero while it is there
}

// record keeps what the workers and the state service saw, as they saw it: where each
// task was and when, which terms were claimed, and under which terms workers obeyed.
type record struct {
	mu      sync.Mutex
	stays   map[string][]*stay // by task
	done    map[string]bool    // tasks that completed
	broken  []string
	history map[string][]porcupine.Operation // by zone
	obeyed  map[string]map[uint64]time.Time  // by zone and term: when the first start under it was obeyed
	claimed map[string]map[uint64]time.Time
	began   time.Time
	// services judges stops of the tasks that isService is true for; nil: nothing does.
	services  *disruptioncheck.Check
	isService func(task string) bool
	lastStop  string // machine on which a judged task was told to stop last
	lastStart string // machine on which one began to run last
}

func newRecord() *record {
	return &record{stays: map[string][]*stay{}, done: map[string]bool{}, history: map[string][]porcupine.Operation{}, obeyed: map[string]map[uint64]time.Time{},
		claimed: map[string]map[uint64]time.Time{}, began: time.Now()}
}

// arrives notes that a task is on a machine; it must be on no other one.
func (r *record) arrives(task, machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, s := range r.stays[task] {
		if s.to.IsZero() && s.machine != machine {
			r.broken = append(r.broken, fmt.Sprintf("ran_twice: %s starts on %s while it is on %s", task, machine, s.machine))
		}
	}
	r.stays[task] = append(r.stays[task], &stay{machine: machine, from: now})
	if r.judges(task) {
		r.lastStart = machine
		r.services.TaskUp(task, now)
	}
}

// judges says whether stops of a task are judged. The caller holds the lock.
func (r *record) judges(task string) bool { return r.services != nil && r.isService(task) }

// stops notes that a task was told to stop, and leaves its machine for that.
func (r *record) stops(task, machine string, running bool) {
	r.mu.Lock()
	if r.judges(task) && running {
		r.lastStop = machine
		if err := r.services.TaskStopped(task, time.Now()); err != nil {
			r.broken = append(r.broken, "budget: "+err.Error())
		}
	}
	r.mu.Unlock()
	r.leaves(task, machine)
}

// leaves notes that a task is not on a machine any more.
func (r *record) leaves(task, machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.stays[task] {
		if s.to.IsZero() && s.machine == machine {
			s.to = time.Now()
			if r.judges(task) {
				r.services.TaskDown(task, s.to)
			}
		}
	}
}

// completes notes that a task leaves its machine because it is done.
func (r *record) completes(task, machine string) {
	r.leaves(task, machine)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done[task] = true
}

// arrayTasksBegun counts the tasks that are done, or on a machine and not a service's:
// services are submitted first, and theirs never complete.
func (r *record) arrayTasksBegun(isArray func(task string) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.done)
	for task, stays := range r.stays {
		if stays[len(stays)-1].to.IsZero() && !r.done[task] && isArray(task) {
			n++
		}
	}
	return n
}

// rulesBroken returns what was seen to break a rule.
func (r *record) rulesBroken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}

// present counts the tasks that are on a machine now.
func (r *record) present() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, stays := range r.stays {
		if last := stays[len(stays)-1]; last.to.IsZero() {
			n++
		}
	}
	return n
}

// everStarted counts the tasks that were on any machine.
func (r *record) everStarted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.stays)
}

// Operations of a zone's ownership.
type (
	// claim raises the zone's term by one.
	claim struct{ term uint64 }
	// obey is a worker that carries out commands under a term.
	obey struct {
		machine string
		term    uint64
	}
)

// claims notes a claim that the state service carried out between two moments.
func (r *record) claims(zone string, term uint64, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	note(r.claimed, zone, term, to)
	r.add(zone, claim{term}, from, to)
}

// obeys notes commands that a worker carried out under a term.
func (r *record) obeys(zone, machine string, token uint64, from, to time.Time) {
	term := token >> constants.TokenCounterBits
	r.mu.Lock()
	defer r.mu.Unlock()
	note(r.obeyed, zone, term, to)
	r.add(zone, obey{machine, term}, from, to)
}

func note(of map[string]map[uint64]time.Time, zone string, term uint64, at time.Time) {
	if of[zone] == nil {
		of[zone] = map[uint64]time.Time{}
	}
	if _, known := of[zone][term]; !known {
		of[zone][term] = at
	}
}

// add appends an operation. The caller holds the lock.
func (r *record) add(zone string, input any, from, to time.Time) {
	r.history[zone] = append(r.history[zone], porcupine.Operation{ClientId: len(r.history[zone]), Input: input,
		Call: from.Sub(r.began).Nanoseconds(), Return: to.Sub(r.began).Nanoseconds()})
}

// ownership is a zone's state: the claimed term, and per machine the highest one that
// it obeyed.
type ownership struct {
	term uint64
	seen map[string]uint64
}

// ownershipModel is what a linearizable history of claims and obeyed commands keeps to:
// terms rise one by one, no worker obeys a term that was not claimed yet, and none
// obeys an earlier term after a later one.
var ownershipModel = porcupine.Model{
	Init: func() any { return ownership{seen: map[string]uint64{}} },
	Step: func(before, input, _ any) (bool, any) {
		s := before.(ownership)
		switch op := input.(type) {
		case claim:
			return op.term == s.term+1, ownership{op.term, s.seen}
		case obey:
			if op.term > s.term || op.term < s.seen[op.machine] {
				return false, s
			}
			if op.term == s.seen[op.machine] {
				return true, s
			}
			seen := map[string]uint64{op.machine: op.term}
			for machine, term := range s.seen {
				if machine != op.machine {
					seen[machine] = term
				}
			}
			return true, ownership{s.term, seen}
		}
		return false, s
	},
	Equal: func(a, b any) bool {
		x, y := a.(ownership), b.(ownership)
		if x.term != y.term || len(x.seen) != len(y.seen) {
			return false
		}
		for machine, term := range x.seen {
			if y.seen[machine] != term {
				return false
			}
		}
		return true
	},
}

// judgeLimit bounds how long a history is judged.
const judgeLimit = 60 * time.Second

// judge says of each zone whether its history of claims and obeyed commands can be put
// in one order, and how many operations it has.
func (r *record) judge() map[string]porcupine.CheckResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]porcupine.CheckResult{}
	for zone, history := range r.history {
		out[zone] = porcupine.CheckOperationsTimeout(ownershipModel, history, judgeLimit)
	}
	return out
}
