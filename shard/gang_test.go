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

// hands are workers played by hand: they list what they were told to start, in
// the state that the test gives it.
type hands struct {
	*rig
	held  map[string][]wire.TaskStatus // by machine
	seq   map[string]uint64
	stops map[string]float64 // by task: the time to save that it was told
	spot  string             // the machine that is a spot one
}

func newHands(r *rig, machines ...string) *hands {
	h := &hands{rig: r, held: map[string][]wire.TaskStatus{}, seq: map[string]uint64{}, stops: map[string]float64{}}
	h.cfg.GangStartTimeout, h.cfg.GangPeerTimeout = 30*time.Second, 8*time.Second
	for _, m := range machines {
		r.bringUp(m)
		h.seq[m] = 10
	}
	return h
}

// carry carries out the direct commands among actions and grants all writes.
func (h *hands) carry(acts []Action) (starts []wire.Command) {
	h.commitAll(acts)
	for _, a := range acts {
		s, ok := a.(SendCommands)
		if !ok {
			continue
		}
		if _, alive := h.seq[s.Machine]; !alive {
			h.CommandResult(h.now, s.Machine, nil)
			continue
		}
		starts = append(starts, h.obey(s.Machine, s.Request.Commands)...)
		h.seq[s.Machine]++
		h.CommandResult(h.now, s.Machine, h.says(s.Machine))
	}
	return starts
}

// obey carries out commands.
func (h *hands) obey(m string, cmds []wire.Command) (starts []wire.Command) {
	for _, c := range cmds {
		switch c.Op {
		case wire.OpStart:
			if !slices.ContainsFunc(h.held[m], func(t wire.TaskStatus) bool { return t.Task == c.Task && t.Attempt == c.Attempt }) {
				starts = append(starts, c)
				h.held[m] = append(h.held[m], wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskFetching})
			}
		case wire.OpStop:
			h.stops[c.Task] = *c.GraceS
		case wire.OpForget:
			h.held[m] = slices.DeleteFunc(h.held[m], func(t wire.TaskStatus) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
		}
	}
	return starts
}

// says is what a machine reports.
func (h *hands) says(m string) *wire.Heartbeat {
	r := newHeartbeat(m, 1, h.seq[m], h.latestToken(m), h.held[m]...)
	r.Spot = m == h.spot
	return r
}

// tell lets a machine report and obey the answer.
func (h *hands) tell(m string) []wire.Command {
	h.seq[m]++
	reply, _ := h.Heartbeat(h.now, h.says(m))
	return h.obey(m, reply.Commands)
}

// set gives all tasks of a machine a state and lets it report.
func (h *hands) set(m, state, cause string) []wire.Command {
	for i := range h.held[m] {
		h.held[m][i].State, h.held[m][i].Cause = state, cause
	}
	return h.tell(m)
}

// run lets time pass in which the machines report.
func (h *hands) run(d time.Duration) (starts []wire.Command) {
	for end := h.now.Add(d); h.now.Before(end); {
		starts = append(starts, h.carry(h.advance(250*time.Millisecond))...)
		for _, m := range slices.Sorted(func(yield func(string) bool) {
			for m := range h.seq {
				if !yield(m) {
					return
				}
			}
		}) {
			starts = append(starts, h.tell(m)...)
		}
	}
	return starts
}

func gangOf(id string, tasks int, shard string) *records.Job {
	j := arrayJob(id, tasks, shard)
	j.Spec.Kind, j.Spec.Spot, j.Spec.CheckpointIntervalS, j.Spec.CheckpointSaveS, j.Spec.OneZone = wire.KindGang, false, 20, 3, true
	return j
}

// A gang starts whole, under one number, or not at all.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	h := newHands(newRig(nil), "m-1", "m-2")
	h.submit(gangOf("run-1", 10, "a")) // of 2 CPUs, on machines of 8
	if s := h.run(3 * time.Second); len(s) != 0 {
		t.Fatalf("%d tasks of a gang started where 8 of 10 find room", len(s))
	}
	h.bringUp("m-3")
	h.seq["m-3"] = 10
	s := h.run(time.Second)
	if len(s) != 10 {
		t.Fatalf("%d of 10 tasks started", len(s))
	}
	for _, c := range s {
		if c.Attempt != s[0].Attempt {
			t.Fatalf("attempts %d and %d in one gang", c.Attempt, s[0].Attempt)
		}
	}
}

// Two gangs that do not fit together never hold half of the room each, and arrays
// do not take what falls free before a waiting gang has it.
func TestGangsDoNotStarve(t *testing.T) {
	h := newHands(newRig(nil), "m-1", "m-2")
	h.submit(arrayJob("run-1", 6, "a"))
	first := h.run(time.Second)
	if len(first) != 6 {
		t.Fatalf("%d array tasks started", len(first))
	}
	for m := range h.seq {
		h.set(m, wire.TaskRunning, "")
	}
	h.submit(gangOf("run-2", 8, "a"))
	h.submit(gangOf("run-3", 8, "a"))
	h.submit(arrayJob("run-4", 20, "a"))
	began := map[string]int{}
	count := func(s []wire.Command) {
		for _, c := range s {
			job, _, _ := wire.ParseTaskName(c.Task)
			began[job]++
		}
	}
	count(h.run(2 * time.Second))
	for _, m := range []string{"m-1", "m-2"} {
		count(h.set(m, wire.TaskExited, wire.CauseDone))
		count(h.run(2 * time.Second))
	}
	if began["run-2"]+began["run-3"] != 8 || began["run-2"]*began["run-3"] != 0 {
		t.Fatalf("of two gangs of 8 began %v", began)
	}
}

// Before it has begun a gang's lost task is replaced under the same number; once
// it has begun the others are stopped at once, and nothing begins before all are
// gone, then under another number.
func TestGangLosesATask(t *testing.T) {
	for _, begun := range []bool{false, true} {
		h := newHands(newRig(nil), "m-1", "m-2", "m-3")
		h.submit(gangOf("run-1", 6, "a"))
		s := h.run(time.Second)
		if len(s) != 6 {
			t.Fatalf("%d of 6 tasks started", len(s))
		}
		lost, other := "", ""
		for _, m := range []string{"m-1", "m-2", "m-3"} {
			if len(h.held[m]) == 2 {
				lost = m
			} else if len(h.held[m]) == 4 {
				other = m
			}
		}
		if begun {
			h.set(lost, wire.TaskRunning, "")
			h.set(other, wire.TaskRunning, "")
		}
		delete(h.seq, lost)
		h.ScaleInResult(h.now, []string{lost})
		again := h.run(2 * time.Second)
		if !begun {
			if len(again) != 2 || again[0].Attempt != s[0].Attempt || again[1].Attempt != s[0].Attempt {
				t.Fatalf("replaced by %v, wanted two under %d", again, s[0].Attempt)
			}
			continue
		}
		if len(again) != 0 {
			t.Fatalf("%v started while the old attempt is on a machine", again)
		}
		if len(h.stops) != 4 || h.stops["run-1/0"] != 0 {
			t.Fatalf("stops %v, wanted four without time to save", h.stops)
		}
		h.set(other, wire.TaskExited, wire.CauseGangPeerLost)
		again = h.run(3 * time.Second)
		if len(again) != 6 || again[0].Attempt == s[0].Attempt {
			t.Fatalf("restarted %v after attempt %d", again, s[0].Attempt)
		}
		if h.machines[other].avoidUntil.After(h.now) || h.jobs["run-1"].failedMachines != nil {
			t.Fatal("a gang's end is taken for somebody's fault")
		}
	}
}

// One task that is done makes the gang done; a new owner finds the attempt that
// runs, neither stops it nor begins another, and closes what is over.
func TestNewOwnerFindsGang(t *testing.T) {
	j := gangOf("run-1", 4, "a")
	old := uint64(4)<<constants.AttemptBits | 7
	h := newHands(newRig(map[string]*records.Job{"run-1": j},
		records.Machine{Name: "m-1", Type: "box", Addr: "m-1:1"}, records.Machine{Name: "m-2", Type: "box", Addr: "m-2:1"}))
	for i := range 4 {
		m := fmt.Sprintf("m-%d", 1+i%2)
		h.seq[m] = 10
		h.held[m] = append(h.held[m], wire.TaskStatus{Task: wire.TaskName("run-1", i), Attempt: old, State: wire.TaskRunning})
	}
	if s := h.run(10 * time.Second); len(s) > 0 || len(h.stops) > 0 {
		t.Fatalf("started %v and stopped %v of a healthy gang", s, h.stops)
	}
	delete(h.seq, "m-1") // gone as it completed
	h.ScaleInResult(h.now, []string{"m-1"})
	h.held["m-2"][0].State, h.held["m-2"][0].Cause = wire.TaskExited, wire.CauseDone
	h.held["m-2"][1].State, h.held["m-2"][1].Cause = wire.TaskExited, wire.CauseDone
	if s := h.run(10 * time.Second); len(s) > 0 {
		t.Fatalf("%v started though the gang is done", s)
	}
	if h.jobs["run-1"] != nil {
		t.Fatal("a gang that is done was not closed")
	}
}

// A spot notice stops a gang whole, all its tasks at once and with time to save.
func TestNoticeStopsGangWhole(t *testing.T) {
	h := newHands(newRig(nil), "m-1", "m-2")
	h.submit(gangOf("run-1", 6, "a"))
	h.run(time.Second)
	for m := range h.seq {
		h.set(m, wire.TaskRunning, "")
	}
	left := 14.0
	h.seq["m-1"]++
	rep := newHeartbeat("m-1", 1, h.seq["m-1"], h.latestToken("m-1"), h.held["m-1"]...)
	rep.NoticeS = &left
	h.Heartbeat(h.now, rep)
	if h.carry(h.advance(200 * time.Millisecond)); len(h.stops) != 6 {
		t.Fatalf("%d of 6 tasks were told to stop together", len(h.stops))
	}
	for task, grace := range h.stops {
		if grace < 3 {
			t.Fatalf("%s has %g s to save in", task, grace)
		}
	}
}

// A page that the version before left, larger than values will be, is brought
// under the limit by writes of any small number of pages, and at each moment every
// machine is on a durable page; also where the owner that did it ends half way.
func TestLargePageIsSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pages := map[string]*records.InventoryPage{}
		versions := map[string]uint64{}
		names := map[string]bool{}
		for p := range rapid.IntRange(1, 3).Draw(t, "pages") {
			pg := &records.InventoryPage{Shard: "a", Number: p}
			for i := range rapid.IntRange(1, 190).Draw(t, "machines") {
				name := fmt.Sprintf("m-%06d", 1000*p+i)
				names[name] = true
				pg.Add(records.Machine{Name: name, Type: "box", Addr: "10.1.200.232:9000"})
			}
			pages[records.KeyInventory("a", p)], versions[records.KeyInventory("a", p)] = pg, uint64(10+p)
		}
		limit := rapid.SampledFrom([]int{1024, 2048, 4096}).Draw(t, "limit")
		rev := uint64(100)
		for term := uint64(5); term < 9; term++ {
			r := newRig(nil)
			cfg := r.cfg
			cfg.SizeLimits, cfg.MaxTxnOps = records.SizeLimits{Current: 8192, Next: limit}, rapid.IntRange(1, 4).Draw(t, "ops")
			now := r.now
			c := New(cfg, now, Snapshot{Term: term, TermVersion: 50, MachineTypes: []wire.MachineType{{Name: "box", CPUs: 8, MemoryGB: 32, Zones: []string{"a"}}}, Inventory: pages, InventoryVersions: versions})
			c.SetAuthority(now.Add(time.Hour))
			steps := 400
			if term < 8 {
				steps = rapid.IntRange(0, 40).Draw(t, "steps")
			}
			for range steps {
				now = now.Add(300 * time.Millisecond)
				c.fleetScans.last = now // nobody reports: nothing is to be given up for it
				for _, a := range c.Step(now) {
					cm, ok := a.(Commit)
					if !ok {
						continue
					}
					if len(cm.Txn.Changes) > cfg.MaxTxnOps {
						t.Fatalf("%d changes where %d are allowed", len(cm.Txn.Changes), cfg.MaxTxnOps)
					}
					rev++
					for _, ch := range cm.Txn.Changes {
						if len(ch.Value) > limit {
							t.Fatalf("a page of %d bytes", len(ch.Value))
						}
						rec, err := records.Decode(ch.Put, ch.Value)
						if err != nil {
							t.Fatal(err)
						}
						pages[ch.Put], versions[ch.Put] = rec.(*records.InventoryPage), rev
					}
					on := map[string]bool{}
					for _, p := range pages {
						for _, m := range p.Machines() {
							on[m.Name] = true
						}
					}
					if len(on) != len(names) {
						t.Fatalf("%d of %d machines on durable pages", len(on), len(names))
					}
					if rapid.Bool().Draw(t, "answered") {
						c.CommitResult(now, cm.ID, rev)
					} else {
						c.CommitResult(now, cm.ID, 0)
						for _, ch := range cm.Txn.Changes {
							c.Apply(now, records.Change{Key: ch.Put, Version: rev, Record: pages[ch.Put]})
						}
					}
				}
			}
		}
		total := 0
		for key, p := range pages {
			total += len(p.Machines())
			if n := len(records.Encode(p)); n > limit {
				t.Fatalf("%s still takes %d bytes", key, n)
			}
		}
		if total != len(names) {
			t.Fatalf("%d entries for %d machines", total, len(names))
		}
	})
}

// A cancelled gang ends at once, with no save, also one that is saving already.
func TestCancelledGangEndsAtOnce(t *testing.T) {
	h := newHands(newRig(nil), "m-1", "m-2")
	j := gangOf("run-1", 6, "a")
	h.submit(j)
	h.run(time.Second)
	for m := range h.seq {
		h.set(m, wire.TaskRunning, "")
	}
	h.stopGangWithCheckpoint(h.jobs["run-1"], "test")
	h.run(time.Second)
	if len(h.stops) != 6 || h.stops["run-1/0"] < 3 {
		t.Fatalf("stops %v, wanted six with time to save", h.stops)
	}
	for m := range h.seq {
		h.set(m, wire.TaskSaving, "")
	}
	end := j.Clone()
	end.End = wire.JobCancelled
	h.submit(end)
	h.run(time.Second)
	for task, grace := range h.stops {
		if grace != 0 {
			t.Fatalf("%s has %g s to save in after its job's cancellation", task, grace)
		}
	}
}

// Room is kept on machines that the waiting gang may use: of its type, and spot
// only where it may be spot.
func TestRoomIsKeptWhereTheGangMayRun(t *testing.T) {
	h := newHands(newRig(nil), "m-1", "m-2")
	h.spot = "m-1"
	h.run(time.Second)
	h.submit(arrayJob("run-1", 8, "a"))
	h.run(time.Second)
	h.submit(gangOf("run-2", 4, "a"))
	h.run(time.Second)
	if !h.machines["m-1"].spot || h.machines["m-1"].reservedForGangs || !h.machines["m-2"].reservedForGangs {
		t.Fatalf("kept: spot %v, ordinary %v; wanted the ordinary one", h.machines["m-1"].reservedForGangs, h.machines["m-2"].reservedForGangs)
	}
}

// A share of a gang in several shards whose number is used up, as a new owner finds,
// or of which another share was given back, is stopped and given back whole: under
// its number nothing would begin any more.
func TestShareIsGivenBack(t *testing.T) {
	job := func() *records.Job {
		j := gangOf("run-1", 4, "a")
		j.Spec.OneZone, j.Spec.Spread, j.Attempt = false, true, 1
		j.Assignments = []records.Assignment{{From: 0, To: 2, Shard: "a", KeepWaiting: true}, {From: 2, To: 4, Shard: "b", KeepWaiting: true}}
		return j
	}
	given := func(h *hands) bool { return h.jobs["run-1"] == nil }

	h := newHands(newRig(map[string]*records.Job{"run-1": job()}, records.Machine{Name: "m-1", Type: "box", Addr: "m-1:1"}))
	h.seq["m-1"] = 10
	h.held["m-1"] = []wire.TaskStatus{{Task: "run-1/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseGangPeerLost}}
	if s := h.run(5 * time.Second); len(s) > 0 || !given(h) {
		t.Fatalf("found used up: started %v, given back %v", s, given(h))
	}

	h = newHands(newRig(nil), "m-1")
	h.submit(job())
	if s := h.run(time.Second); len(s) != 2 || s[0].Attempt != 1 {
		t.Fatalf("started %v, wanted two tasks under the leader's number", s)
	}
	h.set("m-1", wire.TaskWaitingForGang, "")
	shard := job()
	shard.Assignments = shard.Assignments[:1]
	h.submit(shard)
	h.run(time.Second)
	if len(h.stops) != 2 {
		t.Fatalf("stops %v, wanted both tasks of the share", h.stops)
	}
	h.set("m-1", wire.TaskExited, wire.CauseStopped)
	if s := h.run(5 * time.Second); len(s) > 0 || !given(h) {
		t.Fatalf("share alone: started %v, given back %v", s, given(h))
	}
}
