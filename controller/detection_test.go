package controller

import (
	"encoding/json"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ravenport/constants"
	"ravenport/detector"
	"ravenport/httpwire"
	"ravenport/wire"
)

// leaseTTL is the duration of a controller's lease in these tests.
const leaseTTL = 3500 * time.Millisecond

// takeoverBound is the time within which a shard whose owner has failed must have another
// owner: the lease, the acquisition delays by rank, and 2 s for a write and its watch event.
const takeoverBound = leaseTTL + 3*constants.AcquisitionRankDelay + 2*time.Second

// revocationBound is the same bound for an owner that renews its lease but does no work: the
// time until missing worker heartbeats are noticed, the declaration delay, extended once, and
// then the takeover.
const revocationBound = 20*time.Second + takeoverBound

// detectionScenario is a failure of controllers in a deployment under load. Failure detection
// is on at all controllers but those in withoutDetection.
type detectionScenario struct {
	name             string
	withoutDetection []int // indexes of the controllers without failure detection
	fault            func(*testing.T, *world, *workload)
}

// run injects the failure. Afterwards every accepted job must end, and no rule may have been
// broken.
func (s detectionScenario) run(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldWithTimes(seed, []string{"a", "b"}, 3, lease26Times)
		w.lateCommandShare, w.reliableCloud = 0, true
		w.lostAnswerShare, w.lateWriteShare, w.repeatedWriteShare = 0, 0, 0
		for k := range w.capacity {
			w.capacity[k] = 6
		}
		for i, n := range w.controllers {
			n.enableDetection()
			for _, index := range s.withoutDetection {
				if index == i {
					n.set.Detection = nil
				}
			}
			n.start()
		}
		go w.expireLeases()
		defer w.shutdown()
		time.Sleep(5 * time.Second)
		b := w.startWorkload(t, 60)
		s.fault(t, w, b)
		for _, n := range w.controllers {
			w.locked(func() { n.peerCallsLost = false })
		}
		w.endFaultsAndWait(t, 4*time.Minute, b.mustFinish)
		if len(w.violations) > 0 {
			t.Errorf("rules broken: %s", strings.Join(w.violations, "; "))
		}
	})
}

// expectNewOwner waits until another controller owns a zone's shard.
func (w *world) expectNewOwner(t *testing.T, zone string, from int, bound time.Duration) {
	t.Helper()
	start := time.Now()
	w.waitUntil(t, "the shard of "+zone+" moves", bound, func() bool { o := w.owner(zone); return o >= 0 && o != from })
	t.Logf("another owner after %s", time.Since(start))
}

// expectSameTerms checks that no term changes and no controller is revoked while do runs.
func (w *world) expectSameTerms(t *testing.T, do func()) {
	t.Helper()
	a, b, revoked := w.term("a"), w.term("b"), w.eventCount("revocations")
	do()
	if w.term("a") != a || w.term("b") != b || w.eventCount("revocations") != revoked {
		t.Errorf("terms went from %d and %d to %d and %d, with %d revocations", a, b, w.term("a"), w.term("b"), w.eventCount("revocations")-revoked)
	}
}

// freezeOwner returns a fault that pauses an owner for a number of lease durations. The owner
// then resumes in the middle of its work.
func freezeOwner(leases float64) func(*testing.T, *world, *workload) {
	return func(t *testing.T, w *world, _ *workload) {
		owner := w.owner("a")
		pause := time.Duration(leases * float64(leaseTTL))
		if leases <= 0.5 {
			w.expectSameTerms(t, func() { w.controllers[owner].freeze(pause); time.Sleep(pause + 10*time.Second) })
			return
		}
		w.controllers[owner].freeze(pause)
		if leases > 2 {
			w.expectNewOwner(t, "a", owner, takeoverBound)
		}
		time.Sleep(pause)
	}
}

// grayFailure blocks the calls of workers and of other controllers to an owner. The owner's own
// calls to its peers and to the key-value store succeed. So the owner does not learn that its
// workers send their heartbeats to other controllers, and it considers its peers healthy.
func grayFailure(w *world, owner int) {
	w.locked(func() { w.controllers[owner].cutFromWorkers, w.controllers[owner].peerCallsLost = true, true })
}

var detectionScenarios = []detectionScenario{
	{name: "owner pauses for half a lease", fault: freezeOwner(0.5)},
	{name: "owner pauses for a lease", fault: freezeOwner(1)},
	{name: "owner pauses for three leases", fault: freezeOwner(3)},
	{name: "owner pauses for ten leases", fault: freezeOwner(10)},
	{name: "owner resumes just as it is replaced", fault: func(t *testing.T, w *world, _ *workload) {
		owner := w.owner("a")
		w.controllers[owner].freeze(time.Hour)
		w.expectNewOwner(t, "a", owner, takeoverBound)
		w.locked(func() { w.controllers[owner].frozenUntil = time.Now() })
		time.Sleep(20 * time.Second)
	}},
	{name: "owner is killed", fault: func(t *testing.T, w *world, _ *workload) {
		owner := w.owner("a")
		w.controllers[owner].restart(30 * time.Second)
		w.expectNewOwner(t, "a", owner, takeoverBound)
		time.Sleep(40 * time.Second)
	}},
	{name: "owner is killed and back within a fraction of a second", fault: func(t *testing.T, w *world, _ *workload) {
		for range 4 {
			owner := w.owner("a")
			term := w.term("a")
			w.controllers[owner].restart(200 * time.Millisecond)
			w.waitUntil(t, "a new term", takeoverBound, func() bool { return w.term("a") > term })
			time.Sleep(700 * time.Millisecond)
		}
		if n := w.eventCount("revocations"); n != 0 {
			t.Errorf("%d processes were revoked", n)
		}
	}},
	{name: "two controllers fail together, then the one that takes over", fault: func(t *testing.T, w *world, _ *workload) {
		first, second := w.owner("a"), w.owner("b")
		w.controllers[first].restart(25 * time.Second)
		w.controllers[second].restart(25 * time.Second)
		third := 3 - first - second
		w.waitUntil(t, "the third controller owns both shards", takeoverBound+constants.MaxSecondShardDelay, func() bool { return w.owner("a") == third && w.owner("b") == third })
		w.controllers[third].restart(45 * time.Second)
		w.waitUntil(t, "both shards have new owners", time.Minute, func() bool { return w.owner("a") != third && w.owner("b") != third })
		time.Sleep(30 * time.Second)
	}},
	{name: "owner without workers that other controllers cannot call", fault: func(t *testing.T, w *world, _ *workload) {
		owner := w.owner("a")
		grayFailure(w, owner)
		w.expectNewOwner(t, "a", owner, revocationBound)
		if w.eventCount("revocations") == 0 {
			t.Error("the shard moved without a revocation")
		}
		time.Sleep(30 * time.Second)
		if w.owner("a") == owner {
			t.Error("the revoked controller owns its shard again, but still receives no heartbeats from its workers")
		}
	}},
	{name: "owner's workers cannot reach it", fault: func(t *testing.T, w *world, b *workload) {
		owner := w.owner("a")
		w.locked(func() { w.controllers[owner].cutFromWorkers = true })
		w.expectNewOwner(t, "a", owner, revocationBound)
		j := w.newArray("run-000900", 2, 2, 5)
		j.spec.Zone = "a"
		go w.runUser(j, 0, 0)
		w.waitAllDone(t, 90*time.Second, []*simJob{j}) // the machines of the shard must not be left idle
	}},
	{name: "owner cut from all controllers, not from the state service", fault: func(t *testing.T, w *world, _ *workload) {
		w.expectSameTerms(t, func() {
			owner := w.controllers[w.owner("a")]
			w.locked(func() { owner.cutFromPeers = true })
			time.Sleep(40 * time.Second)
		})
	}},
	{name: "owner cut from the state service, not from controllers and workers", fault: func(t *testing.T, w *world, _ *workload) {
		owner := w.owner("a")
		w.locked(func() { w.controllers[owner].cutFromStore = true })
		w.expectNewOwner(t, "a", owner, takeoverBound)
		time.Sleep(20 * time.Second)
	}},
	{name: "link flaps within seconds", fault: func(t *testing.T, w *world, _ *workload) {
		w.expectSameTerms(t, func() {
			owner := w.controllers[w.owner("a")]
			for range 20 {
				w.locked(func() { owner.cutFromPeers = !owner.cutFromPeers })
				time.Sleep(w.randomDuration(500*time.Millisecond, 3*time.Second))
			}
			w.locked(func() { owner.cutFromPeers = false })
			time.Sleep(5 * time.Second)
		})
	}},
	{name: "a slow controller suspects all others", fault: func(t *testing.T, w *world, _ *workload) {
		slow := w.controllers[3-w.owner("a")-w.owner("b")]
		w.expectSameTerms(t, func() {
			for range 15 {
				slow.freeze(2500 * time.Millisecond)
				time.Sleep(3 * time.Second)
			}
		})
	}},
	{name: "all controllers pause at once", fault: func(t *testing.T, w *world, _ *workload) {
		for _, n := range w.controllers {
			n.freeze(8 * time.Second)
		}
		time.Sleep(40 * time.Second)
		if n := w.eventCount("revocations"); n != 0 {
			t.Errorf("%d processes were revoked", n)
		}
	}},
	{name: "state service unavailable to all", fault: func(t *testing.T, w *world, _ *workload) {
		w.expectSameTerms(t, func() {
			w.setOutage(true)
			time.Sleep(40 * time.Second)
			w.setOutage(false)
			time.Sleep(15 * time.Second)
		})
	}},
	{name: "controllers with and without detection", withoutDetection: []int{0}, fault: func(t *testing.T, w *world, _ *workload) {
		for _, zone := range []string{"a", "b"} {
			owner := w.owner(zone)
			grayFailure(w, owner)
			time.Sleep(revocationBound)
			w.locked(func() { w.controllers[owner].cutFromWorkers, w.controllers[owner].peerCallsLost = false, false })
			time.Sleep(10 * time.Second)
		}
		w.controllers[0].restart(10 * time.Second)
		time.Sleep(30 * time.Second)
	}},
}

// TestDetectionScenarios runs each failure on controllers under load with failure detection.
// The shards move, or stay, as the scenario expects, and no rule is broken.
func TestDetectionScenarios(t *testing.T) {
	discardLogs(t)
	for _, s := range detectionScenarios {
		t.Run(s.name, func(t *testing.T) {
			for seed := range uint64(2) {
				s.run(t, seed)
			}
		})
	}
}

// Without failure detection only the lease decides, and a gray failure never ends. This shows
// that the scenario which failure detection repairs does hang without it.
func TestGrayFailurePersistsWithoutDetection(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newStartedWorld(0)
		defer w.shutdown()
		w.startWorkload(t, 300)
		owner := w.owner("a")
		grayFailure(w, owner)
		time.Sleep(3 * revocationBound)
		if w.owner("a") != owner {
			t.Errorf("the shard moved to controller %d: the failure ends without failure detection, so its scenario proves nothing", w.owner("a"))
		}
	})
}

// newDetectionWorld returns a deployment of three controllers with failure detection, all up.
func newDetectionWorld(seed uint64) *world {
	w := newWorldWithTimes(seed, []string{"a", "b"}, 3, lease26Times)
	w.lateCommandShare, w.reliableCloud = 0, true
	for _, n := range w.controllers {
		n.enableDetection()
		n.start()
	}
	go w.expireLeases()
	time.Sleep(5 * time.Second)
	return w
}

// An owner that is stalled in one message is replaced: its process releases its lease and
// exits. What the owner still does after the stall breaks no rule.
func TestStalledOwnerIsReplaced(t *testing.T) {
	discardLogs(t)
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			w := newDetectionWorld(seed)
			defer w.shutdown()
			b := w.startWorkload(t, 60)
			owner := w.owner("a")
			w.controllers[owner].stallOwner("a", 50*time.Second)
			w.expectNewOwner(t, "a", owner, w.controllers[owner].set.Detection.StallTimeout+time.Second+takeoverBound)
			w.waitUntil(t, "the process exits by itself", 15*time.Second, func() bool { return w.eventCount("ended itself: controller") == 1 })
			time.Sleep(50 * time.Second)
			w.endFaultsAndWait(t, 4*time.Minute, b.mustFinish)
			if len(w.violations) > 0 {
				t.Errorf("rules broken: %s", strings.Join(w.violations, "; "))
			}
		})
	}
}

// With failure detection on, random faults and unfounded revocations between controllers break
// no rule, and every accepted job ends.
func TestRulesHoldWithDetection(t *testing.T) {
	discardLogs(t)
	revoked, late := 0, 0
	for seed := *firstSeed; seed < *firstSeed+*randomRuns/2; seed++ {
		synctest.Test(t, func(t *testing.T) {
			w := runRandomWorkload(t, 1000+seed, []string{"a", "b", "c"}[:2+seed%2], func(w *world) { proposeRandomRevocations(w, 20*time.Second) })
			if len(w.violations) > 0 {
				t.Fatalf("seed %d: %d broken rules, first: %s", seed, len(w.violations), strings.Join(w.violations[:min(4, len(w.violations))], "; "))
			}
			for id, j := range w.jobs {
				if !j.accepted || j.reportedState == "" {
					t.Errorf("seed %d: %s: accepted %v, told %q, %d of %d tasks done", seed, id, j.accepted, j.reportedState, len(j.doneTasks), j.spec.Tasks)
				}
			}
			revoked += w.observed["revocations"]
			late += w.observed["late heartbeats"]
		})
	}
	if revoked < int(*randomRuns)/2 || late == 0 {
		t.Errorf("only %d revocations and %d late heartbeats occurred", revoked, late)
	}
}

// proposeRandomRevocations enables failure detection. For the first 200 s it makes a random
// controller propose the revocation of another one, at random intervals from every/2 to every.
func proposeRandomRevocations(w *world, every time.Duration) {
	for _, n := range w.controllers {
		n.enableDetection()
	}
	go func() {
		for end := time.Now().Add(200 * time.Second); time.Now().Before(end); {
			time.Sleep(w.randomDuration(every/2, every))
			w.mu.Lock()
			by, of := w.controllers[w.rng.IntN(len(w.controllers))], w.controllers[w.rng.IntN(len(w.controllers))]
			w.mu.Unlock()
			if by != of {
				w.proposeRevocation(by, of)
			}
		}
	}()
}

// A revoked owner's terms may be acquired only when its authority has ended. An owner that is
// partitioned with its zone while it is revoked answers its workers' heartbeats until its
// authority ends. A controller that acquired the term at once would assume too early that the
// workers' leases have expired. Without the wait the checker must report a broken rule.
func TestRevokedHoldersAuthorityIsAwaited(t *testing.T) {
	discardLogs(t)
	for seed := range uint64(4) {
		if broken := runRevocationInPartition(t, seed, false); len(broken) > 0 {
			t.Errorf("seed %d: rules broken: %v", seed, broken)
		}
	}
	// Whether a rule is broken depends on the order in which goroutines run.
	for seed := range uint64(guardSeeds) {
		if broken := runRevocationInPartition(t, seed, true); len(broken) > 0 {
			return
		}
	}
	t.Error("no broken rule was reported without the wait")
}

// runRevocationInPartition partitions an owner with its zone, revokes the owner, and returns the
// broken rules. With skipWait the successor does not wait for the end of the owner's authority.
func runRevocationInPartition(t *testing.T, seed uint64, skipWait bool) (broken []string) {
	const longLeaseTTL = 18 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(seed, []string{"a", "b"}, 3)
		w.lateCommandShare, w.reliableCloud, w.skipAuthorityWait = 0, true, skipWait
		for _, n := range w.controllers {
			n.set.Operator.LeaseTTL = longLeaseTTL
			n.enableDetection()
			n.start()
		}
		go w.expireLeases()
		defer w.shutdown()
		time.Sleep(5 * time.Second)
		w.startService("run-000001", 2) // one task in each zone: machines with free capacity
		time.Sleep(30 * time.Second)
		j := &simJob{spec: wire.Submission{ID: "run-000002", Class: "c", Team: "free", Kind: wire.KindService, Priority: wire.PriorityProduction,
			Tasks: 1, CPUs: 4, MemoryGB: 1, Image: "i", ImageGB: 1}, doneTasks: map[int]bool{}}
		w.locked(func() { w.jobs[j.spec.ID] = j })
		go w.runUser(j, 0, 0)
		w.waitUntil(t, "the task runs", time.Minute, func() bool { return len(w.machinesRunning(j.spec.ID)) > 0 })
		zone := w.machinesRunning(j.spec.ID)[0].zone
		owner := w.controllers[w.owner(zone)]
		outside := w.controllers[w.owner(otherZone(zone))]
		w.locked(func() { w.cloudUnavailable, w.partitionedZone, owner.cutFromStore = true, zone, true }) // only an expired lease proves that a task has ended
		w.waitUntil(t, "the owner is revoked", 10*time.Second, func() bool { w.proposeRevocation(outside, owner); return w.eventCount("revocations") > 0 })
		time.Sleep(2 * time.Minute)
		w.locked(func() { broken, owner.cutFromStore = w.violations, false })
	})
	return broken
}

func otherZone(zone string) string {
	if zone == "a" {
		return "b"
	}
	return "a"
}

// shortenLeaseTTL makes a stored lease TTL so short that no controller waits for its end.
func shortenLeaseTTL(value []byte) []byte {
	return storedLeaseTTL.ReplaceAll(value, []byte(`"life":1`))
}

var storedLeaseTTL = regexp.MustCompile(`"life":\d+`)

// A controller writes a revocation only if it has authority itself, and only while no lease
// extension may be in force. This test covers the first condition.
func TestNoProposalWithoutAuthority(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newDetectionWorld(4)
		defer w.shutdown()
		w.locked(func() { w.lateWriteShare, w.repeatedWriteShare, w.lostAnswerShare = 0, 0, 0 }) // so that each revocation is written once
		time.Sleep(5 * time.Second)
		w.locked(func() { w.controllers[0].cutFromStore = true })
		time.Sleep(2 * leaseTTL)
		w.proposeRevocation(w.controllers[0], w.controllers[1])
		time.Sleep(time.Second)
		w.locked(func() { w.controllers[0].cutFromStore = false })
		time.Sleep(10 * time.Second)
		if n := w.eventCount("revocations"); n != 0 {
			t.Errorf("%d revocations by a controller without authority", n)
		}
		w.proposeRevocation(w.controllers[0], w.controllers[1])
		time.Sleep(time.Second)
		if n := w.eventCount("revocations"); n != 1 {
			t.Errorf("%d revocations by a controller with authority", n)
		}
	})
}

// The status shows the states of the other controllers, and heartbeats of unknown controllers
// are counted.
func TestStatusShowsMembers(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newDetectionWorld(3)
		defer w.shutdown()
		time.Sleep(5 * time.Second)
		if _, err := w.controllers[0].running().HandlePeerHeartbeat(t.Context(), detector.Message{Controller: "x", Heartbeat: detector.Heartbeat{Incarnation: 1}}); err == nil {
			t.Error("the heartbeat of an unknown controller was accepted")
		}
		w.controllers[1].kill()
		time.Sleep(2 * leaseTTL)
		var s Status
		answer := &simAnswer{response: make(chan *httpwire.Response, 1)}
		w.controllers[0].running().control.Tell(statusRequest{answer})
		if err := json.Unmarshal((<-answer.response).Body, &s); err != nil {
			t.Fatal(err)
		}
		if len(s.Members) != 2 || s.Members[0].State != "failed" || s.Members[1].State != "alive" || s.Dropped.UnknownController != 1 {
			t.Errorf("%+v, dropped %+v", s.Members, s.Dropped)
		}
		if len(s.Events) == 0 || !strings.Contains(strings.Join(s.Events, "\n"), "n-1 alive -> failed") {
			t.Errorf("events: %q", s.Events)
		}
	})
}
