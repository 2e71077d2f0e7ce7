package shard

import (
	"testing"
	"time"

	"ravenport/disruption"
	"ravenport/drain"
	"ravenport/state"
	"ravenport/wire"
)

// withAccount has the rig's owner keep an account in which one task of a team may be down,
// with a service of three tasks that run on two machines.
func (r *rig) withAccount() *job {
	var budgets disruption.Budgets
	budgets.SetOthers(disruption.Amount{Tasks: 1})
	r.StartDraining(r.now, DrainingConfig{Shards: []string{"a"}, Budgets: budgets, Policy: drain.Policy{Stable: 5 * time.Second, ReplaceWithin: time.Minute, FailuresMost: 2, Parallel: 100}}, nil, nil)
	r.up("m-0")
	r.up("m-1")
	spec := wire.Submission{ID: "run-1", Team: "t", Class: "c", Kind: wire.KindService, Priority: wire.PriorityProduction, Tasks: 3, CPUs: 2, MemoryGB: 1, Image: "i"}
	r.submit(&state.Job{ID: spec.ID, Spec: spec, Assignments: []state.Assignment{{From: 0, To: 3, Shard: "a", Keep: true}}})
	r.write(r.wait(time.Second))
	r.serve(8 * time.Second)
	return r.jobs["run-1"]
}

// serve lets the machines report for a while: what they were started runs, and what
// they were told to stop has exited.
func (r *rig) serve(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.write(r.wait(250 * time.Millisecond))
		for _, m := range r.Core.fleet {
			var tasks []wire.TaskStatus
			for _, h := range m.holds {
				s := wire.TaskStatus{Task: h.key.task, Attempt: h.key.attempt, State: wire.TaskRunning}
				if h.stop || h.exited() {
					s.State, s.Cause = wire.TaskExited, wire.CauseStopped
				}
				tasks = append(tasks, s)
			}
			r.Report(r.now, report(m.name, 1, m.seq+1, r.token(m), tasks...))
		}
	}
}

// Consolidation moves a task only within a claim that is written, and no second one
// before the first has proved itself.
func TestConsolidationAsksTheAccount(t *testing.T) {
	r := newRig(nil)
	j := r.withAccount()
	first, second := j.tasks[0], j.tasks[1]
	if r.mayConsolidate(r.now, first) {
		t.Fatal("moved without a claim")
	}
	moved := false
	for i := 0; i < 40 && !moved; i++ {
		r.serve(250 * time.Millisecond) // the wish is written, if there is room for it
		moved = r.mayConsolidate(r.now, first)
	}
	if !moved {
		t.Fatal("never moved, though no other task is down")
	}
	if r.mayConsolidate(r.now, second) {
		t.Error("a second one is moved beside the first")
	}
	r.stopHold(first.hold)
	r.serve(2 * time.Second)
	if r.mayConsolidate(r.now, second) {
		t.Error("a second one is moved before the first has proved itself")
	}
}

// A drain leaves tasks alone that are about to come up, and moves them within the budget
// once they have: what an owner has just heard of counts as unavailable, but may have run
// for long. Guards against a takeover after which a machine's tasks were stopped all at once.
func TestDrainLeavesAloneWhatMayComeUp(t *testing.T) {
	r := newRig(nil)
	j := r.withAccount()
	r.up("m-2")
	for _, task := range j.tasks { // as if each had just been heard of, while it was fetched
		task.hold.runSince = r.now
	}
	spread := state.Drain{Number: 1, State: state.DrainRunning, Proven: true, Selection: state.Selection{Machines: []string{"m-0", "m-1"}}}
	r.Apply(r.now, state.Change{Key: state.KeyDrain(1), Version: r.version, Record: &spread})
	moved := map[*task]bool{}
	for range 240 {
		r.serve(250 * time.Millisecond)
		notUp := 0
		for _, task := range j.tasks {
			if !r.isUp(r.now, task) {
				notUp++
			}
		}
		for task := range r.draining.moves {
			if !moved[task] && notUp > 1 {
				t.Fatalf("a task is stopped while %d are not up, of which one may be", notUp)
			}
			moved[task] = true
		}
	}
	if len(moved) != len(j.tasks) {
		t.Errorf("%d of %d tasks were moved", len(moved), len(j.tasks))
	}
}
