package controller

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"ravenport/leader"
	"ravenport/records"
	"ravenport/settings"
	"ravenport/shard"
	"ravenport/wire"
)

// overload drives a leader and two owners, without actors, in steps of simulated time. The number
// of machines is fixed, and three times as much work is submitted as they can do. All actions
// are executed at once.
type overload struct {
	rng        *rand.Rand
	now        time.Time
	revision   uint64
	leader     *leader.Core
	owners     map[string]*shard.Core
	workers    map[string]*overloadWorker
	names      []string
	jobs       map[string]*overloadJob
	order      []string
	roundClock time.Time // simulated clock that bounds the duration of rounds
}

// roundTimePerJob is the time on the round clock that a round takes for one job. It is about ten
// times the real time, so that rounds reach their time limit sooner than with the real clock.
const roundTimePerJob = 50 * time.Microsecond

// advanceRoundClock is the clock of rounds. It advances with each job that a round visits. With
// the real clock, rounds on a busy machine were cut off at arbitrary jobs, and a large job
// started late in about one of forty runs under heavy load.
func (c *overload) advanceRoundClock() time.Time {
	c.roundClock = c.roundClock.Add(roundTimePerJob)
	return c.roundClock
}

type overloadJob struct {
	record      *records.Job
	version     uint64
	submittedAt time.Time
	startedAt   time.Time
	cancelAt    time.Time
	remaining   map[int]bool // indexes of the tasks that are not done
}

type overloadWorker struct {
	name, zone    string
	seq, token    uint64
	tasks         map[string]*overloadTask
	changed       bool
	nextHeartbeat time.Time
}

type overloadTask struct {
	status wire.TaskStatus
	endsAt time.Time
}

func newOverload(seed uint64) *overload {
	c := &overload{rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_000_000, 0), owners: map[string]*shard.Core{},
		workers: map[string]*overloadWorker{}, jobs: map[string]*overloadJob{}}
	set := &settings.Settings{}
	set.Deployment.Zones = []string{"a", "b"}
	set.Deployment.Store.ValueKB, set.Deployment.Store.WriteRPS = 8, 100
	set.Deployment.Teams = []settings.Team{{Name: "sure", GuaranteedCPUs: 40, LimitCPUs: 60}, {Name: "tight", LimitCPUs: 48}, {Name: "free"}}
	set.Deployment.Objectives = []settings.Objective{{Kind: "finished", Class: "arrays", WithinS: 60}, {Kind: "finished", Class: "arrays", WithinS: 120}}
	c.leader = leader.New(set, 1, c.now, nil, nil)
	c.leader.SetRoundClock(c.advanceRoundClock)
	types := []wire.MachineType{{Name: "box", CPUs: 8, MemoryGB: 32, Price: 1, SpotPrice: 0.4, BootS: 30, Zones: set.Deployment.Zones}}
	for _, z := range set.Deployment.Zones {
		c.owners[z] = shard.New(shard.Config{Shard: z, HeartbeatPeriod: 3 * time.Second, LeaseTimeout: 21 * time.Second, SpotIdleTimeout: time.Hour, OnDemandIdleTimeout: time.Hour,
			CloudListLag: 5 * time.Second, SizeLimits: records.SizeLimits{Current: 8192, Next: 8192}, MaxTxnOps: 12, MaxWritesPerSecond: 100, JobOrder: leader.NewJobOrder(set.Deployment.Objectives)}, c.now, shard.Snapshot{Term: 1, TermVersion: 1, MachineTypes: types})
		c.owners[z].SetRoundClock(c.advanceRoundClock)
		for i := range 10 {
			w := &overloadWorker{name: fmt.Sprintf("m-%s-%d", z, i), zone: z, tasks: map[string]*overloadTask{}}
			c.workers[w.name] = w
			c.names = append(c.names, w.name)
		}
	}
	return c
}

func (c *overload) write(t wire.Txn) uint64 {
	c.revision++
	for _, ch := range t.Changes {
		record, err := records.Decode(ch.Put, ch.Value)
		if err != nil {
			panic(err)
		}
		c.applyRecord(ch.Put, record)
	}
	return c.revision
}

func (c *overload) applyRecord(key string, record records.Record) {
	if j, ok := record.(*records.Job); ok {
		c.jobs[j.ID].record, c.jobs[j.ID].version = j, c.revision
		c.leader.ApplyJob(c.now, j.ID, j, c.revision)
	}
	for _, o := range c.owners {
		o.Apply(c.now, records.Change{Key: key, Version: c.revision, Record: record})
	}
}

func (c *overload) submit(s wire.Submission, lifetime time.Duration) {
	j := &overloadJob{submittedAt: c.now, remaining: map[int]bool{}}
	for i := range s.Tasks {
		j.remaining[i] = true
	}
	if lifetime > 0 {
		j.cancelAt = c.now.Add(lifetime)
	}
	c.jobs[s.ID] = j
	c.order = append(c.order, s.ID)
	c.revision++
	c.applyRecord(records.KeyJob(s.ID), &records.Job{ID: s.ID, Spec: s, AcceptedMS: c.now.UnixMilli()})
}

// conditionsHold reports whether a transaction's conditions on jobs hold.
func (c *overload) conditionsHold(t wire.Txn) bool {
	for _, k := range t.Conditions {
		for id, j := range c.jobs {
			if k.Key == records.KeyJob(id) && k.Version != j.version {
				return false
			}
		}
	}
	return true
}

func (c *overload) step() {
	c.now = c.now.Add(250 * time.Millisecond)
	c.leader.SetAuthority(c.now.Add(time.Hour))
	for _, o := range c.owners {
		o.SetAuthority(c.now.Add(time.Hour))
		c.leader.ApplyAggregate(c.now, o.Aggregate(c.now, c.revision))
		for _, p := range c.owners {
			p.ApplyOtherShards(c.now, []leader.Aggregate{o.Aggregate(c.now, c.revision)})
		}
	}
	c.stepLeader()
	c.stepOwners()
	c.stepWorkers()
	c.cancelDue()
}

func (c *overload) stepLeader() {
	for _, cm := range c.leader.Step(c.now) {
		if c.conditionsHold(cm.Txn) {
			c.leader.ApplyCommitResult(c.now, cm.JobID, cm.Urgent, c.write(cm.Txn))
		} else {
			c.leader.ApplyCommitResult(c.now, cm.JobID, cm.Urgent, 0)
		}
	}
}

func (c *overload) stepOwners() {
	for _, z := range []string{"a", "b"} {
		o := c.owners[z]
		for _, act := range o.Step(c.now) {
			switch act := act.(type) {
			case shard.Commit:
				if c.conditionsHold(act.Txn) {
					o.CommitResult(c.now, act.ID, c.write(act.Txn))
				} else {
					o.CommitResult(c.now, act.ID, 0)
				}
			case shard.ScaleOut:
				o.ScaleOutResult(c.now, act.Request.RequestID, nil, true) // the cloud never has capacity
			case shard.SendCommands:
				w := c.workers[act.Machine]
				w.token = max(w.token, act.Request.FencingToken)
				c.execute(w, act.Request.Commands)
				o.CommandResult(c.now, w.name, w.heartbeat())
			}
		}
	}
}

func (c *overload) stepWorkers() {
	for _, name := range c.names {
		w := c.workers[name]
		for _, x := range w.tasks {
			if x.status.State != wire.TaskExited && !x.endsAt.IsZero() && !c.now.Before(x.endsAt) {
				x.status.State, x.status.Cause = wire.TaskExited, wire.CauseDone
				id, i, _ := wire.ParseTaskName(x.status.Task)
				delete(c.jobs[id].remaining, i)
				w.changed = true
			}
		}
		if !w.changed && c.now.Before(w.nextHeartbeat) {
			continue
		}
		w.changed, w.nextHeartbeat = false, c.now.Add(3*time.Second)
		if reply, err := c.owners[w.zone].Heartbeat(c.now, w.heartbeat()); err == nil {
			w.changed = reply.FencingToken > w.token
			w.token = max(w.token, reply.FencingToken)
			c.execute(w, reply.Commands)
		}
	}
}

// cancelDue cancels the jobs whose cancellation is due.
func (c *overload) cancelDue() {
	for _, id := range c.order {
		if j := c.jobs[id]; !j.cancelAt.IsZero() && c.now.After(j.cancelAt) && j.record.End == "" {
			record := j.record.Clone()
			record.End = wire.JobCancelled
			c.revision++
			c.applyRecord(records.KeyJob(id), record)
		}
	}
}

func (w *overloadWorker) heartbeat() *wire.Heartbeat {
	w.seq++
	r := &wire.Heartbeat{Machine: w.name, Addr: w.name, Type: "box", Zone: w.zone, Epoch: 1, Seq: w.seq, FencingToken: w.token}
	for _, x := range w.tasks {
		r.Tasks = append(r.Tasks, x.status)
	}
	return r
}

func (c *overload) execute(w *overloadWorker, cmds []wire.Command) {
	for _, cmd := range cmds {
		key := fmt.Sprint(cmd.Task, "#", cmd.Attempt)
		x := w.tasks[key]
		switch {
		case cmd.Op == wire.OpStart && x == nil:
			id, _, _ := wire.ParseTaskName(cmd.Task)
			j := c.jobs[id]
			if j.startedAt.IsZero() {
				j.startedAt = c.now
			}
			x = &overloadTask{status: wire.TaskStatus{Task: cmd.Task, Attempt: cmd.Attempt, State: wire.TaskRunning}}
			if !j.record.Spec.IsService() {
				x.endsAt = c.now.Add(settings.Seconds(j.record.Spec.EstimateS))
			}
			w.tasks[key] = x
		case cmd.Op == wire.OpStop && x != nil && x.status.State != wire.TaskExited:
			x.status.State, x.status.Cause = wire.TaskExited, wire.CauseStopped
		case cmd.Op == wire.OpForget:
			delete(w.tasks, key)
		default:
			continue
		}
		w.changed = true
	}
}

// runOverload runs eight minutes of sustained overload and returns the jobs that had enough time
// to start: those that were submitted more than four minutes before the end.
func runOverload(seed uint64) (*overload, []*overloadJob) {
	c := newOverload(seed)
	const capacity = 2 * 10 * 8.0 // CPUs
	n, load := 0, 0.0
	for quarter := 0; quarter < 8*60*4; quarter++ {
		// Submits three times the capacity on average: load holds the CPU seconds that are due
		// for submission, and grows at each step of a quarter of a second.
		for load += 3 * capacity / 4 * c.rng.Float64() * 2; load > 0; n++ {
			s := wire.Submission{ID: fmt.Sprintf("run-%06d", n), Class: "arrays", Team: []string{"sure", "tight", "free", "free"}[c.rng.IntN(4)],
				Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 4 + c.rng.IntN(32), CPUs: float64(1 + c.rng.IntN(3)), MemoryGB: 1,
				Image: fmt.Sprint("i", c.rng.IntN(3)), EstimateS: float64(5 + c.rng.IntN(15)), Spot: true}
			lifetime := time.Duration(0)
			switch c.rng.IntN(12) {
			case 0: // large jobs
				s.Tasks = 160
			case 1: // tasks that need nearly a whole machine
				s.CPUs, s.Tasks = 7, 6
			case 2, 3, 4: // services, which are cancelled after 30 s; a third of the load
				s.Class, s.Kind, s.Priority, s.Spot, s.EstimateS, s.CPUs = "services", wire.KindService, wire.PriorityProduction, false, 0, 1
				s.Tasks, s.Spread = 1+c.rng.IntN(3), true
				if c.rng.IntN(8) == 0 {
					s.Tasks = 10
				}
				lifetime = 30 * time.Second
			}
			load -= s.CPUs * float64(s.Tasks) * max(s.EstimateS, lifetime.Seconds())
			c.submit(s, lifetime)
		}
		c.step()
	}
	var settled []*overloadJob
	for _, id := range c.order {
		if j := c.jobs[id]; c.now.Sub(j.submittedAt) > 4*time.Minute {
			settled = append(settled, j)
		}
	}
	return c, settled
}

// Under sustained overload at least half of the jobs of each class and of each team start within
// four minutes. The largest jobs of each class and the jobs with large tasks all start within
// four minutes.
func TestNoStarvationUnderOverload(t *testing.T) {
	discardLogs(t)
	for seed := range uint64(2) {
		_, old := runOverload(seed)
		groups := map[string][]*overloadJob{}
		sizes := map[string][]int{}
		for _, j := range old {
			sizes[j.record.Spec.Class] = append(sizes[j.record.Spec.Class], j.record.Spec.Tasks)
		}
		for _, s := range sizes {
			sort.Ints(s)
		}
		for _, j := range old {
			s := &j.record.Spec
			groups["class "+s.Class] = append(groups["class "+s.Class], j)
			groups["team "+s.Team] = append(groups["team "+s.Team], j)
			if all := sizes[s.Class]; s.Tasks >= all[len(all)*9/10] {
				groups["largest "+s.Class] = append(groups["largest "+s.Class], j)
			}
			if s.CPUs == 7 {
				groups["large tasks"] = append(groups["large tasks"], j)
			}
		}
		for name, group := range groups {
			served, startedInTime := 0, 0
			for _, j := range group {
				if !j.startedAt.IsZero() {
					served++
					if j.startedAt.Sub(j.submittedAt) <= 4*time.Minute {
						startedInTime++
					}
				}
			}
			t.Logf("seed %d: %s: %d jobs, %d started, %d within four minutes", seed, name, len(group), served, startedInTime)
			if 2*served < len(group) {
				t.Errorf("seed %d: %s: %d of %d started", seed, name, served, len(group))
			}
			if large := strings.HasPrefix(name, "large"); startedInTime < len(group) && large || 2*startedInTime < len(group) {
				t.Errorf("seed %d: %s: %d of %d started within four minutes", seed, name, startedInTime, len(group))
			}
		}
		if len(groups) < 8 {
			t.Fatalf("only %d groups of jobs", len(groups))
		}
	}
}
