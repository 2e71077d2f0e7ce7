package controller

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"ravenport/apiserver"
	"ravenport/httpwire"
	"ravenport/records"
	"ravenport/wire"
)

// busy is a deployment at work: arrays bound to each zone that run for long, one
// that is not bound, a service, and a team at its limit with more waiting.
type busy struct {
	long     []*simJob
	free     *simJob
	tight    []*simJob
	service  *simJob
	finishes []*simJob // what must be done in the end
}

func (w *world) startWork(t *testing.T, runS float64) *busy {
	t.Helper()
	b := &busy{long: w.boundArrays(1, runS), free: w.newArray("run-000001", 4, 1, runS)}
	go w.runUser(b.free, 0, 0)
	for i := range 4 { // of 5 CPUs each, where 10 are allowed
		j := w.newArray(fmt.Sprintf("run-0001%02d", i), 1, 5, runS)
		j.spec.Team = "tight"
		go w.runUser(j, 0, 0)
		b.tight = append(b.tight, j)
	}
	w.startService("run-000002", 2)
	w.locked(func() { b.service = w.jobs["run-000002"] })
	b.finishes = slices.Concat(b.long, []*simJob{b.free}, b.tight)
	w.allRun(t, b.long, []*simJob{b.free, b.service})
	w.waitUntil(t, "the team is at its limit", 60*time.Second, func() bool { return len(w.started(b.tight)) == 2 })
	return b
}

// started lists those of some jobs that have a task on a machine.
func (w *world) started(lot []*simJob) []*simJob {
	var out []*simJob
	for _, j := range lot {
		if w.tasksOn("", j.spec.ID) > 0 {
			out = append(out, j)
		}
	}
	return out
}

// settleAll ends all troubles and sees that everything comes to its end.
func (w *world) settleAll(t *testing.T, limit time.Duration, lot []*simJob) {
	t.Helper()
	w.setOutage(false)
	w.mu.Lock()
	for _, n := range w.controllers {
		n.cutFromStore, n.cutFromWorkers, n.cutFromPeers, n.heartbeatsLost = false, false, false, false
	}
	w.cloudUnavailable, w.partitionedZone, w.storeLatency = false, "", 0
	for _, m := range w.machines {
		m.disconnected, m.hung, m.receivesNothing, m.cutFromControllers = false, false, false, false
	}
	w.calmSince = time.Now()
	w.mu.Unlock()
	for _, n := range w.controllers {
		if n.running() == nil {
			n.start()
		}
	}
	w.waitUntil(t, "everything comes to its end", limit, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return !slices.ContainsFunc(lot, func(j *simJob) bool {
			return j.reportedState == "" && !j.cancelRequested || j.cancelRequested && j.reportedState == ""
		})
	})
}

// cancelAndWait cancels a job through whoever takes it, and waits for that.
func (w *world) cancelAndWait(t *testing.T, j *simJob, limit time.Duration) {
	t.Helper()
	node := 0
	w.waitUntil(t, j.spec.ID+" is confirmed as cancelled", limit, func() bool {
		node++
		return w.cancelAt(node%3, j)
	})
}

// restart ends a controller and starts it again.
func (n *simController) restart(after time.Duration) {
	n.kill()
	time.AfterFunc(after, func() {
		select {
		case <-n.world.done:
		default:
			if n.running() == nil {
				n.start()
			}
		}
	})
}

// machinesRunning lists the machines that hold a task of a job.
func (w *world) machinesRunning(job string) []*simWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*simWorker
	for _, name := range slices.Sorted(maps.Keys(w.machines)) {
		m := w.machines[name]
		for _, x := range m.tasks {
			if id, _, _ := wire.ParseTaskName(x.name); id == job && onMachine(x.state) {
				out = append(out, m)
				break
			}
		}
	}
	return out
}

// pollClosely asks all controllers about a job at once, and again, within milliseconds;
// some times it repeats the submission instead. None may answer older than any
// answered before the question was asked.
func (w *world) pollClosely(j *simJob) {
	for range 3 {
		for node := range w.controllers {
			go func() {
				w.mu.Lock()
				told, accepted := j.reportedState, j.accepted
				w.mu.Unlock()
				repeat := w.chance(0.3)
				r := w.requestAt(node, func(q apiserver.Request) any {
					if repeat {
						return apiserver.Submit{Request: q, Body: records.Encode(fields(j.spec))}
					}
					return apiserver.Poll{Request: q, JobID: j.spec.ID}
				})
				if r == nil || r.Status == 503 || r.Status == 429 {
					return
				}
				var s wire.JobStatus
				err := json.Unmarshal(r.Body, &s)
				w.mu.Lock()
				defer w.mu.Unlock()
				w.observed["close looks"]++
				switch {
				case accepted && r.Status != 200 || err != nil:
					w.violate("forgotten", "%s: status %d after it was accepted", j.spec.ID, r.Status)
				case told != "" && s.Status != told:
					w.violate("went_back", "%s: %s, then %s", j.spec.ID, told, s.Status)
				}
			}()
		}
		time.Sleep(w.randomDuration(time.Millisecond, 8*time.Millisecond))
	}
}

// submitMany submits one-task jobs for a while; a share of them is cancelled, some at
// once and some at the moment of their end, and users look closely at each change.
func (w *world) submitMany(first int, d time.Duration, everyS, runS, cancelled float64) []*simJob {
	var out []*simJob
	for end, i := time.Now().Add(d), first; time.Now().Before(end); i++ {
		j := w.newArray(fmt.Sprintf("run-%06d", i), 1, 1, runS)
		out = append(out, j)
		go w.runUser(j, 0, 0)
		if w.chance(cancelled) {
			at := time.Duration(0)
			if w.chance(0.5) {
				at = time.Duration(w.randomDuration(time.Second, time.Duration((runS+4)*float64(time.Second))))
			}
			go func() {
				w.waitAccepted(j)
				time.Sleep(at)
				for node := i; ; node++ {
					w.cancelAt(node%3, j)
					w.pollClosely(j)
					if w.hasEnded(j) {
						return
					}
					select {
					case <-w.done:
						return
					case <-time.After(time.Second):
					}
				}
			}()
		} else {
			go func() {
				w.waitAccepted(j)
				w.pollClosely(j)
				for !w.hasEnded(j) {
					select {
					case <-w.done:
						return
					case <-time.After(20 * time.Millisecond):
					}
				}
				w.pollClosely(j)
			}()
		}
		time.Sleep(time.Duration(everyS * float64(time.Second)))
	}
	return out
}

// boundArraysOf submits one-task jobs of so many CPUs all at once.
func (w *world) boundArraysOf(first int, cpus float64, n int, runS float64) []*simJob {
	var out []*simJob
	for i := range n {
		j := w.newArray(fmt.Sprintf("run-%06d", first+i), 1, cpus, runS)
		go w.runUser(j, 0, 0)
		out = append(out, j)
	}
	return out
}

// waitAccepted waits until a job was accepted.
func (w *world) waitAccepted(j *simJob) {
	for {
		w.mu.Lock()
		accepted := j.accepted
		w.mu.Unlock()
		if accepted {
			return
		}
		select {
		case <-w.done:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (w *world) hasEnded(j *simJob) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return j.reportedState != ""
}

// expectEvent checks that something was observed in a scenario.
func (w *world) expectEvent(t *testing.T, what string, least int) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.observed[what] < least {
		w.fail(t, "it hardly came about: %s: %d times, wanted %d", what, w.observed[what], least)
	}
}

// expectNewTerm waits until a term is another controller's or another process's.
func (w *world) expectNewTerm(t *testing.T, key string, do func()) {
	t.Helper()
	version := func() uint64 {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.kv[key].version
	}
	was := version()
	do()
	w.waitUntil(t, "a new term under "+key, 60*time.Second, func() bool { return version() != was })
}

// replayHeartbeats lets every heartbeat that was kept come once more, to every controller.
func (w *world) replayHeartbeats() {
	w.mu.Lock()
	old := w.keptHeartbeats
	w.keptHeartbeats = nil
	w.mu.Unlock()
	for _, n := range w.controllers {
		if ctl := n.running(); ctl != nil {
			for _, r := range old {
				w.deliverCopy(ctl, r)
			}
		}
	}
}

// setHung lets machines hang, or go on.
func (w *world) setHung(ms []*simWorker, hung bool) {
	w.locked(func() {
		for _, m := range ms {
			m.hung = hung
		}
	})
}

// hangs is a scenario in which machines hang and, at that moment, jobs on them are
// cancelled; something more happens to the deployment then.
func hangs(more func(*testing.T, *world, []*simWorker)) func(*testing.T, *world) {
	return func(t *testing.T, w *world) {
		b := w.startWork(t, 300)
		var hung []*simWorker
		for _, j := range b.long[:2] {
			hung = append(hung, w.machinesRunning(j.spec.ID)...)
		}
		w.setHung(hung, true)
		for _, j := range b.long[:2] {
			w.cancelAndWait(t, j, 20*time.Second)
		}
		more(t, w, hung)
		w.settleAll(t, 20*time.Minute, b.finishes)
	}
}

// TestFaultCombinations plays the meetings of troubles that users have seen break rules of
// schedulers like this one.
func TestFaultCombinations(t *testing.T) {
	zones := []string{"a", "b", "c"}
	owner := func(w *world, z string) *simController { return w.controllers[w.holder(records.KeyShard(z))] }
	leader := func(w *world) *simController { return w.controllers[w.holder(records.KeyLeader)] }
	list := []scenario{
		{name: "held reports come as a new leader begins", guard: func(w *world) { w.freshenCopies = true },
			play: func(t *testing.T, w *world) {
				w.locked(func() { w.keepHeartbeats = true })
				b := w.startWork(t, 60)
				w.expectNewTerm(t, records.KeyShard("a"), func() { owner(w, "a").restart(8 * time.Second); leader(w).restart(9 * time.Second) })
				w.replayHeartbeats()
				time.Sleep(3 * time.Second)
				w.replayHeartbeats()
				time.Sleep(w.times.lease())
				w.replayHeartbeats() // of earlier epochs and attempts, after newer ones
				w.expectEvent(t, "copies", 100)
				w.settleAll(t, 6*time.Minute, b.finishes)
			}},
		{name: "tasks end far apart over a change of leader",
			play: func(t *testing.T, w *world) {
				var lot []*simJob
				for i := range 6 {
					j := w.newArray(fmt.Sprintf("run-00000%d", i), 2+i%2, 1, 40)
					j.runs = []float64{3, 70, 40}[:2+i%2]
					go w.runUser(j, 0, 0)
					lot = append(lot, j)
				}
				w.waitUntil(t, "some of each are done", 60*time.Second, func() bool {
					w.mu.Lock()
					defer w.mu.Unlock()
					return !slices.ContainsFunc(lot, func(j *simJob) bool { return len(j.doneTasks) == 0 })
				})
				for range 2 {
					w.expectNewTerm(t, records.KeyLeader, func() { leader(w).restart(6 * time.Second) })
					w.expectNewTerm(t, records.KeyShard("b"), func() { owner(w, "b").restart(6 * time.Second) })
				}
				for _, j := range lot {
					if w.hasEnded(j) {
						w.fail(t, "%s had ended before the last change", j.spec.ID)
					}
				}
				w.settleAll(t, 4*time.Minute, lot)
			}},
		{name: "a team at its limit, machines out of reach, a cancellation, a new leader", guard: func(w *world) { w.ignoreWorkerLeases, w.ignoreScaleIn = true, true }, rule: "quota",
			play: func(t *testing.T, w *world) {
				b := w.startWork(t, 400)
				held := w.started(b.tight)
				cut := w.machinesRunning(held[0].spec.ID)
				w.locked(func() {
					for i, m := range cut {
						m.disconnected, m.hung = i%2 == 0, i%2 == 1
					}
				})
				w.cancelAndWait(t, held[0], 20*time.Second)
				w.expectNewTerm(t, records.KeyLeader, func() { leader(w).restart(6 * time.Second) })
				w.expectNewTerm(t, records.KeyShard(cut[0].zone), func() { owner(w, cut[0].zone).restart(6 * time.Second) })
				w.waitUntil(t, "another of the team starts in its place", 2*w.times.lease()+time.Minute, func() bool {
					return len(slices.DeleteFunc(w.started(b.tight), func(j *simJob) bool { return j == held[0] })) == 2
				})
				w.settleAll(t, 25*time.Minute, b.finishes)
			}},
		{name: "a team at its limit, its machine hangs and goes on, a cancellation, a new leader",
			play: func(t *testing.T, w *world) {
				b := w.startWork(t, 100)
				held := w.started(b.tight)
				hung := w.machinesRunning(held[0].spec.ID)
				w.setHung(hung, true)
				w.cancelAndWait(t, held[0], 20*time.Second)
				w.expectNewTerm(t, records.KeyLeader, func() { leader(w).restart(3 * time.Second) })
				time.Sleep(w.times.lease() / 3)
				w.setHung(hung, false)
				w.settleAll(t, 8*time.Minute, b.finishes)
			}},
		{name: "a leader cut from state service and controllers, not from workers and users",
			play: func(t *testing.T, w *world) {
				b := w.startWork(t, 150)
				n := leader(w)
				if len(w.shards(slices.Index(w.controllers, n))) == 0 {
					n = owner(w, "a")
				}
				owned := w.shards(slices.Index(w.controllers, n))
				w.locked(func() { n.cutFromStore, n.cutFromPeers = true, true })
				cutAt := time.Now()
				var doomed *simJob
				for _, j := range b.long {
					if j.spec.Zone == owned[0] {
						doomed = j
					}
				}
				other := (slices.Index(w.controllers, n) + 1) % 3
				w.waitUntil(t, "another controller confirms", 20*time.Second, func() bool { return w.cancelAt(other, doomed) })
				w.waitUntil(t, "a new owner", 30*time.Second, func() bool { return owner(w, owned[0]) != n })
				time.Sleep(w.times.cancelWithin())
				w.mu.Lock()
				if !n.heartbeatReceivedAt.After(cutAt) {
					w.fail(t, "no machine reported to the cut-off %s", n.set.Controller)
				}
				w.mu.Unlock()
				w.settleAll(t, 8*time.Minute, b.finishes)
			}},
		{name: "cancellations while a shard changes hands",
			play: func(t *testing.T, w *world) {
				boundArrays := [][]*simJob{w.boundArrays(1, 200), w.boundArrays(2, 200), w.boundArrays(3, 200)}
				w.allRun(t, boundArrays...)
				n := owner(w, "a")
				w.expectNewTerm(t, records.KeyShard("a"), func() { n.kill(); w.cancelAndWait(t, boundArrays[0][0], 20*time.Second) })
				w.cancelAndWait(t, boundArrays[0][1], 20*time.Second)
				n.start()
				// It is given its shard back in good health: cancellations all the while.
				w.expectNewTerm(t, records.KeyShard("a"), func() {
					go func() {
						for _, lot := range boundArrays[1:] {
							for node, j := range lot {
								time.Sleep(2 * time.Second)
								w.cancelAt(node, j)
								w.pollClosely(j)
							}
						}
					}()
				})
				time.Sleep(15 * time.Second)
				w.settleAll(t, 5*time.Minute, slices.Concat(boundArrays...))
				w.expectEvent(t, "close looks", 20)
			}},
		{name: "ten leaders in two minutes, also inside an outage",
			play: func(t *testing.T, w *world) {
				b := w.startWork(t, 120)
				for i := range 10 {
					if i == 5 {
						w.setOutage(true)
						time.AfterFunc(8*time.Second, func() { w.setOutage(false) })
					}
					w.expectNewTerm(t, records.KeyLeader, func() { leader(w).restart(w.randomDuration(100*time.Millisecond, 4*time.Second)) })
					if i%3 == 0 && i/3 < len(b.long) {
						w.cancelAndWait(t, b.long[i/3], 30*time.Second)
					}
					time.Sleep(4 * time.Second)
				}
				w.settleAll(t, 8*time.Minute, b.finishes)
			}},
		{name: "cancellations, questions and repeats meet the end of the last task",
			play: func(t *testing.T, w *world) {
				lot := w.submitMany(0, 60*time.Second, 1, 3, 0.7)
				w.settleAll(t, 3*time.Minute, lot)
				w.expectEvent(t, "close looks", 200)
				kinds := map[string]int{}
				for _, j := range lot {
					kinds[j.reportedState]++
				}
				if kinds[wire.JobDone] < 5 || kinds[wire.JobCancelled] < 5 {
					w.fail(t, "only %v: the ends never met", kinds)
				}
			}},
		{name: "one-task jobs four a second for minutes, a quarter cancelled",
			play: func(t *testing.T, w *world) {
				lot := w.submitMany(0, 150*time.Second, 0.25, 3, 0.25)
				if len(lot) < 500 {
					w.fail(t, "only %d jobs", len(lot))
				}
				w.settleAll(t, 5*time.Minute, lot)
				for _, n := range w.controllers { // what is over is not kept
					if c := n.running(); c != nil {
						if open := w.openJobs(c); open > 5 {
							w.fail(t, "%s still holds %d records of jobs that are over", n.set.Controller, open)
						}
					}
				}
			}},
		{name: "answers of transactions are lost while others read what they wrote", guard: func(w *world) { w.ignoreConditions = true },
			play: func(t *testing.T, w *world) {
				w.locked(func() { w.lostAnswerShare = 0.3 })
				lot := w.submitMany(0, 60*time.Second, 1, 4, 0.5)
				w.locked(func() { w.lostAnswerShare = 0 })
				w.settleAll(t, 4*time.Minute, lot)
				w.expectEvent(t, "lost answers", 30)
				w.expectEvent(t, "close looks", 200)
			}},
		{name: "transactions without an answer come late, after newer ones", guard: func(w *world) { w.ignoreConditions = true },
			play: func(t *testing.T, w *world) {
				w.locked(func() { w.lateWriteShare = 0.25 })
				lot := w.submitMany(0, 60*time.Second, 1, 4, 0.5)
				w.expectNewTerm(t, records.KeyLeader, func() { leader(w).restart(time.Second) })
				time.Sleep(20 * time.Second)
				w.locked(func() { w.lateWriteShare = 0 })
				w.settleAll(t, 4*time.Minute, lot)
				w.expectEvent(t, "late writes that failed", 20)
			}},
		{name: "jobs bound to one zone lose machines",
			play: func(t *testing.T, w *world) {
				var lot []*simJob
				for i := range 4 {
					j := w.newArray(fmt.Sprintf("run-00000%d", i), 3, 2, 60)
					j.spec.OneZone = true
					go w.runUser(j, 0, 0)
					lot = append(lot, j)
				}
				w.allRun(t, lot)
				for i, j := range lot {
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
				w.expectNewTerm(t, records.KeyLeader, func() { leader(w).restart(time.Second) })
				time.Sleep(2 * w.times.lease())
				w.settleAll(t, 6*time.Minute, lot)
			}},
		{name: "shards handed there and back, all end, one returns within a second",
			play: func(t *testing.T, w *world) {
				b := w.startWork(t, 150)
				n := owner(w, "b")
				w.expectNewTerm(t, records.KeyShard("b"), func() { n.restart(300 * time.Millisecond) })
				w.expectNewTerm(t, records.KeyShard("b"), func() { owner(w, "b").restart(300 * time.Millisecond) })
				for _, n := range w.controllers {
					n.kill()
				}
				w.controllers[1].restart(700 * time.Millisecond)
				time.Sleep(1200 * time.Millisecond)
				w.controllers[1].restart(200 * time.Millisecond) // in the middle of the election
				w.expectNewTerm(t, records.KeyShard("b"), func() {})
				w.cancelAndWait(t, b.long[1], 30*time.Second)
				time.Sleep(10 * time.Second)
				w.controllers[0].start()
				w.controllers[2].start()
				w.settleAll(t, 8*time.Minute, b.finishes)
			}},
		// Without tokens no rule was seen broken here: what owners keep of attempts is
		// enough. That tokens are missed is shown by TestCheckerNoticesMissingGuards.
		{name: "commands are held up for seconds and carried out",
			play: func(t *testing.T, w *world) {
				// All owners end just after they decided starts that are held up on their way.
				w.boundArraysOf(0, 3, 24, 30) // machines are there
				w.locked(func() { w.lateCommandShare = 0.8 })
				var lot []*simJob
				for i := range 6 {
					lot = append(lot, w.boundArraysOf(100*(i+1), 3, 16, 25)...)
					w.waitUntil(t, "starts are decided", 30*time.Second, func() bool { return len(w.started(lot)) > 4*i })
					for _, n := range w.controllers {
						n.restart(w.randomDuration(500*time.Millisecond, 2*time.Second))
					}
					w.expectNewTerm(t, records.KeyShard(zones[i%3]), func() {})
					time.Sleep(12 * time.Second)
				}
				w.locked(func() { w.lateCommandShare = 0 })
				time.Sleep(30 * time.Second)
				w.settleAll(t, 5*time.Minute, lot)
				w.expectEvent(t, "commands carried out late", 3)
			}},
		{name: "machines with cancelled tasks hang for longer than cancel_s",
			play: hangs(func(t *testing.T, w *world, hung []*simWorker) {
				time.Sleep(w.times.cancelWithin() + 20*time.Second)
			})},
		{name: "machines with cancelled tasks hang while all controllers are away",
			play: hangs(func(t *testing.T, w *world, hung []*simWorker) {
				time.Sleep(time.Second)
				w.locked(func() { w.hungPastLeaseIsDead = true }) // the new owners notice the hang by missing heartbeats alone, and late
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
			play: hangs(func(t *testing.T, w *world, hung []*simWorker) {
				time.Sleep(time.Second)
				w.locked(func() { w.hungPastLeaseIsDead = true })
				w.setOutage(true)
				w.controllers[2].restart(2 * time.Second)
				time.Sleep(w.times.cancelWithin() + 20*time.Second)
				w.setOutage(false)
			})},
		{name: "a zone with its controller is cut off for longer than the lease", guard: func(w *world) { w.ignoreWorkerLeases, w.ignoreScaleIn = true, true }, rule: "ran_cancelled",
			play: func(t *testing.T, w *world) {
				b := w.startWork(t, 200)
				w.locked(func() { w.partitionedZone = "a" })
				time.Sleep(4 * time.Second)
				w.cancelAndWait(t, b.long[0], 20*time.Second)
				time.Sleep(w.times.cancelWithin() + 5*time.Second)
				w.settleAll(t, 10*time.Minute, b.finishes)
			}},
		{name: "more work than room, urgent and not, over slow links",
			play: func(t *testing.T, w *world) {
				w.locked(func() {
					w.storeLatency = 400 * time.Millisecond
					for k := range w.capacity {
						w.capacity[k] = 1
					}
				})
				var lot []*simJob
				for i := range 40 {
					j := w.newArray(fmt.Sprintf("run-%06d", i), 4, float64(1+i%6), 15)
					j.spec.Priority = []string{wire.PriorityLow, wire.PriorityNormal, wire.PriorityHigh, wire.PriorityProduction}[i%4]
					j.spec.Spot = i%2 == 0
					go w.runUser(j, 0, 0)
					lot = append(lot, j)
				}
				time.Sleep(30 * time.Second)
				w.cancelAndWait(t, lot[32], time.Minute)
				w.cancelAndWait(t, lot[36], time.Minute)
				w.expectNewTerm(t, records.KeyLeader, func() { leader(w).restart(time.Second) })
				w.settleAll(t, 15*time.Minute, lot)
			}},
		// No guard is taken away: what it leans on, that owners wait for the heartbeats of
		// all machines or their leases' ends, is no one's but the owners'.
		{name: "all controllers are away for longer than the lease",
			play: func(t *testing.T, w *world) {
				b := w.startWork(t, 100)
				w.cancelAndWait(t, b.long[2], 20*time.Second)
				for _, n := range w.controllers {
					n.kill()
				}
				time.Sleep(w.times.lease() + 8*time.Second)
				for i, n := range w.controllers {
					n.restart(time.Duration(1+i*300) * time.Millisecond)
				}
				w.expectNewTerm(t, records.KeyShard("a"), func() {})
				w.settleAll(t, 8*time.Minute, b.finishes)
			}},
		{name: "a leader ends while machines with long tasks do not hear the new one", guard: func(w *world) { w.ignoreWorkerLeases, w.ignoreScaleIn = true, true }, rule: "ran_twice",
			play: func(t *testing.T, w *world) {
				b := w.startWork(t, 150)
				for i, j := range []*simJob{b.long[0], b.long[1], b.free} {
					on := w.machinesRunning(j.spec.ID)
					w.locked(func() { on[0].receivesNothing, on[0].disconnected = i%2 == 0, i%2 == 1 })
				}
				w.expectNewTerm(t, records.KeyShard("a"), func() { owner(w, "a").restart(5 * time.Second); leader(w).restart(5 * time.Second) })
				w.cancelAndWait(t, b.free, 20*time.Second)
				time.Sleep(w.times.cancelWithin() + 5*time.Second)
				w.settleAll(t, 10*time.Minute, b.finishes)
			}},
		{name: "machines up within two seconds get work while writes lag, and the leader ends",
			play: func(t *testing.T, w *world) {
				w.locked(func() { w.bootWithin, w.storeLatency, w.lateWriteShare = 2*time.Second, 700*time.Millisecond, 0.1 })
				lot := w.submitMany(0, 20*time.Second, 0.4, 12, 0.25)
				w.expectNewTerm(t, records.KeyLeader, func() { leader(w).restart(300 * time.Millisecond) })
				lot = append(lot, w.submitMany(500, 10*time.Second, 0.4, 12, 0.25)...)
				w.expectNewTerm(t, records.KeyShard("a"), func() { owner(w, "a").kill() })
				time.Sleep(5 * time.Second)
				w.locked(func() { w.storeLatency, w.lateWriteShare = 0, 0 })
				w.settleAll(t, 5*time.Minute, lot)
			}},
		{name: "machines reach no controller while direct commands reach them",
			play: func(t *testing.T, w *world) {
				b := w.startWork(t, 120)
				var mute []*simWorker
				for _, j := range b.long {
					mute = append(mute, w.machinesRunning(j.spec.ID)[0])
				}
				w.locked(func() {
					for _, m := range mute {
						m.cutFromControllers = true
					}
				})
				w.cancelAndWait(t, b.long[0], 20*time.Second)
				time.Sleep(8 * time.Second)
				w.expectNewTerm(t, records.KeyShard("b"), func() { owner(w, "b").restart(5 * time.Second) })
				time.Sleep(w.times.cancelWithin())
				w.settleAll(t, 8*time.Minute, b.finishes)
			}},
		{name: "the state service answers slowly, refuses the leader, then is away for long",
			play: func(t *testing.T, w *world) {
				w.locked(func() { w.storeLatency = 600 * time.Millisecond })
				b := w.startWork(t, 200)
				n := leader(w)
				if len(w.shards(slices.Index(w.controllers, n))) == 0 {
					n = owner(w, "a")
				}
				w.locked(func() { n.cutFromStore = true })
				other := (slices.Index(w.controllers, n) + 1) % 3
				if !w.cancelAt(other, b.long[0]) || !w.cancelAt(other, b.free) {
					w.stopScenario(t, "nobody confirmed")
				}
				w.pollClosely(b.free)
				w.setOutage(true)
				time.Sleep(10 * time.Second)
				w.pollClosely(b.long[0])
				time.Sleep(w.times.cancelWithin() + 5*time.Second)
				w.settleAll(t, 10*time.Minute, b.finishes)
			}},
	}
	for i := range list {
		s := &list[i]
		s.zones, s.times, s.seeds = zones, magnoliaTimes, []uint64{1, 2}
		if i%2 == 1 {
			s.times = umoyaTimes
		}
	}
	scenarios(t, list)
}

// openJobs is how many records a controller keeps.
func (w *world) openJobs(c *Controller) int {
	a := &simAnswer{got: make(chan *httpwire.Response, 1)}
	c.control.Tell(statusRequest{a})
	var s Status
	if err := json.Unmarshal((<-a.got).Body, &s); err != nil {
		panic(err)
	}
	return s.OpenJobs
}

// Jobs that lack a field are refused as malformed and jobs that can never run as
// such, by every controller, every time, also while controllers end and the state
// service answers slowly; repeats of jobs that were accepted and cancellations of
// done ones get the same answer as before.
func TestUnusualRequests(t *testing.T) {
	required := []string{"uid", "lane", "crew", "shape", "rank", "pieces", "cpus", "cards", "mem_gb", "kit", "pull_gb", "one_zone", "scatter", "loaners", "guess_s", "mark_every_s", "stow_s"}
	never := map[string]func(map[string]any){
		"unknown team":           func(f map[string]any) { f["crew"] = "nobody" },
		"too many CPUs":          func(f map[string]any) { f["cpus"] = 9.0 },
		"too much memory":        func(f map[string]any) { f["mem_gb"] = 33.0 },
		"cards that no type has": func(f map[string]any) { f["cards"] = 1.0 },
		"unknown type":           func(f map[string]any) { f["builds"] = []string{"crate"} },
		"unknown zone":           func(f map[string]any) { f["yard"] = "z" },
		"more than the team's": func(f map[string]any) {
			f["crew"] = "tight"
			f["cpus"] = 8.0
			f["pieces"] = 2
			f["shape"] = wire.KindService
		},
		"a service bound and apart": func(f map[string]any) {
			f["yard"] = "a"
			f["scatter"] = true
			f["pieces"] = 2
			f["shape"] = wire.KindService
		},
	}
	scenarios(t, []scenario{{name: "while controllers end", times: magnoliaTimes, zones: []string{"a", "b", "c"}, seeds: []uint64{1, 2}, play: func(t *testing.T, w *world) {
		done := w.newArray("run-000000", 2, 1, 3)
		go w.runUser(done, 0, 0)
		w.waitUntil(t, "a job is done", 2*time.Minute, func() bool { return w.hasEnded(done) })
		sample := w.newArray("run-odd", 2, 1, 5).spec
		answered := 0
		ask := func(what string, f map[string]any, want int) {
			for node := range w.controllers {
				r := w.requestAt(node, func(q apiserver.Request) any { return apiserver.Submit{Request: q, Body: records.Encode(f)} })
				if r == nil || r.Status == 503 {
					continue
				}
				if answered++; r.Status != want {
					w.fail(t, "%s, at %d: status %d, wanted %d: %s", what, node, r.Status, want, r.Body)
				}
			}
		}
		for round := range 4 {
			switch round {
			case 1:
				w.locked(func() { w.storeLatency = 300 * time.Millisecond })
			case 2:
				w.expectNewTerm(t, records.KeyLeader, func() { w.controllers[w.holder(records.KeyLeader)].restart(3 * time.Second) })
			case 3:
				w.setOutage(true)
				time.AfterFunc(10*time.Second, func() { w.setOutage(false) })
			}
			for _, field := range required {
				f := fields(sample)
				delete(f, field)
				ask("without "+field, f, 400)
				f = fields(sample)
				f[field] = nil
				ask("null as "+field, f, 400)
			}
			for what, change := range never {
				f := fields(sample)
				change(f)
				ask(what, f, 422)
			}
			for node := range w.controllers { // of a job that is done
				f := fields(done.spec)
				delete(f, "cpus")
				for _, r := range []*httpwire.Response{
					w.requestAt(node, func(q apiserver.Request) any { return apiserver.Submit{Request: q, Body: records.Encode(f)} }),
					w.requestAt(node, func(q apiserver.Request) any { return apiserver.Cancel{Request: q, JobID: done.spec.ID} }),
				} {
					w.checkReply(done, r, true)
				}
				r := w.requestAt(node, func(q apiserver.Request) any { return apiserver.Poll{Request: q, JobID: "run-odd"} })
				if r != nil && r.Status != 404 && r.Status != 503 {
					w.fail(t, "a job that nobody could submit: status %d", r.Status)
				}
			}
		}
		if answered < 300 {
			w.fail(t, "only %d odd requests were answered", answered)
		}
		w.settleAll(t, time.Minute, []*simJob{done})
	}}})
}
