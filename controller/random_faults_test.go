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
	for name, removeGuard := range map[string]func(*world){
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
				synctest.Test(t, func(t *testing.T) {
					found = len(playRandomDay(t, seed, []string{"a", "b"}, removeGuard).violations) > 0
				})
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
		w := newFaultFreeWorld(5)
		w.startService("run-000001", 4)
		time.Sleep(60 * time.Second)
		w.mu.Lock()
		var notReceiving *simWorker
		for _, m := range w.machines {
			if len(m.tasks) > 0 {
				notReceiving = m
			}
		}
		if notReceiving == nil {
			w.mu.Unlock()
			t.Fatal("nothing runs")
		}
		notReceiving.receivesNothing = true
		w.mu.Unlock()
		time.Sleep(45 * time.Second)
		w.mu.Lock()
		if !notReceiving.removed {
			t.Errorf("%s was not given back", notReceiving.name)
		}
		if n := w.runningTasks("run-000001"); n != 4 {
			t.Errorf("%d of 4 replicas run", n)
		}
		w.mu.Unlock()
		w.checkAndShutdown(t)
	})
}

// An owner that reaches its machines while their heartbeats do not reach it transfers
// its shard before their leases end: answers to its calls renew none.
func TestOwnerWithoutHeartbeatsTransfersTerm(t *testing.T) {
	expectNoRestarts(t, 8, 4, func(w *world) {
		w.mu.Lock()
		w.controllers[0].heartbeatsLost = true
		w.mu.Unlock()
		time.Sleep(60 * time.Second)
	})
}

// While the key-value store is away for all, and the controllers reach each other,
// what runs goes on, for much longer than the workers' lease.
func TestOutageLongerThanLeaseStopsNoTask(t *testing.T) {
	expectNoRestarts(t, 6, 4, func(w *world) {
		w.setOutage(true)
		time.Sleep(90 * time.Second)
		w.setOutage(false)
		time.Sleep(10 * time.Second)
	})
}

// A zone that is cut off with its owner, for longer than the workers' lease, runs
// on: the owner inside tends its machines, and the next one outside, which receives
// no heartbeat, terminates none.
func TestPartitionedZoneKeepsRunning(t *testing.T) {
	expectNoRestarts(t, 8, 12, func(w *world) {
		isolate := func(z string) { w.mu.Lock(); w.partitionedZone = z; w.mu.Unlock() }
		isolate("a")
		time.Sleep(32 * time.Second)
		isolate("")
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
			w.checkAndShutdown(t)
		})
	}
}

// expectNoRestarts checks that a service runs on through a trouble without a
// single start.
func expectNoRestarts(t *testing.T, seed uint64, tasks int, fault func(*world)) {
	t.Helper()
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newFaultFreeWorld(seed)
		w.startService("run-000001", tasks)
		time.Sleep(60 * time.Second)
		w.mu.Lock()
		starts := w.starts
		w.mu.Unlock()
		fault(w)
		w.mu.Lock()
		if n := w.runningTasks("run-000001"); n != tasks || w.starts != starts {
			t.Errorf("%d of %d replicas run, %d starts since", n, tasks, w.starts-starts)
		}
		w.mu.Unlock()
		w.checkAndShutdown(t)
	})
}

// Without the promise of all others an owner gives no command and falls silent in
// time: at once if another controller tells it that it has been replaced, and where none
// can, once it has tended its machines for as long as cancel_s leaves.
func TestOwnerWithoutExtensionLosesAuthority(t *testing.T) {
	discardLogs(t)
	for name, inject := range map[string]func(*world){
		"refused alone": func(w *world) { w.controllers[0].cutFromStore = true },
		"a sibling out of reach": func(w *world) {
			w.storeOutage = true
			w.controllers[2].cutFromPeers = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFaultFreeWorld(7)
				w.startService("run-000001", 4)
				time.Sleep(60 * time.Second)
				w.mu.Lock()
				inject(w)
				w.mu.Unlock()
				sendHeartbeat := func(z string, seq uint64) bool {
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
					if sendHeartbeat(z, 1) && name == "refused alone" {
						t.Errorf("answers for %s though it has been replaced", z)
					}
				}
				time.Sleep(w.controllers[0].set.LeaseExtension())
				for _, z := range w.controllers[0].set.Deployment.Zones {
					if sendHeartbeat(z, 2) {
						t.Errorf("answers for %s when its lease extension is over", z)
					}
				}
				w.checkAndShutdown(t)
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

// newFaultFreeWorld is a deployment without troubles, all controllers up.
func newFaultFreeWorld(seed uint64) *world {
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

func (w *world) checkAndShutdown(t *testing.T) {
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
