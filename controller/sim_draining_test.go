package controller

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"ravenport/internal/disruptioncheck"
	"ravenport/peer"
	"ravenport/records"
	"ravenport/settings"
	"ravenport/settings/load"
	"ravenport/shard"
	"ravenport/wire"
)

// watchDisruption starts the check of voluntary stops. The tasks of all services share one
// disruption budget of limit tasks.
func (w *world) watchDisruption(limit int) {
	w.locked(func() {
		w.disruption = disruptioncheck.New(limit, w.controllers[0].set.Draining.Policy.StableAfter, w.times.lease()+30*time.Second)
	})
	go func() {
		for {
			select {
			case <-w.done:
				return
			case <-time.After(100 * time.Millisecond):
				w.locked(w.observeTasks)
			}
		}
	}()
}

// observeTasks reports to the checks which tasks are running. The caller holds the lock.
func (w *world) observeTasks() {
	running := map[string]bool{}
	for _, m := range w.machines {
		for _, x := range m.tasks {
			if x.state == wire.TaskRunning && !m.removed {
				running[x.name] = true
			}
		}
	}
	for id, j := range w.jobs {
		if !j.accepted {
			continue
		}
		if !j.spec.IsService() {
			w.observeInterruptions(j, running)
			continue
		}
		for i := range j.spec.Tasks {
			name := wire.TaskName(id, i)
			switch {
			case j.cancelRequested:
				w.disruption.Remove(name)
			case running[name]:
				w.disruption.TaskRunning(name, time.Now())
			default:
				w.disruption.TaskNotRunning(name, time.Now())
			}
		}
	}
}

// observeInterruptions reports to the check which units of an array or a gang are running, and
// which ran before and are not running now. The caller holds the lock.
func (w *world) observeInterruptions(j *simJob, running map[string]bool) {
	if w.interruptions == nil {
		return
	}
	runs, ended := map[string]bool{}, map[string]bool{}
	for i := range j.spec.Tasks {
		name := wire.TaskName(j.spec.ID, i)
		unit := w.budgetUnit(j, name)
		previous, known := runs[unit]
		runs[unit] = running[name] && (previous || !known)
		ended[unit] = ended[unit] || j.doneTasks[i] || j.cancelRequested
	}
	for unit := range runs {
		switch {
		case ended[unit]:
			w.interruptions.Remove(unit)
		case runs[unit]:
			w.interruptions.TaskRunning(unit, time.Now())
			w.unitsEverRunning[unit] = true
		case w.unitsEverRunning[unit]:
			w.interruptions.TaskNotRunning(unit, time.Now())
		}
	}
}

// budgetUnit returns the unit that a budget counts: the task of an array, or the whole gang.
func (w *world) budgetUnit(j *simJob, task string) string {
	if j.spec.IsGang() {
		return j.spec.ID
	}
	return task
}

// recordTaskStop checks the voluntary stop of a running task against its budget. The caller
// holds the lock.
func (w *world) recordTaskStop(task string) {
	id, _, _ := wire.ParseTaskName(task)
	j := w.jobs[id]
	if w.disruption == nil || j.cancelRequested || !j.accepted {
		return
	}
	w.observeTasks()
	check, unit := w.disruption, task
	if !j.spec.IsService() {
		check, unit = w.interruptions, w.budgetUnit(j, task)
	}
	if check == nil {
		return
	}
	if err := check.TaskStopped(unit, time.Now()); err != nil {
		w.violate("budget", "%v", err)
	}
}

// disruptionFigures returns the figures of the voluntary stops of services' tasks.
func (w *world) disruptionFigures() disruptioncheck.Figures {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.disruption.Figures()
}

// interruptionFigures returns the figures of the voluntary stops of array tasks and gangs.
func (w *world) interruptionFigures() disruptioncheck.Figures {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.interruptions.Figures()
}

// unitsEverRun returns how many array tasks and gangs have ever run.
func (w *world) unitsEverRun() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.unitsEverRunning)
}

// enableDraining enables draining at all controllers, with the given settings.
func (w *world) enableDraining(text string) {
	for _, n := range w.controllers {
		d, err := load.ParseDraining([]byte(text), n.set)
		if err != nil {
			panic(err)
		}
		n.set.Draining = d
	}
}

// Drain sends a request about drains to the other controller and returns its answer.
func (p simPeer) Drain(ctx context.Context, r peer.DrainRequest) (peer.DrainReply, error) {
	process, err := p.reach(ctx)
	if err != nil {
		return peer.DrainReply{}, err
	}
	if process.drainService == nil {
		return peer.DrainReply{}, peer.ErrDrainingDisabled
	}
	return process.drainService.Answer(ctx, r)
}

// requestDrain sends a request about drains to the running controllers until one answers.
func (w *world) requestDrain(t *testing.T, r peer.DrainRequest) peer.DrainReply {
	t.Helper()
	for range 60 {
		for _, n := range w.controllers {
			process := n.running()
			if process == nil || process.drainService == nil || n.cutFromStore || time.Now().Before(n.frozenUntil) {
				continue
			}
			if reply, err := process.drainService.Answer(context.Background(), r); err == nil {
				return reply
			}
		}
		time.Sleep(time.Second)
	}
	t.Fatalf("no controller answered the drain request %s", r.Op)
	return peer.DrainReply{}
}

// startDrain starts a drain and returns its number. A refusal is retried up to 30 times.
func (w *world) startDrain(t *testing.T, s records.Selection) int {
	t.Helper()
	for range 30 { // directly after a failover the new owner may not answer yet
		reply := w.requestDrain(t, peer.DrainRequest{Op: peer.OpStart, Selection: s, MatchAll: true})
		if reply.Problem == nil {
			return reply.Number
		}
		var number int
		if _, err := fmt.Sscanf(reply.Problem.Problem, "overlaps drain %d:", &number); err == nil {
			return number // the drain was stored by an earlier request whose answer was lost
		}
		if f := reply.Problem.Field; f != "zone" && f != "drain" {
			t.Fatalf("drain request for %+v refused: %v", s, reply.Problem)
		}
		time.Sleep(time.Second)
	}
	t.Fatal("the drain was not started after 30 requests")
	return 0
}

// changeDrain pauses, resumes or cancels a drain, and retries if the drain's record changed
// meanwhile.
func (w *world) changeDrain(t *testing.T, op peer.DrainOp, number int) {
	t.Helper()
	wantState := map[peer.DrainOp]records.DrainState{peer.OpPause: records.DrainPaused, peer.OpResume: records.DrainRunning, peer.OpCancel: records.DrainCancelled}[op]
	for range 10 {
		problem := w.requestDrain(t, peer.DrainRequest{Op: op, Number: number}).Problem
		if problem == nil || w.drainRecord(number).State == wantState { // the answer to an earlier request may have been lost
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	t.Fatalf("%s of drain %d was not accepted after 10 requests", op, number)
}

// drainRecord returns the stored record of a drain, or nil if none can be read.
func (w *world) drainRecord(number int) *records.Drain {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.kv[records.KeyDrain(number)]
	if e == nil {
		return nil
	}
	record, err := records.Decode(records.KeyDrain(number), e.value)
	if err != nil {
		return nil
	}
	return record.(*records.Drain)
}

// drainView returns the status of a drain as the controllers report it.
func (w *world) drainView(t *testing.T, number int) peer.DrainView {
	for _, v := range w.requestDrain(t, peer.DrainRequest{Op: peer.OpStatus}).Status.Drains {
		if v.Number == number {
			return v
		}
	}
	return peer.DrainView{}
}

// waitDrainState waits until the stored state of a drain is wantState.
func (w *world) waitDrainState(t *testing.T, number int, wantState records.DrainState, limit time.Duration) {
	t.Helper()
	for end := time.Now().Add(limit); ; time.Sleep(time.Second) {
		r := w.drainRecord(number)
		if r != nil && r.State == wantState {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("drain %d is not %s after %s: %+v; %+v", number, wantState, limit, r, w.drainView(t, number))
		}
	}
}

// machineNames returns the names of the existing machines.
func (w *world) machineNames() map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]bool{}
	for name := range w.machines {
		out[name] = true
	}
	return out
}

// remaining returns how many of the given machines still exist.
func (w *world) remaining(old map[string]bool) int {
	n := 0
	for name := range w.machineNames() {
		if old[name] {
			n++
		}
	}
	return n
}

// startReplicas submits services that occupy the machines, and waits until all their tasks run.
func (w *world) startReplicas(t *testing.T, jobs, tasks int) {
	t.Helper()
	for i := range jobs {
		j := &simJob{spec: wire.Submission{ID: fmt.Sprintf("run-%06d", 900+i), Class: "s", Team: "free", Kind: wire.KindService, Priority: wire.PriorityProduction,
			Tasks: tasks, CPUs: 4, MemoryGB: 1, Image: "i", ImageGB: 1, Spread: true, Spot: w.spotReplicas}, doneTasks: map[int]bool{}}
		w.locked(func() { w.jobs[j.spec.ID] = j })
		go w.runUser(j, 0, 0)
	}
	w.waitUntil(t, "all replicas run", 3*time.Minute, func() bool { return w.runningReplicas() == jobs*tasks })
}

// runningReplicas returns how many tasks of services are running.
func (w *world) runningReplicas() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, m := range w.machines {
		for _, x := range m.tasks {
			if id, _, _ := wire.ParseTaskName(x.name); x.state == wire.TaskRunning && w.jobs[id].spec.IsService() {
				n++
			}
		}
	}
	return n
}

// drainSettings are the settings of the drain tests, with short times.
const drainSettings = "disruption.budget.* = 2\ndisruption.stable.ms = 4000\ndrain.parallel.percent = 34\ndrain.array.wait.ms = 20000\n" +
	"drain.replace.within.ms = 60000\ndrain.failures.most = 3\n"

// drainScenario describes a fault in the middle of a drain of all machines.
type drainScenario struct {
	name  string
	seeds int
	// fault injects the fault after the drain has started; nil: no fault.
	fault func(*testing.T, *world, int)
	// endState is the expected final state of the drain; empty: finished.
	endState records.DrainState
	// settings are appended to drainSettings.
	settings string
	// spot: services may run on spot machines.
	spot bool
	// nothingToMove: the scenario passes even if no task is moved.
	nothingToMove bool
	// overrideDraining disables protections of the budget; the run must then break the budget.
	overrideDraining func(*shard.DrainingConfig)
}

// drainWorld returns a deployment of three shards with enough cloud capacity to replace the
// drained machines. Its controllers are not started yet.
func drainWorld(seed uint64, more string) *world {
	w := newWorldWithTimes(seed, []string{"a", "b", "c"}, 3, lease26Times)
	w.lateCommandShare, w.reliableCloud = 0, true
	for k := range w.capacity {
		w.capacity[k] = 10
	}
	w.enableDraining(drainSettings + more)
	return w
}

// startBeforeDrain starts the controllers and 18 replicas. Voluntary stops are checked from
// then on.
func (w *world) startBeforeDrain(t *testing.T) {
	t.Helper()
	for _, n := range w.controllers {
		n.start()
	}
	go w.expireLeases()
	time.Sleep(5 * time.Second)
	w.startReplicas(t, 6, 3)
	w.watchDisruption(2)
	time.Sleep(15 * time.Second)
}

// run drains all machines of a deployment that runs services, and returns the violations.
func (s drainScenario) run(t *testing.T, seed uint64) []string {
	w := drainWorld(seed, s.settings)
	defer w.shutdown()
	w.spotReplicas = s.spot
	for _, n := range w.controllers {
		n.overrideDraining = s.overrideDraining
	}
	w.startBeforeDrain(t)
	old := w.machineNames()
	number := w.startDrain(t, records.Selection{})
	if s.overrideDraining != nil { // calls to the store are slower, as under load, so that owners learn later of each other's claims
		w.locked(func() { w.storeLatency = 800 * time.Millisecond })
	}
	if s.fault != nil {
		s.fault(t, w, number)
	}
	if s.overrideDraining != nil {
		time.Sleep(2 * time.Minute)
		return w.violationList()
	}
	if s.endState == "" {
		w.waitDrainState(t, number, records.DrainFinished, 12*time.Minute)
		if n := w.remaining(old); n > 0 {
			t.Errorf("%d of %d machines still exist after the drain", n, len(old))
		}
	} else {
		w.waitDrainState(t, number, s.endState, 12*time.Minute)
	}
	w.waitUntil(t, "all replicas run again", 3*time.Minute, func() bool { return w.runningReplicas() == 18 })
	t.Logf("seed %d: %+v", seed, w.disruptionFigures())
	if w.disruptionFigures().Replaced == 0 && !s.nothingToMove {
		t.Errorf("seed %d: the drain moved no task", seed)
	}
	return w.violationList()
}

func (w *world) violationList() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

// parseDraining parses drain settings for the controller.
func (n *simController) parseDraining(text string) *settings.Draining {
	d, err := load.ParseDraining([]byte(text), n.set)
	if err != nil {
		panic(err)
	}
	return d
}

// claimedDisruptions returns the sum of the budget shares that all shards have claimed.
func (w *world) claimedDisruptions() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for key, e := range w.kv {
		if !strings.HasPrefix(key, records.KeyDisruptionClaim("")) {
			continue
		}
		if record, err := records.Decode(key, e.value); err == nil {
			for _, down := range record.(*records.DisruptionClaim).Unavailable {
				n += down
			}
		}
	}
	return n
}

// terminatingMachines returns how many machines the inventories mark as terminating.
func (w *world) terminatingMachines() int {
	return w.countTerminating(func(string) bool { return true })
}

// countTerminating returns how many of the machines that match are marked as terminating in the
// stored inventories.
func (w *world) countTerminating(match func(name string) bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for key, e := range w.kv {
		record, err := records.Decode(key, e.value)
		if page, ok := record.(*records.InventoryPage); ok && err == nil {
			for _, m := range page.Machines() {
				if m.Terminating && match(m.Name) {
					n++
				}
			}
		}
	}
	return n
}

// loseMachines removes n machines that hold tasks.
func (w *world) loseMachines(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, m := range w.machines {
		if n > 0 && len(m.tasks) > 0 {
			w.removeMachine(name)
			n--
		}
	}
}

// reclaimSpot announces to all spot machines with tasks that they are reclaimed after the
// notice, removes them when the notice ends, and returns their number.
func (w *world) reclaimSpot(notice time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for name, m := range w.machines {
		if !m.spot || len(m.tasks) == 0 {
			continue
		}
		n++
		m.reclaimAt, m.changed = time.Now().Add(notice), true
		time.AfterFunc(notice, func() { w.locked(func() { w.removeMachine(name) }) })
	}
	return n
}

// failNewest ends the running task that was started last with an error.
func (w *world) failNewest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var newest *simTask
	var on *simWorker
	for _, m := range w.machines {
		for _, x := range m.tasks {
			if x.state == wire.TaskRunning && (newest == nil || x.fetchedAt.After(newest.fetchedAt)) {
				newest, on = x, m
			}
		}
	}
	newest.state, newest.cause, newest.nextChange = wire.TaskExited, wire.CauseError, time.Time{}
	on.changed = true
}

// machineWithService returns the name of a machine on which a task of a service runs.
func (w *world) machineWithService() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for name, m := range w.machines {
		for _, x := range m.tasks {
			if id, _, _ := wire.ParseTaskName(x.name); x.state == wire.TaskRunning && w.jobs[id].spec.IsService() {
				names = append(names, name)
			}
		}
	}
	return slices.Min(names)
}

// cordonedMachines returns how many machines the controllers report as cordoned for a drain.
func (w *world) cordonedMachines(t *testing.T, number int) int {
	n := 0
	for _, p := range w.drainView(t, number).Shards {
		n += len(p.Cordoned)
	}
	return n
}
