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

// A scenario injects a combination of faults into a deployment with its own times, whose
// key-value store, cloud and commands have no random faults. It fails if the combination does
// not occur, because it then proves nothing. The world's checker checks every rule during the
// scenario. unguard, if set, disables the guard that the scenario is about; a rule must then be
// broken.
type scenario struct {
	name           string
	times          workerTimes
	zones          []string
	seeds          []uint64
	configure      func(*world) // changes the deployment before it starts; nil: no change
	body           func(*testing.T, *world)
	unguard        func(*world)
	wantBrokenRule string // the rule that is broken without the guard; empty: any rule
}

// guardSeeds is the number of seeds that are tried until a rule is broken without a guard. Which
// seed breaks the rule depends on the order in which goroutines run.
const guardSeeds = 24

// runScenarios runs a list of scenarios, each with its guard and, if unguard is set, without.
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
			t.Errorf("without its guard, rule %q was not broken, only %v", s.wantBrokenRule, others[:min(8, len(others))])
		})
	}
}

// run runs a scenario once and returns the broken rules. If no guard is disabled, there must be
// none.
func (s scenario) run(t *testing.T, seed uint64, unguard func(*world)) []string {
	w := newWorldWithTimes(seed, s.zones, 3, s.times)
	w.lateCommandShare, w.reliableCloud = 0, true
	w.lostAnswerShare, w.lateWriteShare, w.repeatedWriteShare = 0, 0, 0 // except in scenarios about these faults, which set them
	for k := range w.capacity {
		w.capacity[k] = 6
	}
	if w.protectionDisabled = unguard != nil; w.protectionDisabled {
		unguard(w)
	}
	if s.configure != nil {
		s.configure(w)
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

// errScenarioOver ends a scenario whose guard is disabled: a condition that the scenario waits for
// may then never hold.
var errScenarioOver = errors.New("scenario ended early without its guard")

// fail fails a scenario, unless its guard is disabled.
func (w *world) fail(t *testing.T, format string, args ...any) {
	t.Helper()
	if !w.protectionDisabled {
		t.Errorf(format, args...)
	}
}

// stopScenario ends a scenario that cannot continue. The test fails, unless the guard is disabled.
func (w *world) stopScenario(t *testing.T, format string, args ...any) {
	t.Helper()
	if w.protectionDisabled {
		panic(errScenarioOver)
	}
	t.Fatalf(format, args...)
}

// locked calls f with the world locked.
func (w *world) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// newArray adds an array whose tasks run for runS seconds.
func (w *world) newArray(id string, tasks int, cpus, runS float64) *simJob {
	j := &simJob{spec: wire.Submission{ID: id, Class: "c", Team: "free", Kind: wire.KindArray, Priority: wire.PriorityNormal,
		Tasks: tasks, CPUs: cpus, MemoryGB: 1, Image: "i", ImageGB: 1, Spot: true, EstimateS: runS}, doneTasks: map[int]bool{}}
	w.locked(func() { w.jobs[id] = j })
	return j
}

// cancelAt cancels a job through one controller and reports whether the controller confirmed it.
func (w *world) cancelAt(index int, j *simJob) bool {
	w.locked(func() { j.cancelRequested = true })
	r := w.requestAt(index, func(q apiserver.Request) any { return apiserver.Cancel{Request: q, JobID: j.spec.ID} })
	w.checkReply(j, r, true)
	var s wire.JobStatus
	return r != nil && r.Status == 200 && json.Unmarshal(r.Body, &s) == nil && s.Status == wire.JobCancelled
}

// termHolder returns the index of the controller that holds a term, or -1.
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

// tasksOn counts a job's tasks on machines of a zone, or of all zones if zone is "".
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

// waitUntil waits until ok returns true, and stops the scenario if that exceeds the limit.
func (w *world) waitUntil(t *testing.T, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			w.stopScenario(t, "condition not met in time: %s", what)
		}
	}
}

// boundArrays adds one array for each zone, bound to it, of two tasks that run for runS seconds.
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

// waitAllRunning waits until all tasks of the jobs are on machines.
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

// waitAllDone waits until the users of the jobs have been told that the jobs are done.
func (w *world) waitAllDone(t *testing.T, limit time.Duration, jobs []*simJob) {
	t.Helper()
	w.waitUntil(t, "what was not cancelled is done", limit, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return !slices.ContainsFunc(jobs, func(j *simJob) bool { return j.reportedState != wire.JobDone })
	})
}

// ownedShards returns the zones whose shard a controller owns.
func (w *world) ownedShards(index int) []string {
	var out []string
	for _, z := range w.controllers[0].set.Deployment.Zones {
		if w.termHolder(records.KeyShard(z)) == index {
			out = append(out, z)
		}
	}
	return out
}

// cancelBeforeOutage returns a scenario in which the key-value store refuses one controller only,
// and another controller confirms cancellations. Then the store is unavailable to all for longer
// than cancel_s, while the machines send heartbeats to the first controller. The scenario repeats
// this at once, with the new owner if the first controller has lost its shards.
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
				w.stopScenario(t, "round %d: %s is neither owner nor leader, so refusing it has no effect", i, n.set.Controller)
			}
			w.locked(func() { n.cutFromStore = true })
			time.Sleep(w.randomDuration(100*time.Millisecond, 1200*time.Millisecond))
			for _, j := range jobs {
				if !w.cancelAt(other, j) {
					w.stopScenario(t, "round %d: %s did not confirm a cancellation", i, w.controllers[other].set.Controller)
				}
			}
			confirmed := time.Now()
			time.Sleep(w.randomDuration(50*time.Millisecond, 400*time.Millisecond))
			for _, z := range owned {
				if w.termHolder(records.KeyShard(z)) != refused {
					w.stopScenario(t, "round %d: %s lost its shard before the outage", i, n.set.Controller)
				}
			}
			w.setOutage(true)
			time.AfterFunc(14*time.Second, func() { w.locked(func() { n.cutFromStore = false }) })
			time.Sleep(cancelWithin + 12*time.Second)
			w.mu.Lock()
			if len(owned) > 0 && !n.heartbeatAnsweredAt.After(confirmed.Add(2*time.Second)) {
				w.fail(t, "round %d: no machine sent a heartbeat to %s after the cancellation was confirmed", i, n.set.Controller)
			}
			// Jobs that were not cancelled keep running: the controller that confirmed the
			// cancellations lists them in its replies to requests for a lease extension, and so
			// may grant one.
			if w.starts != starts {
				w.fail(t, "round %d: %d tasks were restarted", i, w.starts-starts)
			}
			w.mu.Unlock()
			w.setOutage(false)
			time.Sleep(20 * time.Second)
		}
		w.waitAllDone(t, 6*cancelWithin, uncancelled)
	}
}

// TestCancellationBeforeOutage checks that the tasks of a cancelled job end in time although the
// controller that the machines send heartbeats to learns of the cancellation neither from the
// key-value store nor by a refused lease extension. The disabled guard is that controllers tell
// each other of cancellations.
func TestCancellationBeforeOutage(t *testing.T) {
	var list []scenario
	for _, d := range []struct {
		name  string
		times workerTimes
		zones []string
	}{{"magnolia", lease26Times, []string{"a", "b", "c"}}, {"umoya", lease36Times, []string{"a", "b"}}} {
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
