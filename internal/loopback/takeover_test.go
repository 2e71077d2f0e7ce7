package loopback

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"ravenport/history"
	"ravenport/wire"
)

// What a takeover test plays. The defaults are the short form that the tests run; the
// long one is, for one size of deployment:
//
//	go test ./internal/loopback -run TestTakeoverOfRealProcesses -v -timeout 0 -takeover.rounds 30 -takeover.slow -takeover.controllers 5
var (
	takeoverRounds      = flag.Int("takeover.rounds", 1, "takeovers of each kind")
	takeoverControllers = flag.Int("takeover.controllers", 3, "controllers")
	takeoverMachines    = flag.Int("takeover.machines", 24, "machines that may be rented")
	takeoverSlow        = flag.Bool("takeover.slow", false, "the times that are shipped instead of short ones")
	takeoverOnly        = flag.String("takeover.only", "", "play only kinds whose names match this expression")
	takeoverEarlier     = flag.String("takeover.earlier", "", "a program of an earlier version, without failure detection, that the first controller runs")
	takeoverKeep        = flag.String("takeover.keep", "", "directory in which logs and the second-by-second table are kept also if nothing fails")
	takeoverDetection   = flag.Bool("takeover.detection", true, "failure detection is on")
)

// A fleet of more machines than fullFleet is filled with services of so many replicas.
const (
	fullFleet   = 100
	fullService = 400
)

// takeoverDeployment is a deployment with short times, so that a takeover takes
// seconds, or with those that are shipped.
func takeoverDeployment() deployment {
	d := deployment{
		zones: []string{"a", "b", "c"}, machines: *takeoverMachines, cpu: 0.5, memoryMB: 300,
		period: time.Second, leaseS: 10, cancelS: 40, writeRPS: 80,
		tasks: 6, runs: 3 * time.Second, every: 300 * time.Millisecond, services: 6, replicas: 3,
		nodes: *takeoverControllers, linked: true, leaseLife: 2 * time.Second,
		properties: "membership.lease.ms = 2000",
		detection: "detection.heartbeat.ms = 250\ndetection.suspect.min.ms = 700\ndetection.suspect.max.ms = 2000\n" +
			"detection.declare.ms = 1500\ndetection.probe.timeout.ms = 250\ndetection.stall.ms = 2000",
	}
	if *takeoverMachines > fullFleet { // a replica takes an eighth of a machine; the rest is for arrays
		d.services, d.replicas = *takeoverMachines*7/fullService, fullService
	}
	if *takeoverSlow {
		d.period, d.leaseS, d.cancelS, d.leaseLife = 3*time.Second, 26, 56, 3500*time.Millisecond
		d.properties, d.detection = "", "detection.revoke = true"
	}
	if !*takeoverDetection {
		d.detection = ""
	}
	return d
}

// failure is a way for a controller to fail.
type failure struct {
	name string
	// begin brings it about, and mend ends it once the shard has moved.
	begin, mend func(f *fleet, owner int)
	// harmless: the shard must stay, for as long as moves or hold says.
	harmless bool
	// needsDetection: nothing but failure detection notices it.
	needsDetection bool
	hold           time.Duration
}

func (f *fleet) signal(node int, s syscall.Signal) {
	if p := f.controllers[node].process; p != nil {
		_ = p.Process.Signal(s)
	}
}

func failures(d deployment) []failure {
	nothing := func(*fleet, int) {}
	gray := func(is bool) func(f *fleet, owner int) {
		return func(f *fleet, owner int) { f.cutOff[owner].Store(is); f.links.cutCallsTo(owner, is) }
	}
	return []failure{
		{name: "killed", begin: func(f *fleet, owner int) { f.controllers[owner].kill() },
			mend: func(f *fleet, owner int) { f.restart(owner) }},
		{name: "frozen", begin: func(f *fleet, owner int) { f.signal(owner, syscall.SIGSTOP) },
			mend: func(f *fleet, owner int) { f.signal(owner, syscall.SIGCONT) }},
		{name: "cut from the state service", begin: func(f *fleet, owner int) { f.links.store[owner].cut(true) },
			mend: func(f *fleet, owner int) { f.links.store[owner].cut(false) }},
		{name: "gray: unreachable for workers and controllers", needsDetection: true, begin: gray(true), mend: gray(false)},
		{name: "pause of half a lease", harmless: true, hold: d.leaseLife / 2, begin: func(f *fleet, owner int) { f.signal(owner, syscall.SIGSTOP) },
			mend: func(f *fleet, owner int) { f.signal(owner, syscall.SIGCONT) }},
		{name: "cut from all controllers", harmless: true, hold: 3 * d.leaseLife,
			begin: func(f *fleet, owner int) { f.links.cutCallsTo(owner, true); f.links.cutCallsFrom(owner, true) },
			mend:  func(f *fleet, owner int) { f.links.cutCallsTo(owner, false); f.links.cutCallsFrom(owner, false) }},
		{name: "links flap", harmless: true, hold: 3 * d.leaseLife, mend: nothing, begin: func(f *fleet, owner int) { go f.flap(owner, 3*d.leaseLife) }},
		{name: "pauses of everybody", harmless: true, hold: 3 * d.leaseLife, mend: nothing, begin: func(f *fleet, _ int) { go f.starve(3 * d.leaseLife) }},
	}
}

// flap cuts and mends a controller's links to the others again and again.
func (f *fleet) flap(node int, d time.Duration) {
	for end, cut := time.Now().Add(d), true; time.Now().Before(end); cut = !cut {
		f.links.cutCallsTo(node, cut)
		f.links.cutCallsFrom(node, cut)
		time.Sleep(time.Duration(100+rand.IntN(int(d.Milliseconds())/10)) * time.Millisecond)
	}
	f.links.cutCallsTo(node, false)
	f.links.cutCallsFrom(node, false)
}

// starve stops every process for a part of the time, as on a machine with too little
// processor time.
func (f *fleet) starve(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		node := rand.IntN(len(f.controllers))
		f.signal(node, syscall.SIGSTOP)
		time.Sleep(time.Duration(20+rand.IntN(200)) * time.Millisecond)
		f.signal(node, syscall.SIGCONT)
		time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
	}
}

// takeover is what was measured of one.
type takeover struct {
	moved                                bool
	suspected, declared, claimed, obeyed time.Duration // since the failure began; 0: it was not seen
	falseSuspicions, falseDeclared       int           // of controllers that did not fail
}

// TestTakeoverOfRealProcesses lets real controllers on loopback fail while jobs come and
// run. Whoever fails is replaced without a person, whoever does not fail is not; no task
// runs twice, none is lost, and claims and obeyed commands have one order.
func TestTakeoverOfRealProcesses(t *testing.T) {
	d := takeoverDeployment()
	d.earlier = *takeoverEarlier
	f := newFleet(t, d)
	jobs := f.load(t)
	time.Sleep(8 * time.Second) // machines boot, shards are rebuilt
	f.fill(t)
	count := f.takeCensus(jobs)
	only := regexp.MustCompile(*takeoverOnly)
	for _, kind := range failures(d) {
		if !only.MatchString(kind.name) {
			continue
		}
		var seen []takeover
		for round := range *takeoverRounds {
			seen = append(seen, f.fail(t, kind, d.zones[round%len(d.zones)]))
			time.Sleep(d.leaseLife + time.Second)
		}
		summarize(t, kind, seen)
	}
	jobs.settle(t, f)
	f.verdict(t)
	f.keepEvidence(t, count.end())
}

// fill waits until a large fleet's services run.
func (f *fleet) fill(t *testing.T) {
	t.Helper()
	if f.machines <= fullFleet {
		return
	}
	began := time.Now()
	for end := began.Add(5 * time.Minute); f.record.present() < f.services*f.replicas; time.Sleep(time.Second) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d replicas run on %d machines", f.record.present(), f.services*f.replicas, f.cloud.running())
		}
	}
	t.Logf("%d replicas run on %d machines after %s", f.record.present(), f.cloud.running(), time.Since(began).Round(time.Second))
}

// fail brings one failure about and measures what comes of it.
func (f *fleet) fail(t *testing.T, kind failure, zone string) takeover {
	t.Helper()
	if kind.harmless || kind.needsDetection { // of a shard that is not at home it would not be known why it moves
		zone = f.atHome(t)
	}
	name, term := f.store.holder(zone)
	owner := f.index(name)
	if owner < 0 {
		t.Fatalf("nobody owns the shard of %s", zone)
	}
	limit := 8*f.leaseLife + 10*time.Second
	if kind.harmless {
		limit = kind.hold
	}
	began := time.Now()
	kind.begin(f, owner)
	now, after := name, term
	for time.Since(began) < limit && (now == name || kind.harmless) {
		time.Sleep(20 * time.Millisecond)
		now, after = f.store.holder(zone)
	}
	if now != name { // until the new owner's first command
		for end := time.Now().Add(f.leaseLife + 3*time.Second); time.Now().Before(end) && f.record.firstObeyed(zone, after).IsZero(); {
			time.Sleep(20 * time.Millisecond)
		}
	}
	kind.mend(f, owner)
	x := f.measure(began, name, kind.harmless)
	x.moved = after != term
	if x.moved {
		x.claimed = f.record.firstClaimed(zone, after).Sub(began)
		if at := f.record.firstObeyed(zone, after); !at.IsZero() {
			x.obeyed = at.Sub(began)
		}
	}
	switch {
	case kind.harmless && x.moved:
		t.Errorf("%s: the shard of %s went from %s, term %d, to %s, term %d", kind.name, zone, name, term, now, after)
	case !kind.harmless && !x.moved && (*takeoverDetection || !kind.needsDetection):
		t.Errorf("%s: nobody took the shard of %s over within %s", kind.name, zone, limit)
	}
	if kind.needsDetection && x.moved && x.declared == 0 {
		t.Errorf("%s: it moved, and nobody declared it failed", kind.name)
	}
	if x.falseDeclared > 0 {
		t.Errorf("%s: %d controllers that had not failed were declared failed", kind.name, x.falseDeclared)
	}
	return x
}

// atHome is a zone whose shard is owned by a controller in it.
func (f *fleet) atHome(t *testing.T) string {
	t.Helper()
	for end := time.Now().Add(2 * time.Minute); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i, zone := range f.zones {
			if name, _ := f.store.holder(zone); f.index(name) >= 0 && f.index(name)%len(f.zones) == i {
				return zone
			}
		}
	}
	t.Fatal("no shard is at home")
	return ""
}

// stateLine is a line of a controller's log about another one's state.
var stateLine = regexp.MustCompile(`^time=(\S+) .*msg="controller's state changed" node=(\S+) from=\S+ to=(\S+) evidence=(\[.*?\]|"\[.*?\]")`)

// measure reads from the controllers' logs when others noticed a failure.
func (f *fleet) measure(began time.Time, failed string, harmless bool) takeover {
	var x takeover
	for _, c := range f.controllers {
		text, err := os.ReadFile(c.log.Name())
		if err != nil || c.name == failed {
			continue // a failed one's own view says nothing of others
		}
		for line := range strings.Lines(string(text)) {
			m := stateLine.FindStringSubmatch(line)
			if m == nil {
				continue
			}
			at, err := time.Parse(time.RFC3339Nano, m[1])
			if err != nil || at.Before(began) {
				continue
			}
			x.count(m[2] == failed && !harmless, m[3], at.Sub(began))
		}
	}
	return x
}

func (x *takeover) count(hasFailed bool, to string, after time.Duration) {
	first := func(d *time.Duration) {
		if *d == 0 || after < *d {
			*d = after
		}
	}
	switch {
	case to == "suspect" && hasFailed:
		first(&x.suspected)
	case to == "failed" && hasFailed:
		first(&x.declared)
	case to == "suspect":
		x.falseSuspicions++
	case to == "failed":
		x.falseDeclared++
	}
}

func (r *record) firstObeyed(zone string, term uint64) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.obeyed[zone][term]
}

func (r *record) firstClaimed(zone string, term uint64) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.claimed[zone][term]
}

// restart starts a controller that was killed.
func (f *fleet) restart(node int) {
	c := f.controllers[node]
	c.kill()
	if err := c.launch(); err != nil {
		panic(err)
	}
}

// summarize prints a kind's figures: median, 95th percentile and maximum.
func summarize(t *testing.T, kind failure, seen []takeover) {
	t.Helper()
	column := func(of func(takeover) time.Duration) string {
		var all []time.Duration
		for _, x := range seen {
			if d := of(x); d > 0 {
				all = append(all, d)
			}
		}
		if len(all) == 0 {
			return "-"
		}
		slices.Sort(all)
		at := func(share float64) float64 { return all[min(len(all)-1, int(share*float64(len(all))))].Seconds() }
		return fmt.Sprintf("%.1f / %.1f / %.1f (%d)", at(0.5), at(0.95), all[len(all)-1].Seconds(), len(all))
	}
	moved, suspicions, declared := 0, 0, 0
	for _, x := range seen {
		if x.moved {
			moved++
		}
		suspicions += x.falseSuspicions
		declared += x.falseDeclared
	}
	t.Logf("| %s | %d of %d | %s | %s | %s | %s | %d | %d |", kind.name, moved, len(seen),
		column(func(x takeover) time.Duration { return x.suspected }), column(func(x takeover) time.Duration { return x.declared }),
		column(func(x takeover) time.Duration { return x.claimed }), column(func(x takeover) time.Duration { return x.obeyed }), suspicions, declared)
}

// load is the jobs that come while controllers fail.
type load struct {
	stop chan struct{}
	done sync.WaitGroup

	mu     sync.Mutex
	arrays []string
	all    []string
}

// load submits services at once and arrays from then on.
func (f *fleet) load(t *testing.T) *load {
	t.Helper()
	l := &load{stop: make(chan struct{})}
	time.Sleep(2 * time.Second) // the first terms are claimed
	for range f.services {
		l.submit(f, true)
	}
	l.done.Add(1)
	go func() {
		defer l.done.Done()
		for {
			select {
			case <-l.stop:
				return
			case <-time.After(f.every):
				l.done.Add(1)
				go func() {
					defer l.done.Done()
					l.submit(f, false)
				}()
			}
		}
	}()
	return l
}

// submit submits a job until it is accepted, and notes it then.
func (l *load) submit(f *fleet, service bool) {
	s := f.nextJob(service)
	f.ask("POST", wire.PathJobs, submission(s))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, s.ID)
	if !service {
		l.arrays = append(l.arrays, s.ID)
	}
}

// What a backlog may take beyond its least time: a share of it, since machines are never
// all full, and the time in which the last failure's shard comes back.
const (
	settleShare  = 1.25
	settleMargin = 30 * time.Second
)

// settle ends the load and sees that every accepted array is done, within the least
// time in which the fleet can work off what waits then, and a margin.
func (l *load) settle(t *testing.T, f *fleet) {
	t.Helper()
	close(l.stop)
	l.done.Wait()
	l.mu.Lock()
	arrays, all := slices.Clone(l.arrays), len(l.all)
	l.mu.Unlock()
	waiting := len(arrays)*f.tasks - f.record.arrayTasksBegun(f.isArray)
	least := f.leastTime(waiting)
	limit := time.Now().Add(time.Duration(settleShare*float64(least)) + settleMargin)
	t.Logf("%d tasks wait at the end of the load: %s at least", waiting, least.Round(time.Second))
	var late []string
	for _, id := range arrays {
		for !f.isDone(t, id) {
			if time.Now().After(limit) {
				late = append(late, id)
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	if len(late) > 0 {
		t.Errorf("%d accepted arrays are not done %s after the load's end, the first is %s", len(late), time.Since(limit.Add(-settleMargin)).Round(time.Second), late[0])
	}
	t.Logf("%d jobs accepted, %d arrays done, %d tasks started", all, len(arrays)-len(late), f.record.everStarted())
}

// leastTime is how long the whole fleet takes for so many tasks of arrays at least.
func (f *fleet) leastTime(tasks int) time.Duration {
	slots := (float64(f.machines)*machineType.CPUs - serviceCPUs*float64(f.services*f.replicas)) / arrayCPUs
	return time.Duration(float64(tasks) / slots * float64(f.runs+imageFetch))
}

// isDone asks whether an array is done.
func (f *fleet) isDone(t *testing.T, id string) bool {
	t.Helper()
	var s wire.JobStatus
	if err := json.Unmarshal(f.ask("GET", wire.PathJobs+"/"+id, nil), &s); err != nil {
		t.Fatal(err)
	}
	return s.Status == wire.JobDone
}

// verdict judges what workers and state service recorded over the whole test.
func (f *fleet) verdict(t *testing.T) {
	t.Helper()
	for _, broken := range f.record.rulesBroken() {
		t.Error(broken)
	}
	for zone, result := range f.record.judge() {
		t.Logf("ownership of %s: %d claims and obeyed commands: %s", zone, len(f.record.history[zone]), result)
		if result != porcupine.Ok {
			t.Errorf("claims and obeyed commands of %s have no order: %s", zone, result)
		}
	}
	if !*takeoverDetection {
		return
	}
	kept := 0
	for _, c := range f.controllers {
		if c.program != f.program {
			continue
		}
		events, err := history.Read(filepath.Join(filepath.Dir(c.settings), c.name+".history"))
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		kept += len(events)
	}
	if kept == 0 {
		t.Error("no membership event was kept")
	}
}

// TestRestingControllers measures what failure detection costs while nothing fails; it
// is a measurement, for one size, with and without it:
//
//	go test ./internal/loopback -run TestRestingControllers -v -takeover.rest 60s
func TestRestingControllers(t *testing.T) {
	if *takeoverRest == 0 {
		t.Skip("a measurement: -takeover.rest says for how long")
	}
	f := newFleet(t, takeoverDeployment())
	time.Sleep(10 * time.Second)
	before := f.spent()
	time.Sleep(*takeoverRest)
	spent := f.spent() - before
	t.Logf("%d controllers, detection %v: %.2f ms of processor time a second each", len(f.controllers), *takeoverDetection,
		1000*spent.Seconds()/takeoverRest.Seconds()/float64(len(f.controllers)))
}

var takeoverRest = flag.Duration("takeover.rest", 0, "how long controllers at rest are measured")
