package shard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// bringUpFleet brings up n machines that are schedulable: each has confirmed the owner's
// term and is in the durable inventory.
func (r *testOwner) bringUpFleet(n int) {
	for i := range n {
		r.Heartbeat(r.now, newHeartbeat(fmt.Sprintf("m-%05d", i), 1, 1, 0))
	}
	for range 10 {
		r.now = r.now.Add(300 * time.Millisecond)
		r.commitAll(r.Step(r.now))
	}
	for i := range n {
		name := fmt.Sprintf("m-%05d", i)
		r.Heartbeat(r.now, newHeartbeat(name, 1, 2, r.latestToken(name)))
	}
	for name, m := range r.machines {
		if !m.durable || !r.isSchedulable(r.now, m) {
			panic(name + " is not schedulable")
		}
	}
}

// The inventory is written by page and not by machine, so that many new machines need few
// writes. Every machine must be durable before the first start on it.
func TestInventoryOfManyMachinesTakesFewWrites(t *testing.T) {
	r := newTestOwner(nil)
	const machines = 600
	writes := 0
	for i := range machines {
		r.Heartbeat(r.now, newHeartbeat(fmt.Sprintf("m-%05d", i), 1, 1, 0))
		r.now = r.now.Add(20 * time.Millisecond)
		for _, a := range r.Step(r.now) {
			if cm, ok := a.(Commit); ok {
				writes += len(cm.Txn.Changes)
				for _, ch := range cm.Txn.Changes {
					if len(ch.Value) > r.cfg.SizeLimits.Next {
						t.Fatalf("page of %d bytes exceeds the size limit", len(ch.Value))
					}
				}
				r.commitAll([]Action{cm})
			}
		}
	}
	for range 20 {
		r.commitAll(r.advance(time.Second))
	}
	stored := 0
	for _, m := range r.machines {
		if m.durable && m.durableAddr == m.addr {
			stored++
		}
	}
	if stored != machines {
		t.Fatalf("%d of %d machines are durable", stored, machines)
	}
	if writes > machines/4 {
		t.Fatalf("%d changes were written for %d machines, want at most a quarter", writes, machines)
	}
}

// The cost of handling a heartbeat that changes nothing does not grow with the fleet.
func TestUnchangedHeartbeatCostIsIndependentOfFleetSize(t *testing.T) {
	cost := func(machines int) float64 {
		r := newTestOwner(nil)
		r.bringUpFleet(machines)
		r.submit(arrayJob("run-1", 4*machines-8, "a"))
		for range 30 {
			r.advance(20 * time.Millisecond)
		}
		seq := uint64(2)
		var tasks []wire.TaskStatus
		for _, a := range r.machines["m-00000"].attempts {
			tasks = append(tasks, wire.TaskStatus{Task: a.key.task, Attempt: a.key.number, State: wire.TaskRunning})
		}
		if len(tasks) != 4 {
			t.Fatalf("%d tasks on m-00000, want 4", len(tasks))
		}
		return testing.AllocsPerRun(50, func() {
			seq++
			if _, err := r.Heartbeat(r.now, newHeartbeat("m-00000", 1, seq, r.latestToken("m-00000"), tasks...)); err != nil {
				t.Fatal("refused")
			}
		})
	}
	small, large := cost(20), cost(2000)
	if large > small+1 {
		t.Fatalf("%g allocations per heartbeat in a fleet of 2000 machines, %g in a fleet of 20", large, small)
	}
}

// A placement round that exceeds its time budget continues in the next round after the job
// at which it stopped, also while jobs arrive and leave. With time for one job per round,
// every job is considered.
func TestInterruptedRoundsReachAllJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestOwner(nil)
		for i := range 30 {
			r.bringUp(fmt.Sprintf("m-%d", i))
		}
		r.roundBudget = 0
		n := rapid.IntRange(2, 40).Draw(t, "jobs")
		submitted, unplaceable := 0, 0
		rounds := 0
		for ; submitted < n || len(r.waiting) > unplaceable || len(r.changedJobs) > 0; rounds++ {
			if submitted < n && rapid.Bool().Draw(t, "comes") {
				j := arrayJob(fmt.Sprintf("run-%d", submitted), 1, "a")
				j.Spec.CPUs = 0.5
				if rapid.IntRange(0, 3).Draw(t, "stuck") == 0 {
					j.Spec.CPUs = 9 // no machine is that large: the job waits forever, and must not delay others
					unplaceable++
				}
				j.AcceptedMS = r.now.UnixMilli() - int64(rapid.IntRange(0, 90).Draw(t, "age"))*1000
				r.submit(j)
				submitted++
			}
			r.advance(20 * time.Millisecond)
			if rounds > 8*n+20 {
				t.Fatalf("%d jobs still wait after %d rounds", len(r.waiting), rounds)
			}
		}
	})
}

// After a failover in a shard with many machines, unreachable machines do not delay the
// recovery of others: all reachable machines are probed, or have sent heartbeats, within
// seconds. The shard is rebuilt only after the unreachable machines have been terminated,
// because they may still run its tasks.
func TestUnreachableMachinesDelayNoFailover(t *testing.T) {
	var inventory []records.Machine
	for i := range 200 {
		name := fmt.Sprintf("m-%05d", i)
		inventory = append(inventory, records.Machine{Name: name, Type: "box", Addr: name + ":1"})
	}
	r := newTestOwner(map[string]*records.Job{"run-1": arrayJob("run-1", 3, "a")}, inventory...)
	silent := func(name string) bool { return name < "m-00070" }
	type call struct {
		name string
		at   time.Time
	}
	var inFlight []call
	terminated := 0
	for step := range 500 {
		for _, a := range r.advance(20 * time.Millisecond) {
			switch a := a.(type) {
			case SendCommands:
				inFlight = append(inFlight, call{a.Machine, r.now})
			case ScaleIn:
				terminated += len(a.Names)
				r.ScaleInResult(r.now, a.Names)
			}
		}
		kept := inFlight[:0]
		for _, f := range inFlight {
			switch {
			case !silent(f.name):
				r.CommandResult(r.now, f.name, newHeartbeat(f.name, 1, uint64(100+step), r.latestToken(f.name)))
			case r.now.Sub(f.at) >= constants.ProbeTimeout:
				r.CommandResult(r.now, f.name, nil)
			default:
				kept = append(kept, f)
			}
		}
		inFlight = kept
		// The reachable machines also send heartbeats, spread over the 3 s period.
		for i := 70 + step%150; i < 200 && step > 75; i += 150 {
			name := fmt.Sprintf("m-%05d", i)
			r.Heartbeat(r.now, newHeartbeat(name, 1, uint64(100+step), r.latestToken(name)))
		}
		back := 0
		for name, m := range r.machines {
			if !silent(name) && m.hasSeenTerm(r.term) {
				back++
			}
		}
		if back == 130 && r.now.Sub(r.acquiredAt) > constants.FailoverProbeDelay+2*time.Second && step < 300 && terminated == 0 && r.rebuilt {
			t.Fatal("shard was rebuilt while unreachable machines may run its tasks")
		}
	}
	if !r.rebuilt || terminated != 70 {
		t.Fatalf("rebuilt %v, %d of 70 unreachable machines terminated after 10 s", r.rebuilt, terminated)
	}
}

// A machine that sent heartbeats to other controllers, although this owner answered it,
// becomes unconfirmed and gets no tasks. Repeating the old token does not confirm the machine,
// and a machine that stays unconfirmed is terminated in the end (see isNotReceiving). A
// heartbeat with the new token confirms it, so that a machine to which only one reply was
// lost becomes schedulable again.
func TestConfirmationNeedsANewToken(t *testing.T) {
	r := newTestOwner(nil)
	for i := range 4 {
		r.bringUp(fmt.Sprintf("m-%d", i))
	}
	r.now = r.now.Add(time.Second)
	for i := range 4 {
		r.Heartbeat(r.now, newHeartbeat(fmt.Sprintf("m-%d", i), 1, 3, r.latestToken(fmt.Sprintf("m-%d", i))))
	}
	m := r.machines["m-0"]
	stale := r.latestToken("m-0")
	r.Heartbeat(r.now, newHeartbeat("m-0", 1, 6, stale)) // the gap in sequence numbers shows heartbeats to other controllers
	if !m.isUnconfirmed() || r.isSchedulable(r.now, m) {
		t.Fatal("the machine is still confirmed and schedulable after it sent heartbeats to other controllers")
	}
	r.Heartbeat(r.now, newHeartbeat("m-0", 1, 7, stale))
	if !m.isUnconfirmed() {
		t.Fatal("an old token confirmed the machine")
	}
	r.Heartbeat(r.now, newHeartbeat("m-0", 1, 8, r.latestToken("m-0")))
	if m.isUnconfirmed() || !r.isSchedulable(r.now, m) {
		t.Fatal("the new token did not confirm the machine")
	}
}

// A machine that answers commands but sends no heartbeats is terminated while the other
// machines send heartbeats: only heartbeats renew a machine's lease, so the lease expires.
func TestMachineWithoutHeartbeatsIsTerminated(t *testing.T) {
	r := newTestOwner(nil)
	for i := range 4 {
		r.bringUp(fmt.Sprintf("m-%d", i))
	}
	terminated := map[string]bool{}
	for seq := uint64(10); seq < 30; seq++ {
		r.now = r.now.Add(time.Second)
		for i := 1; i < 4; i++ {
			name := fmt.Sprintf("m-%d", i)
			heartbeat := newHeartbeat(name, 1, seq, r.latestToken(name))
			heartbeat.Spot = true // idle on-demand machines would be terminated
			r.Heartbeat(r.now, heartbeat)
		}
		for _, a := range r.Step(r.now) {
			switch a := a.(type) {
			case SendCommands:
				heartbeat := newHeartbeat(a.Machine, 1, seq, r.latestToken(a.Machine))
				heartbeat.Spot = true
				r.CommandResult(r.now, a.Machine, heartbeat)
			case ScaleIn:
				for _, n := range a.Names {
					terminated[n] = true
				}
			}
		}
		if r.now.Sub(r.acquiredAt) < 8*time.Second && terminated["m-0"] {
			t.Fatal("m-0 was terminated too early")
		}
	}
	if !terminated["m-0"] || len(terminated) != 1 {
		t.Fatalf("terminated %v, want only m-0", terminated)
	}
}

func BenchmarkUnchangedHeartbeat(b *testing.B) {
	r := newTestOwner(nil)
	r.bringUpFleet(2000)
	r.submit(arrayJob("run-1", 7000, "a"))
	for range 50 {
		r.advance(20 * time.Millisecond)
	}
	heartbeat := newHeartbeat("m-00000", 1, 3, r.latestToken("m-00000"))
	for _, a := range r.machines["m-00000"].attempts {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: a.key.task, Attempt: a.key.number, State: wire.TaskRunning})
	}
	b.ReportAllocs()
	for b.Loop() {
		heartbeat.Seq++
		r.Heartbeat(r.now, heartbeat)
	}
}

// newFullFleetTestOwner returns an owner whose machines are full, with thousands of tasks
// waiting.
func newFullFleetTestOwner(machines int) *testOwner {
	r := newTestOwner(nil)
	r.roundBudget = time.Hour
	r.bringUpFleet(machines)
	for i := range 200 {
		j := arrayJob(fmt.Sprintf("run-%d", i), 50, "a")
		j.Spec.CPUs = 2 + float64(i%7)/8
		r.submit(j)
	}
	for range 50 {
		r.advance(20 * time.Millisecond)
	}
	return r
}

// BenchmarkFullFleetRound measures a whole placement round on full machines with thousands
// of tasks waiting.
func BenchmarkFullFleetRound(b *testing.B) {
	r := newFullFleetTestOwner(1000)
	b.ReportAllocs()
	for b.Loop() {
		r.needsPlacement = true
		r.advance(20 * time.Millisecond)
	}
}

// An owner that loses contact with all its machines at once terminates none of them: the
// owner is assumed to be partitioned. This holds also in the first seconds, when the last
// heartbeats of most machines are recent but no machine answers probes. Once other
// controllers have received heartbeats of a sufficient share of the machines, the owner
// reports that it is isolated, long before the machines' leases expire.
func TestIsolatedOwnerTerminatesNone(t *testing.T) {
	r := newTestOwner(nil)
	const n = 100
	r.bringUpFleet(n)
	for _, m := range r.machines {
		m.spot = true
	}
	seq := make([]uint64, n)
	turn := 0
	advanceFleet := func(d time.Duration, reporting func(i int) bool) []string {
		return r.advanceUnanswered(d, func() {
			turn++
			for i := range n {
				if i%30 == turn%30 && reporting(i) {
					name := fmt.Sprintf("m-%05d", i)
					seq[i]++
					heartbeat := newHeartbeat(name, 1, 2+seq[i], r.latestToken(name))
					heartbeat.Spot = true
					r.Heartbeat(r.now, heartbeat)
				}
			}
		})
	}
	if got := advanceFleet(6*time.Second, func(int) bool { return true }); len(got) != 0 {
		t.Fatalf("terminated %d healthy machines", len(got))
	}
	if got := advanceFleet(9*time.Second, func(i int) bool { return i >= 60 }); len(got) != 60 {
		t.Fatalf("terminated %d of 60 machines that failed together", len(got))
	}
	if got := advanceFleet(8*time.Second, func(int) bool { return false }); len(got) != 0 {
		t.Fatalf("an owner that receives no heartbeats terminated %d machines", len(got))
	}
	if isolated, misrouted := r.IsIsolated(r.now); !isolated || misrouted {
		t.Fatalf("isolated %v, misrouted %v", isolated, misrouted)
	}
	var seen []MisroutedHeartbeat
	for i := range 30 {
		seen = append(seen, MisroutedHeartbeat{fmt.Sprintf("m-%05d", 60+i), 1, 900})
	}
	r.ApplyMisroutedHeartbeats(r.now, seen, true)
	if isolated, misrouted := r.IsIsolated(r.now); !isolated || !misrouted {
		t.Fatalf("isolated %v, misrouted %v: the owner does not detect that it is isolated", isolated, misrouted)
	}
}

// newSteadyFleetTestOwner returns an owner with one third of the machines of a small
// deployment. All tasks are placed and reported as running: two tasks of a service and two
// tasks of an array per machine.
func newSteadyFleetTestOwner(machines int) *testOwner {
	r := newTestOwner(nil)
	r.bringUpFleet(machines)
	r.submit(arrayJob("run-1", 2*machines, "a"))
	svc := arrayJob("run-2", 2*machines, "a")
	svc.Spec.Kind, svc.Spec.Priority, svc.Spec.Spot = wire.KindService, wire.PriorityProduction, false
	r.submit(svc)
	seq := uint64(2)
	for range 10 {
		for range 25 {
			r.advance(20 * time.Millisecond)
		}
		seq++
		r.heartbeatAll(seq)
	}
	return r
}

// heartbeatAll has every machine send a heartbeat that reports all its attempts as running.
func (r *testOwner) heartbeatAll(seq uint64) {
	for name, m := range r.machines {
		heartbeat := newHeartbeat(name, 1, seq, r.latestToken(name))
		for _, a := range m.attempts {
			heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: a.key.task, Attempt: a.key.number, State: wire.TaskRunning})
		}
		r.Heartbeat(r.now, heartbeat)
	}
}

// stepIdleSecond simulates a second in which nothing changes, with steps at an idle owner's
// interval. It returns the number of actions.
func (r *testOwner) stepIdleSecond() (actions int) {
	for range int(time.Second / constants.MaxOwnerStepInterval) {
		r.now = r.now.Add(constants.MaxOwnerStepInterval)
		actions += len(r.Step(r.now))
		r.IsIsolated(r.now)
	}
	for _, m := range r.machines { // as if each had sent a heartbeat during the second
		m.lastHeartbeat, m.leaseExpiresAt = r.now, r.now.Add(leaseTimeout)
	}
	return actions
}

// BenchmarkSteadyFleetSteps measures the steps of one second, at the interval of an owner
// whose machines send heartbeats all the time, with nothing else to do.
func BenchmarkSteadyFleetSteps(b *testing.B) {
	r := newSteadyFleetTestOwner(400)
	b.ReportAllocs()
	for b.Loop() {
		for i := range int(time.Second / constants.MinOwnerStepInterval) {
			r.now = r.now.Add(constants.MinOwnerStepInterval)
			r.Step(r.now)
			if i%int(constants.FleetScanInterval/constants.MinOwnerStepInterval) == 0 {
				r.IsIsolated(r.now)
			}
		}
		for _, m := range r.machines {
			m.lastHeartbeat, m.leaseExpiresAt = r.now, r.now.Add(leaseTimeout)
		}
	}
}

// The cached usage of a machine equals the sum over the machine's attempts after any sequence
// of events. Placement rounds use only the cached usage.
func TestCachedUsageIsCorrect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestOwner(nil)
		const machines = 6
		for i := range machines {
			r.bringUp(fmt.Sprintf("m-%d", i))
		}
		jobs, seq := 0, uint64(2)
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				j := arrayJob(fmt.Sprintf("run-%d", jobs), rapid.IntRange(1, 6).Draw(t, "tasks"), "a")
				j.Spec.Team = rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "team")
				j.Assignments[0].Guaranteed = rapid.Bool().Draw(t, "guaranteed")
				j.Spec.Priority = rapid.SampledFrom([]wire.Priority{wire.PriorityLow, wire.PriorityNormal, wire.PriorityProduction}).Draw(t, "priority")
				if rapid.Bool().Draw(t, "service") {
					j.Spec.Kind = wire.KindService
				} else if rapid.Bool().Draw(t, "saves") {
					j.Spec.CheckpointIntervalS, j.Spec.CheckpointSaveS = 3, 1
				}
				r.submit(j)
				jobs++
			case 1: // a job's record changes: the job ends, or its tasks' guarantee changes
				if jobs == 0 {
					continue
				}
				id := fmt.Sprintf("run-%d", rapid.IntRange(0, jobs-1).Draw(t, "job"))
				if r.jobs[id] == nil {
					continue
				}
				record := r.jobs[id].record.Clone()
				if rapid.Bool().Draw(t, "over") {
					record.End = wire.JobCancelled
				} else {
					for i := range record.Assignments {
						record.Assignments[i].Guaranteed = !record.Assignments[i].Guaranteed
					}
				}
				r.version++
				r.Apply(r.now, records.Change{Key: records.KeyJob(id), Version: r.version, Record: record})
			case 2: // a machine reports progress of its attempts, or has restarted
				name := fmt.Sprintf("m-%d", rapid.IntRange(0, machines-1).Draw(t, "machine"))
				m := r.machines[name]
				if m == nil {
					continue
				}
				seq++
				lastEpoch := uint64(1)
				if rapid.IntRange(0, 9).Draw(t, "ended") == 0 {
					lastEpoch = m.epoch + 1
				}
				heartbeat := newHeartbeat(name, max(lastEpoch, m.epoch), seq, r.latestToken(name))
				for _, a := range m.attempts {
					s := wire.TaskStatus{Task: a.key.task, Attempt: a.key.number, State: rapid.SampledFrom([]wire.TaskState{wire.TaskFetching, wire.TaskRunning, wire.TaskExited}).Draw(t, "state")}
					if a.hasExited() || s.State == wire.TaskExited {
						s.State, s.Cause = wire.TaskExited, rapid.SampledFrom([]wire.ExitCause{wire.CauseDone, wire.CauseError, wire.CauseStopped}).Draw(t, "cause")
					}
					heartbeat.Tasks = append(heartbeat.Tasks, s)
				}
				r.Heartbeat(r.now, heartbeat)
			default:
				r.commitAll(r.advance(time.Duration(rapid.IntRange(20, 900).Draw(t, "ms")) * time.Millisecond))
			}
			for _, m := range r.Core.fleet {
				if m.usageStale {
					continue
				}
				cached := m.usage
				cached.teamsBeyondGuarantee = slices.Clone(cached.teamsBeyondGuarantee)
				m.usageStale = true
				if got := *r.usageOf(m); fmt.Sprint(got) != fmt.Sprint(cached) {
					t.Fatalf("%s: cached usage %+v, actual usage %+v", m.name, cached, got)
				}
			}
		}
	})
}

// An idle second of a shard of a small deployment causes almost no work: nothing is sent or
// written, and the number of allocations is small and does not grow with the fleet.
func TestIdleSecondCostsLittle(t *testing.T) {
	cost := func(machines int) float64 {
		r := newSteadyFleetTestOwner(machines)
		for range 5 {
			r.stepIdleSecond()
		}
		actions := 0
		n := testing.AllocsPerRun(5, func() { actions += r.stepIdleSecond() })
		if actions > 0 {
			t.Fatalf("%d actions in idle seconds, want none", actions)
		}
		return n
	}
	small, large := cost(100), cost(650)
	t.Logf("%g allocations in an idle second of 100 machines, %g of 650", small, large)
	if large > small+20 || large > 100 {
		t.Fatalf("%g allocations in an idle second of 650 machines, %g of 100", large, small)
	}
}

// In a round with full machines and hundreds of jobs waiting, the number of allocations grows
// with the jobs and not with the tasks or the machines.
func TestFullFleetRoundAllocatesLittle(t *testing.T) {
	r := newFullFleetTestOwner(400)
	n := testing.AllocsPerRun(50, func() {
		r.needsPlacement = true
		r.advance(20 * time.Millisecond)
	})
	t.Logf("%g allocations", n)
	if n > 150 {
		t.Fatalf("%g allocations in a round of 200 jobs", n)
	}
}

// A machine whose done tasks wait for their assignment to be closed is sent a higher token
// once, and not in every reply: each new token makes the machine send a heartbeat
// immediately.
func TestDoneTasksRaiseTheTokenOnce(t *testing.T) {
	r := newTestOwner(nil)
	r.bringUp("m-0")
	r.submit(arrayJob("run-1", 40, "a"))
	r.advance(20 * time.Millisecond) // four tasks are started by a direct command
	m := r.machines["m-0"]
	seq, countBefore, raised := uint64(2), m.tokenCount, uint64(0)
	for range 10 {
		r.now = r.now.Add(500 * time.Millisecond)
		seq++
		heartbeat := newHeartbeat("m-0", 1, seq, r.latestToken("m-0"))
		for _, a := range m.attempts {
			if a.sentDirectly {
				heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: a.key.task, Attempt: a.key.number, State: wire.TaskExited, Cause: wire.CauseDone})
			}
		}
		if len(heartbeat.Tasks) != constants.ExitsBeforeTokenRaise {
			t.Fatalf("%d tasks were sent by a direct command, want constants.ExitsBeforeTokenRaise", len(heartbeat.Tasks))
		}
		if _, err := r.Heartbeat(r.now, heartbeat); err != nil {
			t.Fatal("refused")
		}
		raised = m.tokenCount - countBefore
	}
	if raised != 1 {
		t.Fatalf("the token was raised %d times, want once", raised)
	}
}

// Handling a heartbeat that changes nothing allocates no memory: an owner in a small
// deployment receives a hundred of them per second.
func TestUnchangedHeartbeatAllocatesNothing(t *testing.T) {
	r := newSteadyFleetTestOwner(50)
	heartbeat := newHeartbeat("m-00000", 1, 1000, r.latestToken("m-00000"))
	for _, a := range r.machines["m-00000"].attempts {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: a.key.task, Attempt: a.key.number, State: wire.TaskRunning})
	}
	if len(heartbeat.Tasks) == 0 {
		t.Fatal("no task runs on m-00000")
	}
	n := testing.AllocsPerRun(100, func() {
		heartbeat.Seq++
		if _, err := r.Heartbeat(r.now, heartbeat); err != nil {
			t.Fatal("refused")
		}
	})
	if n > 0 {
		t.Fatalf("%g allocations, want none", n)
	}
}
