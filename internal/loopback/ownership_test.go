package loopback

import (
	"time"

	"github.com/anishathalye/porcupine"

	"ravenport/constants"
)

// Operations of a zone's ownership.
type (
	// acquireOp raises the zone's term by one.
	acquireOp struct{ term uint64 }
	// executeOp is a worker that carries out commands under a term.
	executeOp struct {
		machine string
		term    uint64
	}
)

// termAcquired notes a claim that the state service carried out between two moments.
func (r *observer) termAcquired(zone string, term uint64, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	noteFirst(r.acquiredAt, zone, term, to)
	r.addOperation(zone, acquireOp{term}, from, to)
}

// commandsExecuted notes commands that a worker carried out under a term.
func (r *observer) commandsExecuted(zone, machine string, token uint64, from, to time.Time) {
	term := token >> constants.TokenCounterBits
	r.mu.Lock()
	defer r.mu.Unlock()
	noteFirst(r.firstCommandAt, zone, term, to)
	r.addOperation(zone, executeOp{machine, term}, from, to)
}

func noteFirst(of map[string]map[uint64]time.Time, zone string, term uint64, at time.Time) {
	if of[zone] == nil {
		of[zone] = map[uint64]time.Time{}
	}
	if _, known := of[zone][term]; !known {
		of[zone][term] = at
	}
}

// addOperation appends an operation. The caller holds the lock.
func (r *observer) addOperation(zone string, input any, from, to time.Time) {
	r.ownershipHistory[zone] = append(r.ownershipHistory[zone], porcupine.Operation{ClientId: len(r.ownershipHistory[zone]), Input: input,
		Call: from.Sub(r.began).Nanoseconds(), Return: to.Sub(r.began).Nanoseconds()})
}

func (r *observer) firstCommand(zone string, term uint64) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstCommandAt[zone][term]
}

func (r *observer) acquisition(zone string, term uint64) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acquiredAt[zone][term]
}

// ownership is a zone's state: the claimed term, and per machine the highest one that
// it obeyed.
type ownership struct {
	term     uint64
	executed map[string]uint64
}

// ownershipModel is what a linearizable history of claims and obeyed commands keeps to:
// terms rise one by one, no worker obeys a term that was not claimed yet, and none
// obeys an earlier term after a later one.
var ownershipModel = porcupine.Model{
	Init: func() any { return ownership{executed: map[string]uint64{}} },
	Step: func(before, input, _ any) (bool, any) {
		s := before.(ownership)
		switch op := input.(type) {
		case acquireOp:
			return op.term == s.term+1, ownership{op.term, s.executed}
		case executeOp:
			if op.term > s.term || op.term < s.executed[op.machine] {
				return false, s
			}
			if op.term == s.executed[op.machine] {
				return true, s
			}
			seen := map[string]uint64{op.machine: op.term}
			for machine, term := range s.executed {
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
		if x.term != y.term || len(x.executed) != len(y.executed) {
			return false
		}
		for machine, term := range x.executed {
			if y.executed[machine] != term {
				return false
			}
		}
		return true
	},
}

// ownershipCheckTimeout bounds how long a history is judged.
const ownershipCheckTimeout = 60 * time.Second

// checkOwnership says of each zone whether its history of claims and obeyed commands can be put
// in one order, and how many operations it has.
func (r *observer) checkOwnership() map[string]porcupine.CheckResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]porcupine.CheckResult{}
	for zone, history := range r.ownershipHistory {
		out[zone] = porcupine.CheckOperationsTimeout(ownershipModel, history, ownershipCheckTimeout)
	}
	return out
}
