package loopback

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"ravenport/constants"
)

// The ownership check accepts overlapping acquisitions and commands that are linearizable.
// It rejects commands under a term that no controller has acquired, a term that was acquired
// twice, and a worker that executes commands of an earlier owner after those of a later
// owner.
func TestOwnershipCheck(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	token := func(term uint64) uint64 { return term << constants.TokenCounterBits }
	for name, c := range map[string]struct {
		record func(o *observer)
		want   porcupine.CheckResult
	}{
		"two owners in turn": {func(o *observer) {
			o.termAcquired("a", 1, at(0), at(10))
			o.commandsExecuted("a", "m", token(1), at(5), at(30)) // overlaps the write of the acquisition
			o.termAcquired("a", 2, at(20), at(40))
			o.commandsExecuted("a", "m", token(2), at(35), at(50))
			o.commandsExecuted("a", "other", token(1), at(60), at(70)) // this worker has not heard from the second owner
		}, porcupine.Ok},
		"executed before it was acquired": {func(o *observer) {
			o.commandsExecuted("a", "m", token(1), at(0), at(5))
			o.termAcquired("a", 1, at(6), at(10))
		}, porcupine.Illegal},
		"acquired twice": {func(o *observer) { o.termAcquired("a", 1, at(0), at(5)); o.termAcquired("a", 1, at(6), at(10)) }, porcupine.Illegal},
		"executed an earlier term after a later one": {func(o *observer) {
			o.termAcquired("a", 1, at(0), at(1))
			o.termAcquired("a", 2, at(2), at(3))
			o.commandsExecuted("a", "m", token(2), at(4), at(5))
			o.commandsExecuted("a", "m", token(1), at(6), at(7))
		}, porcupine.Illegal},
	} {
		o := newObserver()
		o.startedAt = at(0)
		c.record(o)
		if got := o.checkOwnership()["a"]; got != c.want {
			t.Errorf("%s: %s", name, got)
		}
	}
}

// A task on two machines at once is a violation. A task that moved to another machine is
// not.
func TestTaskOnTwoMachinesIsViolation(t *testing.T) {
	o := newObserver()
	o.taskStarted("run-000001/0", "m-1")
	o.taskStarted("run-000001/0", "m-2")
	if len(o.violations()) != 1 {
		t.Error("no violation was recorded for a task on two machines")
	}
	o.taskEnded("run-000001/0", "m-1")
	o.taskEnded("run-000001/0", "m-2")
	o.taskStarted("run-000001/0", "m-3")
	if len(o.violations()) != 1 {
		t.Error("a violation was recorded for a task that moved")
	}
}
