package shard

import (
	"slices"
	"testing"
	"time"

	"ravenport/constants"
	"ravenport/records"
)

// terminatedMachines lists the machines that actions ask the cloud to terminate.
func terminatedMachines(actions []Action) []string {
	var names []string
	for _, a := range actions {
		if r, ok := a.(ScaleIn); ok {
			names = append(names, r.Names...)
		}
	}
	return names
}

// machinesWrittenAsTerminating lists the machines that the inventory pages written by actions
// mark as terminating.
func machinesWrittenAsTerminating(t *testing.T, actions []Action) []string {
	t.Helper()
	var names []string
	for _, a := range actions {
		cm, ok := a.(Commit)
		if !ok {
			continue
		}
		for _, ch := range cm.Txn.Changes {
			record, err := records.Decode(ch.Put, ch.Value)
			if err != nil {
				t.Fatal(err)
			}
			if page, ok := record.(*records.InventoryPage); ok {
				for _, m := range page.Machines() {
					if m.Terminating {
						names = append(names, m.Name)
					}
				}
			}
		}
	}
	return names
}

// An idle machine is terminated only after the write that marks it as terminating has
// succeeded, however often the write fails before. The machine gets no task once its
// termination is decided.
func TestMachineIsMarkedBeforeScaleIn(t *testing.T) {
	r := newTestOwner(nil)
	r.cfg.CloseBeforeScaleIn, r.cfg.SpotIdleTimeout, r.cfg.OnDemandIdleTimeout = true, 10*time.Second, 10*time.Second
	r.bringUpFleet(3)
	marked, refused := 0, 0
	for range 200 {
		r.now = r.now.Add(300 * time.Millisecond)
		for name := range r.machines {
			r.Heartbeat(r.now, newHeartbeat(name, 1, uint64(10+r.now.UnixMilli()), r.latestToken(name)))
		}
		actions := r.Step(r.now)
		if names := terminatedMachines(actions); len(names) > 0 && marked == 0 {
			t.Fatalf("%v terminated before they were durably marked as terminating", names)
		}
		if names := machinesWrittenAsTerminating(t, actions); len(names) > 0 {
			if refused < 3 { // the write fails, so no machine may be terminated
				refused++
				r.CommitResult(r.now, CommitID{kind: commitInventory}, 0)
				continue
			}
			marked = len(names)
			r.commitAll(actions)
			r.submit(arrayJob("run-1", 8, "a")) // no machine may take the tasks of a job that arrives now
		}
		for _, m := range r.machines {
			if m.terminationMark.decided && len(m.attempts) > 0 {
				t.Fatalf("%s got a task after its termination was decided", m.name)
			}
		}
	}
	if refused < 3 || marked == 0 {
		t.Errorf("%d writes refused, want 3; %d machines marked as terminating, want some", refused, marked)
	}
}

// A new owner that reads that a machine is marked as terminating places no tasks on the
// machine, although the machine has free capacity and sends heartbeats. The new owner
// requests the termination from the cloud itself, whether or not Config.CloseBeforeScaleIn
// is set for it.
func TestNextOwnerContinuesTermination(t *testing.T) {
	for _, closeBeforeScaleIn := range []bool{true, false} {
		r := newTestOwner(nil, records.Machine{Name: "m-1", Type: "box", Addr: "m-1", Terminating: true}, records.Machine{Name: "m-2", Type: "box", Addr: "m-2"})
		r.cfg.CloseBeforeScaleIn = closeBeforeScaleIn
		r.submit(arrayJob("run-1", 16, "a"))
		var terminated []string
		for i := range 40 {
			r.now = r.now.Add(300 * time.Millisecond)
			for _, name := range []string{"m-1", "m-2"} {
				if r.machines[name] != nil {
					r.Heartbeat(r.now, newHeartbeat(name, 1, uint64(1+i), r.term<<constants.TokenCounterBits))
				}
			}
			actions := r.Step(r.now)
			terminated = append(terminated, terminatedMachines(actions)...)
			r.commitAll(actions)
		}
		if !slices.Contains(terminated, "m-1") || slices.Contains(terminated, "m-2") {
			t.Errorf("CloseBeforeScaleIn %v: the owner terminated %v, want m-1 and not m-2", closeBeforeScaleIn, terminated)
		}
		if n := len(r.machines["m-1"].attempts); n > 0 {
			t.Errorf("%d tasks on a machine that is marked as terminating", n)
		}
		if len(r.machines["m-2"].attempts) == 0 {
			t.Error("no task was placed on m-2")
		}
	}
}
