package shard

import (
	"testing"
	"time"

	"ravenport/disruption"
	"ravenport/drain"
	"ravenport/records"
	"ravenport/wire"
)

// startDrainingWithService starts draining with disruption budgets of one unavailable task
// per team, and a service with three tasks that run on two machines.
func (r *testOwner) startDrainingWithService() *job {
	var budgets disruption.Budgets
	budgets.SetServicesDefault(disruption.MaxUnavailable{Tasks: 1})
	r.StartDraining(r.now, DrainingConfig{Shards: []string{"a"}, Budgets: budgets, Policy: drain.Policy{StableAfter: 5 * time.Second, ReplacementTimeout: time.Minute, MaxConsecutiveFailures: 2, ParallelPercent: 100}}, nil, nil)
	r.bringUp("m-0")
	r.bringUp("m-1")
	spec := wire.Submission{ID: "run-1", Team: "t", Class: "c", Kind: wire.KindService, Priority: wire.PriorityProduction, Tasks: 3, CPUs: 2, MemoryGB: 1, Image: "i"}
	r.submit(&records.Job{ID: spec.ID, Spec: spec, Assignments: []records.Assignment{{From: 0, To: 3, Shard: "a", KeepWaiting: true}}})
	r.commitAll(r.advance(time.Second))
	r.advanceWithRunningTasks(8 * time.Second)
	return r.jobs["run-1"]
}

// advanceWithRunningTasks advances the time while all machines send heartbeats. The
// heartbeats report started tasks as running and stopped tasks as exited.
func (r *testOwner) advanceWithRunningTasks(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.commitAll(r.advance(250 * time.Millisecond))
		for _, m := range r.Core.fleet {
			var tasks []wire.TaskStatus
			for _, a := range m.attempts {
				s := wire.TaskStatus{Task: a.key.task, Attempt: a.key.number, State: wire.TaskRunning}
				if a.stopRequested || a.hasExited() {
					s.State, s.Cause = wire.TaskExited, wire.CauseStopped
				}
				tasks = append(tasks, s)
			}
			r.Heartbeat(r.now, newHeartbeat(m.name, 1, m.seq+1, r.fencingToken(m), tasks...))
		}
	}
}

// Consolidation migrates a task only under a disruption claim that is written, and no second
// task before the first is available again.
func TestConsolidationKeepsToBudgets(t *testing.T) {
	r := newTestOwner(nil)
	j := r.startDrainingWithService()
	first, second := j.tasks[0], j.tasks[1]
	if r.draining.allowsConsolidation(r.now, first) {
		t.Fatal("a task may migrate without a claim")
	}
	moved := false
	for i := 0; i < 40 && !moved; i++ {
		r.advanceWithRunningTasks(250 * time.Millisecond) // the claim is written, if the budget allows it
		moved = r.draining.allowsConsolidation(r.now, first)
	}
	if !moved {
		t.Fatal("no task may migrate, although no task is unavailable")
	}
	if r.draining.allowsConsolidation(r.now, second) {
		t.Error("a second task may migrate together with the first")
	}
	r.evict(first.attempt)
	r.advanceWithRunningTasks(2 * time.Second)
	if r.draining.allowsConsolidation(r.now, second) {
		t.Error("a second task may migrate before the first is available again")
	}
}

// A drain does not stop tasks that are about to become available, and migrates them within
// the budget once they are available. An owner counts a task that it has just learned of as
// unavailable, although the task may have run for a long time. Guards against a fault in
// which, after a failover, all tasks of a machine were stopped at once.
func TestDrainLeavesTasksThatMayBecomeAvailable(t *testing.T) {
	r := newTestOwner(nil)
	j := r.startDrainingWithService()
	r.bringUp("m-2")
	for _, task := range j.tasks { // as if the owner had just learned of each task
		task.attempt.runningSince = r.now
	}
	record := records.Drain{Number: 1, State: records.DrainRunning, CanaryPassed: true, Selection: records.Selection{Machines: []string{"m-0", "m-1"}}}
	r.Apply(r.now, records.Change{Key: records.KeyDrain(1), Version: r.version, Record: &record})
	moved := map[*task]bool{}
	for range 240 {
		r.advanceWithRunningTasks(250 * time.Millisecond)
		unavailable := 0
		for _, task := range j.tasks {
			if !r.draining.isAvailable(&r.fleetView, r.now, task) {
				unavailable++
			}
		}
		for task := range r.draining.migrations {
			if !moved[task] && unavailable > 1 {
				t.Fatalf("a task was stopped while %d tasks are unavailable, the budget allows one", unavailable)
			}
			moved[task] = true
		}
	}
	if len(moved) != len(j.tasks) {
		t.Errorf("%d of %d tasks were migrated", len(moved), len(j.tasks))
	}
}

// A budget for interruptions does not count a unit that has not run yet. It counts a unit
// that was interrupted until the unit is available again. If an interrupted unit is
// offloaded, the budget still counts it for the retention time.
func TestInterruptionsCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	keys := []disruption.BudgetKey{{Team: "t", Interruptions: true}}
	j := &job{record: &records.Job{ID: "run-1"}}
	s := newInterruptions(time.Minute)
	for _, step := range []struct {
		name                   string
		here                   bool
		isRunning, isAvailable bool
		stopped                bool // the unit is stopped after it was observed
		after                  time.Duration
		want                   int
	}{
		{name: "waits", here: true},
		{name: "begins", here: true, isRunning: true},
		{name: "is available", here: true, isRunning: true, isAvailable: true},
		{name: "is interrupted", here: true, want: 1},
		{name: "waits again", here: true, want: 1},
		{name: "runs again", here: true, isRunning: true, want: 1},
		{name: "is available again", here: true, isRunning: true, isAvailable: true},
		{name: "is interrupted again", here: true, want: 1},
		{name: "was offloaded", after: 59 * time.Second, want: 1},
		{name: "was offloaded for long", after: 2 * time.Second},
		{name: "another one begins", here: true, isRunning: true, isAvailable: true, stopped: true, want: 1},
		{name: "was offloaded before it was seen to end", want: 1},
	} {
		now = now.Add(time.Second + step.after)
		if step.here {
			s.observe(now, interruptionUnit{j, 0}, keys, step.isRunning, step.isAvailable)
		}
		if step.stopped {
			s.units[interruptionUnit{j, 0}].markInterrupted()
		}
		if got := s.count(now)[keys[0]]; got != step.want {
			t.Fatalf("%s: %d units count as interrupted, want %d", step.name, got, step.want)
		}
	}
}

// A drain interrupts one task of an array, or one gang, at a time if the budget is one.
func TestDrainKeepsToInterruptionBudgets(t *testing.T) {
	for _, kind := range []wire.JobKind{wire.KindArray, wire.KindGang} {
		r := newTestOwner(nil)
		var budgets disruption.Budgets
		budgets.SetInterruptionsDefault(disruption.MaxUnavailable{Tasks: 1})
		cfg := DrainingConfig{Shards: []string{"a"}, Budgets: budgets, Policy: drain.Policy{StableAfter: 5 * time.Second, ReplacementTimeout: time.Minute, MaxConsecutiveFailures: 2, ParallelPercent: 100}}
		r.StartDraining(r.now, cfg, nil, nil)
		r.bringUp("m-0")
		r.bringUp("m-1")
		for _, id := range []string{"run-1", "run-2"} {
			spec := wire.Submission{ID: id, Team: "t", Class: "c", Kind: kind, Priority: wire.PriorityNormal, Tasks: 2, CPUs: 2, MemoryGB: 1, Image: "i", EstimateS: 600}
			r.submit(&records.Job{ID: spec.ID, Spec: spec, Assignments: []records.Assignment{{From: 0, To: 2, Shard: "a", KeepWaiting: true}}})
		}
		r.advanceWithRunningTasks(15 * time.Second)
		r.bringUp("m-2")
		units := map[interruptionUnit]bool{}
		for _, j := range r.jobs {
			for _, task := range j.tasks {
				if !r.draining.isAvailable(&r.fleetView, r.now, task) {
					t.Fatalf("%s: a task of %s is not available", kind, j.record.ID)
				}
				units[interruptionUnitOf(task)] = true
			}
		}
		record := records.Drain{Number: 1, State: records.DrainRunning, CanaryPassed: true, Selection: records.Selection{Machines: []string{"m-0", "m-1"}}}
		r.Apply(r.now, records.Change{Key: records.KeyDrain(1), Version: r.version, Record: &record})
		interrupted := map[interruptionUnit]bool{}
		for range 300 {
			r.advanceWithRunningTasks(250 * time.Millisecond)
			n := 0
			for u, i := range r.draining.interruptions.units {
				if i.interrupted {
					n++
					interrupted[u] = true
				}
			}
			if n > 1 {
				t.Fatalf("%s: %d units are interrupted, the budget allows one", kind, n)
			}
		}
		if len(interrupted) != len(units) {
			t.Errorf("%s: %d of %d units were interrupted, the drain must interrupt all to finish", kind, len(interrupted), len(units))
		}
	}
}

// The store does not hold which tasks were interrupted. A new owner therefore counts as many
// waiting tasks as interrupted as the claim of the last owner says, until they run again.
func TestNextOwnerInheritsInterruptions(t *testing.T) {
	spec := wire.Submission{ID: "run-1", Team: "t", Class: "c", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 3, CPUs: 2, MemoryGB: 1, Image: "i", EstimateS: 600}
	j := &records.Job{ID: spec.ID, Spec: spec, Assignments: []records.Assignment{{From: 0, To: 3, Shard: "a", KeepWaiting: true}}}
	r := newTestOwner(map[string]*records.Job{j.ID: j})
	var budgets disruption.Budgets
	budgets.SetInterruptionsDefault(disruption.MaxUnavailable{Tasks: 2})
	key := disruption.BudgetKey{Team: "t", Interruptions: true}
	last := records.DisruptionClaim{Shard: "a", Term: r.term - 1, Unavailable: map[string]int{key.String(): 2}}
	cfg := DrainingConfig{Shards: []string{"a"}, Budgets: budgets, Policy: drain.Policy{StableAfter: 5 * time.Second, ReplacementTimeout: time.Minute, MaxConsecutiveFailures: 2}}
	r.StartDraining(r.now, cfg, map[string]*records.Job{j.ID: j}, []records.Change{{Key: records.KeyDisruptionClaim("a"), Version: 90, Record: &last}})
	r.commitAll(r.advance(time.Second))
	if n := r.draining.countUnavailable(&r.fleetView, r.now)[key]; n != 2 {
		t.Errorf("%d of 3 waiting tasks count as interrupted, want the 2 that were claimed", n)
	}
	r.bringUp("m-0")
	r.advanceWithRunningTasks(15 * time.Second)
	if n := r.draining.countUnavailable(&r.fleetView, r.now)[key]; n != 0 {
		t.Errorf("%d tasks count as interrupted although all are running", n)
	}
}
