package loopback

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"ravenport/drain"
	"ravenport/internal/disruptioncheck"
	"ravenport/peer"
	"ravenport/records"
)

// What the drain test plays. The defaults are the short form that the tests run; the
// long one replaces the fleet again and again, with the times that are shipped:
//
//	go test ./internal/loopback -run TestDrainOfRealProcesses -v -timeout 0 -drain.rounds 5 -drain.slow
var (
	drainRounds = flag.Int("drain.rounds", 1, "how often the whole fleet is replaced")
	drainSlow   = flag.Bool("drain.slow", false, "the times that are shipped instead of short ones")
	drainBudget = flag.String("drain.budget", "2", "tasks of the team that may be unavailable")
	drainQuiet  = flag.Bool("drain.quiet", false, "nothing fails: measure the time that a drain takes")
	drainNaive  = flag.Bool("drain.naive", false, "no budget: machines are emptied as fast as they can be")
	drainTasks  = flag.Int("drain.services", 8, "services of three replicas")
)

// drainDeployment is a deployment that keeps room for a third of its machines.
func drainDeployment() deployment {
	d := deployment{
		zones: []string{"a", "b", "c"}, machines: 36, cpu: 0.5, memoryMB: 300,
		period: time.Second, leaseS: 10, cancelS: 40, writeRPS: 80,
		tasks: 2, runs: 3 * time.Second, every: time.Second, services: *drainTasks, replicas: 3,
		nodes: 3, linked: true, leaseLife: 2 * time.Second, properties: "membership.lease.ms = 2000",
		draining: "disruption.stable.ms = 2000\ndrain.parallel.percent = 34\ndrain.array.wait.ms = 5000\ndrain.replace.within.ms = 30000\n",
	}
	if *drainSlow {
		d.period, d.leaseS, d.cancelS, d.leaseLife, d.properties = 3*time.Second, 26, 56, 3500*time.Millisecond, ""
		d.draining = "drain.parallel.percent = 34\n"
	}
	budget := *drainBudget
	if *drainNaive {
		budget = "unlimited"
	}
	d.draining += "disruption.budget.* = " + budget + "\n"
	return d
}

// command carries out the program's drain command at a controller and returns what it
// printed.
func (f *fleet) command(node int, args ...string) (string, error) {
	line := append([]string{"drain"}, args...)
	line = append(line, "--controller", peerAddress(node))
	var out, problem bytes.Buffer
	c := exec.Command(f.program, line...)
	c.Stdout, c.Stderr = &out, &problem
	if err := c.Run(); err != nil {
		return out.String(), fmt.Errorf("%w: %s", err, problem.String())
	}
	return out.String(), nil
}

// drains asks whichever controller answers for the status of all drains.
func (f *fleet) drains(t *testing.T) *peer.DrainStatus {
	t.Helper()
	var last error
	for range 20 {
		for node, c := range f.controllers {
			if c.process == nil || c.stopped.Load() {
				continue
			}
			out, err := f.command(node, "status", "--json")
			var reply peer.DrainReply
			if err == nil {
				err = json.Unmarshal([]byte(out), &reply)
			}
			if err == nil && reply.Status != nil {
				return reply.Status
			}
			last = err
		}
		time.Sleep(200 * time.Millisecond)
	}
	t.Fatalf("nobody tells the status of drains: %v", last)
	return nil
}

// startDrain starts a drain of all machines by the command line and returns its number.
func (f *fleet) startDrain(t *testing.T) int {
	t.Helper()
	var last error
	for range 40 { // right after a takeover an owner may not be there to be asked
		out, err := f.command(0, "start", "--all", "--json")
		var reply peer.DrainReply
		if err == nil {
			if err = json.Unmarshal([]byte(out), &reply); err == nil {
				return reply.Number
			}
		}
		last = err
		time.Sleep(500 * time.Millisecond)
	}
	t.Fatalf("the drain was not started: %v", last)
	return 0
}

// drainRound is what was seen of one replacement of the whole fleet.
type drainRound struct {
	machines int
	took     time.Duration
	waited   bool          // for its budget
	downMost int           // tasks of services that did not run, in any second
	downSum  int           // task-seconds of that
	changes  int           // of the state service, also for the arrays that come and go
	spent    time.Duration // processor time of all controllers
}

// TestDrainOfRealProcesses replaces the whole fleet of a deployment at work through the
// command line, while controllers and machines fail. Judged by what the workers see, no
// voluntary stop takes more than the budget, no task runs twice and none is lost.
func TestDrainOfRealProcesses(t *testing.T) {
	f := newFleet(t, drainDeployment())
	stable := f.watchDrains(t)
	jobs := f.load(t)
	replicas := f.services * f.replicas
	f.untilUp(t, replicas, time.Minute)
	time.Sleep(2 * stable)
	f.refusals(t)
	before := f.figures()
	for round := range *drainRounds {
		var failures []drainFailure
		if !*drainQuiet {
			failures = f.drainFailures()
		}
		r := f.replaceFleet(t, failures)
		t.Logf("round %d: %+v", round, r)
		f.untilUp(t, replicas, time.Minute)
		if !r.waited && !*drainNaive {
			t.Errorf("round %d never waited for its budget", round)
		}
	}
	seen := f.figures()
	t.Logf("%d stops by choice, %d replaced, %d tasks failed, at most %d down by choice", seen.Stops-before.Stops, seen.Replaced-before.Replaced, seen.Failed-before.Failed, seen.MaxVoluntary)
	if seen.Replaced == before.Replaced || !*drainQuiet && seen.Failed == before.Failed {
		t.Error("nothing was moved, or nothing failed")
	}
	jobs.settle(t, f)
	for _, broken := range f.record.rulesBroken() {
		t.Error(broken)
	}
	f.keepEvidence(t, nil)
}

// watchDrains has stops judged from now on, and returns for how long a task must have run.
func (f *fleet) watchDrains(t *testing.T) time.Duration {
	t.Helper()
	most, stable := 1<<30, 2*time.Second
	if !*drainNaive {
		if _, err := fmt.Sscan(*drainBudget, &most); err != nil {
			t.Fatal(err)
		}
	}
	if *drainSlow {
		stable = 10 * time.Second
	}
	known := time.Duration(f.leaseS)*time.Second + 20*time.Second
	f.record.judgeStops(disruptioncheck.New(most, stable, known), func(task string) bool { return !f.isArray(task) })
	return stable
}

// replaceFleet drains all machines that there are, while things fail.
func (f *fleet) replaceFleet(t *testing.T, failures []drainFailure) drainRound {
	t.Helper()
	old := map[string]bool{}
	for _, m := range f.cloud.present() {
		old[m.name] = true
	}
	r := drainRound{machines: len(old)}
	_, revision := f.store.unassigned()
	spent := f.spent()
	before := f.figures()
	number, began := f.startDrain(t), time.Now()
	for sample, look := time.Now(), time.Now(); ; time.Sleep(pollPoint) {
		if len(failures) > 0 && failures[0].due(number, time.Since(began), before) {
			t.Logf("%s", failures[0].name)
			failures[0].hurt()
			failures = failures[1:]
		}
		for now := time.Now(); !sample.After(now); sample = sample.Add(time.Second) {
			down := f.services*f.replicas - f.servicesUp()
			r.downMost, r.downSum = max(r.downMost, down), r.downSum+down
		}
		if time.Now().Before(look) {
			continue
		}
		look = time.Now().Add(100 * time.Millisecond)
		v := f.view(t, number)
		r.waited = r.waited || slices.ContainsFunc(v.Shards, func(p drain.ShardProgress) bool { return strings.Contains(p.WaitingFor, "used up") })
		if v.State == records.DrainFinished {
			break
		}
		if time.Since(began) > 10*time.Minute || v.State == records.DrainStopped {
			t.Fatalf("the drain does not come to its end: %+v", v)
		}
	}
	r.took = time.Since(began)
	_, now := f.store.unassigned()
	r.changes, r.spent = int(now-revision), f.spent()-spent
	for _, m := range f.cloud.present() {
		if old[m.name] {
			t.Errorf("%s is still there", m.name)
		}
	}
	if len(failures) > 0 {
		t.Errorf("it ended before %s", failures[0].name)
	}
	return r
}

// drainFailure is something that fails in the middle of a drain.
type drainFailure struct {
	name string
	// due says whether it is time for it, so long after the drain's start, and since the
	// figures were taken.
	due  func(number int, since time.Duration, before disruptioncheck.Figures) bool
	hurt func()
}

// after is due so long after a drain's start.
func after(d time.Duration) func(int, time.Duration, disruptioncheck.Figures) bool {
	return func(_ int, since time.Duration, _ disruptioncheck.Figures) bool { return since > d }
}

// drainFailures are the failures of each replacement of the fleet.
func (f *fleet) drainFailures() []drainFailure {
	life := f.leaseLife
	return []drainFailure{
		{"an owner is killed", after(life), func() { f.killForLeaseLife(f.ownerOf("a")) }},
		{"a machine is lost with what runs on it", after(4 * life), func() { f.cloud.giveBack([]string{f.machineOfAService()}) }},
		{"an owner is paused past its lease", after(5 * life), func() { f.pauseForLong(f.ownerOf("b")) }},
		{"an owner is cut from the state service", after(9 * life), func() { f.cutForLong(f.ownerOf("c")) }},
	}
}

// view is a drain as the controllers tell of it.
func (f *fleet) view(t *testing.T, number int) peer.DrainView {
	t.Helper()
	for _, v := range f.drains(t).Drains {
		if v.Number == number {
			return v
		}
	}
	return peer.DrainView{}
}

// untilUp waits until so many tasks of services run.
func (f *fleet) untilUp(t *testing.T, replicas int, limit time.Duration) {
	t.Helper()
	for end := time.Now().Add(limit); f.servicesUp() < replicas; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d replicas run after %s", f.servicesUp(), replicas, limit)
		}
	}
}

// machineOfAService is a machine on which a task of a service runs.
func (f *fleet) machineOfAService() string {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	for task, stays := range f.record.stays {
		if last := stays[len(stays)-1]; last.to.IsZero() && f.record.judges(task) {
			return last.machine
		}
	}
	return ""
}

// servicesUp counts the tasks of services that are on a machine.
func (f *fleet) servicesUp() int {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	n := 0
	for task, stays := range f.record.stays {
		if stays[len(stays)-1].to.IsZero() && f.record.judges(task) {
			n++
		}
	}
	return n
}

// judgeStops has stops of some tasks judged.
func (r *record) judgeStops(c *disruptioncheck.Check, isService func(string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services, r.isService = c, isService
}

func (f *fleet) figures() disruptioncheck.Figures {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	return f.record.services.Figures()
}

// refusals sees that what cannot be served is refused with the field's name and an exit
// code.
func (f *fleet) refusals(t *testing.T) {
	t.Helper()
	for field, args := range map[string][]string{
		"zone":       {"start", "--zone", "x"},
		"selection":  {"start"},
		"drain":      {"cancel", "7"},
		"controller": {"status", "--config", filepath.Join(f.dir, "n-0.toml")},
	} {
		if _, err := f.command(0, args...); err == nil || !strings.Contains(err.Error(), field+": ") {
			t.Errorf("%v: %v", args, err)
		}
	}
	if out, err := f.command(0, "status"); err != nil || !strings.Contains(out, "BUDGET") {
		t.Errorf("%q, %v", out, err)
	}
}
