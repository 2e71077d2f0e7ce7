package controller

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ravenport/httpwire"
	"ravenport/records"
	"ravenport/wire"
)

// playRandomDay plays a generated day of a deployment: jobs of every sort, and troubles
// of every sort that may overlap. It returns the world after it has calmed.
func playRandomDay(t *testing.T, seed uint64, zones []string, sabotage func(*world)) *world {
	t.Helper()
	w := newWorld(seed, zones, 3)
	if sabotage != nil {
		sabotage(w)
	}
	if seed%2 == 0 {
		w.addOldRecords()
	}
	for _, n := range w.controllers {
		n.start()
	}
	go w.expireLeases()
	go w.playGangs()
	time.AfterFunc(w.randomDuration(0, 200*time.Second), func() { w.mu.Lock(); w.limitsLowered = true; w.mu.Unlock() })
	for i := range 24 {
		s := w.randomSubmission(i, zones)
		j := &simJob{spec: s, doneTasks: map[int]bool{}}
		w.jobs[s.ID] = j
		var cancel time.Duration
		if s.IsService() || w.rng.IntN(6) == 0 {
			cancel = time.Duration(20+w.rng.IntN(150)) * time.Second
		}
		go w.runUser(j, time.Duration(w.rng.IntN(120))*time.Second, cancel)
	}
	injectFaults(w, 200*time.Second)
	w.endFaults()
	time.Sleep(240 * time.Second)
	close(w.done)
	for _, n := range w.controllers {
		n.kill()
	}
	time.Sleep(2 * time.Minute) // late messages and retries run out
	return w
}

// randomSubmission makes the i-th job of a generated day.
func (w *world) randomSubmission(i int, zones []string) wire.Submission {
	s := wire.Submission{
		ID: fmt.Sprintf("run-%06d", i), Class: "c", Team: "free", Kind: wire.KindArray, Priority: wire.PriorityNormal,
		Tasks: 1 + w.rng.IntN(6), CPUs: float64(1 + w.rng.IntN(4)), MemoryGB: 1, Image: fmt.Sprintf("i-%d", w.rng.IntN(3)), ImageGB: 1,
		Spot: w.rng.IntN(2) == 0, EstimateS: float64(2 + w.rng.IntN(20)),
	}
	if i%3 == 0 {
		s.Kind, s.Priority, s.Spot, s.CPUs, s.EstimateS = wire.KindService, wire.PriorityProduction, false, 2, 0
		s.Tasks = 1 + w.rng.IntN(2)
		s.Spread = true
	}
	if i%4 == 1 {
		s.Team, s.CPUs = "tight", 3
	}
	if i%8 == 5 {
		s.OneZone, s.Spread = true, false
	}
	if i%6 == 2 {
		s.Kind, s.Tasks, s.CPUs = wire.KindGang, 2+w.rng.IntN(3), float64(1+w.rng.IntN(2))
		s.CheckpointIntervalS, s.CheckpointSaveS, s.Priority = 4, 1, []wire.Priority{wire.PriorityNormal, wire.PriorityHigh}[w.rng.IntN(2)]
		s.OneZone, s.Spread = w.rng.IntN(2) == 0, false
		if i%12 == 8 {
			s.OneZone, s.Spread = false, true
		}
	}
	if i%8 == 7 {
		s.Zone, s.Spread = zones[w.rng.IntN(len(zones))], false
	}
	return s
}

// endFaults mends everything, so that what was accepted must come to an end.
func (w *world) endFaults() {
	w.setOutage(false)
	w.mu.Lock()
	for _, n := range w.controllers {
		n.cutFromStore, n.cutFromWorkers, n.cutFromPeers, n.heartbeatsLost = false, false, false, false
	}
	w.cloudUnavailable, w.partitionedZone = false, ""
	for _, m := range w.machines {
		m.disconnected, m.hung, m.receivesNothing = false, false, false
	}
	w.calmSince = time.Now()
	w.mu.Unlock()
	for _, n := range w.controllers {
		n.startIfDown()
	}
}

// injectFaults makes things fail, one or several at a time, for a while.
func injectFaults(w *world, d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		time.Sleep(w.randomDuration(2*time.Second, 12*time.Second))
		n := w.controllers[int(w.randomDuration(0, time.Duration(len(w.controllers)-1)))]
		length := w.randomDuration(time.Second, 35*time.Second)
		switch w.randomDuration(0, 17) {
		case 0, 1: // a crash; back within a fraction of a second or after seconds
			n.kill()
			time.AfterFunc(w.randomDuration(200*time.Millisecond, 6*time.Second), n.startIfDown)
		case 2: // all crash
			for _, n := range w.controllers {
				n.kill()
			}
			time.Sleep(w.randomDuration(200*time.Millisecond, 6*time.Second))
			for _, n := range w.controllers {
				n.startIfDown()
			}
		case 3: // refused by the key-value store alone
			w.lasting(length, func(on bool) { n.cutFromStore = on })
		case 4: // cut from the workers
			w.lasting(length, func(on bool) { n.cutFromWorkers = on })
		case 5:
			w.setOutage(true)
			time.AfterFunc(length, func() { w.setOutage(false) })
		case 6, 7, 8: // a machine hangs, is cut off or is taken
			w.injectMachineFault(length)
		case 9:
			w.lasting(length, func(on bool) { w.cloudUnavailable = on })
		case 10: // away from the key-value store and the other controllers, not from workers
			w.lasting(length, func(on bool) { n.cutFromStore, n.cutFromPeers = on, on })
		case 11: // back within a fraction of a second, and again in the middle of the election
			for range 2 {
				n.kill()
				time.Sleep(w.randomDuration(10*time.Millisecond, 300*time.Millisecond))
				n.startIfDown()
				time.Sleep(w.randomDuration(10*time.Millisecond, 1500*time.Millisecond))
			}
		case 12: // the controllers do not reach each other
			w.lasting(length, func(on bool) { n.cutFromPeers = on })
		case 13:
			if process := n.running(); process != nil {
				for range 5 {
					w.sendInvalidHeartbeat(process)
				}
			}
		case 14: // heartbeats do not reach it, though it reaches the workers
			w.lasting(length, func(on bool) { n.heartbeatsLost = on })
		case 15: // it is frozen while its clocks run on, for less than its lease
			n.freeze(w.randomDuration(200*time.Millisecond, 3*time.Second))
		case 16: // or for more, some times for more than the workers'
			n.freeze(length)
			if w.chance(0.3) { // and ends as it moves on, in the middle of an election
				time.AfterFunc(length, n.killAndStart)
			}
		case 17: // a zone is cut off from everything, with the controllers in it
			w.lasting(2*length, func(on bool) {
				w.partitionedZone = ""
				if on {
					w.partitionedZone = n.set.Zone
				}
			})
		}
	}
}

// lasting switches a fault on, and off again after a time; set is called under the lock.
func (w *world) lasting(d time.Duration, set func(on bool)) {
	w.locked(func() { set(true); w.recordFaults() })
	time.AfterFunc(d, func() { w.locked(func() { set(false); w.recordFaults() }) })
}

// startIfDown starts a controller that does not run.
func (n *simController) startIfDown() {
	if n.running() == nil {
		n.start()
	}
}

// killAndStart ends a controller and starts it again soon after.
func (n *simController) killAndStart() {
	n.kill()
	time.Sleep(300 * time.Millisecond)
	n.startIfDown()
}

// injectMachineFault makes any one machine fail.
func (w *world) injectMachineFault(length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	what := w.rng.IntN(5)
	for _, m := range w.machines {
		switch what {
		case 0:
			m.fail(&m.hung, length)
		case 1:
			m.fail(&m.disconnected, length)
		case 2:
			if m.spot {
				w.removeMachine(m.name)
			}
		case 3:
			m.fail(&m.receivesNothing, length)
		case 4:
			if !time.Now().Before(m.bootsAt) {
				m.restart()
			}
		}
		return
	}
}

// fail switches a fault of the machine on, and off again after a time. The caller holds the
// lock.
func (m *simWorker) fail(fault *bool, d time.Duration) {
	*fault = true
	m.recordState("machine fails")
	time.AfterFunc(d, func() {
		m.world.locked(func() {
			*fault = false
			m.recordState("machine recovers")
		})
	})
}

// randomDays and firstSeed let a developer play many more days than CI does.
var (
	randomDays = flag.Uint64("sim.days", 12, "generated days to play")
	printLogs  = flag.Bool("sim.log", false, "print the controllers' logs")
	firstSeed  = flag.Uint64("sim.from", 0, "seed of the first day")
)

func discardLogs(t *testing.T) {
	old := slog.Default()
	out := io.Writer(io.Discard)
	if *printLogs {
		out = os.Stderr
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug})))
	t.Cleanup(func() { slog.SetDefault(old) })
}

// Whatever fails, no rule of the protocol is broken, and once things have
// calmed down everything accepted comes to its end.
func TestRulesHoldThroughTroubles(t *testing.T) {
	discardLogs(t)
	for seed := *firstSeed; seed < *firstSeed+*randomDays; seed++ {
		zones := []string{"a", "b", "c"}[:2+seed%2]
		synctest.Test(t, func(t *testing.T) {
			w := playRandomDay(t, seed, zones, nil)
			if len(w.violations) > 0 {
				t.Fatalf("seed %d: %d broken rules, first: %s", seed, len(w.violations), strings.Join(w.violations[:min(4, len(w.violations))], "; "))
			}
			if w.gangStarts == 0 {
				t.Errorf("seed %d: no gang began", seed)
			}
			t.Logf("seed %d: %d starts, %d gangs, %d machines, %d revisions", seed, w.starts, w.gangStarts, w.machineCount, w.revision)
			if w.starts < 20 {
				t.Errorf("seed %d: only %d tasks started", seed, w.starts)
			}
			for key, n := range w.oversizedWrites {
				// Each of a leader and the owners learns it once, if the limits fall
				// before it is known that all controllers read packed records.
				if n > 6 {
					t.Errorf("seed %d: %d writes of %s were larger than the limits", seed, n, key)
				}
			}
			for id, j := range w.jobs {
				if !j.accepted {
					t.Errorf("seed %d: %s was never accepted", seed, id)
				} else if j.reportedState == "" {
					t.Errorf("seed %d: %s never ended: %d of %d tasks done (%+v)", seed, id, len(j.doneTasks), j.spec.Tasks, j.spec)
				}
			}
		})
	}
}

// The checker has teeth: without the guards that the protocol gives, it finds
// the rules broken. A guard that is never missed would prove nothing.
func TestCheckerNoticesMissingGuards(t *testing.T) {
	discardLogs(t)
	for name, sabotage := range map[string]func(*world){
		"conditional writes": func(w *world) { w.ignoreConditions = true },
		"tokens":             func(w *world) { w.ignoreTokens = true; w.lateCommandShare = 0.5 },
		// With the cloud away nothing is surely gone but by its lease.
		"the order of reports":                        func(w *world) { w.freshenCopies = true },
		"answers about each job, however others fare": func(w *world) { w.unansweredJob = "run-000003" },
		"workers' leases": func(w *world) {
			w.ignoreWorkerLeases = true
			time.AfterFunc(60*time.Second, func() { w.cloudUnavailable = true })
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				found := false
				synctest.Test(t, func(t *testing.T) { found = len(playRandomDay(t, seed, []string{"a", "b"}, sabotage).violations) > 0 })
				if found {
					t.Logf("noticed on day %d", seed)
					return
				}
			}
			t.Error("sixty days without this guard, and no rule was seen broken")
		})
	}
}

// A machine whose heartbeats arrive while nothing reaches it gets nothing more, is
// told apart from a slow one, and is terminated; its replicas run elsewhere long before
// its own lease could be believed to have ended, and no rule is broken.
func TestMachineThatReceivesNothingIsTerminated(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newCalmWorld(5)
		w.startService("run-000001", 4)
		time.Sleep(60 * time.Second)
		w.mu.Lock()
		var deaf *simWorker
		for _, m := range w.machines {
			if len(m.tasks) > 0 {
				deaf = m
			}
		}
		if deaf == nil {
			w.mu.Unlock()
			t.Fatal("nothing runs")
		}
		deaf.receivesNothing = true
		w.mu.Unlock()
		time.Sleep(45 * time.Second)
		w.mu.Lock()
		if !deaf.removed {
			t.Errorf("%s was not given back", deaf.name)
		}
		if n := w.runningTasks("run-000001"); n != 4 {
			t.Errorf("%d of 4 replicas run", n)
		}
		w.mu.Unlock()
		w.finish(t)
	})
}

// An owner that reaches its machines while their heartbeats do not reach it transfers
// its shard before their leases end: answers to its calls renew none.
func TestOwnerWithoutHeartbeatsTransfersTerm(t *testing.T) {
	expectUndisturbed(t, 8, 4, func(w *world) {
		w.mu.Lock()
		w.controllers[0].heartbeatsLost = true
		w.mu.Unlock()
		time.Sleep(60 * time.Second)
	})
}

// While the key-value store is away for all, and the controllers reach each other,
// what runs goes on, for much longer than the workers' lease.
func TestOutageLongerThanTheLeaseStopsNothing(t *testing.T) {
	expectUndisturbed(t, 6, 4, func(w *world) {
		w.setOutage(true)
		time.Sleep(90 * time.Second)
		w.setOutage(false)
		time.Sleep(10 * time.Second)
	})
}

// A zone that is cut off with its owner, for longer than the workers' lease, runs
// on: the owner inside tends its machines, and the next one outside, which receives
// no heartbeat, terminates none.
func TestCutOffZoneRunsOn(t *testing.T) {
	expectUndisturbed(t, 8, 12, func(w *world) {
		set := func(z string) { w.mu.Lock(); w.partitionedZone = z; w.mu.Unlock() }
		set("a")
		time.Sleep(32 * time.Second)
		set("")
		time.Sleep(15 * time.Second)
	})
}

// Lease extension for longer than the next owner counts on would let tasks run twice, and
// the checker sees it; as long as it is counted it does not.
func TestLeaseExtensionMustBeCounted(t *testing.T) {
	discardLogs(t)
	for _, counted := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(9, []string{"a", "b"}, 3)
			w.lateCommandShare, w.reliableCloud = 0, true
			for _, n := range w.controllers {
				n.set.Deployment.Workers.CancelTimeoutS = 100 // so that much is tended
				n.start()
			}
			go w.expireLeases()
			time.Sleep(5 * time.Second)
			w.startService("run-000001", 2) // one in each zone: machines with room
			time.Sleep(30 * time.Second)
			j := &simJob{spec: wire.Submission{ID: "run-000002", Class: "c", Team: "free", Kind: wire.KindService, Priority: wire.PriorityProduction,
				Tasks: 1, CPUs: 4, MemoryGB: 1, Image: "i", ImageGB: 1}, doneTasks: map[int]bool{}}
			w.mu.Lock()
			w.jobs[j.spec.ID] = j
			w.mu.Unlock()
			go w.runUser(j, 0, 0)
			time.Sleep(30 * time.Second)
			w.mu.Lock()
			zone := ""
			for _, m := range w.machines {
				for _, x := range m.tasks {
					if id, _, _ := wire.ParseTaskName(x.name); id == j.spec.ID {
						zone = m.zone
					}
				}
			}
			w.cloudUnavailable, w.partitionedZone = true, zone // nothing is surely gone but by its lease
			w.mu.Unlock()
			if !counted {
				for _, n := range w.controllers {
					n.set.Deployment.Workers.CancelTimeoutS = 45 // as whoever acquires a term from here on counts
				}
			}
			time.Sleep(120 * time.Second)
			if broken := len(w.violations) > 0; broken == counted {
				t.Errorf("counted %v, in %s: %d broken rules %v", counted, zone, len(w.violations), w.violations)
			}
			w.mu.Lock()
			w.violations, w.partitionedZone = nil, ""
			w.mu.Unlock()
			w.finish(t)
		})
	}
}

// expectUndisturbed checks that a service runs on through a trouble without a
// single start.
func expectUndisturbed(t *testing.T, seed uint64, tasks int, trouble func(*world)) {
	t.Helper()
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newCalmWorld(seed)
		w.startService("run-000001", tasks)
		time.Sleep(60 * time.Second)
		w.mu.Lock()
		starts := w.starts
		w.mu.Unlock()
		trouble(w)
		w.mu.Lock()
		if n := w.runningTasks("run-000001"); n != tasks || w.starts != starts {
			t.Errorf("%d of %d replicas run, %d starts since", n, tasks, w.starts-starts)
		}
		w.mu.Unlock()
		w.finish(t)
	})
}

// Without the promise of all others an owner gives no command and falls silent in
// time: at once if another controller tells it that it has been replaced, and where none
// can, once it has tended its machines for as long as cancel_s leaves.
func TestNoExtensionNoAuthority(t *testing.T) {
	discardLogs(t)
	for name, cut := range map[string]func(*world){
		"refused alone": func(w *world) { w.controllers[0].cutFromStore = true },
		"a sibling out of reach": func(w *world) {
			w.storeOutage = true
			w.controllers[2].cutFromPeers = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCalmWorld(7)
				w.startService("run-000001", 4)
				time.Sleep(60 * time.Second)
				w.mu.Lock()
				cut(w)
				w.mu.Unlock()
				ask := func(z string, seq uint64) bool {
					a := &simAnswer{got: make(chan *httpwire.Response, 1)}
					w.controllers[0].running().control.Tell(workerHeartbeat{a, &wire.Heartbeat{Machine: "m-x", Addr: "m-x", Type: "box", Zone: z, Epoch: 1, Seq: seq,
						Tasks: []wire.TaskStatus{{Task: "run-000009/0", Attempt: 1, State: wire.TaskRunning}}}})
					select {
					case r := <-a.got:
						var rep wire.HeartbeatReply
						if r.Status == 200 && (json.Unmarshal(r.Body, &rep) != nil || len(rep.Commands) > 0) {
							t.Errorf("commands for %s without authority: %s", z, r.Body)
						}
						return r.Status == 200
					case <-time.After(4 * time.Second):
						return false
					}
				}
				time.Sleep(10 * time.Second)
				for _, z := range w.controllers[0].set.Deployment.Zones {
					if ask(z, 1) && name == "refused alone" {
						t.Errorf("answers for %s though it has been replaced", z)
					}
				}
				time.Sleep(w.controllers[0].set.LeaseExtension())
				for _, z := range w.controllers[0].set.Deployment.Zones {
					if ask(z, 2) {
						t.Errorf("answers for %s when its lease extension is over", z)
					}
				}
				w.finish(t)
			})
		})
	}
}

// expireLeases ends the key-value store's leases in time.
func (w *world) expireLeases() {
	for {
		select {
		case <-w.done:
			return
		case <-time.After(50 * time.Millisecond):
			w.expire()
			w.checkCancelledJobsEnd()
			w.checkNoJobWaits()
		}
	}
}

// newCalmWorld is a deployment without troubles, all controllers up.
func newCalmWorld(seed uint64) *world {
	w := newWorld(seed, []string{"a", "b"}, 3)
	w.lateCommandShare, w.reliableCloud = 0, true
	for _, n := range w.controllers {
		n.start()
	}
	go w.expireLeases()
	time.Sleep(5 * time.Second)
	return w
}

// startService submits a service and lets its user poll.
func (w *world) startService(id string, tasks int) {
	j := &simJob{spec: wire.Submission{ID: id, Class: "c", Team: "free", Kind: wire.KindService, Priority: wire.PriorityProduction,
		Tasks: tasks, CPUs: 4, MemoryGB: 1, Image: "i", ImageGB: 1, Spread: true}, doneTasks: map[int]bool{}}
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	go w.runUser(j, 0, 0)
}

// runningTasks counts a job's tasks that run. The caller holds the lock.
func (w *world) runningTasks(id string) int {
	n := 0
	for _, m := range w.machines {
		for _, x := range m.tasks {
			if job, _, _ := wire.ParseTaskName(x.name); job == id && x.state == wire.TaskRunning {
				n++
			}
		}
	}
	return n
}

func (w *world) finish(t *testing.T) {
	t.Helper()
	if len(w.violations) > 0 {
		t.Errorf("rules broken: %s", strings.Join(w.violations, "; "))
	}
	w.shutdown()
}

// shutdown ends everything that runs in the world.
func (w *world) shutdown() {
	close(w.done)
	w.locked(func() { w.partitionedZone = "" }) // releases what the partition holds back
	for _, n := range w.controllers {
		n.kill()
	}
	time.Sleep(2 * time.Minute)
}

// addOldRecords fills the key-value store with what the version before may leave behind, as
// large as its limits were: an inventory page of machines that are gone since, and an
// array in many pieces.
func (w *world) addOldRecords() {
	put := func(key string, v any) {
		w.revision++
		w.kv[key] = &entry{value: records.Encode(v), version: w.revision}
		w.storeEvents = append(w.storeEvents, wire.Event{Put: key, Value: records.Encode(v), Version: w.revision})
	}
	zones := w.controllers[0].set.Deployment.Zones
	for i, z := range zones {
		put(records.KeyShard(z), records.Term{Controller: "n-0", Incarnation: 7, Number: uint64(3 + i)})
	}
	page := records.InventoryPage{}
	for i := range 180 {
		page.Add(records.Machine{Name: fmt.Sprintf("m-9%05d", i), Type: "box", Addr: fmt.Sprintf("10.9.0.%d:9000", i), Spot: i%2 == 0})
	}
	put(records.KeyInventory(zones[0], 0), page)
	s := wire.Submission{ID: "run-900000", Class: "c", Team: "free", Kind: wire.KindArray, Priority: wire.PriorityNormal,
		Tasks: 60, CPUs: 1, MemoryGB: 1, Image: "i-0", ImageGB: 1, Spot: true, EstimateS: 5}
	rec := records.Job{Spec: s, AcceptedMS: time.Now().UnixMilli()}
	for i := range s.Tasks {
		rec.Assignments = append(rec.Assignments, records.Assignment{From: i, To: i + 1, Shard: zones[i%len(zones)], KeepWaiting: i%3 == 0})
	}
	put(records.KeyJob(s.ID), rec)
	j := &simJob{spec: s, doneTasks: map[int]bool{}}
	w.jobs[s.ID] = j
	go w.runUser(j, 0, 0) // its user asks again and then polls
}
