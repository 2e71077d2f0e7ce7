package shard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// fakeWorkers simulates the workers of a testOwner's machines. Their heartbeats list the
// tasks for which they received starts, in the states that the test sets.
type fakeWorkers struct {
	*testOwner
	taskStatuses map[string][]wire.TaskStatus // by machine
	seqs         map[string]uint64
	stopGraces   map[string]float64 // by task: the grace period of the last stop (s)
	spotMachine  string             // the machine that is a spot instance
}

func newFakeWorkers(r *testOwner, machines ...string) *fakeWorkers {
	h := &fakeWorkers{testOwner: r, taskStatuses: map[string][]wire.TaskStatus{}, seqs: map[string]uint64{}, stopGraces: map[string]float64{}}
	h.cfg.GangStartTimeout, h.cfg.GangPeerTimeout = 30*time.Second, 8*time.Second
	for _, m := range machines {
		r.bringUp(m)
		h.seqs[m] = 10
	}
	return h
}

// applyActions executes the direct commands among actions, commits all transactions, and
// returns the starts.
func (h *fakeWorkers) applyActions(actions []Action) (starts []wire.Command) {
	h.commitAll(actions)
	for _, a := range actions {
		s, ok := a.(SendCommands)
		if !ok {
			continue
		}
		if _, alive := h.seqs[s.Machine]; !alive {
			h.CommandResult(h.now, s.Machine, nil)
			continue
		}
		starts = append(starts, h.executeCommands(s.Machine, s.Request.Commands)...)
		h.seqs[s.Machine]++
		h.CommandResult(h.now, s.Machine, h.heartbeatOf(s.Machine))
	}
	return starts
}

// executeCommands executes commands on a machine and returns the starts.
func (h *fakeWorkers) executeCommands(m string, commands []wire.Command) (starts []wire.Command) {
	for _, c := range commands {
		switch c.Op {
		case wire.OpStart:
			if !slices.ContainsFunc(h.taskStatuses[m], func(t wire.TaskStatus) bool { return t.Task == c.Task && t.Attempt == c.Attempt }) {
				starts = append(starts, c)
				h.taskStatuses[m] = append(h.taskStatuses[m], wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskFetching})
			}
		case wire.OpStop:
			h.stopGraces[c.Task] = *c.GraceS
		case wire.OpForget:
			h.taskStatuses[m] = slices.DeleteFunc(h.taskStatuses[m], func(t wire.TaskStatus) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
		}
	}
	return starts
}

// heartbeatOf returns the next heartbeat of a machine.
func (h *fakeWorkers) heartbeatOf(m string) *wire.Heartbeat {
	r := newHeartbeat(m, 1, h.seqs[m], h.latestToken(m), h.taskStatuses[m]...)
	r.Spot = m == h.spotMachine
	return r
}

// sendHeartbeat sends a machine's heartbeat and executes the commands of the reply.
func (h *fakeWorkers) sendHeartbeat(m string) []wire.Command {
	h.seqs[m]++
	reply, _ := h.Heartbeat(h.now, h.heartbeatOf(m))
	return h.executeCommands(m, reply.Commands)
}

// setStates sets the state of all tasks of a machine and sends its heartbeat.
func (h *fakeWorkers) setStates(m string, state wire.TaskState, cause wire.ExitCause) []wire.Command {
	for i := range h.taskStatuses[m] {
		h.taskStatuses[m][i].State, h.taskStatuses[m][i].Cause = state, cause
	}
	return h.sendHeartbeat(m)
}

// advanceWithHeartbeats advances the time while all machines send heartbeats, and returns
// the starts.
func (h *fakeWorkers) advanceWithHeartbeats(d time.Duration) (starts []wire.Command) {
	for end := h.now.Add(d); h.now.Before(end); {
		starts = append(starts, h.applyActions(h.advance(250*time.Millisecond))...)
		for _, m := range slices.Sorted(func(yield func(string) bool) {
			for m := range h.seqs {
				if !yield(m) {
					return
				}
			}
		}) {
			starts = append(starts, h.sendHeartbeat(m)...)
		}
	}
	return starts
}

func gangJob(id string, tasks int, shard string) *records.Job {
	j := arrayJob(id, tasks, shard)
	j.Spec.Kind, j.Spec.Spot, j.Spec.CheckpointIntervalS, j.Spec.CheckpointSaveS, j.Spec.OneZone = wire.KindGang, false, 20, 3, true
	return j
}

// A gang starts as a whole, under one attempt number, or not at all.
func TestGangStartsAsAWholeOrNotAtAll(t *testing.T) {
	h := newFakeWorkers(newTestOwner(nil), "m-1", "m-2")
	h.submit(gangJob("run-1", 10, "a")) // tasks of 2 CPUs, on machines of 8 CPUs
	if s := h.advanceWithHeartbeats(3 * time.Second); len(s) != 0 {
		t.Fatalf("%d tasks of a gang started where 8 of 10 fit", len(s))
	}
	h.bringUp("m-3")
	h.seqs["m-3"] = 10
	s := h.advanceWithHeartbeats(time.Second)
	if len(s) != 10 {
		t.Fatalf("%d of 10 tasks started", len(s))
	}
	for _, c := range s {
		if c.Attempt != s[0].Attempt {
			t.Fatalf("attempts %d and %d in one gang", c.Attempt, s[0].Attempt)
		}
	}
}

// Two gangs that do not fit together never hold half of the capacity each. Arrays do not
// take capacity that becomes free while a gang waits.
func TestGangsDoNotStarve(t *testing.T) {
	h := newFakeWorkers(newTestOwner(nil), "m-1", "m-2")
	h.submit(arrayJob("run-1", 6, "a"))
	first := h.advanceWithHeartbeats(time.Second)
	if len(first) != 6 {
		t.Fatalf("%d array tasks started", len(first))
	}
	for m := range h.seqs {
		h.setStates(m, wire.TaskRunning, "")
	}
	h.submit(gangJob("run-2", 8, "a"))
	h.submit(gangJob("run-3", 8, "a"))
	h.submit(arrayJob("run-4", 20, "a"))
	started := map[string]int{}
	count := func(s []wire.Command) {
		for _, c := range s {
			job, _, _ := wire.ParseTaskName(c.Task)
			started[job]++
		}
	}
	count(h.advanceWithHeartbeats(2 * time.Second))
	for _, m := range []string{"m-1", "m-2"} {
		count(h.setStates(m, wire.TaskExited, wire.CauseDone))
		count(h.advanceWithHeartbeats(2 * time.Second))
	}
	if started["run-2"]+started["run-3"] != 8 || started["run-2"]*started["run-3"] != 0 {
		t.Fatalf("of two gangs of 8 tasks each, these tasks started: %v", started)
	}
}

// A task that is lost before its gang runs is replaced under the same attempt number.
// After the gang has run, the other tasks are stopped at once. Nothing then starts
// before all of them are gone, and the new start has another attempt number.
func TestGangLosesATask(t *testing.T) {
	for _, hasRun := range []bool{false, true} {
		h := newFakeWorkers(newTestOwner(nil), "m-1", "m-2", "m-3")
		h.submit(gangJob("run-1", 6, "a"))
		s := h.advanceWithHeartbeats(time.Second)
		if len(s) != 6 {
			t.Fatalf("%d of 6 tasks started", len(s))
		}
		lost, other := "", ""
		for _, m := range []string{"m-1", "m-2", "m-3"} {
			if len(h.taskStatuses[m]) == 2 {
				lost = m
			} else if len(h.taskStatuses[m]) == 4 {
				other = m
			}
		}
		if hasRun {
			h.setStates(lost, wire.TaskRunning, "")
			h.setStates(other, wire.TaskRunning, "")
		}
		delete(h.seqs, lost)
		h.ScaleInResult(h.now, []string{lost})
		restarted := h.advanceWithHeartbeats(2 * time.Second)
		if !hasRun {
			if len(restarted) != 2 || restarted[0].Attempt != s[0].Attempt || restarted[1].Attempt != s[0].Attempt {
				t.Fatalf("replaced by %v, want two under %d", restarted, s[0].Attempt)
			}
			continue
		}
		if len(restarted) != 0 {
			t.Fatalf("%v started while the old attempt is on a machine", restarted)
		}
		if len(h.stopGraces) != 4 || h.stopGraces["run-1/0"] != 0 {
			t.Fatalf("stops %v, want four without time for a checkpoint", h.stopGraces)
		}
		h.setStates(other, wire.TaskExited, wire.CauseGangPeerLost)
		restarted = h.advanceWithHeartbeats(3 * time.Second)
		if len(restarted) != 6 || restarted[0].Attempt == s[0].Attempt {
			t.Fatalf("restarted %v after attempt %d", restarted, s[0].Attempt)
		}
		if h.machines[other].avoidUntil.After(h.now) || h.jobs["run-1"].failedMachines != nil {
			t.Fatal("the end of a gang's attempt counts as a failure of a machine or of the job")
		}
	}
}

// A new owner adopts the running attempt of a gang, and neither stops that attempt nor
// starts another. One task that is done makes the gang done, and the owner closes the
// assignment.
func TestNewOwnerFindsGang(t *testing.T) {
	j := gangJob("run-1", 4, "a")
	old := uint64(4)<<constants.AttemptBits | 7
	h := newFakeWorkers(newTestOwner(map[string]*records.Job{"run-1": j},
		records.Machine{Name: "m-1", Type: "box", Addr: "m-1:1"}, records.Machine{Name: "m-2", Type: "box", Addr: "m-2:1"}))
	for i := range 4 {
		m := fmt.Sprintf("m-%d", 1+i%2)
		h.seqs[m] = 10
		h.taskStatuses[m] = append(h.taskStatuses[m], wire.TaskStatus{Task: wire.TaskName("run-1", i), Attempt: old, State: wire.TaskRunning})
	}
	if s := h.advanceWithHeartbeats(10 * time.Second); len(s) > 0 || len(h.stopGraces) > 0 {
		t.Fatalf("started %v and stopped %v of a healthy gang", s, h.stopGraces)
	}
	delete(h.seqs, "m-1") // the machine is lost while the gang completes
	h.ScaleInResult(h.now, []string{"m-1"})
	h.taskStatuses["m-2"][0].State, h.taskStatuses["m-2"][0].Cause = wire.TaskExited, wire.CauseDone
	h.taskStatuses["m-2"][1].State, h.taskStatuses["m-2"][1].Cause = wire.TaskExited, wire.CauseDone
	if s := h.advanceWithHeartbeats(10 * time.Second); len(s) > 0 {
		t.Fatalf("%v started although the gang is done", s)
	}
	if h.jobs["run-1"] != nil {
		t.Fatal("a gang that is done was not closed")
	}
}

// A spot notice stops a whole gang: all its tasks at the same time, with time for a
// checkpoint.
func TestSpotNoticeStopsWholeGang(t *testing.T) {
	h := newFakeWorkers(newTestOwner(nil), "m-1", "m-2")
	h.submit(gangJob("run-1", 6, "a"))
	h.advanceWithHeartbeats(time.Second)
	for m := range h.seqs {
		h.setStates(m, wire.TaskRunning, "")
	}
	left := 14.0
	h.seqs["m-1"]++
	heartbeat := newHeartbeat("m-1", 1, h.seqs["m-1"], h.latestToken("m-1"), h.taskStatuses["m-1"]...)
	heartbeat.NoticeS = &left
	h.Heartbeat(h.now, heartbeat)
	if h.applyActions(h.advance(200 * time.Millisecond)); len(h.stopGraces) != 6 {
		t.Fatalf("%d of 6 tasks were stopped together", len(h.stopGraces))
	}
	for task, grace := range h.stopGraces {
		if grace < 3 {
			t.Fatalf("%s has a grace period of %g s", task, grace)
		}
	}
}

// A cancelled gang stops at once, without time for a checkpoint, even if the gang is
// already saving one.
func TestCancelledGangEndsAtOnce(t *testing.T) {
	h := newFakeWorkers(newTestOwner(nil), "m-1", "m-2")
	j := gangJob("run-1", 6, "a")
	h.submit(j)
	h.advanceWithHeartbeats(time.Second)
	for m := range h.seqs {
		h.setStates(m, wire.TaskRunning, "")
	}
	h.stopGangWithCheckpoint(h.jobs["run-1"], "test")
	h.advanceWithHeartbeats(time.Second)
	if len(h.stopGraces) != 6 || h.stopGraces["run-1/0"] < 3 {
		t.Fatalf("stops %v, want six with time for a checkpoint", h.stopGraces)
	}
	for m := range h.seqs {
		h.setStates(m, wire.TaskSaving, "")
	}
	end := j.Clone()
	end.End = wire.JobCancelled
	h.submit(end)
	h.advanceWithHeartbeats(time.Second)
	for task, grace := range h.stopGraces {
		if grace != 0 {
			t.Fatalf("%s has a grace period of %g s after its job's cancellation", task, grace)
		}
	}
}

// Machines are reserved only for a gang that may run on them: machines of the gang's
// types, and spot machines only if the gang allows them.
func TestMachinesReservedForGangsAreEligible(t *testing.T) {
	h := newFakeWorkers(newTestOwner(nil), "m-1", "m-2")
	h.spotMachine = "m-1"
	h.advanceWithHeartbeats(time.Second)
	h.submit(arrayJob("run-1", 8, "a"))
	h.advanceWithHeartbeats(time.Second)
	h.submit(gangJob("run-2", 4, "a"))
	h.advanceWithHeartbeats(time.Second)
	if !h.machines["m-1"].spot || h.machines["m-1"].reservedForGangs || !h.machines["m-2"].reservedForGangs {
		t.Fatalf("reserved: spot %v, on-demand %v; want the on-demand machine", h.machines["m-1"].reservedForGangs, h.machines["m-2"].reservedForGangs)
	}
}

// The share of a gang that spans shards is stopped and offloaded as a whole in two
// cases: a new owner finds that the attempt number is used up, or another shard has
// offloaded its share. No task would start under that number any more.
func TestGangShareIsOffloaded(t *testing.T) {
	job := func() *records.Job {
		j := gangJob("run-1", 4, "a")
		j.Spec.OneZone, j.Spec.Spread, j.Attempt = false, true, 1
		j.Assignments = []records.Assignment{{From: 0, To: 2, Shard: "a", KeepWaiting: true}, {From: 2, To: 4, Shard: "b", KeepWaiting: true}}
		return j
	}
	isOffloaded := func(h *fakeWorkers) bool { return h.jobs["run-1"] == nil }

	h := newFakeWorkers(newTestOwner(map[string]*records.Job{"run-1": job()}, records.Machine{Name: "m-1", Type: "box", Addr: "m-1:1"}))
	h.seqs["m-1"] = 10
	h.taskStatuses["m-1"] = []wire.TaskStatus{{Task: "run-1/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseGangPeerLost}}
	if s := h.advanceWithHeartbeats(5 * time.Second); len(s) > 0 || !isOffloaded(h) {
		t.Fatalf("attempt number used up: started %v, offloaded %v", s, isOffloaded(h))
	}

	h = newFakeWorkers(newTestOwner(nil), "m-1")
	h.submit(job())
	if s := h.advanceWithHeartbeats(time.Second); len(s) != 2 || s[0].Attempt != 1 {
		t.Fatalf("started %v, want two tasks under the leader's number", s)
	}
	h.setStates("m-1", wire.TaskWaitingForGang, "")
	ownShare := job()
	ownShare.Assignments = ownShare.Assignments[:1]
	h.submit(ownShare)
	h.advanceWithHeartbeats(time.Second)
	if len(h.stopGraces) != 2 {
		t.Fatalf("stops %v, want both tasks of the share", h.stopGraces)
	}
	h.setStates("m-1", wire.TaskExited, wire.CauseStopped)
	if s := h.advanceWithHeartbeats(5 * time.Second); len(s) > 0 || !isOffloaded(h) {
		t.Fatalf("other share offloaded: started %v, offloaded %v", s, isOffloaded(h))
	}
}
