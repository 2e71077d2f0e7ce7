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

// drainStepPoints are the points of a drain step, and how a test observes that one is reached.
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
	{"after the machine is written as terminating", func(_ *testing.T, w *world, _ int) bool { return w.terminatingMachines() > 0 }},
	{"at the scale-in request", func(_ *testing.T, w *world, _ int) bool { return w.eventCount("scale-in requests") > 0 }},
}

// drainOwnerFailures are the failures of the owner whose shard is being drained.
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

// The owner of the drained shard fails in each way at each point of a step. The next owner
// continues the drain, and no budget is exceeded.
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

// expectNoViolation runs a scenario with a number of seeds and checks that no rule is broken.
func (s drainScenario) expectNoViolation(t *testing.T, seeds int) {
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			if broken := s.run(t, seed); len(broken) > 0 {
				t.Errorf("seed %d: %s", seed, strings.Join(broken[:min(4, len(broken))], "; "))
			}
		})
	}
}

// waitForFirstMoves waits until a drain has moved some replicas.
func (w *world) waitForFirstMoves(t *testing.T) {
	t.Helper()
	w.waitUntil(t, "some replicas were moved", 4*time.Minute, func() bool { return w.disruptionFigures().Replaced > 1 })
}

// drainScenarios are failures in the middle of a drain. Each scenario checks that its failure
// takes place.
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
	{name: "a zone is partitioned", fault: func(t *testing.T, w *world, _ int) {
		w.waitForFirstMoves(t)
		w.locked(func() { w.partitionedZone = "b" })
		time.Sleep(60 * time.Second)
		w.locked(func() { w.partitionedZone = "" })
	}},
	{name: "the state service is unavailable during a step", fault: func(t *testing.T, w *world, _ int) {
		w.waitForFirstMoves(t)
		w.setOutage(true)
		time.Sleep(40 * time.Second)
		stops := w.disruptionFigures().Stops
		time.Sleep(20 * time.Second)
		if stopsAfter := w.disruptionFigures().Stops; stopsAfter != stops {
			t.Errorf("%d tasks were stopped while the state service was unavailable", stopsAfter-stops)
		}
		w.setOutage(false)
	}},
	{name: "the cloud has no capacity for 90 s", fault: func(t *testing.T, w *world, _ int) {
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
	{name: "jobs are submitted and cancelled during the drain", fault: func(t *testing.T, w *world, _ int) {
		for i := range 10 {
			j := w.newArray(fmt.Sprintf("run-%06d", 100+i), 3, 2, 20)
			go w.runUser(j, 0, time.Duration(i%2)*20*time.Second)
			time.Sleep(5 * time.Second)
		}
	}},
	{name: "long arrays and a gang run on drained machines", fault: func(t *testing.T, w *world, number int) {
		go w.simulateGangs()
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
		go w.simulateGangs()
		work := []*simJob{w.newArray("run-000200", 6, 2, 240), w.newArray("run-000201", 3, 2, 240)}
		work[1].spec.Kind, work[1].spec.CheckpointIntervalS, work[1].spec.CheckpointSaveS, work[1].spec.Spot = wire.KindGang, 4, 1, false
		for _, j := range work { // the team and priority of the services, so that no task is preempted for a service
			j.spec.Team, j.spec.Priority = "free", wire.PriorityProduction
			go w.runUser(j, 0, 0)
		}
		w.waitUntil(t, "all tasks of the array and the gang run", 2*time.Minute, func() bool { return w.unitsEverRun() == 7 })
		second := w.startDrain(t, records.Selection{})
		w.waitUntil(t, "a unit was interrupted", 6*time.Minute, func() bool { return w.interruptionFigures().Stops > 0 })
		term := w.term("a")
		w.controllers[w.owner("a")].restart(5 * time.Second)
		w.waitUntil(t, "another owner", time.Minute, func() bool { return w.term("a") > term })
		w.waitUntil(t, "more units were interrupted", 8*time.Minute, func() bool { return w.interruptionFigures().Replaced > 2 })
		w.waitDrainState(t, second, records.DrainFinished, 12*time.Minute)
		w.waitAllDone(t, 15*time.Minute, work)
	}},
	{name: "before its maintenance window, then in it", settings: "drain.window.rule = FREQ=DAILY;BYHOUR=0;BYMINUTE=3\ndrain.window.minutes = 60\n", fault: func(t *testing.T, w *world, number int) {
		opens := time.Date(2000, 1, 1, 0, 3, 0, 0, time.UTC)
		for time.Now().Before(opens) {
			if v := w.drainView(t, number); len(v.Shards) > 0 && (len(v.Shards[0].Cordoned) > 0 || time.Until(opens) < time.Minute && !strings.Contains(v.Shards[0].WaitingFor, "window opens")) {
				t.Fatalf("the drain is active before its maintenance window: %+v", v)
			}
			time.Sleep(5 * time.Second)
		}
	}},
	{name: "paused and resumed", fault: func(t *testing.T, w *world, number int) {
		w.waitForFirstMoves(t)
		w.changeDrain(t, peer.OpPause, number)
		time.Sleep(10 * time.Second)
		if v := w.drainView(t, number); v.State != records.DrainPaused || slices.ContainsFunc(v.Shards, func(p drain.ShardProgress) bool { return len(p.Cordoned) > 0 }) {
			t.Errorf("the paused drain still has cordoned machines or another state: %+v", v)
		}
		w.changeDrain(t, peer.OpResume, number)
	}},
	{name: "cancelled as a machine is terminating", endState: records.DrainCancelled, nothingToMove: true, fault: func(t *testing.T, w *world, number int) {
		w.waitUntil(t, "a machine is terminating", 4*time.Minute, func() bool { return w.terminatingMachines() > 0 })
		w.changeDrain(t, peer.OpCancel, number)
		w.waitUntil(t, "the terminating machines are scaled in", time.Minute, func() bool { return w.terminatingMachines() == 0 })
	}},
	{name: "cancelled in its last step", fault: func(t *testing.T, w *world, first int) {
		w.waitDrainState(t, first, records.DrainFinished, 12*time.Minute)
		machine := w.machineWithService()
		number := w.startDrain(t, records.Selection{Machines: []string{machine}})
		w.locked(func() { w.ignoreScaleIn = true }) // so that the machine is observed as terminating
		isLast := func(name string) bool { return name == machine }
		w.waitUntil(t, "the last machine is terminating", 4*time.Minute, func() bool { return w.countTerminating(isLast) == 1 })
		w.changeDrain(t, peer.OpCancel, number)
		w.locked(func() { w.ignoreScaleIn = false })
		w.waitUntil(t, "the terminating machines are scaled in", time.Minute, func() bool {
			return w.countTerminating(isLast) == 0 && w.remaining(map[string]bool{machine: true}) == 0
		})
		w.waitUntil(t, "no machine stays cordoned", time.Minute, func() bool { return w.cordonedMachines(t, number) == 0 })
		w.waitDrainState(t, number, records.DrainCancelled, time.Minute)
	}},
	{name: "a replacement becomes unhealthy just after its step ended", fault: func(t *testing.T, w *world, _ int) {
		old := w.machineNames()
		w.waitUntil(t, "a machine is replaced", 6*time.Minute, func() bool { return w.disruptionFigures().Replaced > 0 && w.remaining(old) < len(old) })
		failed := w.disruptionFigures().Failed
		w.locked(w.observeTasks)
		w.failNewest()
		w.waitUntil(t, "the failure is counted", time.Minute, func() bool { return w.disruptionFigures().Failed > failed })
	}},
	{name: "several spot machines are reclaimed at once", spot: true, fault: func(t *testing.T, w *world, number int) {
		w.waitForFirstMoves(t)
		failed := w.disruptionFigures().Failed
		if n := w.reclaimSpot(10 * time.Second); n < 3 {
			t.Errorf("only %d spot machines are reclaimed", n)
		}
		w.waitUntil(t, "the drain waits for the budget", time.Minute, func() bool {
			return slices.ContainsFunc(w.drainView(t, number).Shards, func(p drain.ShardProgress) bool { return strings.Contains(p.WaitingFor, "used up") })
		})
		w.waitUntil(t, "tasks fail on the reclaimed machines", time.Minute, func() bool { return w.disruptionFigures().Failed > failed+2 })
	}},
	{name: "the budget is raised during the drain", fault: func(t *testing.T, w *world, _ int) {
		w.waitForFirstMoves(t)
		if worst := w.disruptionFigures().MaxVoluntary; worst > 2 {
			t.Errorf("%d replicas were stopped voluntarily at once under the old budget", worst)
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
	{name: "machines that never boot", endState: records.DrainStopped, nothingToMove: true, fault: func(t *testing.T, w *world, number int) {
		w.locked(func() { w.bootWithin = 1000 * time.Hour })
	}},
	{name: "machines on which every task fails", endState: records.DrainStopped, fault: func(t *testing.T, w *world, number int) {
		w.locked(func() {
			w.healthyMachines = map[string]bool{}
			for name := range w.machines {
				w.healthyMachines[name] = false
			}
		})
		w.waitUntil(t, "the drain stops", 10*time.Minute, func() bool { return w.drainRecord(number).State == records.DrainStopped })
		if why := w.drainRecord(number).StopReason; !strings.Contains(why, "failed on") && !strings.Contains(why, "not up in time") {
			t.Errorf("the drain stopped because of: %s", why)
		}
		w.locked(func() { w.healthyMachines = nil })
	}},
	{name: "the budget is lowered during the drain", fault: func(t *testing.T, w *world, _ int) {
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

// TestDrainScenarios runs a drain with each failure.
func TestDrainScenarios(t *testing.T) {
	discardLogs(t)
	for _, s := range drainScenarios {
		t.Run(s.name, func(t *testing.T) { s.expectNoViolation(t, max(1, s.seeds)) })
	}
}

// Two drains in different shards move replicas of the same team and share its budget, while the
// owners of the two shards are replaced in turn.
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
			t.Errorf("a drain that overlaps another one was not refused: %+v", reply)
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

// Without claims, or with grants that end as soon as the replacement starts, a drain exceeds its
// budget. The budget check must report that.
func TestDrainCheckNoticesMissingGuards(t *testing.T) {
	discardLogs(t)
	for name, unguard := range map[string]func(*shard.DrainingConfig){
		"claims":      func(c *shard.DrainingConfig) { c.SkipClaimCheck = true },
		"stable time": func(c *shard.DrainingConfig) { c.SkipStableTime = true },
	} {
		caught := false
		for seed := uint64(0); seed < 12 && !caught; seed++ {
			synctest.Test(t, func(t *testing.T) {
				broken := drainScenario{overrideDraining: unguard}.run(t, seed)
				caught = slices.ContainsFunc(broken, func(b string) bool { return strings.HasPrefix(b, "budget:") })
			})
		}
		if !caught {
			t.Errorf("without the %s the budget check reported nothing", name)
		}
	}
}

// Invalid drain requests are refused at once with the name of the invalid field, and nothing is
// stored. A damaged drain record has no effect and is not overwritten.
func TestInvalidDrainRequestsAreRefused(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newWorldWithTimes(2, []string{"a", "b", "c"}, 3, lease26Times)
		w.lateCommandShare, w.reliableCloud, w.lostAnswerShare, w.lateWriteShare, w.repeatedWriteShare = 0, true, 0, 0, 0
		w.enableDraining(strings.Replace(drainSettings, "* = 2", "* = 40%", 1))
		for _, n := range w.controllers {
			n.start()
		}
		go w.expireLeases()
		defer w.shutdown()
		time.Sleep(5 * time.Second)
		w.startReplicas(t, 1, 2) // 40% of two replicas rounds down to none
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
			t.Errorf("a selection of spot machines, of which there are none: %+v", r)
		}
		if n := w.keysUnder(records.KeyDrain(1)); n > 0 {
			t.Errorf("%d drains are stored", n)
		}
		if r := w.requestDrain(t, peer.DrainRequest{Op: peer.OpPlan, MatchAll: true}); r.Plan == nil || r.Plan.FirstPermanentObstacle() == nil {
			t.Errorf("the plan names no permanent obstacle: %+v", r)
		}
		w.locked(func() {
			w.kv[records.KeyDrain(3)] = &storeEntry{value: []byte(`{"state":7}`), version: w.revision + 1}
			w.revision++
			w.storeEvents = append(w.storeEvents, wire.Event{Put: records.KeyDrain(3), Value: []byte(`{"state":7}`), Version: w.revision})
			close(w.storeChanged)
			w.storeChanged = make(chan struct{})
		})
		time.Sleep(2 * time.Second)
		if s := w.requestDrain(t, peer.DrainRequest{Op: peer.OpStatus}).Status; !slices.Equal(s.Unreadable, []int{3}) {
			t.Errorf("unreadable drain records: %v", s.Unreadable)
		}
		if r := w.requestDrain(t, peer.DrainRequest{Op: peer.OpResume, Number: 3}); r.Problem == nil || r.Problem.Field != "drain" {
			t.Errorf("a request to resume a damaged drain was not refused: %+v", r)
		}
	})
}

// A controller of a version without drains, or without the settings file of drains, publishes no
// claim for its shard. Drains of other shards wait for that claim, and requests to the
// controller return that draining is disabled.
func TestDrainBesideControllerWithoutDraining(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := drainWorld(4, "")
		defer w.shutdown()
		w.controllers[1].set.Draining = nil
		w.startBeforeDrain(t)
		if _, err := (simPeer{w.controllers[0], w.controllers[1]}).Drain(context.Background(), peer.DrainRequest{Op: peer.OpStatus}); err != peer.ErrDrainingDisabled {
			t.Errorf("the controller without draining answers: %v", err)
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

// Size and budget of TestDrainLargeFleet. The figures of docs/draining.md come from:
//
//	go test ./controller -run TestDrainLargeFleet -v -timeout 0 -drain.machines 4000
var (
	drainMachines = flag.Int("drain.machines", 100, "number of machines of the fleet that is replaced")
	drainPercent  = flag.String("drain.budget", "5%", "disruption budget of the team")
)

// A large fleet is replaced under a budget given as a share. The drain takes at least the minimum
// time of its plan. The test logs the elapsed time, which should be little more, and the changes
// of the key-value store, which should not grow only with the number of moved tasks.
func TestDrainLargeFleet(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newWorldWithTimes(2, []string{"a", "b"}, 3, lease36Times)
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
		tasks := *drainMachines * 2 // each fills half a machine
		w.startReplicas(t, 4, tasks/4)
		time.Sleep(30 * time.Second)
		old := w.machineNames()
		plan := w.requestDrain(t, peer.DrainRequest{Op: peer.OpPlan, MatchAll: true}).Plan
		start, revision, cpuTimeBefore := time.Now(), w.stateRevision(), cpuTime()
		number := w.startDrain(t, records.Selection{})
		w.waitDrainState(t, number, records.DrainFinished, 12*time.Hour)
		elapsed := time.Since(start)
		minimum := time.Duration(plan.MinimumS * float64(time.Second))
		t.Logf("%d machines, %d tasks, budget %s: %s, %s at least (%s); %d changes of the state service, %s of CPU time",
			len(old), tasks, *drainPercent, elapsed.Round(time.Second), minimum, plan.BindingBudget, w.stateRevision()-revision, (cpuTime() - cpuTimeBefore).Round(100*time.Millisecond))
		if n := w.remaining(old); n > 0 || elapsed < minimum {
			t.Errorf("%d old machines remain after %s, minimum time %s", n, elapsed, minimum)
		}
		w.waitUntil(t, "all replicas run again", 3*time.Minute, func() bool { return w.runningReplicas() == tasks })
		if broken := w.violationList(); len(broken) > 0 {
			t.Error(broken[:min(4, len(broken))])
		}
	})
}

// stateRevision returns the revision of the key-value store: the number of its changes.
func (w *world) stateRevision() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

// cpuTime returns the CPU time that the test process has used.
func cpuTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		panic(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
