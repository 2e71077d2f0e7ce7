package shard

import (
	"testing"
	"time"

	"ravenport/records"
	"ravenport/wire"
)

// An owner whose authority has ended goes on answering heartbeats for the lease extension.
// On a generated day (TestRulesHoldWithDetection with more faults, 1 of 1,425 plays broke
// ran_cancelled) it so renewed the lease of a machine whose task it knew as cancelled, and
// gave no command: "heartbeat answered status 200, reply carried out" with the cancelled task
// listed as running and no stop, 11 s after "cancellation confirmed"; then the machine hung,
// and stayed so until cancel_s was over. A cancellation is stored before anybody is told and
// is final, so its stop needs no authority.

// cancelledWithoutAuthority is an owner without authority, in its lease extension, with tasks
// of two jobs that run on one machine; the first job was cancelled.
func cancelledWithoutAuthority(t *testing.T, cancel func(*rig, *records.Job)) (*rig, []wire.TaskStatus) {
	t.Helper()
	job, other := arrayJob("run-1", 1, "a"), arrayJob("run-2", 2, "a")
	r := newRig(map[string]*records.Job{"run-1": job, "run-2": other})
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
	for name, cancel := range map[string]func(*rig, *records.Job){
		"told by another controller": func(r *rig, job *records.Job) { r.ApplyCancellation(job.ID) },
		"shown by the feed": func(r *rig, job *records.Job) {
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
					t.Errorf("commands %+v, wanted the stop of run-1/0 alone", reply.Commands)
				}
				r.now = r.now.Add(time.Second)
			}
			if acts := r.Step(r.now); len(acts) > 0 {
				t.Errorf("actions without authority: %v", acts)
			}
		})
	}
}

// Nothing else is done without authority: what exited is not forgotten, and a task of a job
// that is done or unknown is not stopped.
func TestNothingElseIsCommandedWithoutAuthority(t *testing.T) {
	r, tasks := cancelledWithoutAuthority(t, func(r *rig, job *records.Job) { r.ApplyCancellation(job.ID) })
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
