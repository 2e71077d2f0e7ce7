package controller

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"ravenport/drain"
	"ravenport/internal/disruptioncheck"
	"ravenport/peer"
	"ravenport/records"
	"ravenport/shard"
	"ravenport/wire"
)

// Points of a step, and how it is seen from outside that one is reached.
var drainStepPoints = []struct {
	name    string
	reached func(*testing.T, *world, int) bool
}{
	{"before the grant", func(t *testing.T, w *world, number int) bool {
		return slices.ContainsFunc(w.drainView(t, number).Shards, func(p drain.ShardProgress) bool { return len(p.Cordoned) > 0 })
	}},
	{"after the grant", func(_ *testing.T, w *world, _ int) bool { return w.claimedDisruptions() > 0 }},
	{"after the stop", func(_ *testing.T, w *world, _ int) bool {
		return w.disruptionFigures().Stops > 0
	}},
	{"after the replacement's start", func(_ *testing.T, w *world, _ int) bool {
		return w.disruptionFigures().Replaced > 0
	}},
	{"after the close", func(_ *testing.T, w *world, _ int) bool { return w.terminatingMachines() > 0 }},
	{"at the return", func(_ *testing.T, w *world, _ int) bool { return w.eventCount("scale-in requests") > 0 }},
}

// Ways for the holder of a drain to fail.
var drainOwnerFailures = []struct {
	name   string
	inject func(*world, *simController)
}{
	{"killed", func(_ *world, n *simController) { n.restart(6 * time.Second) }},
	{"paused past its lease", func(_ *world, n *simController) { n.freeze(12 * time.Second) }},
	{"cut from the state service", func(w *world, n *simController) {
		w.locked(func() { n.cutFromStore = true })
		time.AfterFunc(20*time.Second, func() { w.locked(func() { n.cutFromStore = false }) })
	}},
}

// The owner that drains fails at each point of a step, in each way: under the next one
// the drain goes on, and no budget is broken.
func TestDrainOwnerFails(t *testing.T) {
	discardLogs(t)
	for _, point := range drainStepPoints {
		for _, failure := range drainOwnerFailures {
			s := drainScenario{name: failure.name + " " + point.name, fault: func(t *testing.T, w *world, number int) {
				w.waitUntil(t, point.name, 4*time.Minute, func() bool { return point.reached(t, w, number) })
				owner, term := w.owner("a"), w.term("a")
				failure.inject(w, w.controllers[owner])
				w.waitUntil(t, "another term", 2*time.Minute, func() bool { return w.term("a") > term })
			}}
			t.Run(s.name, func(t *testing.T) { s.expectNoViolation(t, 1) })
		}
	}
}

// expectNoViolation plays a scenario under some seeds and sees that no rule is broken.
func (s drainScenario) expectNoViolation(t *testing.T, seeds int) {
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			if broken := s.play(t, seed); len(broken) > 0 {
				t.Errorf("seed %d: %s", seed, strings.Join(broken[:min(4, len(broken))], "; "))
			}
		})
	}
}

// waitForFirstMoves waits until a drain has moved some replicas.
func (w *world) waitForFirstMoves(t *testing.T) {
	t.Helper()
	w.waitUntil(t, "something was moved", 4*time.Minute, func() bool { return w.disruptionFigures().Replaced > 1 })
}

// drainScenarios are failures in the middle of a drain. Each is seen to come about.
var drainScenarios = []drainScenario{
	{name: "nothing fails", seeds: 2},
	{name: "all controllers are restarted", fault: func(t *testing.T, w *world, _ int) {
		w.waitForFirstMoves(t)
		for _, n := range w.controllers {
			n.restart(2 * time.Second)
		}
	}},
	{name: "machines are lost and use the budget up", fault: func(t *testing.T, w *world, number int) {
		w.waitForFirstMoves(t)
		w.loseMachines(4)
		w.waitUntil(t, "the drain waits for the budget", time.Minute, func() bool {
			return slices.ContainsFunc(w.drainView(t, number).Shards, func(p drain.ShardProgress) bool { return strings.Contains(p.WaitingFor, "used up") })
		})
	}},
	{name: "a zone is cut off", fault: func(t *testing.T, w *world, _ int) {
		w.waitForFirstMoves(t)
		w.locked(func() { w.partitionedZone = "b" })
		time.Sleep(60 * time.Second)
		w.locked(func() { w.partitionedZone = "" })
	}},
	{name: "the state service is away in mid-step", fault: func(t *testing.T, w *world, _ int) {
		w.waitForFirstMoves(t)
		w.setOutage(true)
		time.Sleep(40 * time.Second)
		stops := w.disruptionFigures().Stops
		time.Sleep(20 * time.Second)
		if stopsAfter := w.disruptionFigures().Stops; stopsAfter != stops {
			t.Errorf("%d tasks were stopped without the state service", stopsAfter-stops)
		}
		w.setOutage(false)
	}},
	{name: "the cloud has no more machines, then some", fault: func(t *testing.T, w *world, _ int) {
		w.locked(func() {
			for k := range w.capacity {
				w.observed[k] = w.capacity[k]
				w.capacity[k] = 0
			}
		})
		time.Sleep(90 * time.Second)
		w.locked(func() {
			for k := range w.capacity {
				w.capacity[k] += w.observed[k]
			}
		})
	}},
	{name: "a machine that is drained comes back under a new incarnation", fault: func(t *testing.T, w *world, number int) {
		var name string
		w.waitUntil(t, "a machine is cordoned", 4*time.Minute, func() bool {
			for _, p := range w.drainView(t, number).Shards {
				for _, m := range p.Cordoned {
					name = m
				}
			}
			return name != ""
		})
		w.locked(func() {
			if m := w.machines[name]; m != nil {
				m.restart()
			}
		})
	}},
	{name: "jobs are submitted and cancelled meanwhile", fault: func(t *testing.T, w *world, _ int) {
		for i := range 10 {
			j := w.newArray(fmt.Sprintf("run-%06d", 100+i), 3, 2, 20)
			go w.runUser(j, 0, time.Duration(i%2)*20*time.Second)
			time.Sleep(5 * time.Second)
		}
	}},
	{name: "long arrays and a gang run on what is drained", fault: func(t *testing.T, w *world, number int) {
		go w.playGangs()
		jobs := []*simJob{w.newArray("run-000200", 6, 2, 90)}
		gang := w.newArray("run-000201", 3, 2, 60)
		gang.spec.Kind, gang.spec.CheckpointIntervalS, gang.spec.CheckpointSaveS, gang.spec.Spot = wire.KindGang, 4, 1, false
		for _, j := range append(jobs, gang) {
			go w.runUser(j, 0, 0)
		}
		w.waitForFirstMoves(t)
		second := w.newArray("run-000202", 6, 2, 90)
		go w.runUser(second, 0, 0)
		w.waitDrainState(t, number, records.DrainFinished, 12*time.Minute)
		w.waitAllDone(t, 6*time.Minute, append(jobs, gang, second))
	}},
	{name: "arrays and gangs within their budget", settings: "disruption.interruptions.* = 1\n", fault: func(t *testing.T, w *world, first int) {
		w.waitDrainState(t, first, records.DrainFinished, 12*time.Minute)
		w.locked(func() {
			w.interruptions = disruptioncheck.New(1, w.controllers[0].set.Draining.Policy.StableAfter, w.times.lease()+30*time.Second)
			w.unitsEverRunning = map[string]bool{}
		})
		go w.playGangs()
		work := []*simJob{w.newArray("run-000200", 6, 2, 240), w.newArray("run-000201", 3, 2, 240)}
		work[1].spec.Kind, work[1].spec.CheckpointIntervalS, work[1].spec.CheckpointSaveS, work[1].spec.Spot = wire.KindGang, 4, 1, false
		for _, j := range work { // of the services' team and priority, so that none is preempted for them
			j.spec.Team, j.spec.Priority = "free", wire.PriorityProduction
			go w.runUser(j, 0, 0)
		}
		w.waitUntil(t, "they run", 2*time.Minute, func() bool { return w.unitsEverRun() == 7 })
		second := w.startDrain(t, records.Selection{})
		w.waitUntil(t, "one was interrupted", 6*time.Minute, func() bool { return w.interruptionFigures().Stops > 0 })
		term := w.term("a")
		w.controllers[w.owner("a")].restart(5 * time.Second)
		w.waitUntil(t, "another owner", time.Minute, func() bool { return w.term("a") > term })
		w.waitUntil(t, "others were interrupted", 8*time.Minute, func() bool { return w.interruptionFigures().Replaced > 2 })
		w.waitDrainState(t, second, records.DrainFinished, 12*time.Minute)
		w.waitAllDone(t, 15*time.Minute, work)
	}},
	{name: "outside of its window, then in it", settings: "drain.window.rule = FREQ=DAILY;BYHOUR=0;BYMINUTE=3\ndrain.window.minutes = 60\n", fault: func(t *testing.T, w *world, number int) {
		opens := time.Date(2000, 1, 1, 0, 3, 0, 0, time.UTC)
		for time.Now().Before(opens) {
			if v := w.drainView(t, number); len(v.Shards) > 0 && (len(v.Shards[0].Cordoned) > 0 || time.Until(opens) < time.Minute && !strings.Contains(v.Shards[0].WaitingFor, "window opens")) {
				t.Fatalf("before its window: %+v", v)
			}
			time.Sleep(5 * time.Second)
		}
	}},
	{name: "paused and resumed", fault: func(t *testing.T, w *world, number int) {
		w.waitForFirstMoves(t)
		w.changeDrain(t, peer.OpPause, number)
		time.Sleep(10 * time.Second)
		if v := w.drainView(t, number); v.State != records.DrainPaused || slices.ContainsFunc(v.Shards, func(p drain.ShardProgress) bool { return len(p.Cordoned) > 0 }) {
			t.Errorf("paused: %+v", v)
		}
		w.changeDrain(t, peer.OpResume, number)
	}},
	{name: "cancelled as a step closes", endState: records.DrainCancelled, idle: true, fault: func(t *testing.T, w *world, number int) {
		w.waitUntil(t, "a machine is closed", 4*time.Minute, func() bool { return w.terminatingMachines() > 0 })
		w.changeDrain(t, peer.OpCancel, number)
		w.waitUntil(t, "what was closed is returned", time.Minute, func() bool { return w.terminatingMachines() == 0 })
	}},
	{name: "cancelled at its very last step", fault: func(t *testing.T, w *world, first int) {
		w.waitDrainState(t, first, records.DrainFinished, 12*time.Minute)
		machine := w.machineWithService()
		number := w.startDrain(t, records.Selection{Machines: []string{machine}})
		w.locked(func() { w.ignoreScaleIn = true }) // so that it is seen closed
		isLast := func(name string) bool { return name == machine }
		w.waitUntil(t, "the last machine is closed", 4*time.Minute, func() bool { return w.countTerminating(isLast) == 1 })
		w.changeDrain(t, peer.OpCancel, number)
		w.locked(func() { w.ignoreScaleIn = false })
		w.waitUntil(t, "what was closed is returned", time.Minute, func() bool {
			return w.countTerminating(isLast) == 0 && w.remaining(map[string]bool{machine: true}) == 0
		})
		w.waitUntil(t, "nothing stays cordoned", time.Minute, func() bool { return w.cordonedMachines(t, number) == 0 })
		w.waitDrainState(t, number, records.DrainCancelled, time.Minute)
	}},
	{name: "a replacement turns unhealthy just after its step closed", fault: func(t *testing.T, w *world, _ int) {
		old := w.machineNames()
		w.waitUntil(t, "a machine is replaced", 6*time.Minute, func() bool { return w.disruptionFigures().Replaced > 0 && w.remaining(old) < len(old) })
		failed := w.disruptionFigures().Failed
		w.locked(w.observeTasks)
		w.failNewest()
		w.waitUntil(t, "the failure is seen", time.Minute, func() bool { return w.disruptionFigures().Failed > failed })
	}},
	{name: "a wave of spot machines is taken back", spot: true, fault: func(t *testing.T, w *world, number int) {
		w.waitForFirstMoves(t)
		failed := w.disruptionFigures().Failed
		if n := w.reclaimSpot(10 * time.Second); n < 3 {
			t.Errorf("the wave takes %d machines", n)
		}
		w.waitUntil(t, "the drain waits for the budget", time.Minute, func() bool {
			return slices.ContainsFunc(w.drainView(t, number).Shards, func(p drain.ShardProgress) bool { return strings.Contains(p.WaitingFor, "used up") })
		})
		w.waitUntil(t, "the wave takes tasks down", time.Minute, func() bool { return w.disruptionFigures().Failed > failed+2 })
	}},
	{name: "the budget is raised while it runs", fault: func(t *testing.T, w *world, _ int) {
		w.waitForFirstMoves(t)
		if worst := w.disruptionFigures().MaxVoluntary; worst > 2 {
			t.Errorf("%d were down by choice before", worst)
		}
		w.locked(func() { w.disruption.SetLimit(4) })
		for _, n := range w.controllers {
			n.kill()
			n.set.Draining = n.parseDraining(strings.Replace(drainSettings, "* = 2", "* = 4", 1))
			time.Sleep(3 * time.Second)
			n.start()
		}
		w.waitUntil(t, "the new budget is used", 6*time.Minute, func() bool { return w.disruptionFigures().MaxVoluntary > 2 })
	}},
	{name: "machines that never boot", endState: records.DrainStopped, idle: true, fault: func(t *testing.T, w *world, number int) {
		w.locked(func() { w.bootWithin = 1000 * time.Hour })
	}},
	{name: "machines on which every task fails", endState: records.DrainStopped, fault: func(t *testing.T, w *world, number int) {
		w.locked(func() {
			w.soundMachines = map[string]bool{}
			for name := range w.machines {
				w.soundMachines[name] = false
			}
		})
		w.waitUntil(t, "the drain stops", 10*time.Minute, func() bool { return w.drainRecord(number).State == records.DrainStopped })
		if why := w.drainRecord(number).StopReason; !strings.Contains(why, "failed on") && !strings.Contains(why, "not up in time") {
			t.Errorf("it stopped because of: %s", why)
		}
		w.locked(func() { w.soundMachines = nil })
	}},
	{name: "the budget is lowered while it runs", fault: func(t *testing.T, w *world, _ int) {
		w.waitForFirstMoves(t)
		for _, n := range w.controllers {
			n.kill()
			n.set.Draining = n.parseDraining(strings.Replace(drainSettings, "* = 2", "* = 1", 1))
			time.Sleep(3 * time.Second)
			n.start()
		}
		time.Sleep(10 * time.Second)
		w.locked(func() { w.disruption.SetLimit(1) })
	}},
}

// TestDrainScenarios plays a drain with each failure.
func TestDrainScenarios(t *testing.T) {
	discardLogs(t)
	for _, s := range drainScenarios {
		t.Run(s.name, func(t *testing.T) { s.expectNoViolation(t, max(1, s.seeds)) })
	}
}

// Two drains over one team, in different shards, whose owners are replaced in turns.
func TestTwoDrainsShareTheBudget(t *testing.T) {
	discardLogs(t)
	s := drainScenario{fault: func(t *testing.T, w *world, first int) {
		w.changeDrain(t, peer.OpCancel, first)
		time.Sleep(3 * time.Second)
		var numbers []int
		for _, zone := range []string{"a", "b"} {
			numbers = append(numbers, w.startDrain(t, records.Selection{Zones: []string{zone}}))
		}
		time.Sleep(time.Second)
		reply := w.requestDrain(t, peer.DrainRequest{Op: peer.OpStart, Selection: records.Selection{Zones: []string{"b"}}})
		if reply.Problem == nil || !strings.Contains(reply.Problem.Problem, fmt.Sprintf("drain %d", numbers[1])) {
			t.Errorf("a drain that overlaps: %+v", reply)
		}
		for i := range 4 {
			time.Sleep(8 * time.Second)
			zone := []string{"a", "b"}[i%2]
			term := w.term(zone)
			w.controllers[w.owner(zone)].restart(5 * time.Second)
			w.waitUntil(t, "another owner", time.Minute, func() bool { return w.term(zone) > term })
		}
		for _, n := range numbers {
			w.waitDrainState(t, n, records.DrainFinished, 12*time.Minute)
		}
	}, endState: records.DrainCancelled}
	s.expectNoViolation(t, 2)
}

// Without claims, or with grants that end as the replacement starts, a drain breaks its
// budget and the check says so.
func TestDrainCheckNoticesMissingGuards(t *testing.T) {
	discardLogs(t)
	for name, unguard := range map[string]func(*shard.DrainingConfig){
		"claims":      func(c *shard.DrainingConfig) { c.SkipClaimProof = true },
		"stable time": func(c *shard.DrainingConfig) { c.SkipStableTime = true },
	} {
		caught := false
		for seed := uint64(0); seed < 12 && !caught; seed++ {
			synctest.Test(t, func(t *testing.T) {
				broken := drainScenario{unguard: unguard}.play(t, seed)
				caught = slices.ContainsFunc(broken, func(b string) bool { return strings.HasPrefix(b, "budget:") })
			})
		}
		if !caught {
			t.Errorf("without the %s the budget was never seen broken", name)
		}
	}
}

// What cannot be drained is refused at once, with the field that is wrong, and nothing
// is stored; a damaged record does nothing and is not written over.
func TestInvalidDrainRequestsAreRefused(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newWorldWithTimes(2, []string{"a", "b", "c"}, 3, magnoliaTimes)
		w.lateCommandShare, w.reliableCloud, w.lostAnswerShare, w.lateWriteShare, w.repeatedWriteShare = 0, true, 0, 0, 0
		w.enableDraining(strings.Replace(drainSettings, "* = 2", "* = 40%", 1))
		for _, n := range w.controllers {
			n.start()
		}
		go w.expireLeases()
		defer w.shutdown()
		time.Sleep(5 * time.Second)
		w.startReplicas(t, 1, 2) // 40% of two are none
		time.Sleep(15 * time.Second)
		spot := true
		for field, q := range map[string]peer.DrainRequest{
			"zone":          {Op: peer.OpStart, Selection: records.Selection{Zones: []string{"x"}}},
			"type":          {Op: peer.OpStart, Selection: records.Selection{Types: []string{"x"}}},
			"machine":       {Op: peer.OpStart, Selection: records.Selection{Machines: []string{"m-999999"}}},
			"selection":     {Op: peer.OpStart},
			"budget":        {Op: peer.OpStart, MatchAll: true},
			"drain":         {Op: peer.OpPause, Number: 7},
			"rented-before": {Op: peer.OpStart, MinAgeS: 1e9},
			"op":            {Op: "dance"},
		} {
			if r := w.requestDrain(t, q); r.Problem == nil || r.Problem.Field != field {
				t.Errorf("%s: %+v", field, r.Problem)
			}
		}
		if r := w.requestDrain(t, peer.DrainRequest{Op: peer.OpPlan, Selection: records.Selection{Spot: &spot}}); r.Problem == nil || r.Problem.Field != "selection" {
			t.Errorf("no spot machine: %+v", r)
		}
		if n := w.keysUnder(records.KeyDrain(1)); n > 0 {
			t.Errorf("%d drains are stored", n)
		}
		if r := w.requestDrain(t, peer.DrainRequest{Op: peer.OpPlan, MatchAll: true}); r.Plan == nil || r.Plan.FirstPermanentObstacle() == nil {
			t.Errorf("the plan does not say what can never be done: %+v", r)
		}
		w.locked(func() {
			w.kv[records.KeyDrain(3)] = &entry{value: []byte(`{"state":7}`), version: w.revision + 1}
			w.revision++
			w.storeEvents = append(w.storeEvents, wire.Event{Put: records.KeyDrain(3), Value: []byte(`{"state":7}`), Version: w.revision})
			close(w.storeChanged)
			w.storeChanged = make(chan struct{})
		})
		time.Sleep(2 * time.Second)
		if s := w.requestDrain(t, peer.DrainRequest{Op: peer.OpStatus}).Status; !slices.Equal(s.Unreadable, []int{3}) {
			t.Errorf("damaged: %v", s.Unreadable)
		}
		if r := w.requestDrain(t, peer.DrainRequest{Op: peer.OpResume, Number: 3}); r.Problem == nil || r.Problem.Field != "drain" {
			t.Errorf("a damaged drain is resumed: %+v", r)
		}
	})
}

// A controller of a version without drains, or without the file, holds back what its
// shard's owner cannot vouch for, and says that it is off.
func TestDrainBesideControllerWithoutDraining(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := drainWorld(4, "")
		defer w.shutdown()
		w.controllers[1].set.Draining = nil
		w.startBeforeDrain(t)
		if _, err := (simPeer{w.controllers[0], w.controllers[1]}).Drain(context.Background(), peer.DrainRequest{Op: peer.OpStatus}); err != peer.ErrDrainingDisabled {
			t.Errorf("it answers: %v", err)
		}
		number := w.startDrain(t, records.Selection{Zones: []string{"a"}})
		time.Sleep(40 * time.Second)
		if v := w.drainView(t, number); w.disruptionFigures().Stops > 0 || len(v.Shards) == 0 || !strings.Contains(v.Shards[0].WaitingFor, "not published") {
			t.Errorf("%d stops; %+v", w.disruptionFigures().Stops, v)
		}
		w.controllers[1].kill()
		w.controllers[1].set.Draining = w.controllers[1].parseDraining(drainSettings)
		w.controllers[1].start()
		w.waitDrainState(t, number, records.DrainFinished, 10*time.Minute)
		if broken := w.violationList(); len(broken) > 0 {
			t.Error(broken)
		}
	})
}

// What TestDrainLargeFleet plays. For the figures of docs/draining.md:
//
//	go test ./controller -run TestDrainLargeFleet -v -timeout 0 -drain.machines 4000
var (
	drainMachines = flag.Int("drain.machines", 100, "machines of the fleet that is replaced")
	drainPercent  = flag.String("drain.budget", "5%", "what may be unavailable of the team")
)

// A large fleet is replaced under a share as its budget, in little more than the least
// time under it, and with changes of the key-value store that do not grow with the moves
// of single tasks alone.
func TestDrainLargeFleet(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newWorldWithTimes(2, []string{"a", "b"}, 3, umoyaTimes)
		w.lateCommandShare, w.reliableCloud, w.noAnswerLoss, w.lostAnswerShare, w.lateWriteShare, w.repeatedWriteShare, w.lateCopyShare = 0, true, true, 0, 0, 0, 0
		w.workerInterval = 500 * time.Millisecond
		for k := range w.capacity {
			w.capacity[k] = *drainMachines
		}
		w.enableDraining("disruption.budget.* = " + *drainPercent + "\ndrain.parallel.percent = 10\n")
		for _, n := range w.controllers {
			n.set.Deployment.Limits.CPU = 0
			n.start()
		}
		go w.expireLeases()
		defer w.shutdown()
		time.Sleep(5 * time.Second)
		tasks := *drainMachines * 2 // of half a machine
		w.startReplicas(t, 4, tasks/4)
		time.Sleep(30 * time.Second)
		old := w.machineNames()
		plan := w.requestDrain(t, peer.DrainRequest{Op: peer.OpPlan, MatchAll: true}).Plan
		start, revision, cpuTimeBefore := time.Now(), w.stateRevision(), cpuTime()
		number := w.startDrain(t, records.Selection{})
		w.waitDrainState(t, number, records.DrainFinished, 12*time.Hour)
		elapsed := time.Since(start)
		minimum := time.Duration(plan.MinimumS * float64(time.Second))
		t.Logf("%d machines, %d tasks, budget %s: %s, %s at least (%s); %d changes of the state service, %s of the test's processor time",
			len(old), tasks, *drainPercent, elapsed.Round(time.Second), minimum, plan.BindingBudget, w.stateRevision()-revision, (cpuTime() - cpuTimeBefore).Round(100*time.Millisecond))
		if n := w.remaining(old); n > 0 || elapsed < minimum {
			t.Errorf("%d machines are left after %s, at least %s", n, elapsed, minimum)
		}
		w.waitUntil(t, "all replicas run again", 3*time.Minute, func() bool { return w.runningReplicas() == tasks })
		if broken := w.violationList(); len(broken) > 0 {
			t.Error(broken[:min(4, len(broken))])
		}
	})
}

// stateRevision counts the changes of the key-value store.
func (w *world) stateRevision() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

// cpuTime is what the test has taken so far.
func cpuTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		panic(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
