package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ravenport/apiserver"
	"ravenport/records"
	"ravenport/wire"
)

// A scenario brings a meeting of troubles about, on a quiet deployment of its own
// times, and says whether it came: one in which the moment never came proves
// nothing. The world's checker judges every rule over it. guard, if there is one,
// takes away what the scenario is about, and the rules are then seen broken.
type scenario struct {
	name           string
	times          times
	zones          []string
	seeds          []uint64
	body           func(*testing.T, *world)
	unguard        func(*world)
	wantBrokenRule string // that is broken without the guard; empty: any
}

// guardSeeds is over how many seeds a rule is looked for to be seen broken without
// a guard: which one shows it depends on the order in which goroutines run.
const guardSeeds = 24

// runScenarios plays a list of runScenarios, each with its guard and without.
func runScenarios(t *testing.T, list []scenario) {
	t.Helper()
	discardLogs(t)
	for _, s := range list {
		t.Run(s.name, func(t *testing.T) {
			for _, seed := range s.seeds {
				synctest.Test(t, func(t *testing.T) { s.run(t, seed, nil) })
			}
			if s.unguard == nil {
				return
			}
			var others []string
			for seed := range uint64(guardSeeds) {
				var broken []string
				synctest.Test(t, func(t *testing.T) { broken = s.run(t, seed, s.unguard) })
				if slices.ContainsFunc(broken, func(b string) bool { return s.wantBrokenRule == "" || strings.HasPrefix(b, s.wantBrokenRule+":") }) {
					return
				}
				others = append(others, broken...)
			}
			t.Errorf("without its guard %s was never seen broken, only %v", s.wantBrokenRule, others[:min(8, len(others))])
		})
	}
}

// run plays a scenario once and returns the broken rules; without a guard taken away
// there must be none.
func (s scenario) run(t *testing.T, seed uint64, unguard func(*world)) []string {
	w := newWorldWithTimes(seed, s.zones, 3, s.times)
	w.lateCommandShare, w.reliableCloud = 0, true
	w.lostAnswerShare, w.lateWriteShare, w.repeatedWriteShare = 0, 0, 0 // but where a scenario is about them
	for k := range w.capacity {
		w.capacity[k] = 6
	}
	if w.unguarded = unguard != nil; w.unguarded {
		unguard(w)
	}
	for _, n := range w.controllers {
		n.start()
	}
	go w.expireLeases()
	defer w.shutdown()
	time.Sleep(5 * time.Second)
	func() {
		defer func() {
			if p := recover(); p != nil && p != errScenarioOver {
				panic(p)
			}
		}()
		s.body(t, w)
	}()
	w.mu.Lock()
	defer w.mu.Unlock()
	if unguard == nil && len(w.violations) > 0 {
		t.Errorf("seed %d: rules broken: %s", seed, strings.Join(w.violations[:min(4, len(w.violations))], "; "))
	}
	return slices.Clone(w.violations)
}

// errScenarioOver ends a scenario whose guard was taken away: what it would have waited for
// need not come any more.
var errScenarioOver = errors.New("the scene is over")

// fail fails a scenario, unless its guard was taken away.
func (w *world) fail(t *testing.T, format string, args ...any) {
	t.Helper()
	if !w.unguarded {
		t.Errorf(format, args...)
	}
}

// stopScenario fails a scenario that cannot go on.
func (w *world) stopScenario(t *testing.T, format string, args ...any) {
	t.Helper()
	if w.unguarded {
		panic(errScenarioOver)
	}
	t.Fatalf(format, args...)
}

// locked changes the world under its lock.
func (w *world) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// newArray adds an array whose tasks run for so long.
func (w *world) newArray(id string, tasks int, cpus, runS float64) *simJob {
	j := &simJob{spec: wire.Submission{ID: id, Class: "c", Team: "free", Kind: wire.KindArray, Priority: wire.PriorityNormal,
		Tasks: tasks, CPUs: cpus, MemoryGB: 1, Image: "i", ImageGB: 1, Spot: true, EstimateS: runS}, doneTasks: map[int]bool{}}
	w.locked(func() { w.jobs[id] = j })
	return j
}

// cancelAt cancels a job through one controller and says whether that confirmed it.
func (w *world) cancelAt(index int, j *simJob) bool {
	w.locked(func() { j.cancelRequested = true })
	r := w.requestAt(index, func(q apiserver.Request) any { return apiserver.Cancel{Request: q, JobID: j.spec.ID} })
	w.checkReply(j, r, true)
	var s wire.JobStatus
	return r != nil && r.Status == 200 && json.Unmarshal(r.Body, &s) == nil && s.Status == wire.JobCancelled
}

// termHolder is which controller holds a term, by its number; -1: none.
func (w *world) termHolder(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.kv[key]
	if e == nil {
		return -1
	}
	v, err := records.Decode(key, e.value)
	if err != nil {
		panic(err)
	}
	return slices.IndexFunc(w.controllers, func(n *simController) bool { return n.set.Controller == v.(*records.Term).Controller })
}

// tasksOn counts a job's tasks on machines of a zone; "": of any.
func (w *world) tasksOn(zone, job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, m := range w.machines {
		if zone != "" && m.zone != zone {
			continue
		}
		for _, x := range m.tasks {
			if id, _, _ := wire.ParseTaskName(x.name); id == job && onMachine(x.state) {
				n++
			}
		}
	}
	return n
}

// waitUntil waits for something to come about, and fails the test if it does not.
func (w *world) waitUntil(t *testing.T, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			w.stopScenario(t, "it never came about: %s", what)
		}
	}
}

// lots adds one array for each zone, bound to it, of two tasks that run for so long.
func (w *world) boundArrays(id int, runS float64) []*simJob {
	var out []*simJob
	for i, z := range w.controllers[0].set.Deployment.Zones {
		j := w.newArray(fmt.Sprintf("run-%06d", 10*id+i), 2, 2, runS)
		j.spec.Zone = z
		go w.runUser(j, 0, 0)
		out = append(out, j)
	}
	return out
}

// running waits until all tasks of jobs run.
func (w *world) waitAllRunning(t *testing.T, batches ...[]*simJob) {
	t.Helper()
	w.waitUntil(t, "all tasks run", 90*time.Second, func() bool {
		for _, jobs := range batches {
			for _, j := range jobs {
				if w.tasksOn("", j.spec.ID) < j.spec.Tasks {
					return false
				}
			}
		}
		return true
	})
}

// waitAllDone waits until users saw that jobs are done.
func (w *world) waitAllDone(t *testing.T, limit time.Duration, jobs []*simJob) {
	t.Helper()
	w.waitUntil(t, "what was not cancelled is done", limit, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return !slices.ContainsFunc(jobs, func(j *simJob) bool { return j.reportedState != wire.JobDone })
	})
}

// ownedShards lists the zones whose shard a controller owns.
func (w *world) ownedShards(index int) []string {
	var out []string
	for _, z := range w.controllers[0].set.Deployment.Zones {
		if w.termHolder(records.KeyShard(z)) == index {
			out = append(out, z)
		}
	}
	return out
}

// The key-value store refuses one controller alone; another one confirms
// cancellations; then it is away for all for longer than cancel_s, while the
// machines send heartbeats to the first one. And once more, straight after, whoever then
// owns what the first one did.
func cancelBeforeOutage(refused, other int) func(*testing.T, *world) {
	return func(t *testing.T, w *world) {
		cancelWithin := w.times.cancelWithin()
		uncancelled := w.boundArrays(0, 3*cancelWithin.Seconds())
		cancelled := [][]*simJob{w.boundArrays(1, 5*cancelWithin.Seconds()), w.boundArrays(2, 5*cancelWithin.Seconds())}
		w.waitAllRunning(t, uncancelled, cancelled[0], cancelled[1])
		time.Sleep(10 * time.Second)
		for i, jobs := range cancelled {
			if i > 0 && len(w.ownedShards(refused)) == 0 {
				refused = w.termHolder(records.KeyShard(w.controllers[0].set.Deployment.Zones[0]))
				other = (refused + 1) % 3
			}
			n, owned := w.controllers[refused], w.ownedShards(refused)
			starts := 0
			w.locked(func() { starts = w.starts })
			if len(owned) == 0 && w.termHolder(records.KeyLeader) != refused {
				w.stopScenario(t, "gap %d: %s neither owns nor leads: it is not refused to any purpose", i, n.set.Controller)
			}
			w.locked(func() { n.cutFromStore = true })
			time.Sleep(w.randomDuration(100*time.Millisecond, 1200*time.Millisecond))
			for _, j := range jobs {
				if !w.cancelAt(other, j) {
					w.stopScenario(t, "gap %d: %s did not confirm a cancellation", i, w.controllers[other].set.Controller)
				}
			}
			confirmed := time.Now()
			time.Sleep(w.randomDuration(50*time.Millisecond, 400*time.Millisecond))
			for _, z := range owned {
				if w.termHolder(records.KeyShard(z)) != refused {
					w.stopScenario(t, "gap %d: %s lost its shard before the outage", i, n.set.Controller)
				}
			}
			w.setOutage(true)
			time.AfterFunc(14*time.Second, func() { w.locked(func() { n.cutFromStore = false }) })
			time.Sleep(cancelWithin + 12*time.Second)
			w.mu.Lock()
			if len(owned) > 0 && !n.heartbeatAnsweredAt.After(confirmed.Add(2*time.Second)) {
				w.fail(t, "gap %d: no machine reported to %s once the cancellation was confirmed", i, n.set.Controller)
			}
			// What was not cancelled runs on: whoever confirmed names it, and so may
			// promise.
			if w.starts != starts {
				w.fail(t, "gap %d: %d tasks had to start again", i, w.starts-starts)
			}
			w.mu.Unlock()
			w.setOutage(false)
			time.Sleep(20 * time.Second)
		}
		w.waitAllDone(t, 6*cancelWithin, uncancelled)
	}
}

// TestCancellationBeforeOutage: the tasks of a cancelled job are gone in time though the controller that
// the machines send heartbeats to can learn of it neither from the key-value store nor by a
// promise refused. The guard taken away: what the others know of cancellations.
func TestCancellationBeforeOutage(t *testing.T) {
	var list []scenario
	for _, d := range []struct {
		name  string
		times times
		zones []string
	}{{"magnolia", magnoliaTimes, []string{"a", "b", "c"}}, {"umoya", umoyaTimes, []string{"a", "b"}}} {
		for refused := range 3 {
			for _, other := range []int{(refused + 1) % 3, (refused + 2) % 3} {
				s := scenario{name: fmt.Sprintf("%s, %d refused, %d confirms", d.name, refused, other), times: d.times, zones: d.zones, seeds: []uint64{1, 2}, body: cancelBeforeOutage(refused, other)}
				if refused < len(d.zones) {
					s.wantBrokenRule, s.unguard = "ran_cancelled", func(w *world) { w.hideCancellations = true }
				}
				list = append(list, s)
			}
		}
	}
	runScenarios(t, list)
}
