package loopback

import (
	"maps"
	"time"

	"github.com/anishathalye/porcupine"

	"ravenport/constants"
)

// Operations on the ownership of a zone's shard.
type (
	// acquireOp acquires a term, the next one after the latest.
	acquireOp struct{ term uint64 }
	// executeOp executes commands under a term on a worker.
	executeOp struct {
		machine string
		term    uint64
	}
)

// termAcquired records that the store wrote the acquisition of a term between two times.
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

// setIfUnset sets the time of a zone's term, unless it is set.
func setIfUnset(times map[string]map[uint64]time.Time, zone string, term uint64, at time.Time) {
	if times[zone] == nil {
		times[zone] = map[uint64]time.Time{}
	}
	if _, known := times[zone][term]; !known {
		times[zone][term] = at
	}
}

// addOperation adds an operation to a zone's history, as one of a client of its own: any
// two operations may overlap. The caller holds the lock.
func (o *observer) addOperation(zone string, input any, from, to time.Time) {
	history := o.ownershipHistory[zone]
	o.ownershipHistory[zone] = append(history, porcupine.Operation{
		ClientId: len(history),
		Input:    input,
		Call:     from.Sub(o.startedAt).Nanoseconds(),
		Return:   to.Sub(o.startedAt).Nanoseconds(),
	})
}

// firstCommand returns when a worker first executed commands under a term; zero: not yet.
func (o *observer) firstCommand(zone string, term uint64) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.firstCommandAt[zone][term]
}

// acquisition returns when a term was acquired; zero: not yet.
func (o *observer) acquisition(zone string, term uint64) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acquiredAt[zone][term]
}

// ownership is the state of a zone's shard.
type ownership struct {
	term     uint64            // that was acquired last
	executed map[string]uint64 // by machine: the highest term that it executed commands under
}

// ownershipModel is the sequential specification of a shard's ownership: terms rise one by
// one, no worker executes commands under a term that is not acquired yet, and none does
// under an earlier term after a later one.
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
			executed := maps.Clone(state.executed) // the state before must not change
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

// ownershipCheckTimeout bounds the time that the check of one history takes.
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
