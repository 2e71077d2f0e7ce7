package shard

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// terminationCase is a machine whose termination the cloud has confirmed, and a status that
// the machine sent before, which lists the task that ran on the machine.
type terminationCase struct {
	*testOwner
	machine    string
	lateStatus *wire.Heartbeat
}

// newTerminationCase starts a job on one of two machines and confirms the termination of that
// machine. The write that removes the machine from the inventory is not committed yet.
func newTerminationCase(t *testing.T, job *records.Job) terminationCase {
	t.Helper()
	r := newTestOwner(nil)
	r.bringUp("m-1")
	r.bringUp("m-2")
	r.submit(job)
	r.advance(constants.MinOwnerStepInterval)
	attempt := r.onlyAttempt(t, job.ID)
	name := attempt.machine.name
	running := wire.TaskStatus{Task: attempt.key.task, Attempt: attempt.key.number, State: wire.TaskRunning}
	if _, err := r.Heartbeat(r.now, newHeartbeat(name, 1, 10, r.latestToken(name), running)); err != nil {
		t.Fatal(err)
	}
	c := terminationCase{r, name, newHeartbeat(name, 1, 11, r.latestToken(name), running)}
	r.ScaleInResult(r.now, []string{name})
	return c
}

// onlyAttempt returns the attempt of the only task of a job.
func (r *testOwner) onlyAttempt(t *testing.T, jobID string) *attempt {
	t.Helper()
	attempts := r.attemptsByTask[taskKey{jobID, 0}]
	if len(attempts) != 1 {
		t.Fatalf("%d attempts of %s, want 1", len(attempts), jobID)
	}
	return attempts[0]
}

// attemptOnUnknownMachine returns an attempt on a machine that is terminated or not known, or
// nil. Nothing would ever end such an attempt.
func (r *testOwner) attemptOnUnknownMachine() *attempt {
	for _, attempts := range r.attemptsByTask {
		for _, a := range attempts {
			if r.machines[a.machine.name] != a.machine || a.machine.leavingInventory {
				return a
			}
		}
	}
	return nil
}

// A task stayed on a terminated machine for ever, and was never started again, if a late
// message of the machine came between the confirmation of the termination and the write that
// removed the machine from the inventory.
func TestLateMessageOfTerminatedMachineIsIgnored(t *testing.T) {
	deliveries := []struct {
		name    string
		deliver func(c terminationCase)
	}{
		{"reply to a direct command", func(c terminationCase) { c.CommandResult(c.now, c.machine, c.lateStatus) }},
		{"reply of a later epoch", func(c terminationCase) {
			c.lateStatus.Epoch++
			c.CommandResult(c.now, c.machine, c.lateStatus)
		}},
		{"heartbeat", func(c terminationCase) { c.Heartbeat(c.now, c.lateStatus) }},
		{"heartbeat to another controller", func(c terminationCase) {
			c.ApplyMisroutedHeartbeats(c.now, []MisroutedHeartbeat{{Machine: c.machine, Epoch: 1, Seq: 11}}, true)
			c.CommandResult(c.now, c.machine, c.lateStatus)
		}},
		{"heartbeat after the termination was forgotten", func(c terminationCase) {
			c.now = c.now.Add(2 * constants.TerminatedMachineRetention)
			c.ApplyMachineList(c.now, nil)
			c.Heartbeat(c.now, c.lateStatus)
		}},
		{"stale inventory page and reply", func(c terminationCase) {
			page := &records.InventoryPage{Shard: "a"}
			page.Add(records.Machine{Name: c.machine, Type: "box", Addr: c.machine + ":1"})
			c.version++
			c.Apply(c.now, records.Change{Key: records.KeyInventory("a", 0), Version: c.version, Record: page})
			c.CommandResult(c.now, c.machine, c.lateStatus)
		}},
	}
	jobs := map[string]func() *records.Job{
		"array": func() *records.Job { return arrayJob("run-1", 1, "a") },
		"service": func() *records.Job {
			job := arrayJob("run-1", 1, "a")
			job.Spec.Kind, job.Spec.Spot, job.Spec.EstimateS = wire.KindService, false, 0
			return job
		},
		"gang": func() *records.Job {
			job := arrayJob("run-1", 1, "a")
			job.Spec.Kind = wire.KindGang
			return job
		},
	}
	for kind, newJob := range jobs {
		for _, delivery := range deliveries {
			t.Run(kind+"/"+delivery.name, func(t *testing.T) {
				c := newTerminationCase(t, newJob())
				delivery.deliver(c)
				if a := c.attemptOnUnknownMachine(); a != nil {
					t.Errorf("%s counts as %s on %s, which is terminated", a.key.task, a.state, a.machine.name)
				}
				c.expectRestart(t)
			})
		}
	}
}

// expectRestart checks that the job's task is started on the other machine once the terminated
// machine has left the inventory.
func (c terminationCase) expectRestart(t *testing.T) {
	t.Helper()
	other := "m-1"
	if c.machine == other {
		other = "m-2"
	}
	seq := uint64(100)
	for range 20 {
		c.now = c.now.Add(time.Second)
		seq++
		c.SetAuthority(c.now.Add(time.Hour))
		c.Heartbeat(c.now, newHeartbeat(other, 1, seq, c.latestToken(other)))
		c.commitAll(c.Step(c.now))
	}
	if c.machines[c.machine] != nil {
		t.Errorf("%s is still known", c.machine)
	}
	if a := c.attemptOnUnknownMachine(); a != nil {
		t.Errorf("%s counts as %s on %s, which is gone", a.key.task, a.state, a.machine.name)
	}
	if a := c.onlyAttempt(t, "run-1"); a.machine.name != other {
		t.Errorf("the task is on %s, want %s", a.machine.name, other)
	}
}

// A machine that a repeated scale-out response names after its termination counted as booting
// until the limit on boot times.
func TestTerminatedMachineDoesNotBootAgain(t *testing.T) {
	r := newTestOwner(nil)
	r.requestScaleOut(r.now, machineKind{"box", false}, 1)
	var request string
	for id := range r.pendingScaleOuts {
		request = id
	}
	r.bringUp("m-1")
	r.ScaleInResult(r.now, []string{"m-1"})
	r.commitAll(r.advance(10 * time.Second))
	r.ScaleOutResult(r.now, request, []string{"m-1"}, false)
	if m := r.machines["m-1"]; m != nil {
		t.Errorf("m-1 is known again, pending: %v", r.isPendingMachine(r.now, m))
	}
}

// A machine that stopped by itself, and that the owner knew only from the cloud's list, was
// adopted when a late heartbeat of it came after its termination: its tasks counted as running
// until its lease had surely expired.
func TestTerminationOfUnknownMachineIsRemembered(t *testing.T) {
	r := newTestOwner(nil)
	r.bringUp("m-1")
	r.submit(arrayJob("run-1", 1, "b")) // of another shard
	r.ApplyMachineList(r.now, []wire.CloudMachine{{Name: "m-2", Zone: "a", Type: "box", State: wire.MachineFailed, AgeS: 60}})
	if names := terminatedMachines(r.Step(r.now)); !slices.Equal(names, []string{"m-2"}) {
		t.Fatalf("terminated %v, want m-2", names)
	}
	r.ScaleInResult(r.now, []string{"m-2"})
	late := newHeartbeat("m-2", 1, 11, 0, wire.TaskStatus{Task: "run-1/0", Attempt: 7, State: wire.TaskRunning})
	if _, err := r.Heartbeat(r.now, late); !errors.Is(err, ErrMachineTerminated) {
		t.Errorf("error %v, want %v", err, ErrMachineTerminated)
	}
	if r.machines["m-2"] != nil {
		t.Error("m-2 is known again")
	}
}

// With any order of heartbeats, replies to direct commands, terminations and inventory writes,
// some of them late, every attempt is on a known machine that is not terminated. An attempt on
// any other machine would never end, and its task would never be started again.
func TestAttemptsAreOnKnownMachines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const machines = 4
		r := newTestOwner(nil)
		for i := range machines {
			r.bringUp(fmt.Sprintf("m-%d", i))
		}
		for i := range 4 {
			r.submit(arrayJob(fmt.Sprintf("run-%d", i), 4, "a"))
		}
		var sent []*wire.Heartbeat // statuses that machines have sent, and that may arrive late
		var uncommitted []Action
		seq := uint64(10)
		for range rapid.IntRange(10, 80).Draw(t, "moves") {
			name := fmt.Sprintf("m-%d", rapid.IntRange(0, machines-1).Draw(t, "machine"))
			m := r.machines[name]
			switch move := rapid.IntRange(0, 5).Draw(t, "move"); {
			case move == 0 && m != nil && !m.leavingInventory: // a machine sends its status
				seq++
				status := newHeartbeat(name, 1, seq, r.latestToken(name))
				for _, a := range m.attempts {
					status.Tasks = append(status.Tasks, wire.TaskStatus{Task: a.key.task, Attempt: a.key.number, State: wire.TaskRunning})
				}
				sent = append(sent, status)
			case move == 1 && len(sent) > 0:
				status := rapid.SampledFrom(sent).Draw(t, "heartbeat")
				r.Heartbeat(r.now, status)
			case move == 2 && len(sent) > 0:
				status := rapid.SampledFrom(sent).Draw(t, "reply")
				r.CommandResult(r.now, status.Machine, status)
			case move == 3 && m != nil && rapid.Bool().Draw(t, "terminate"):
				r.ScaleInResult(r.now, []string{name})
			case move == 4 && len(uncommitted) > 0:
				r.commitAll(uncommitted)
				uncommitted = nil
			case move == 5:
				r.ApplyMachineList(r.now, []wire.CloudMachine{{Name: name, Zone: "a", Type: "box", State: wire.MachineBooting, AgeS: 60}})
			}
			uncommitted = append(uncommitted, slices.DeleteFunc(r.advance(constants.MinOwnerStepInterval), func(a Action) bool {
				_, isCommit := a.(Commit)
				return !isCommit
			})...)
			if a := r.attemptOnUnknownMachine(); a != nil {
				t.Fatalf("%s counts as %s on %s, which is gone", a.key.task, a.state, a.machine.name)
			}
		}
	})
}
