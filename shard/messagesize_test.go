package shard

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// maxMessageBytes is the protocol's limit on a request's body and on a line of a response.
const maxMessageBytes = 64 << 10

// encodedBytes returns the size of a message (bytes).
func encodedBytes(t *testing.T, message any) int {
	t.Helper()
	encoded, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return len(encoded)
}

// The bound on the size of a task's entry holds for the longest commands and statuses.
func TestTaskEntriesFitTheirBound(t *testing.T) {
	grace := 12345.678901
	for _, name := range []string{"run-000412/0", "run-000412/99999", "run-a-very-long-name-of-a-job-that-somebody-chose/99999"} {
		for _, entry := range []any{
			wire.Command{Op: wire.OpStop, Task: name, Attempt: math.MaxUint64, GraceS: &grace},
			wire.TaskStatus{Task: name, Attempt: math.MaxUint64, State: wire.TaskExited, Cause: wire.CauseUnknownTask, Checkpointed: true},
			wire.TaskStatus{Task: name, Attempt: math.MaxUint64, State: wire.TaskWaitingForGang},
		} {
			if got, bound := encodedBytes(t, entry)+len(","), taskEntryBytes(len(name)); got > bound {
				t.Errorf("%+v takes %d bytes, bound %d", entry, got, bound)
			}
		}
	}
}

// smallTaskFleet is a shard of large machines that run many small tasks, each for a fixed time.
// It checks the size of every message.
type smallTaskFleet struct {
	*fakeWorkers
	t        *testing.T
	runTime  time.Duration        // of a task, unless uneven is set
	uneven   bool                 // tasks run for one to eleven times runTime
	seenAt   map[string]time.Time // by task: when the machine first listed the task
	finished map[string]bool
	largest  int // size of the largest message (bytes)
}

func newSmallTaskFleet(t *testing.T, runTime time.Duration, machines ...string) *smallTaskFleet {
	r := newTestOwner(nil)
	r.SetTypes([]wire.MachineType{{Name: "box", CPUs: 96, MemoryGB: 768, Price: 1, SpotPrice: 0.4, BootS: 10, Zones: []string{"a"}}})
	return &smallTaskFleet{fakeWorkers: newFakeWorkers(r, machines...), t: t, runTime: runTime, seenAt: map[string]time.Time{}, finished: map[string]bool{}}
}

// run simulates the shard for a duration.
func (f *smallTaskFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		actions := f.advance(250 * time.Millisecond)
		for _, a := range actions {
			switch a := a.(type) {
			case SendCommands:
				f.check(a.Request)
			case ScaleOut: // the cloud has no more machines
				f.ScaleOutResult(f.now, a.Request.RequestID, nil, true)
			}
		}
		f.applyActions(actions)
		for m := range f.seqs {
			f.finishTasks(m)
			f.seqs[m]++
			status := f.heartbeatOf(m)
			f.check(status)
			reply, err := f.Heartbeat(f.now, status)
			if err != nil {
				f.t.Fatal(err)
			}
			f.check(reply)
			f.executeCommands(m, reply.Commands)
		}
	}
}

// finishTasks ends the tasks of a machine that have run for long enough.
func (f *smallTaskFleet) finishTasks(m string) {
	for i := range f.taskStatuses[m] {
		status := &f.taskStatuses[m][i]
		if f.seenAt[status.Task].IsZero() {
			f.seenAt[status.Task] = f.now
		}
		if f.now.Sub(f.seenAt[status.Task]) >= f.runTimeOf(status.Task) {
			status.State, status.Cause = wire.TaskExited, wire.CauseDone
			f.finished[status.Task] = true
		}
	}
}

// runTimeOf returns how long a task runs.
func (f *smallTaskFleet) runTimeOf(task string) time.Duration {
	if _, index, ok := wire.ParseTaskName(task); ok && f.uneven {
		return f.runTime * time.Duration(1+index*37%11)
	}
	return f.runTime
}

// check checks the size of a message.
func (f *smallTaskFleet) check(message any) {
	f.t.Helper()
	size := encodedBytes(f.t, message)
	f.largest = max(f.largest, size)
	if size > maxMessageBytes {
		f.t.Fatalf("a message has %d bytes, %d are allowed: %T", size, maxMessageBytes, message)
	}
}

// smallArray returns an array of small tasks, of which about 1,900 would fit on a machine by
// their resources.
func smallArray(i, tasks int) *records.Job {
	job := arrayJob(fmt.Sprintf("run-%06d", 200+i), tasks, "a")
	job.Spec.CPUs, job.Spec.MemoryGB = 0.05, 0.3
	return job
}

// The starts of many small tasks were sent to one machine in one message above the protocol's
// limit, which the machine refused, again and again. Here they are started in parts, on as many
// machines as their heartbeats have room for, and all of them run.
func TestManySmallTasksRun(t *testing.T) {
	f := newSmallTaskFleet(t, 20*time.Second, "m-1", "m-2")
	const arrays, tasks = 3, 600
	for i := range arrays {
		f.submit(smallArray(i, tasks))
	}
	f.run(5 * time.Second)
	if started := len(f.seenAt); started < arrays*tasks/2 {
		t.Errorf("%d of %d tasks were started on two machines within 5 s", started, arrays*tasks)
	}
	f.run(90 * time.Second)
	if len(f.finished) != arrays*tasks {
		t.Errorf("%d of %d tasks were done", len(f.finished), arrays*tasks)
	}
	if f.largest < maxMessageBytes/4 {
		t.Errorf("the largest message had %d bytes: the test proves nothing", f.largest)
	}
}

// The finished tasks of an assignment stay in a machine's heartbeats until the assignment is
// closed. They must not keep the assignment's other tasks from running, which would never find
// room then.
func TestFinishedTasksLeaveRoomForWaitingOnes(t *testing.T) {
	const tasks = 2000
	for _, uneven := range []bool{false, true} {
		f := newSmallTaskFleet(t, 2*time.Second, "m-1")
		f.uneven = uneven
		f.submit(smallArray(0, tasks))
		f.run(4 * time.Minute)
		if len(f.finished) != tasks {
			t.Errorf("uneven %v: %d of %d tasks of one assignment were done", uneven, len(f.finished), tasks)
		}
		if j := f.jobs["run-000200"]; j != nil && j.record.End != wire.JobDone {
			t.Errorf("uneven %v: the job is not done: %+v", uneven, j.record.Assignments)
		}
	}
}

// The stops of more attempts than one message has room for, which an owner of the previous
// version may have started, are sent in parts: by direct commands, in replies, and by an owner
// without authority.
func TestStopsOfCrowdedMachineAreSentInParts(t *testing.T) {
	const tasks = 1000
	for _, withAuthority := range []bool{true, false} {
		f := newSmallTaskFleet(t, time.Hour, "m-1")
		f.cfg.LeaseExtension = time.Hour
		f.submit(smallArray(0, tasks))
		for i := range tasks {
			f.taskStatuses["m-1"] = append(f.taskStatuses["m-1"], wire.TaskStatus{Task: wire.TaskName("run-000200", i), Attempt: uint64(1 + i), State: wire.TaskRunning})
		}
		f.seqs["m-1"]++
		f.Heartbeat(f.now, f.heartbeatOf("m-1"))
		f.ApplyCancellation("run-000200")
		if !withAuthority {
			f.SetAuthority(f.now)
		}
		stopped := map[string]bool{}
		for range 20 {
			actions := f.advance(time.Second)
			for _, a := range actions {
				if s, ok := a.(SendCommands); ok {
					f.check(s.Request)
				}
			}
			f.applyActions(actions)
			f.seqs["m-1"]++
			reply, err := f.Heartbeat(f.now, f.heartbeatOf("m-1"))
			if err != nil {
				t.Fatal(err)
			}
			f.check(reply)
			f.executeCommands("m-1", reply.Commands)
			for i := range f.taskStatuses["m-1"] {
				status := &f.taskStatuses["m-1"][i]
				if _, ok := f.stopGraces[status.Task]; ok {
					status.State, status.Cause = wire.TaskExited, wire.CauseStopped
					stopped[status.Task] = true
				}
			}
		}
		if len(stopped) != tasks {
			t.Errorf("authority %v: %d of %d tasks were stopped", withAuthority, len(stopped), tasks)
		}
	}
}

// A machine's heartbeats have room for as many tasks as the deployments run on one machine.
func TestUsualMachinesAreNotCrowded(t *testing.T) {
	const tasksOfUsualMachine = 64 // of 0.25 CPUs on 16 CPUs
	usual := float64(tasksOfUsualMachine * taskEntryBytes(len("run-000412/99999")))
	if limit := constants.CrowdedStatusShare * constants.MaxTaskEntriesBytes; usual > limit {
		t.Errorf("%d tasks take %g bytes, a machine counts as crowded from %g", tasksOfUsualMachine, usual, limit)
	}
}
