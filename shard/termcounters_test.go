package shard

import (
	"fmt"
	"testing"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// A term's attempt numbers and tokens never reach those of the next term: the owner requests
// a new term in time, and without a new term it starts no more tasks. The test guards against
// an owner of a large fleet that starts sixteen million tasks in one term.
func TestAttemptNumbersNeverReachTheNextTerm(t *testing.T) {
	const attempts = 2048
	r := newTestOwner(nil)
	r.bringUpFleet(8) // room for all attempts in the heartbeats, as none is ever forgotten
	r.LimitTermCounters(attempts, 1<<constants.TokenCounterBits)
	requestedAt, started := 0, 0
	for i := range 2 * attempts / 8 {
		r.submit(arrayJob(fmt.Sprintf("run-%06d", i), 8, "a"))
		r.advance(300 * time.Millisecond)
		for name, m := range r.machines {
			var tasks []wire.TaskStatus
			for _, a := range m.attempts {
				tasks = append(tasks, wire.TaskStatus{Task: a.key.task, Attempt: a.key.number, State: wire.TaskExited, Cause: wire.CauseDone})
				started++
				if a.key.number>>constants.AttemptBits != r.term || a.key.number&(1<<constants.AttemptBits-1) >= attempts {
					t.Fatalf("attempt number %d is outside term %d with %d numbers", a.key.number, r.term, attempts)
				}
			}
			r.Heartbeat(r.now, newHeartbeat(name, 1, uint64(10+i), r.latestToken(name), tasks...))
		}
		if r.IsTermNearlyExhausted() && requestedAt == 0 {
			requestedAt = started
		}
	}
	if requestedAt == 0 || started <= requestedAt {
		t.Errorf("a new term was requested after %d of %d starts", requestedAt, started)
	}
	if !r.counters.isExhausted() {
		t.Errorf("%d starts did not exhaust the term's attempt numbers", r.counters.attempts)
	}
}

// The fencing tokens of a machine never reach those of the next term.
func TestTokensNeverReachTheNextTerm(t *testing.T) {
	const epochs = 512
	r := newTestOwner(nil)
	r.bringUpFleet(1)
	r.LimitTermCounters(1<<constants.AttemptBits, epochs)
	m := r.machines["m-00000"]
	requestedAt := uint64(0)
	for range 2 * epochs {
		if r.mayAct(r.now) {
			r.counters.raiseToken(m)
		}
		if r.IsTermNearlyExhausted() && requestedAt == 0 {
			requestedAt = m.tokenCount
		}
	}
	if m.tokenCount >= epochs || requestedAt == 0 || requestedAt > epochs*constants.RenewTermAtSixteenths/16+1 {
		t.Errorf("token counter %d of %d, a new term was requested at %d", m.tokenCount, epochs, requestedAt)
	}
}
