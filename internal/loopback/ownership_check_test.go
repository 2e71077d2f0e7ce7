package loopback

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"ravenport/constants"
)

// The judge of ownership accepts overlapping claims and commands that have an order,
// and refuses a term that nobody claimed, one claimed twice, and a worker that obeys an
// earlier owner after a later one.
func TestOwnershipJudge(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	token := func(term uint64) uint64 { return term << constants.TokenCounterBits }
	for name, c := range map[string]struct {
		play func(r *observer)
		want porcupine.CheckResult
	}{
		"two owners in turn": {func(r *observer) {
			r.termAcquired("a", 1, at(0), at(10))
			r.commandsExecuted("a", "m", token(1), at(5), at(30)) // began while the claim was written
			r.termAcquired("a", 2, at(20), at(40))
			r.commandsExecuted("a", "m", token(2), at(35), at(50))
			r.commandsExecuted("a", "other", token(1), at(60), at(70)) // it has not heard of the second
		}, porcupine.Ok},
		"obeyed before it was claimed": {func(r *observer) {
			r.commandsExecuted("a", "m", token(1), at(0), at(5))
			r.termAcquired("a", 1, at(6), at(10))
		}, porcupine.Illegal},
		"claimed twice": {func(r *observer) { r.termAcquired("a", 1, at(0), at(5)); r.termAcquired("a", 1, at(6), at(10)) }, porcupine.Illegal},
		"obeyed an earlier owner after a later": {func(r *observer) {
			r.termAcquired("a", 1, at(0), at(1))
			r.termAcquired("a", 2, at(2), at(3))
			r.commandsExecuted("a", "m", token(2), at(4), at(5))
			r.commandsExecuted("a", "m", token(1), at(6), at(7))
		}, porcupine.Illegal},
	} {
		r := newObserver()
		r.began = at(0)
		c.play(r)
		if got := r.checkOwnership()["a"]; got != c.want {
			t.Errorf("%s: %s", name, got)
		}
	}
	r := newObserver()
	r.taskStarted("run-000001/0", "m-1")
	r.taskStarted("run-000001/0", "m-2")
	if len(r.violations()) != 1 {
		t.Error("a task on two machines was not noticed")
	}
	r.taskEnded("run-000001/0", "m-1")
	r.taskEnded("run-000001/0", "m-2")
	r.taskStarted("run-000001/0", "m-3")
	if len(r.violations()) != 1 {
		t.Error("a task that moved counts as run twice")
	}
}
