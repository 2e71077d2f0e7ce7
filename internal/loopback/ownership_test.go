package loopback

import (
	"maps"
	"time"

	"github.com/anishathalye/porcupine"

	"ravenport/constants"
)

// Operations on the ownership of a zone's shard.
type (
	// acquireOp acquires the term that follows the latest term.
	acquireOp struct{ term uint64 }
	// executeOp executes commands under a term on a worker.
	executeOp struct {
		machine string
		term    uint64
	}
)

// termAcquired records that the store committed the acquisition of a term between two times.
func (o *observer) termAcquired(zone string, term uint64, from, to time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	setIfUnset(o.acquiredAt, zone, term, to)
	o.addOperation(zone, acquireOp{term}, from, to)
}

// commandsExecuted records that a worker executed commands under a fencing token between
// two times.
func (o *observer) commandsExecuted(zone, machine string, token uint64, from, to time.Time) {
	term := token >> constants.TokenCounterBits
	o.mu.Lock()
	defer o.mu.Unlock()
	setIfUnset(o.firstCommandAt, zone, term, to)
	o.addOperation(zone, executeOp{machine, term}, from, to)
}

// setIfUnset sets the time of a zone's term if no time is set yet.
func setIfUnset(times map[string]map[uint64]time.Time, zone string, term uint64, at time.Time) {
	if times[zone] == nil {
		times[zone] = map[uint64]time.Time{}
	}
	if _, known := times[zone][term]; !known {
		times[zone][term] = at
	}
}

// addOperation adds an operation to a zone's history. Each operation has its own client id,
// because any two operations may overlap. The caller must hold the lock.
func (o *observer) addOperation(zone string, input any, from, to time.Time) {
	history := o.ownershipHistory[zone]
	o.ownershipHistory[zone] = append(history, porcupine.Operation{
		ClientId: len(history),
		Input:    input,
		Call:     from.Sub(o.startedAt).Nanoseconds(),
		Return:   to.Sub(o.startedAt).Nanoseconds(),
	})
}

// firstCommand returns the time at which a worker first executed commands under a term, or
// the zero time if no worker has done so.
func (o *observer) firstCommand(zone string, term uint64) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.firstCommandAt[zone][term]
}

// acquisition returns the time at which a term was acquired, or the zero time if the term
// was not acquired yet.
func (o *observer) acquisition(zone string, term uint64) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acquiredAt[zone][term]
}

// ownership is the state of a zone's shard.
type ownership struct {
	term     uint64            // latest acquired term
	executed map[string]uint64 // by machine: highest term under which the worker executed commands
}

// ownershipModel is the sequential specification of a shard's ownership. Each acquired term
// is one higher than the term before. No worker executes commands under a term that was not
// acquired yet, or under an earlier term after a later term.
var ownershipModel = porcupine.Model{
	Init: func() any { return ownership{executed: map[string]uint64{}} },
	Step: func(before, input, _ any) (bool, any) {
		state := before.(ownership)
		switch op := input.(type) {
		case acquireOp:
			return op.term == state.term+1, ownership{op.term, state.executed}
		case executeOp:
			if op.term > state.term || op.term < state.executed[op.machine] {
				return false, state
			}
			if op.term == state.executed[op.machine] {
				return true, state
			}
			executed := maps.Clone(state.executed) // the previous state must not change
			executed[op.machine] = op.term
			return true, ownership{state.term, executed}
		}
		return false, state
	},
	Equal: func(a, b any) bool {
		x, y := a.(ownership), b.(ownership)
		return x.term == y.term && maps.Equal(x.executed, y.executed)
	},
}

// ownershipCheckTimeout is the time limit for the check of one history.
const ownershipCheckTimeout = 60 * time.Second

// checkOwnership reports, by zone, whether the history of acquisitions and executed commands
// is linearizable.
func (o *observer) checkOwnership() map[string]porcupine.CheckResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	results := map[string]porcupine.CheckResult{}
	for zone, history := range o.ownershipHistory {
		results[zone] = porcupine.CheckOperationsTimeout(ownershipModel, history, ownershipCheckTimeout)
	}
	return results
}
