package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ravenport/records"
	"ravenport/wire"
)

// hangDuringCancellation returns a scenario in which machines hang and jobs on them are
// cancelled at that moment. addFault then injects a further fault.
func hangDuringCancellation(addFault func(*testing.T, *world, []*simWorker)) func(*testing.T, *world) {
	return func(t *testing.T, w *world) {
		b := w.startWorkload(t, 300)
		var hung []*simWorker
		for _, j := range b.zoneArrays[:2] {
			hung = append(hung, w.machinesRunning(j.spec.ID)...)
		}
		w.setHung(hung, true)
		for _, j := range b.zoneArrays[:2] {
			w.cancelAndWait(t, j, 20*time.Second)
		}
		addFault(t, w, hung)
		w.endFaultsAndWait(t, 20*time.Minute, b.mustFinish)
	}
}

// faultZones are the zones of the deployments in faultScenarios.
var faultZones = []string{"a", "b", "c"}

// ownerController returns the controller that owns a zone's shard.
func (w *world) ownerController(zone string) *simController {
	return w.controllers[w.termHolder(records.KeyShard(zone))]
}

// leaderController returns the controller that is the leader.
func (w *world) leaderController() *simController {
	return w.controllers[w.termHolder(records.KeyLeader)]
}

// faultScenarios are combinations of faults under which users have seen similar schedulers break
// their rules.
var faultScenarios = []scenario{
	{name: "delayed heartbeats arrive as a new leader starts", unguard: func(w *world) { w.makeCopiesCurrent = true },
		body: func(t *testing.T, w *world) {
			w.locked(func() { w.keepHeartbeats = true })
			b := w.startWorkload(t, 60)
			w.expectNewTerm(t, records.KeyShard("a"), func() { w.ownerController("a").restart(8 * time.Second); w.leaderController().restart(9 * time.Second) })
			w.replayHeartbeats()
			time.Sleep(3 * time.Second)
			w.replayHeartbeats()
			time.Sleep(w.times.lease())
			w.replayHeartbeats() // heartbeats of earlier epochs and attempts, after newer ones
			w.expectEvent(t, "copies", 100)
			w.endFaultsAndWait(t, 6*time.Minute, b.mustFinish)
		}},
	{name: "tasks end far apart over a change of leader",
		body: func(t *testing.T, w *world) {
			var jobs []*simJob
			for i := range 6 {
				j := w.newArray(fmt.Sprintf("run-00000%d", i), 2+i%2, 1, 40)
				j.runTimesS = []float64{3, 70, 40}[:2+i%2]
				go w.runUser(j, 0, 0)
				jobs = append(jobs, j)
			}
			w.waitUntil(t, "each job has a finished task", 60*time.Second, func() bool {
				w.mu.Lock()
				defer w.mu.Unlock()
				return !slices.ContainsFunc(jobs, func(j *simJob) bool { return len(j.doneTasks) == 0 })
			})
			for range 2 {
				w.expectNewTerm(t, records.KeyLeader, func() { w.leaderController().restart(6 * time.Second) })
				w.expectNewTerm(t, records.KeyShard("b"), func() { w.ownerController("b").restart(6 * time.Second) })
			}
			for _, j := range jobs {
				if w.hasEnded(j) {
					w.fail(t, "%s had ended before the last change of leader and owner", j.spec.ID)
				}
			}
			w.endFaultsAndWait(t, 4*time.Minute, jobs)
		}},
	{name: "a team at its limit, machines unreachable, a cancellation, a new leader", unguard: func(w *world) { w.ignoreWorkerLeases, w.ignoreScaleIn = true, true }, wantBrokenRule: "quota",
		body: func(t *testing.T, w *world) {
			b := w.startWorkload(t, 400)
			held := w.started(b.quotaJobs)
			unreachable := w.machinesRunning(held[0].spec.ID)
			w.locked(func() {
				for i, m := range unreachable {
					m.disconnected, m.hung = i%2 == 0, i%2 == 1
				}
			})
			w.cancelAndWait(t, held[0], 20*time.Second)
			w.expectNewTerm(t, records.KeyLeader, func() { w.leaderController().restart(6 * time.Second) })
			w.expectNewTerm(t, records.KeyShard(unreachable[0].zone), func() { w.ownerController(unreachable[0].zone).restart(6 * time.Second) })
			w.waitUntil(t, "another job of the team starts in its place", 2*w.times.lease()+time.Minute, func() bool {
				return len(slices.DeleteFunc(w.started(b.quotaJobs), func(j *simJob) bool { return j == held[0] })) == 2
			})
			w.endFaultsAndWait(t, 25*time.Minute, b.mustFinish)
		}},
	{name: "a team at its limit, its machine hangs and goes on, a cancellation, a new leader",
		body: func(t *testing.T, w *world) {
			b := w.startWorkload(t, 100)
			held := w.started(b.quotaJobs)
			hung := w.machinesRunning(held[0].spec.ID)
			w.setHung(hung, true)
			w.cancelAndWait(t, held[0], 20*time.Second)
			w.expectNewTerm(t, records.KeyLeader, func() { w.leaderController().restart(3 * time.Second) })
			time.Sleep(w.times.lease() / 3)
			w.setHung(hung, false)
			w.endFaultsAndWait(t, 8*time.Minute, b.mustFinish)
		}},
	{name: "a leader cut from state service and controllers, not from workers and users",
		body: func(t *testing.T, w *world) {
			b := w.startWorkload(t, 150)
			n := w.leaderController()
			if len(w.ownedShards(slices.Index(w.controllers, n))) == 0 {
				n = w.ownerController("a")
			}
			owned := w.ownedShards(slices.Index(w.controllers, n))
			w.locked(func() { n.cutFromStore, n.cutFromPeers = true, true })
			cutAt := time.Now()
			var cancelled *simJob
			for _, j := range b.zoneArrays {
				if j.spec.Zone == owned[0] {
					cancelled = j
				}
			}
			other := (slices.Index(w.controllers, n) + 1) % 3
			w.waitUntil(t, "another controller confirms", 20*time.Second, func() bool { return w.cancelAt(other, cancelled) })
			w.waitUntil(t, "a new owner", 30*time.Second, func() bool { return w.ownerController(owned[0]) != n })
			time.Sleep(w.times.cancelWithin())
			w.mu.Lock()
			if !n.heartbeatReceivedAt.After(cutAt) {
				w.fail(t, "no machine sent heartbeats to the partitioned %s", n.set.Controller)
			}
			w.mu.Unlock()
			w.endFaultsAndWait(t, 8*time.Minute, b.mustFinish)
		}},
	{name: "cancellations while a shard moves to another owner and back",
		body: func(t *testing.T, w *world) {
			batches := [][]*simJob{w.boundArrays(1, 200), w.boundArrays(2, 200), w.boundArrays(3, 200)}
			w.waitAllRunning(t, batches...)
			n := w.ownerController("a")
			w.expectNewTerm(t, records.KeyShard("a"), func() { n.kill(); w.cancelAndWait(t, batches[0][0], 20*time.Second) })
			w.cancelAndWait(t, batches[0][1], 20*time.Second)
			n.start()
			// The restarted controller gets its shard back. Jobs are cancelled during the transfer.
			w.expectNewTerm(t, records.KeyShard("a"), func() {
				go func() {
					for _, jobs := range batches[1:] {
						for index, j := range jobs {
							time.Sleep(2 * time.Second)
							w.cancelAt(index, j)
							w.pollConcurrently(j)
						}
					}
				}()
			})
			time.Sleep(15 * time.Second)
			w.endFaultsAndWait(t, 5*time.Minute, slices.Concat(batches...))
			w.expectEvent(t, "close looks", 20)
		}},
	{name: "ten leaders in two minutes, also during an outage",
		body: func(t *testing.T, w *world) {
			b := w.startWorkload(t, 120)
			for i := range 10 {
				if i == 5 {
					w.setOutage(true)
					time.AfterFunc(8*time.Second, func() { w.setOutage(false) })
				}
				w.expectNewTerm(t, records.KeyLeader, func() { w.leaderController().restart(w.randomDuration(100*time.Millisecond, 4*time.Second)) })
				if i%3 == 0 && i/3 < len(b.zoneArrays) {
					w.cancelAndWait(t, b.zoneArrays[i/3], 30*time.Second)
				}
				time.Sleep(4 * time.Second)
			}
			w.endFaultsAndWait(t, 8*time.Minute, b.mustFinish)
		}},
	{name: "cancellations, polls and repeated submissions at the end of the last task",
		body: func(t *testing.T, w *world) {
			jobs := w.submitMany(0, 60*time.Second, 1, 3, 0.7)
			w.endFaultsAndWait(t, 3*time.Minute, jobs)
			w.expectEvent(t, "close looks", 200)
			kinds := map[wire.JobState]int{}
			for _, j := range jobs {
				kinds[j.reportedState]++
			}
			if kinds[wire.JobDone] < 5 || kinds[wire.JobCancelled] < 5 {
				w.fail(t, "cancellations and ends of tasks did not coincide often enough: %v", kinds)
			}
		}},
	{name: "four one-task jobs a second for minutes, a quarter cancelled",
		body: func(t *testing.T, w *world) {
			jobs := w.submitMany(0, 150*time.Second, 0.25, 3, 0.25)
			if len(jobs) < 500 {
				w.fail(t, "only %d jobs", len(jobs))
			}
			w.endFaultsAndWait(t, 5*time.Minute, jobs)
			for _, n := range w.controllers { // ended jobs must not stay in memory
				if c := n.running(); c != nil {
					if open := w.openJobs(c); open > 5 {
						w.fail(t, "%s still holds %d records of ended jobs", n.set.Controller, open)
					}
				}
			}
		}},
	{name: "responses to transactions are lost while other clients read what they wrote", unguard: func(w *world) { w.ignoreConditions = true },
		body: func(t *testing.T, w *world) {
			w.locked(func() { w.lostAnswerShare = 0.3 })
			jobs := w.submitMany(0, 60*time.Second, 1, 4, 0.5)
			w.locked(func() { w.lostAnswerShare = 0 })
			w.endFaultsAndWait(t, 4*time.Minute, jobs)
			w.expectEvent(t, "lost answers", 30)
			w.expectEvent(t, "close looks", 200)
		}},
	{name: "transactions without a response are applied late, after newer ones", unguard: func(w *world) { w.ignoreConditions = true },
		body: func(t *testing.T, w *world) {
			w.locked(func() { w.lateWriteShare = 0.25 })
			lot := w.submitMany(0, 60*time.Second, 1, 4, 0.5)
			w.expectNewTerm(t, records.KeyLeader, func() { w.leaderController().restart(time.Second) })
			time.Sleep(20 * time.Second)
			w.locked(func() { w.lateWriteShare = 0 })
			w.endFaultsAndWait(t, 4*time.Minute, lot)
			w.expectEvent(t, "late writes that failed", 20)
		}},
	{name: "jobs bound to one zone lose machines",
		body: func(t *testing.T, w *world) {
			var jobs []*simJob
			for i := range 4 {
				j := w.newArray(fmt.Sprintf("run-00000%d", i), 3, 2, 60)
				j.spec.OneZone = true
				go w.runUser(j, 0, 0)
				jobs = append(jobs, j)
			}
			w.waitAllRunning(t, jobs)
			for i, j := range jobs {
				for k, m := range w.machinesRunning(j.spec.ID) {
					w.locked(func() {
						switch {
						case i%3 == 0:
							w.removeMachine(m.name)
						case i%3 == 1 && k == 0:
							m.disconnected = true
						default:
							m.hung = true
						}
					})
				}
				time.Sleep(5 * time.Second)
			}
			w.expectNewTerm(t, records.KeyLeader, func() { w.leaderController().restart(time.Second) })
			time.Sleep(2 * w.times.lease())
			w.endFaultsAndWait(t, 6*time.Minute, jobs)
		}},
	{name: "a shard moves back and forth, all controllers end, one restarts within a second",
		body: func(t *testing.T, w *world) {
			b := w.startWorkload(t, 150)
			n := w.ownerController("b")
			w.expectNewTerm(t, records.KeyShard("b"), func() { n.restart(300 * time.Millisecond) })
			w.expectNewTerm(t, records.KeyShard("b"), func() { w.ownerController("b").restart(300 * time.Millisecond) })
			for _, n := range w.controllers {
				n.kill()
			}
			w.controllers[1].restart(700 * time.Millisecond)
			time.Sleep(1200 * time.Millisecond)
			w.controllers[1].restart(200 * time.Millisecond) // during the election
			w.expectNewTerm(t, records.KeyShard("b"), func() {})
			w.cancelAndWait(t, b.zoneArrays[1], 30*time.Second)
			time.Sleep(10 * time.Second)
			w.controllers[0].start()
			w.controllers[2].start()
			w.endFaultsAndWait(t, 8*time.Minute, b.mustFinish)
		}},
	// No guard is disabled here. Without fencing tokens no rule was broken in this scenario,
	// because the owners' records of attempts suffice. TestCheckerNoticesMissingGuards shows
	// that fencing tokens are needed.
	{name: "commands are delayed for seconds and then executed",
		body: func(t *testing.T, w *world) {
			// All owners end just after they sent start commands that are delayed.
			w.submitArrays(0, 3, 24, 30) // so that machines exist
			w.locked(func() { w.lateCommandShare = 0.8 })
			var jobs []*simJob
			for i := range 6 {
				jobs = append(jobs, w.submitArrays(100*(i+1), 3, 16, 25)...)
				w.waitUntil(t, "tasks of each batch have started", 30*time.Second, func() bool { return len(w.started(jobs)) > 4*i })
				for _, n := range w.controllers {
					n.restart(w.randomDuration(500*time.Millisecond, 2*time.Second))
				}
				w.expectNewTerm(t, records.KeyShard(faultZones[i%3]), func() {})
				time.Sleep(12 * time.Second)
			}
			w.locked(func() { w.lateCommandShare = 0 })
			time.Sleep(30 * time.Second)
			w.endFaultsAndWait(t, 5*time.Minute, jobs)
			w.expectEvent(t, "commands carried out late", 3)
		}},
	{name: "machines with cancelled tasks hang for longer than cancel_s",
		body: hangDuringCancellation(func(t *testing.T, w *world, hung []*simWorker) {
			time.Sleep(w.times.cancelWithin() + 20*time.Second)
		})},
	{name: "machines with cancelled tasks hang while all controllers are down",
		body: hangDuringCancellation(func(t *testing.T, w *world, hung []*simWorker) {
			time.Sleep(time.Second)
			w.locked(func() { w.ignoreTasksHungPastLease = true }) // the new owners detect the hang only by missing heartbeats, and late
			for _, n := range w.controllers {
				n.kill()
			}
			time.Sleep(w.times.lease() - 2*time.Second)
			for _, n := range w.controllers {
				n.start()
			}
			time.Sleep(w.times.cancelWithin())
		})},
	{name: "machines with cancelled tasks hang, a controller ends in an outage that outlasts cancel_s",
		body: hangDuringCancellation(func(t *testing.T, w *world, hung []*simWorker) {
			time.Sleep(time.Second)
			w.locked(func() { w.ignoreTasksHungPastLease = true })
			w.setOutage(true)
			w.controllers[2].restart(2 * time.Second)
			time.Sleep(w.times.cancelWithin() + 20*time.Second)
			w.setOutage(false)
		})},
	{name: "a zone with its controller is partitioned for longer than the lease", unguard: func(w *world) { w.ignoreWorkerLeases, w.ignoreScaleIn = true, true }, wantBrokenRule: "ran_cancelled",
		body: func(t *testing.T, w *world) {
			b := w.startWorkload(t, 200)
			w.locked(func() { w.partitionedZone = "a" })
			time.Sleep(4 * time.Second)
			w.cancelAndWait(t, b.zoneArrays[0], 20*time.Second)
			time.Sleep(w.times.cancelWithin() + 5*time.Second)
			w.endFaultsAndWait(t, 10*time.Minute, b.mustFinish)
		}},
	{name: "more work than capacity, of all priorities, over slow links",
		body: func(t *testing.T, w *world) {
			w.locked(func() {
				w.storeLatency = 400 * time.Millisecond
				for k := range w.capacity {
					w.capacity[k] = 1
				}
			})
			var jobs []*simJob
			for i := range 40 {
				j := w.newArray(fmt.Sprintf("run-%06d", i), 4, float64(1+i%6), 15)
				j.spec.Priority = []wire.Priority{wire.PriorityLow, wire.PriorityNormal, wire.PriorityHigh, wire.PriorityProduction}[i%4]
				j.spec.Spot = i%2 == 0
				go w.runUser(j, 0, 0)
				jobs = append(jobs, j)
			}
			time.Sleep(30 * time.Second)
			w.cancelAndWait(t, jobs[32], time.Minute)
			w.cancelAndWait(t, jobs[36], time.Minute)
			w.expectNewTerm(t, records.KeyLeader, func() { w.leaderController().restart(time.Second) })
			w.endFaultsAndWait(t, 15*time.Minute, jobs)
		}},
	// No guard is disabled: the scenario depends on owners waiting for the heartbeats of all
	// machines or for the ends of their leases, which only the owners implement.
	{name: "all controllers are down for longer than the lease",
		body: func(t *testing.T, w *world) {
			b := w.startWorkload(t, 100)
			w.cancelAndWait(t, b.zoneArrays[2], 20*time.Second)
			for _, n := range w.controllers {
				n.kill()
			}
			time.Sleep(w.times.lease() + 8*time.Second)
			for i, n := range w.controllers {
				n.restart(time.Duration(1+i*300) * time.Millisecond)
			}
			w.expectNewTerm(t, records.KeyShard("a"), func() {})
			w.endFaultsAndWait(t, 8*time.Minute, b.mustFinish)
		}},
	{name: "a leader ends while machines with long tasks receive nothing from the new one", unguard: func(w *world) { w.ignoreWorkerLeases, w.ignoreScaleIn = true, true }, wantBrokenRule: "ran_twice",
		body: func(t *testing.T, w *world) {
			b := w.startWorkload(t, 150)
			for i, j := range []*simJob{b.zoneArrays[0], b.zoneArrays[1], b.unboundArray} {
				on := w.machinesRunning(j.spec.ID)
				w.locked(func() { on[0].receivesNothing, on[0].disconnected = i%2 == 0, i%2 == 1 })
			}
			w.expectNewTerm(t, records.KeyShard("a"), func() { w.ownerController("a").restart(5 * time.Second); w.leaderController().restart(5 * time.Second) })
			w.cancelAndWait(t, b.unboundArray, 20*time.Second)
			time.Sleep(w.times.cancelWithin() + 5*time.Second)
			w.endFaultsAndWait(t, 10*time.Minute, b.mustFinish)
		}},
	{name: "machines that boot within two seconds get work while writes are slow, and the leader ends",
		body: func(t *testing.T, w *world) {
			w.locked(func() { w.bootWithin, w.storeLatency, w.lateWriteShare = 2*time.Second, 700*time.Millisecond, 0.1 })
			lot := w.submitMany(0, 20*time.Second, 0.4, 12, 0.25)
			w.expectNewTerm(t, records.KeyLeader, func() { w.leaderController().restart(300 * time.Millisecond) })
			lot = append(lot, w.submitMany(500, 10*time.Second, 0.4, 12, 0.25)...)
			w.expectNewTerm(t, records.KeyShard("a"), func() { w.ownerController("a").kill() })
			time.Sleep(5 * time.Second)
			w.locked(func() { w.storeLatency, w.lateWriteShare = 0, 0 })
			w.endFaultsAndWait(t, 5*time.Minute, lot)
		}},
	{name: "machines reach no controller while direct commands reach them",
		body: func(t *testing.T, w *world) {
			b := w.startWorkload(t, 120)
			var cutOff []*simWorker
			for _, j := range b.zoneArrays {
				cutOff = append(cutOff, w.machinesRunning(j.spec.ID)[0])
			}
			w.locked(func() {
				for _, m := range cutOff {
					m.cutFromControllers = true
				}
			})
			w.cancelAndWait(t, b.zoneArrays[0], 20*time.Second)
			time.Sleep(8 * time.Second)
			w.expectNewTerm(t, records.KeyShard("b"), func() { w.ownerController("b").restart(5 * time.Second) })
			time.Sleep(w.times.cancelWithin())
			w.endFaultsAndWait(t, 8*time.Minute, b.mustFinish)
		}},
	{name: "the state service responds slowly, refuses the leader, then is unavailable for long",
		body: func(t *testing.T, w *world) {
			w.locked(func() { w.storeLatency = 600 * time.Millisecond })
			b := w.startWorkload(t, 200)
			n := w.leaderController()
			if len(w.ownedShards(slices.Index(w.controllers, n))) == 0 {
				n = w.ownerController("a")
			}
			w.locked(func() { n.cutFromStore = true })
			other := (slices.Index(w.controllers, n) + 1) % 3
			if !w.cancelAt(other, b.zoneArrays[0]) || !w.cancelAt(other, b.unboundArray) {
				w.stopScenario(t, "the other controller did not confirm the cancellations")
			}
			w.pollConcurrently(b.unboundArray)
			w.setOutage(true)
			time.Sleep(10 * time.Second)
			w.pollConcurrently(b.zoneArrays[0])
			time.Sleep(w.times.cancelWithin() + 5*time.Second)
			w.endFaultsAndWait(t, 10*time.Minute, b.mustFinish)
		}},
}

// TestFaultCombinations runs all faultScenarios.
func TestFaultCombinations(t *testing.T) {
	for i := range faultScenarios {
		s := &faultScenarios[i]
		s.zones, s.times, s.seeds = faultZones, lease26Times, []uint64{1, 2}
		if i%2 == 1 {
			s.times = lease36Times
		}
	}
	runScenarios(t, faultScenarios)
}
