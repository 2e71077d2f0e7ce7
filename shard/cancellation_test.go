package shard

import (
	"testing"
	"time"

	"ravenport/records"
	"ravenport/wire"
)

// An owner whose authority has ended still answers heartbeats for the lease extension. These
// tests guard against a fault in which such an owner renewed the lease of a machine whose
// task it knew as cancelled, and sent no stop. In TestRulesHoldWithDetection with more
// faults, 1 of 1,425 generated scenarios violated the rule ran_cancelled: 11 s after
// "cancellation confirmed", the owner answered a heartbeat that listed the cancelled task as
// running with status 200, and the reply carried no stop. The machine then hung until
// cancel_s was over. A cancellation is stored before a controller confirms it and is final,
// so the owner needs no authority to stop the tasks.

// cancelledWithoutAuthority returns an owner without authority, in its lease extension, and
// the status of the tasks of two jobs that run on one machine. The first job was cancelled.
func cancelledWithoutAuthority(t *testing.T, cancel func(*testOwner, *records.Job)) (*testOwner, []wire.TaskStatus) {
	t.Helper()
	job, other := arrayJob("run-1", 1, "a"), arrayJob("run-2", 2, "a")
	r := newTestOwner(map[string]*records.Job{"run-1": job, "run-2": other})
	r.cfg.LeaseExtension = 15 * time.Second
	r.bringUp("m-0")
	for range 5 {
		r.commitAll(r.advance(time.Second))
		r.Heartbeat(r.now, newHeartbeat("m-0", 1, uint64(3+r.now.Unix()%1000), r.latestToken("m-0")))
	}
	var tasks []wire.TaskStatus
	for _, a := range r.machines["m-0"].attempts {
		tasks = append(tasks, wire.TaskStatus{Task: a.key.task, Attempt: a.key.number, State: wire.TaskRunning})
	}
	if len(tasks) != 3 {
		t.Fatalf("%d tasks were started", len(tasks))
	}
	r.Heartbeat(r.now, newHeartbeat("m-0", 1, 2000, r.latestToken("m-0"), tasks...))
	r.SetAuthority(r.now)
	r.now = r.now.Add(2 * time.Second)
	cancel(r, job)
	return r, tasks
}

func TestCancelledTasksAreStoppedWithoutAuthority(t *testing.T) {
	for name, cancel := range map[string]func(*testOwner, *records.Job){
		"reported by another controller": func(r *testOwner, job *records.Job) { r.ApplyCancellation(job.ID) },
		"read from the feed": func(r *testOwner, job *records.Job) {
			record := job.Clone()
			record.End = wire.JobCancelled
			r.submit(record)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, tasks := cancelledWithoutAuthority(t, cancel)
			for seq := uint64(2001); seq < 2003; seq++ { // the first reply may be lost
				reply, err := r.Heartbeat(r.now, newHeartbeat("m-0", 1, seq, r.latestToken("m-0"), tasks...))
				if err != nil {
					t.Fatal(err)
				}
				if len(reply.Commands) != 1 || reply.Commands[0].Op != wire.OpStop || reply.Commands[0].Task != "run-1/0" {
					t.Errorf("commands %+v, want only the stop of run-1/0", reply.Commands)
				}
				r.now = r.now.Add(time.Second)
			}
			if actions := r.Step(r.now); len(actions) > 0 {
				t.Errorf("actions without authority: %v", actions)
			}
		})
	}
}

// An owner without authority gives no other command: an exited attempt is not forgotten, and
// a task of a job that is done or unknown is not stopped.
func TestNothingElseIsCommandedWithoutAuthority(t *testing.T) {
	r, tasks := cancelledWithoutAuthority(t, func(r *testOwner, job *records.Job) { r.ApplyCancellation(job.ID) })
	tasks[0].State, tasks[0].Cause = wire.TaskExited, wire.CauseStopped
	tasks = append(tasks, wire.TaskStatus{Task: "run-9/0", Attempt: 7, State: wire.TaskRunning})
	reply, err := r.Heartbeat(r.now, newHeartbeat("m-0", 1, 2001, r.latestToken("m-0"), tasks...))
	if err != nil || len(reply.Commands) > 0 {
		t.Errorf("commands %+v, %v", reply.Commands, err)
	}
	r.now = r.now.Add(r.cfg.LeaseExtension)
	if _, err := r.Heartbeat(r.now, newHeartbeat("m-0", 1, 2002, r.latestToken("m-0"), tasks...)); err == nil {
		t.Error("a heartbeat is answered after the lease extension")
	}
}

// A stop without a reply is repeated with every probe of the machine. The test guards against
// a fault that 1 of 1,592 generated scenarios showed: the owner sent the stop in one direct
// command only, and the machine then carried out 3 delayed probes, none of which contained a
// command. The machine was partitioned from its owner for two seconds after the cancellation,
// and hung during an outage later.
func TestProbesRepeatStopsOfCancelledTasks(t *testing.T) {
	job := arrayJob("run-1", 1, "a")
	r := newTestOwner(map[string]*records.Job{"run-1": job})
	for _, name := range []string{"m-0", "m-1", "m-2"} {
		r.bringUp(name)
	}
	for seq := uint64(10); seq < 15; seq++ {
		r.commitAll(r.advance(time.Second))
		for _, name := range []string{"m-0", "m-1", "m-2"} {
			r.Heartbeat(r.now, newHeartbeat(name, 1, seq, r.latestToken(name)))
		}
	}
	a := r.jobs["run-1"].tasks[0].attempt
	name := a.machine.name
	running := wire.TaskStatus{Task: a.key.task, Attempt: a.key.number, State: wire.TaskRunning}
	r.CommandResult(r.now, name, newHeartbeat(name, 1, 19, r.latestToken(name), running))
	r.Heartbeat(r.now, newHeartbeat(name, 1, 20, r.latestToken(name), running))
	r.ApplyCancellation(job.ID)
	sent, stops := 0, 0
	for range 80 { // the machine sends no heartbeats, the others do
		for _, other := range []string{"m-0", "m-1", "m-2"} {
			if other != name {
				r.Heartbeat(r.now, newHeartbeat(other, 1, uint64(r.now.UnixMilli()), r.latestToken(other)))
			}
		}
		for _, action := range r.advance(100 * time.Millisecond) {
			command, ok := action.(SendCommands)
			if !ok || command.Machine != name {
				continue
			}
			sent++
			for _, c := range command.Request.Commands {
				if c.Op == wire.OpStop && c.Task == running.Task && c.Attempt == running.Attempt {
					stops++
				}
			}
			r.CommandResult(r.now, name, nil)
		}
	}
	if sent < 3 || stops != sent {
		t.Errorf("%d of %d direct commands carried the stop", stops, sent)
	}
}
