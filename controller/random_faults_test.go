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

// randomRuns and firstSeed let a developer simulate many more random runs than CI does.
var (
	randomRuns = flag.Uint64("sim.days", 12, "number of random runs to simulate")
	printLogs  = flag.Bool("sim.log", false, "print the controllers' logs")
	firstSeed  = flag.Uint64("sim.from", 0, "seed of the first random run")
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

// Under random faults no rule of the protocol is broken, and every accepted job ends once
// the faults are over.
func TestRulesHoldThroughTroubles(t *testing.T) {
	discardLogs(t)
	for seed := *firstSeed; seed < *firstSeed+*randomRuns; seed++ {
		zones := []string{"a", "b", "c"}[:2+seed%2]
		synctest.Test(t, func(t *testing.T) {
			w := runRandomWorkload(t, seed, zones, nil)
			w.checkRandomWorkload(t, seed)
		})
	}
}

// checkRandomWorkload checks that a random run broke no rule and that all its jobs were accepted
// and have ended.
func (w *world) checkRandomWorkload(t *testing.T, seed uint64) {
	t.Helper()
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
		// If the size limits are lowered before it is known that all controllers
		// read packed records, the leader and each owner learn the new limit from
		// one refused write each.
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
}

// With any one guard of the protocol disabled, the checker must report a broken rule. If it
// did not, the tests in which no rule is broken would prove nothing about that guard.
func TestCheckerNoticesMissingGuards(t *testing.T) {
	discardLogs(t)
	for name, unguard := range map[string]func(*world){
		"conditional writes":   func(w *world) { w.ignoreConditions = true },
		"tokens":               func(w *world) { w.ignoreTokens = true; w.lateCommandShare = 0.5 },
		"the order of reports": func(w *world) { w.makeCopiesCurrent = true },
		"answers about each job, independent of other jobs": func(w *world) { w.unansweredJob = "run-000003" },
		"workers' leases": func(w *world) {
			// While the cloud is unavailable, only an expired lease proves that a machine's
			// tasks have ended.
			w.ignoreWorkerLeases = true
			time.AfterFunc(60*time.Second, func() { w.cloudUnavailable = true })
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				found := false
				synctest.Test(t, func(t *testing.T) {
					found = len(runRandomWorkload(t, seed, []string{"a", "b"}, unguard).violations) > 0
				})
				if found {
					t.Logf("broken rule reported with seed %d", seed)
					return
				}
			}
			t.Error("no broken rule was reported in 60 random runs without this guard")
		})
	}
}

// A machine that sends heartbeats but receives nothing gets no more tasks, is distinguished
// from a slow machine, and is terminated. Its replicas run on other machines long before the
// owner could assume that the machine's lease has expired, and no rule is broken.
func TestMachineThatReceivesNothingIsTerminated(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newStartedWorld(5)
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
			t.Fatal("no machine runs a task")
		}
		notReceiving.receivesNothing = true
		w.mu.Unlock()
		time.Sleep(45 * time.Second)
		w.mu.Lock()
		if !notReceiving.removed {
			t.Errorf("%s was not terminated", notReceiving.name)
		}
		if n := w.runningTasks("run-000001"); n != 4 {
			t.Errorf("%d of 4 replicas run", n)
		}
		w.mu.Unlock()
		w.checkAndShutdown(t)
	})
}

// An owner that can call its machines but does not receive their heartbeats transfers its
// shard before their leases expire. Responses to the owner's calls do not renew a lease.
func TestOwnerWithoutHeartbeatsTransfersTerm(t *testing.T) {
	expectNoRestarts(t, 8, 4, func(w *world) {
		w.mu.Lock()
		w.controllers[0].heartbeatsLost = true
		w.mu.Unlock()
		time.Sleep(60 * time.Second)
	})
}

// While the key-value store is unavailable to all controllers and the controllers reach each
// other, running tasks continue for much longer than the workers' lease.
func TestOutageLongerThanLeaseStopsNoTask(t *testing.T) {
	expectNoRestarts(t, 6, 4, func(w *world) {
		w.setOutage(true)
		time.Sleep(90 * time.Second)
		w.setOutage(false)
		time.Sleep(10 * time.Second)
	})
}

// The tasks of a zone that is partitioned together with its owner, for longer than the
// workers' lease, keep running: the owner inside extends the leases of its machines, and the
// next owner outside, which receives no heartbeats, terminates no machine.
func TestPartitionedZoneKeepsRunning(t *testing.T) {
	expectNoRestarts(t, 8, 12, func(w *world) {
		isolate := func(z string) { w.mu.Lock(); w.partitionedZone = z; w.mu.Unlock() }
		isolate("a")
		time.Sleep(32 * time.Second)
		isolate("")
		time.Sleep(15 * time.Second)
	})
}

// If an owner extends leases for longer than the next owner assumes, tasks run twice, and the
// checker reports it. If the next owner takes the whole extension into account, no rule is
// broken.
func TestLeaseExtensionMustBeCounted(t *testing.T) {
	discardLogs(t)
	for _, counted := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(9, []string{"a", "b"}, 3)
			w.lateCommandShare, w.reliableCloud = 0, true
			for _, n := range w.controllers {
				n.set.Deployment.Workers.CancelTimeoutS = 100 // allows a long lease extension
				n.start()
			}
			go w.expireLeases()
			time.Sleep(5 * time.Second)
			w.startService("run-000001", 2) // one task in each zone: machines with free capacity
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
			w.cloudUnavailable, w.partitionedZone = true, zone // only an expired lease proves that a task has ended
			w.mu.Unlock()
			if !counted {
				for _, n := range w.controllers {
					n.set.Deployment.Workers.CancelTimeoutS = 45 // the value that a controller assumes when it acquires a term from now on
				}
			}
			time.Sleep(120 * time.Second)
			if broken := len(w.violations) > 0; broken == counted {
				t.Errorf("extension counted by the next owner: %v, zone %s: %d broken rules %v", counted, zone, len(w.violations), w.violations)
			}
			w.mu.Lock()
			w.violations, w.partitionedZone = nil, ""
			w.mu.Unlock()
			w.checkAndShutdown(t)
		})
	}
}

// expectNoRestarts checks that a service keeps running during a fault and that no task is
// started.
func expectNoRestarts(t *testing.T, seed uint64, tasks int, fault func(*world)) {
	t.Helper()
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newStartedWorld(seed)
		w.startService("run-000001", tasks)
		time.Sleep(60 * time.Second)
		w.mu.Lock()
		starts := w.starts
		w.mu.Unlock()
		fault(w)
		w.mu.Lock()
		if n := w.runningTasks("run-000001"); n != tasks || w.starts != starts {
			t.Errorf("%d of %d replicas run, %d starts since the fault began", n, tasks, w.starts-starts)
		}
		w.mu.Unlock()
		w.checkAndShutdown(t)
	})
}

// An owner without lease extensions from all other controllers sends no commands and stops
// answering heartbeats in time: at once if another controller reports that the owner has been
// replaced, otherwise when the lease extension that cancel_s allows is over.
func TestOwnerWithoutExtensionLosesAuthority(t *testing.T) {
	discardLogs(t)
	for name, inject := range map[string]func(*world){
		"refused alone": func(w *world) { w.controllers[0].cutFromStore = true },
		"another controller unreachable": func(w *world) {
			w.storeOutage = true
			w.controllers[2].cutFromPeers = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newStartedWorld(7)
				w.startService("run-000001", 4)
				time.Sleep(60 * time.Second)
				w.mu.Lock()
				inject(w)
				w.mu.Unlock()
				sendHeartbeat := func(z string, seq uint64) bool {
					a := &simAnswer{response: make(chan *httpwire.Response, 1)}
					w.controllers[0].running().control.Tell(workerHeartbeat{a, &wire.Heartbeat{Machine: "m-x", Addr: "m-x", Type: "box", Zone: z, Epoch: 1, Seq: seq,
						Tasks: []wire.TaskStatus{{Task: "run-000009/0", Attempt: 1, State: wire.TaskRunning}}}})
					select {
					case r := <-a.response:
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
						t.Errorf("the owner answers heartbeats for %s though it has been replaced", z)
					}
				}
				time.Sleep(w.controllers[0].set.LeaseExtension())
				for _, z := range w.controllers[0].set.Deployment.Zones {
					if sendHeartbeat(z, 2) {
						t.Errorf("the owner answers heartbeats for %s after its lease extension has ended", z)
					}
				}
				w.checkAndShutdown(t)
			})
		})
	}
}

// expireLeases expires the key-value store's leases and checks the rules about cancelled and
// waiting jobs, every 50 ms until shutdown.
func (w *world) expireLeases() {
	for {
		select {
		case <-w.done:
			return
		case <-time.After(50 * time.Millisecond):
			w.expireStoreLeases()
			w.checkCancelledJobsEnd()
			w.checkNoJobWaits()
		}
	}
}

// newStartedWorld returns a deployment whose controllers are all up. Its cloud is reliable and no
// command is late, but the key-value store and the heartbeats have their default random faults.
func newStartedWorld(seed uint64) *world {
	w := newWorld(seed, []string{"a", "b"}, 3)
	w.lateCommandShare, w.reliableCloud = 0, true
	for _, n := range w.controllers {
		n.start()
	}
	go w.expireLeases()
	time.Sleep(5 * time.Second)
	return w
}

// startService submits a service, whose user then polls.
func (w *world) startService(id string, tasks int) {
	j := &simJob{spec: wire.Submission{ID: id, Class: "c", Team: "free", Kind: wire.KindService, Priority: wire.PriorityProduction,
		Tasks: tasks, CPUs: 4, MemoryGB: 1, Image: "i", ImageGB: 1, Spread: true}, doneTasks: map[int]bool{}}
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	go w.runUser(j, 0, 0)
}

// runningTasks counts a job's running tasks. The caller holds the lock.
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

// checkAndShutdown reports broken rules and shuts the world down.
func (w *world) checkAndShutdown(t *testing.T) {
	t.Helper()
	if len(w.violations) > 0 {
		t.Errorf("rules broken: %s", strings.Join(w.violations, "; "))
	}
	w.shutdown()
}

// shutdown ends all controllers and goroutines of the world.
func (w *world) shutdown() {
	close(w.done)
	w.locked(func() { w.partitionedZone = "" }) // releases calls that the partition blocks
	for _, n := range w.controllers {
		n.kill()
	}
	time.Sleep(2 * time.Minute)
}

// addOldRecords fills the key-value store with records that the previous version may have
// written, as large as its size limits allowed: an inventory page of machines that no longer
// exist, and an array with many assignments.
func (w *world) addOldRecords() {
	put := func(key string, v any) {
		w.revision++
		w.kv[key] = &storeEntry{value: records.Encode(v), version: w.revision}
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
	go w.runUser(j, 0, 0) // its user submits again and then polls
}
