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
	name  string
	times workerTimes
	zones []string
	seeds []uint64
	play  func(*testing.T, *world)
	guard func(*world)
	rule  string // that is broken without the guard; empty: any
}

// guardSeeds is over how many seeds a rule is looked for to be seen broken without
// a guard: which one shows it depends on the order in which goroutines run.
const guardSeeds = 24

// scenarios plays a list of scenarios, each with its guard and without.
func scenarios(t *testing.T, list []scenario) {
	t.Helper()
	discardLogs(t)
	for _, s := range list {
		t.Run(s.name, func(t *testing.T) {
			for _, seed := range s.seeds {
				synctest.Test(t, func(t *testing.T) { s.run(t, seed, nil) })
			}
			if s.guard == nil {
				return
			}
			var others []string
			for seed := range uint64(guardSeeds) {
				var broken []string
				synctest.Test(t, func(t *testing.T) { broken = s.run(t, seed, s.guard) })
				if slices.ContainsFunc(broken, func(b string) bool { return s.rule == "" || strings.HasPrefix(b, s.rule+":") }) {
					return
				}
				others = append(others, broken...)
			}
			t.Errorf("without its guard %s was never seen broken, only %v", s.rule, others[:min(8, len(others))])
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
	if w.protectionDisabled = unguard != nil; w.protectionDisabled {
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
		s.play(t, w)
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
	if !w.protectionDisabled {
		t.Errorf(format, args...)
	}
}

// stopScenario fails a scenario that cannot go on.
func (w *world) stopScenario(t *testing.T, format string, args ...any) {
	t.Helper()
	if w.protectionDisabled {
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

// holder is which controller holds a term, by its number; -1: none.
func (w *world) holder(key string) int {
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
func (w *world) allRun(t *testing.T, boundArrays ...[]*simJob) {
	t.Helper()
	w.waitUntil(t, "all tasks run", 90*time.Second, func() bool {
		for _, lot := range boundArrays {
			for _, j := range lot {
				if w.tasksOn("", j.spec.ID) < j.spec.Tasks {
					return false
				}
			}
		}
		return true
	})
}

// allDone waits until users saw that jobs are done.
func (w *world) allDone(t *testing.T, limit time.Duration, lot []*simJob) {
	t.Helper()
	w.waitUntil(t, "what was not cancelled is done", limit, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return !slices.ContainsFunc(lot, func(j *simJob) bool { return j.reportedState != wire.JobDone })
	})
}

// shards lists the zones whose shard a controller owns.
func (w *world) shards(index int) []string {
	var out []string
	for _, z := range w.controllers[0].set.Deployment.Zones {
		if w.holder(records.KeyShard(z)) == index {
			out = append(out, z)
		}
	}
	return out
}

// The key-value store refuses one controller alone; another one confirms
// cancellations; then it is away for all for longer than cancel_s, while the
// machines send heartbeats to the first one. And once more, straight after, whoever then
// owns what the first one did.
func gap(refused, other int) func(*testing.T, *world) {
	return func(t *testing.T, w *world) {
		whole := w.times.cancelWithin()
		healthy := w.boundArrays(0, 3*whole.Seconds())
		doomed := [][]*simJob{w.boundArrays(1, 5*whole.Seconds()), w.boundArrays(2, 5*whole.Seconds())}
		w.allRun(t, healthy, doomed[0], doomed[1])
		time.Sleep(10 * time.Second)
		for i, lot := range doomed {
			if i > 0 && len(w.shards(refused)) == 0 {
				refused = w.holder(records.KeyShard(w.controllers[0].set.Deployment.Zones[0]))
				other = (refused + 1) % 3
			}
			n, owned := w.controllers[refused], w.shards(refused)
			starts := 0
			w.locked(func() { starts = w.starts })
			if len(owned) == 0 && w.holder(records.KeyLeader) != refused {
				w.stopScenario(t, "gap %d: %s neither owns nor leads: it is not refused to any purpose", i, n.set.Controller)
			}
			w.locked(func() { n.cutFromStore = true })
			time.Sleep(w.randomDuration(100*time.Millisecond, 1200*time.Millisecond))
			for _, j := range lot {
				if !w.cancelAt(other, j) {
					w.stopScenario(t, "gap %d: %s did not confirm a cancellation", i, w.controllers[other].set.Controller)
				}
			}
			confirmed := time.Now()
			time.Sleep(w.randomDuration(50*time.Millisecond, 400*time.Millisecond))
			for _, z := range owned {
				if w.holder(records.KeyShard(z)) != refused {
					w.stopScenario(t, "gap %d: %s lost its shard before the outage", i, n.set.Controller)
				}
			}
			w.setOutage(true)
			time.AfterFunc(14*time.Second, func() { w.locked(func() { n.cutFromStore = false }) })
			time.Sleep(whole + 12*time.Second)
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
		w.allDone(t, 6*whole, healthy)
	}
}

// TestGap: the tasks of a cancelled job are gone in time though the controller that
// the machines send heartbeats to can learn of it neither from the key-value store nor by a
// promise refused. The guard taken away: what the others know of cancellations.
func TestGap(t *testing.T) {
	var list []scenario
	for _, d := range []struct {
		name  string
		times workerTimes
		zones []string
	}{{"magnolia", lease26Times, []string{"a", "b", "c"}}, {"umoya", lease36Times, []string{"a", "b"}}} {
		for refused := range 3 {
			for _, other := range []int{(refused + 1) % 3, (refused + 2) % 3} {
				s := scenario{name: fmt.Sprintf("%s, %d refused, %d confirms", d.name, refused, other), times: d.times, zones: d.zones, seeds: []uint64{1, 2}, play: gap(refused, other)}
				if refused < len(d.zones) {
					s.rule, s.guard = "ran_cancelled", func(w *world) { w.hideCancellations = true }
				}
				list = append(list, s)
			}
		}
	}
	scenarios(t, list)
}
