package shard

import (
	"fmt"
	"log/slog"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ravenport/constants"
	_ "ravenport/internal/testseed"
	"ravenport/leader"
	"ravenport/records"
	"ravenport/wire"
)

const leaseTimeout = 21 * time.Second

// testOwner is a shard owner under test with its own clock. Tests pass messages to it
// directly.
type testOwner struct {
	*Core
	now     time.Time
	version uint64
	term    uint64
}

func newTestOwner(jobs map[string]*records.Job, inventory ...records.Machine) *testOwner {
	r := &testOwner{now: time.Unix(1000, 0), version: 100, term: 5}
	versions, pages, pageV := map[string]uint64{}, map[string]*records.InventoryPage{}, map[string]uint64{}
	for id := range jobs {
		versions[id] = 10
	}
	if len(inventory) > 0 {
		k := records.KeyInventory("a", 0)
		pages[k], pageV[k] = &records.InventoryPage{Shard: "a"}, 11
		for _, m := range inventory {
			pages[k].Add(m)
		}
	}
	cfg := Config{Shard: "a", HeartbeatPeriod: 3 * time.Second, LeaseTimeout: leaseTimeout, SpotIdleTimeout: time.Hour, OnDemandIdleTimeout: time.Hour, UseSpot: true, CloudListLag: 5 * time.Second, SizeLimits: records.SizeLimits{Current: 8192, Next: 8192}, MaxDirectCommands: 200, MaxTxnOps: 12, MaxWritesPerSecond: 100, JobOrder: leader.NewJobOrder(nil)}
	types := []wire.MachineType{{Name: "box", CPUs: 8, MemoryGB: 32, Price: 1, SpotPrice: 0.4, BootS: 10, Zones: []string{"a"}}}
	r.Core = New(cfg, r.now, Snapshot{Term: r.term, TermVersion: 50, MachineTypes: types, Jobs: jobs, JobVersions: versions, Inventory: pages, InventoryVersions: pageV})
	r.SetAuthority(r.now.Add(time.Hour))
	return r
}

func (r *testOwner) advance(d time.Duration) []Action {
	r.now = r.now.Add(d)
	return r.Step(r.now)
}

// commitAll commits every transaction and applies its changes as the feed does.
func (r *testOwner) commitAll(actions []Action) {
	for _, a := range actions {
		cm, ok := a.(Commit)
		if !ok {
			continue
		}
		r.version++
		r.CommitResult(r.now, cm.ID, r.version)
		for _, ch := range cm.Txn.Changes {
			record, err := records.Decode(ch.Put, ch.Value)
			if err != nil {
				panic(err)
			}
			r.Apply(r.now, records.Change{Key: ch.Put, Version: r.version, Record: record})
		}
	}
}

// token returns the n-th fencing token of a term.
func token(term, n uint64) uint64 { return term<<constants.TokenCounterBits | n }

func newHeartbeat(name string, epoch, seq, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: name, Addr: name + ":1", Type: "box", Zone: "a", Epoch: epoch, Seq: seq, FencingToken: token, Tasks: tasks}
}

func arrayJob(id string, tasks int, shard string) *records.Job {
	return &records.Job{ID: id, Spec: wire.Submission{ID: id, Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: tasks, CPUs: 2, MemoryGB: 1, Image: "i", EstimateS: 10, Spot: true},
		Assignments: []records.Assignment{{From: 0, To: tasks, Shard: shard, KeepWaiting: true}}}
}

// bringUp sends heartbeats of a machine until the machine is in the durable inventory
// and has reported a token of the term.
func (r *testOwner) bringUp(name string) {
	if _, err := r.Heartbeat(r.now, newHeartbeat(name, 1, 1, 0)); err != nil {
		panic("heartbeat refused")
	}
	r.now = r.now.Add(constants.MinInventoryWriteInterval)
	r.commitAll(r.Step(r.now))
	r.Heartbeat(r.now, newHeartbeat(name, 1, 2, r.latestToken(name)))
}

// latestToken returns the token that a worker reports after the owner's last reply.
func (r *testOwner) latestToken(name string) uint64 { return r.fencingToken(r.machines[name]) }

// directStarts returns the starts sent to a machine by direct commands.
func directStarts(actions []Action, name string) []wire.Command {
	var out []wire.Command
	for _, a := range actions {
		if s, ok := a.(SendCommands); ok && s.Machine == name {
			for _, c := range s.Request.Commands {
				if c.Op == wire.OpStart {
					out = append(out, c)
				}
			}
		}
	}
	return out
}

// advanceUnanswered advances the time while no machine answers a direct command and the
// cloud confirms every scale in. It calls each before every step and returns the
// machines that were terminated.
func (r *testOwner) advanceUnanswered(d time.Duration, each func()) (terminated []string) {
	for end := r.now.Add(d); r.now.Before(end); {
		each()
		for _, a := range r.advance(100 * time.Millisecond) {
			switch a := a.(type) {
			case SendCommands:
				r.CommandResult(r.now, a.Machine, nil)
			case ScaleIn:
				terminated = append(terminated, a.Names...)
				r.ScaleInResult(r.now, a.Names)
			}
		}
	}
	return terminated
}

func (r *testOwner) submit(j *records.Job) {
	r.version++
	r.Apply(r.now, records.Change{Key: records.KeyJob(j.ID), Version: r.version, Record: j})
}

// A task that existed before the term is placed only after every inherited machine has
// reported a token of the owner or the machine's lease has expired for certain. A task
// assigned during the term starts at once.
func TestFailoverWaitsForInheritedMachines(t *testing.T) {
	old := arrayJob("run-1", 1, "a")
	r := newTestOwner(map[string]*records.Job{"run-1": old}, records.Machine{Name: "m-1", Type: "box", Addr: "m-1:1"})
	r.bringUp("m-2")
	actions := r.advance(time.Second)
	if n := len(directStarts(actions, "m-2")); n != 0 {
		t.Fatalf("%d tasks from before the term started although m-1 may still run them", n)
	}
	r.submit(arrayJob("run-2", 1, "a"))
	actions = r.advance(time.Second)
	if s := directStarts(actions, "m-2"); len(s) != 1 || s[0].Task != "run-2/0" {
		t.Fatalf("started %v, want only the new task", s)
	}
	for d := 2 * time.Second; d < leaseTimeout; d += time.Second {
		if s := directStarts(r.advance(time.Second), "m-2"); len(s) > 0 && s[0].Task == "run-1/0" {
			t.Fatalf("started after %s, within the lease", d)
		}
		r.Heartbeat(r.now, newHeartbeat("m-2", 1, uint64(10+d/time.Second), r.latestToken("m-2")))
	}
	found := false
	for range 4 {
		r.now = r.now.Add(time.Second)
		if reply, err := r.Heartbeat(r.now, newHeartbeat("m-2", 1, uint64(100+r.now.Unix()), r.latestToken("m-2"))); err == nil {
			for _, c := range reply.Commands {
				found = found || c.Op == wire.OpStart && c.Task == "run-1/0"
			}
		}
		for _, c := range directStarts(r.Step(r.now), "m-2") {
			found = found || c.Task == "run-1/0"
		}
	}
	if !found {
		t.Fatal("run-1/0 not started after the lease had expired")
	}
}

// A start that was sent by a direct command and got no reply may be executed much later.
// The task must not be placed elsewhere merely because heartbeats of its machine do not
// list the task.
func TestUnansweredDirectStartIsNotPlacedAgain(t *testing.T) {
	r := newTestOwner(nil)
	r.bringUp("m-1")
	r.submit(arrayJob("run-1", 1, "a"))
	if s := directStarts(r.advance(time.Millisecond), "m-1"); len(s) != 1 {
		t.Fatalf("started %v", s)
	}
	r.CommandResult(r.now, "m-1", nil)
	r.bringUp("m-2")
	for i := range uint64(5) {
		r.advance(time.Second)
		r.Heartbeat(r.now, newHeartbeat("m-1", 1, 10+i, token(r.term, 0)))
		if s := directStarts(r.Step(r.now), "m-2"); len(s) > 0 {
			t.Fatalf("placed a second time: %v", s)
		}
	}
	// A new epoch of the machine proves that the attempt has ended.
	r.Heartbeat(r.now, newHeartbeat("m-1", 2, 20, token(r.term, 0)))
	if h := len(r.machines["m-1"].attempts); h > 1 {
		t.Fatalf("%d attempts after the epoch ended", h)
	}
}

// An exited attempt that a direct command started is forgotten by its worker only on a
// command with a higher token. Otherwise a late copy of the start command would start the
// attempt again.
func TestDirectStartIsForgottenOnlyUnderHigherToken(t *testing.T) {
	r := newTestOwner(nil)
	r.bringUp("m-1")
	r.submit(arrayJob("run-1", 1, "a"))
	s := directStarts(r.advance(time.Millisecond), "m-1")
	failed := wire.TaskStatus{Task: s[0].Task, Attempt: s[0].Attempt, State: wire.TaskExited, Cause: wire.CauseStopped}
	reply, _ := r.Heartbeat(r.now, newHeartbeat("m-1", 1, 5, token(r.term, 0), failed))
	for _, c := range reply.Commands {
		if c.Op == wire.OpForget {
			t.Fatal("attempt forgotten while a late copy of the start command could start it again")
		}
	}
	r.machines["m-1"].tokenCount++
	reply, _ = r.Heartbeat(r.now, newHeartbeat("m-1", 1, 6, r.latestToken("m-1"), failed))
	forgot := false
	for _, c := range reply.Commands {
		forgot = forgot || c.Op == wire.OpForget && c.Attempt == s[0].Attempt
	}
	if !forgot {
		t.Fatal("attempt not forgotten although the higher token invalidates the old start command")
	}
}

// Guards against two faults that randomly generated scenarios found: a reply renewed a
// lease, and the owner did not count the renewal. The first was for a machine whose
// termination was requested, the second for an epoch that the owner learned from the
// reply to a direct command.
func TestLeaseIsCountedFromEveryReply(t *testing.T) {
	t.Run("returning", func(t *testing.T) {
		r := newTestOwner(nil)
		r.bringUp("m-1")
		r.machines["m-1"].scalingIn = true
		r.advance(10 * time.Second)
		if _, err := r.Heartbeat(r.now, newHeartbeat("m-1", 1, 9, token(r.term, 0))); err == nil && r.machines["m-1"].leaseExpiresAt.Before(r.now.Add(leaseTimeout)) {
			t.Fatal("a reply renewed the lease without being counted")
		}
	})
	t.Run("epoch by command", func(t *testing.T) {
		r := newTestOwner(nil, records.Machine{Name: "m-1", Type: "box", Addr: "m-1:1"})
		r.advance(15 * time.Second)
		r.CommandResult(r.now, "m-1", newHeartbeat("m-1", 2, 1, token(r.term, 0)))
		if r.machines["m-1"].leaseExpiresAt.Before(r.now.Add(leaseTimeout)) {
			t.Fatal("the owner counts the old epoch's lease for the new epoch")
		}
	})
}

// Late and duplicate heartbeats change nothing, whatever their content. A newer
// heartbeat is always accepted.
func TestLateHeartbeatsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestOwner(nil)
		r.bringUp("m-1")
		epoch, seq := uint64(1), uint64(2)
		for range rapid.IntRange(1, 20).Draw(t, "n") {
			s := rapid.Uint64Range(1, 4).Draw(t, "epoch")
			q := rapid.Uint64Range(1, 30).Draw(t, "seq")
			newer := s > epoch || s == epoch && q > seq
			_, err := r.Heartbeat(r.now, newHeartbeat("m-1", s, q, token(r.term, 0)))
			if (err == nil) != newer {
				t.Fatalf("(%d,%d) after (%d,%d): %v", s, q, epoch, seq, err)
			}
			if newer {
				epoch, seq = s, q
			}
		}
	})
}

// In whatever order tasks are placed, the tasks on a machine never need more than the
// machine has.
func TestBestFitNeverOverfills(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestOwner(nil)
		for i := range rapid.IntRange(1, 4).Draw(t, "machines") {
			r.bringUp(fmt.Sprintf("m-%d", i))
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			j := arrayJob(fmt.Sprintf("run-%d", i), rapid.IntRange(1, 5).Draw(t, "tasks"), "a")
			j.Spec.CPUs = rapid.Float64Range(0.5, 8).Draw(t, "cpus")
			j.Spec.MemoryGB = rapid.Float64Range(0.5, 32).Draw(t, "mem")
			j.Spec.Priority = rapid.SampledFrom([]wire.Priority{wire.PriorityLow, wire.PriorityNormal, wire.PriorityProduction}).Draw(t, "priority")
			r.submit(j)
			r.advance(100 * time.Millisecond)
		}
		for _, m := range r.machines {
			if usage := r.usageOf(m).used; !usage.fits(m.capacity) {
				t.Fatalf("%s: %+v of %+v", m.name, usage, m.capacity)
			}
		}
	})
}

// Without authority the owner starts nothing, writes nothing and answers no heartbeat.
func TestNothingWithoutAuthority(t *testing.T) {
	r := newTestOwner(nil)
	r.bringUp("m-1")
	r.SetAuthority(r.now)
	r.submit(arrayJob("run-1", 3, "a"))
	if actions := r.advance(time.Second); len(actions) != 0 {
		t.Fatalf("acted without authority: %v", actions)
	}
	if _, err := r.Heartbeat(r.now, newHeartbeat("m-1", 1, 9, token(r.term, 0))); err == nil {
		t.Fatal("answered a heartbeat without authority")
	}
}

// A single unreachable machine is terminated. If most machines are unreachable and send
// heartbeats to other controllers, the owner is isolated and terminates none of them.
func TestUnreachableMachineOrIsolatedOwner(t *testing.T) {
	r := newTestOwner(nil)
	for i := range 4 {
		r.bringUp(fmt.Sprintf("m-%d", i))
	}
	seq := uint64(10)
	terminated := map[string]bool{}
	for range 12 {
		r.now = r.now.Add(time.Second)
		seq++
		for i := 1; i < 4; i++ {
			heartbeat := newHeartbeat(fmt.Sprintf("m-%d", i), 1, seq, r.latestToken(fmt.Sprintf("m-%d", i)))
			heartbeat.Spot = true // idle on-demand machines would be terminated
			r.Heartbeat(r.now, heartbeat)
		}
		for _, a := range r.Step(r.now) {
			switch a := a.(type) {
			case SendCommands:
				if a.Machine == "m-0" {
					r.CommandResult(r.now, "m-0", nil)
				}
			case ScaleIn:
				for _, n := range a.Names {
					terminated[n] = true
				}
			}
		}
	}
	if !terminated["m-0"] || len(terminated) != 1 {
		t.Fatalf("terminated %v, want m-0 alone", terminated)
	}
	for range 80 {
		r.advance(100 * time.Millisecond)
	}
	r.ApplyMisroutedHeartbeats(r.now, []MisroutedHeartbeat{{"m-1", 1, 3}, {"m-2", 1, 3}, {"m-3", 1, 3}}, true)
	if _, misrouted := r.IsIsolated(r.now); misrouted {
		t.Fatal("late copies of old heartbeats count as evidence")
	}
	r.ApplyMisroutedHeartbeats(r.now, []MisroutedHeartbeat{{"m-1", 1, 900}, {"m-2", 1, 900}, {"m-3", 1, 900}}, true)
	if isolated, misrouted := r.IsIsolated(r.now); !isolated || !misrouted {
		t.Fatalf("isolated %v, misrouted %v: the owner does not detect its isolation", isolated, misrouted)
	}
	for _, a := range r.Step(r.now) {
		if scaleIn, ok := a.(ScaleIn); ok {
			t.Fatalf("terminated %v although they send heartbeats to other controllers", scaleIn.Names)
		}
	}
}

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// After a spot notice, a task that can save a checkpoint is stopped early enough to
// finish saving, and no earlier than necessary.
func TestSpotNoticeLeavesTimeForCheckpoint(t *testing.T) {
	r := newTestOwner(nil)
	r.bringUp("m-1")
	j := arrayJob("run-1", 1, "a")
	j.Spec.CheckpointIntervalS, j.Spec.CheckpointSaveS, j.Spec.EstimateS = 30, 5, 500
	r.submit(j)
	s := directStarts(r.advance(time.Millisecond), "m-1")
	if len(s) != 1 {
		t.Fatalf("started %v", s)
	}
	running := wire.TaskStatus{Task: s[0].Task, Attempt: s[0].Attempt, State: wire.TaskRunning}
	noticed := r.now
	for seq := uint64(10); r.now.Sub(noticed) < 20*time.Second; seq++ {
		r.now = r.now.Add(time.Second)
		heartbeat := newHeartbeat("m-1", 1, seq, token(r.term, 0), running)
		left := 20 - r.now.Sub(noticed).Seconds()
		heartbeat.NoticeS = &left
		r.Step(r.now)
		reply, _ := r.Heartbeat(r.now, heartbeat)
		for _, c := range reply.Commands {
			if c.Op != wire.OpStop {
				continue
			}
			if left < *c.GraceS || *c.GraceS < j.Spec.CheckpointSaveS || left > 12 {
				t.Fatalf("stop sent %g s before the reclaim, with a grace period of %g s", left, *c.GraceS)
			}
			return
		}
	}
	t.Fatal("no stop sent before the reclaim")
}

// Work that can save a checkpoint is preempted only once, with time to save. The
// preempting task starts after that work has ended.
func TestPreemptedWorkSavesCheckpointFirst(t *testing.T) {
	r := newTestOwner(nil)
	r.bringUp("m-1")
	low := arrayJob("run-1", 1, "a")
	low.Spec.CPUs, low.Spec.CheckpointIntervalS, low.Spec.CheckpointSaveS = 8, 30, 5
	r.submit(low)
	s := directStarts(r.advance(time.Millisecond), "m-1")
	if len(s) != 1 {
		t.Fatalf("started %v", s)
	}
	status := wire.TaskStatus{Task: s[0].Task, Attempt: s[0].Attempt, State: wire.TaskRunning}
	r.CommandResult(r.now, "m-1", newHeartbeat("m-1", 1, 10, token(r.term, 0), status))
	high := arrayJob("run-2", 1, "a")
	high.Spec.Priority = wire.PriorityProduction
	r.submit(high)
	stops := 0
	for _, a := range r.advance(time.Second) {
		if cmd, ok := a.(SendCommands); ok {
			for _, c := range cmd.Request.Commands {
				switch c.Op {
				case wire.OpStart:
					t.Fatalf("%s started before the resources were free", c.Task)
				case wire.OpStop:
					stops++
					if *c.GraceS < low.Spec.CheckpointSaveS {
						t.Fatalf("grace period of %g s is shorter than the checkpoint save", *c.GraceS)
					}
				}
			}
		}
	}
	if stops != 1 {
		t.Fatalf("%d stops", stops)
	}
	status.State, status.Cause, status.Checkpointed = wire.TaskExited, wire.CauseStopped, true
	r.CommandResult(r.now, "m-1", newHeartbeat("m-1", 1, 11, token(r.term, 0), status))
	if s := directStarts(r.advance(time.Second), "m-1"); len(s) != 1 || s[0].Task != "run-2/0" {
		t.Fatalf("started %v, want run-2/0", s)
	}
}

// A late copy of a heartbeat reaches a new owner that knows no newer heartbeat of the
// machine. The copy lists a task that has since moved to another machine, which has sent
// no heartbeat to the new owner yet. When a current heartbeat of the first machine no
// longer lists the task, the owner must not place the task.
func TestLateHeartbeatToNewOwnerFreesNothing(t *testing.T) {
	old := arrayJob("run-1", 1, "a")
	r := newTestOwner(map[string]*records.Job{"run-1": old},
		records.Machine{Name: "m-1", Type: "box", Addr: "m-1:1"}, records.Machine{Name: "m-2", Type: "box", Addr: "m-2:1"})
	r.bringUp("m-3")
	running := func(attempt uint64) wire.TaskStatus {
		return wire.TaskStatus{Task: "run-1/0", Attempt: attempt, State: wire.TaskRunning}
	}
	before := token(r.term-1, 3)
	r.Heartbeat(r.now, newHeartbeat("m-1", 1, 5, before, running(7))) // the late copy
	r.Step(r.now)
	r.now = r.now.Add(100 * time.Millisecond)
	r.Heartbeat(r.now, newHeartbeat("m-1", 1, 90, before)) // a current heartbeat of m-1
	r.now = r.now.Add(100 * time.Millisecond)
	r.Heartbeat(r.now, newHeartbeat("m-1", 1, 91, r.latestToken("m-1")))
	r.Heartbeat(r.now, newHeartbeat("m-3", 1, 3, r.latestToken("m-3")))
	for range 20 {
		for _, m := range []string{"m-1", "m-3"} {
			if s := directStarts(r.advance(100*time.Millisecond), m); len(s) > 0 {
				t.Fatalf("%v started on %s while m-2 has sent no heartbeat", s, m)
			}
		}
	}
	r.Heartbeat(r.now, newHeartbeat("m-2", 1, 40, before, running(9)))
	r.now = r.now.Add(100 * time.Millisecond)
	r.Heartbeat(r.now, newHeartbeat("m-2", 1, 41, r.latestToken("m-2"), running(9)))
	if a := r.jobs["run-1"].tasks[0].attempt; a == nil || a.machine.name != "m-2" {
		t.Fatalf("the running attempt was not adopted: %+v", a)
	}
}

// Without authority an owner extends its machines' leases for the lease extension and
// sends no commands. Its successor counts a machine's lease from the end of that
// extension, unless the machine has reported the successor's token and therefore ignores
// older replies.
func TestLeaseExtensionIsCountedByTheNextOwner(t *testing.T) {
	const leaseExtension = 15 * time.Second
	old := newTestOwner(map[string]*records.Job{"run-1": arrayJob("run-1", 2, "a")})
	old.cfg.LeaseExtension = leaseExtension
	old.bringUp("m-0")
	old.commitAll(old.advance(time.Second))
	authorityEnd := old.now
	old.SetAuthority(authorityEnd)
	seq := uint64(10)
	last := time.Time{}
	for ; old.now.Before(authorityEnd.Add(2 * leaseExtension)); old.now = old.now.Add(time.Second) {
		seq++
		reply, err := old.Heartbeat(old.now, newHeartbeat("m-0", 1, seq, old.latestToken("m-0")))
		if err != nil {
			break
		}
		if len(reply.Commands) > 0 {
			t.Fatalf("commands without authority: %v", reply.Commands)
		}
		last = old.now
	}
	if d := last.Sub(authorityEnd); d < leaseExtension-3*time.Second || d > leaseExtension {
		t.Fatalf("leases extended for %s, want about %s", d, leaseExtension)
	}
	for name, showsNewToken := range map[string]bool{"unreachable": false, "shows the new token": true} {
		t.Run(name, func(t *testing.T) {
			next := newTestOwner(map[string]*records.Job{"run-1": arrayJob("run-1", 2, "a")}, records.Machine{Name: "m-0", Type: "box", Addr: "m-0:1"})
			next.Core = New(Config{Shard: "a", HeartbeatPeriod: 3 * time.Second, LeaseTimeout: leaseTimeout, LeaseExtension: leaseExtension, SizeLimits: records.SizeLimits{Current: 8192, Next: 8192}, MaxDirectCommands: 200, MaxTxnOps: 12, MaxWritesPerSecond: 100, JobOrder: leader.NewJobOrder(nil)},
				authorityEnd, Snapshot{Term: 6, TermVersion: 51})
			next.SetAuthority(authorityEnd.Add(time.Hour))
			// The machine sends one heartbeat to the new owner, whose reply may be lost.
			// The machine then sends the next heartbeat to the old owner.
			reportedToken := token(5, 0)
			if showsNewToken {
				reportedToken = token(6, 0)
			}
			next.Heartbeat(authorityEnd, newHeartbeat("m-0", 1, 50, reportedToken))
			m := next.machines["m-0"]
			ends := m.leaseExpiresAt.Sub(authorityEnd)
			if showsNewToken && ends != leaseTimeout || !showsNewToken && (ends < leaseExtension+leaseTimeout || m.leaseExpiresAt.Before(last.Add(leaseTimeout))) {
				t.Fatalf("the machine's lease counts as expired %s after the term was acquired", ends)
			}
		})
	}
}

// After the owner's process was paused, or the shard was partitioned, no machine is
// terminated for heartbeats that the owner could not have received.
func TestPausedProcessTerminatesNoMachine(t *testing.T) {
	r := newTestOwner(nil)
	r.bringUpFleet(40)
	for _, m := range r.machines {
		m.spot = true // on-demand machines would be consolidated
	}
	var terminated []string
	advanceFor := func(d time.Duration) { terminated = append(terminated, r.advanceUnanswered(d, func() {})...) }
	advanceFor(time.Second)
	r.now = r.now.Add(7 * time.Second) // the process is paused; heartbeats sent meanwhile are not read yet
	advanceFor(2 * time.Second)
	if len(terminated) > 0 {
		t.Fatalf("terminated %d machines whose heartbeats were not read yet", len(terminated))
	}
	// During a partition the shard requests no machines. Afterwards the machines become
	// reachable one after the other.
	advanceFor(4 * time.Second)
	r.submit(arrayJob("run-2", 400, "a"))
	advanceFor(4 * time.Second)
	if !r.partitioned || len(terminated) > 0 || len(r.pendingScaleOuts) > 0 {
		t.Fatalf("partitioned %v, terminated %d, scale-out requests %d", r.partitioned, len(terminated), len(r.pendingScaleOuts))
	}
	if a := r.Aggregate(r.now, 1); a.CanScaleOutOnDemand || a.CanScaleOutSpot || a.OnDemand.CPUs.Sum > 0 {
		t.Fatalf("a partitioned shard offers capacity: %+v", a)
	}
	for i := range 20 {
		name := fmt.Sprintf("m-%05d", i)
		heartbeat := newHeartbeat(name, 1, 100, r.latestToken(name))
		heartbeat.Spot = true
		r.Heartbeat(r.now, heartbeat)
	}
	advanceFor(2 * time.Second)
	if r.partitioned || len(terminated) > 0 {
		t.Fatalf("partitioned %v, terminated %d machines that were about to send heartbeats", r.partitioned, len(terminated))
	}
}

// A shard whose machines are all unreachable counts as partitioned, and no machine is
// terminated until the cloud stops listing the machines. Machines that are no longer
// listed have ended: the shard must stop waiting for their leases and may request
// machines again.
func TestPartitionedShardOrTerminatedMachines(t *testing.T) {
	r := newTestOwner(nil)
	r.bringUpFleet(5)
	var list []wire.CloudMachine
	for _, m := range r.machines {
		m.spot = true
		list = append(list, wire.CloudMachine{Name: m.name, Zone: "a", Type: "box", Spot: true, State: wire.MachineRunning, AgeS: 100})
	}
	r.ApplyMachineList(r.now, list)
	terminated := 0
	advanceFor := func(d time.Duration) { terminated += len(r.advanceUnanswered(d, func() { r.peersReportedAt = r.now })) }
	advanceFor(9 * time.Second)
	r.ApplyMachineList(r.now, list)
	r.ApplyMachineList(r.now, nil) // a list may be older than the list before it
	advanceFor(time.Second)
	if terminated > 0 || !r.partitioned {
		t.Fatalf("terminated %d machines that are listed, partitioned %v", terminated, r.partitioned)
	}
	r.ApplyMachineList(r.now, nil)
	advanceFor(7 * time.Second)
	if terminated != 5 || r.partitioned {
		t.Fatalf("terminated %d of 5 machines that have ended, partitioned %v", terminated, r.partitioned)
	}
}

// A task was kept in its shard because no shard had capacity. Once the task has waited
// for long and another shard has capacity for a single task, the owner offloads the task
// to the leader. That holds even if the shard may still scale out, because the cloud may
// refuse machines forever.
func TestLongWaitGoesToShardWithCapacity(t *testing.T) {
	for _, freeCPUs := range []float64{0, 4} {
		j := arrayJob("run-1", 2, "a")
		j.AcceptedMS = time.Unix(1000, 0).UnixMilli()
		r := newTestOwner(map[string]*records.Job{"run-1": j})
		offloaded := 0
		for range 120 {
			for _, a := range r.advance(500 * time.Millisecond) {
				switch a := a.(type) {
				case ScaleOut: // the cloud refuses each request
					r.ScaleOutResult(r.now, a.Request.RequestID, nil, true)
				case Commit:
					if record, err := records.Decode(a.Txn.Changes[0].Put, a.Txn.Changes[0].Value); err == nil {
						if j, ok := record.(*records.Job); ok {
							offloaded += len(j.Unassigned())
						}
					}
				}
			}
			agg := leader.Aggregate{Shard: "b", Term: 1, OnDemand: leader.FreeCapacity{Machines: 1}}
			for _, m := range []*leader.Moments{&agg.OnDemand.CPUs, &agg.OnDemand.Memory} {
				m.Add(freeCPUs)
				m.Finish(1)
			}
			r.ApplyOtherShards(r.now, []leader.Aggregate{agg, {Shard: "c", Term: 1}})
		}
		if (offloaded > 0) != (freeCPUs > 0) {
			t.Errorf("%g CPUs are free in another shard, and %d ranges were offloaded", freeCPUs, offloaded)
		}
	}
}

// Another controller's message that a job is cancelled stops the job's tasks and
// prevents starts before the feed delivers the record. Until then the owner writes
// nothing to the job's record.
func TestCancellationFromPeerStopsTasks(t *testing.T) {
	r := newTestOwner(nil)
	r.bringUp("m-1")
	j := arrayJob("run-1", 2, "a")
	j.AcceptedMS = r.now.UnixMilli()
	r.Apply(r.now, records.Change{Key: records.KeyJob("run-1"), Version: 60, Record: j})
	if n := len(directStarts(r.advance(time.Second), "m-1")); n != 2 {
		t.Fatalf("%d of 2 tasks started", n)
	}
	r.ApplyCancellation("run-1")
	r.ApplyCancellation("run-2") // not in this shard
	if j.End != "" {
		t.Error("the feed's record was changed")
	}
	statuses := []wire.TaskStatus{}
	for _, attempt := range r.machines["m-1"].attempts {
		statuses = append(statuses, wire.TaskStatus{Task: attempt.key.task, Attempt: attempt.key.number, State: wire.TaskRunning})
	}
	reply, err := r.Heartbeat(r.now, newHeartbeat("m-1", 1, 3, r.latestToken("m-1"), statuses...))
	if err != nil || len(reply.Commands) != 2 || reply.Commands[0].Op != wire.OpStop {
		t.Fatalf("answered %+v, want two stops", reply.Commands)
	}
	for i := range statuses {
		statuses[i].State, statuses[i].Cause = wire.TaskExited, wire.CauseStopped
	}
	r.Heartbeat(r.now, newHeartbeat("m-1", 1, 4, r.latestToken("m-1"), statuses...))
	for range 20 {
		for _, a := range r.advance(time.Second) {
			if cm, ok := a.(Commit); ok && cm.ID == (CommitID{kind: commitJob, jobID: "run-1"}) {
				t.Fatal("the job's record was written before the feed delivered the cancellation")
			}
		}
		if len(directStarts(r.advance(time.Second), "m-1")) > 0 {
			t.Fatal("a cancelled task was started")
		}
	}
	stored := j.Clone()
	stored.End = wire.JobCancelled
	r.Apply(r.now, records.Change{Key: records.KeyJob("run-1"), Version: 70, Record: stored})
	closed := false
	for _, a := range r.advance(time.Second) {
		cm, ok := a.(Commit)
		closed = closed || ok && cm.ID == (CommitID{kind: commitJob, jobID: "run-1"})
	}
	if !closed {
		t.Error("the assignments were not closed once the feed brought the cancellation")
	}
}

// A late copy of a heartbeat is no proof that a new owner receives heartbeats, even if
// the owner knows no newer heartbeat of the machine. Otherwise the other machines of a
// small partitioned shard would count as failed individually and would be terminated.
func TestLateHeartbeatIsNoEvidenceAtFailover(t *testing.T) {
	var inventory []records.Machine
	for i := range 3 {
		name := fmt.Sprintf("m-%d", i)
		inventory = append(inventory, records.Machine{Name: name, Type: "box", Addr: name + ":1"})
	}
	for _, copied := range []bool{true, false} {
		r := newTestOwner(nil, inventory...)
		seen := token(r.term-1, 3)
		if !copied {
			seen = token(r.term, 0) // the owner does receive m-0's heartbeats: the others have failed individually
		}
		seq := uint64(50)
		r.advanceUnanswered(time.Second, func() {})
		r.Heartbeat(r.now, newHeartbeat("m-0", 1, seq, seen))
		terminated := r.advanceUnanswered(15*time.Second, func() {
			r.peersReportedAt = r.now
			if !copied {
				seq++
				r.Heartbeat(r.now, newHeartbeat("m-0", 1, seq, r.latestToken("m-0")))
			}
		})
		if want := map[bool]int{true: 0, false: 2}[copied]; len(terminated) != want {
			t.Errorf("copied %v: terminated %v, want %d", copied, terminated, want)
		}
	}
}
