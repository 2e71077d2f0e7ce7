// Package loopback measures three real controllers on this machine's loopback
// interface: what processor time and memory they take for a fleet of workers, by
// kind of work. State service, cloud, workers and users are stand-ins. It holds
// benchmarks alone, which the tests do not run:
//
//	go test ./internal/loopback -run '^$' -bench . -benchtime 1x -v
package loopback

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ravenport/httpwire"
	"ravenport/server"
	"ravenport/wire"
)

// deployment is what is measured.
type deployment struct {
	zones    []string
	machines int
	cpu      float64 // share of a core, as the settings say; it is not enforced here
	memoryMB float64
	period   time.Duration // between two reports of a machine
	leaseS   float64
	cancelS  float64
	writeRPS float64
	arrays   int           // jobs at the start
	tasks    int           // of each
	every    time.Duration // between two more of them
	runs     time.Duration // how long each task runs
	services int           // jobs at the start
	replicas int           // of each

	nodes      int           // controllers; 0: three
	properties string        // operators' own settings
	detection  string        // settings of failure detection; empty: none
	draining   string        // settings of drains and budgets; empty: none
	leaseLife  time.Duration // of the controllers; 0: as they come
	linked     bool          // what passes between controllers, and to the state service, can be cut
	earlier    string        // program that the first controller runs instead; empty: none
}

// controllers is how many there are.
func (d deployment) controllers() int {
	if d.nodes == 0 {
		return 3
	}
	return d.nodes
}

// The fleets that are measured: many reports of short tasks, and more machines.
var (
	manyReports = deployment{
		zones: []string{"a", "b", "c"}, machines: 1200, cpu: 0.1, memoryMB: 150,
		period: 5 * time.Second, leaseS: 25, cancelS: 60, writeRPS: 20,
		arrays: 50, tasks: 80, every: 1200 * time.Millisecond, runs: 20 * time.Second,
		services: 200, replicas: 6,
	}
	manyMachines = deployment{
		zones: []string{"a", "b"}, machines: 2000, cpu: 0.1, memoryMB: 200,
		period: 8 * time.Second, leaseS: 40, cancelS: 80, writeRPS: 80,
		arrays: 100, tasks: 25, every: 1200 * time.Millisecond, runs: 60 * time.Second,
		services: 400, replicas: 7,
	}
)

// site lets several deployments stand on one machine: each has ports and machines of
// its own.
var site = flag.Int("loopback.site", 0, "which of the machine's deployments this is, 0 to 9")

// fleets is how many fleets this process has started: stand-ins serve until it ends, so
// each fleet has addresses of its own, those of a site that no flag names.
var fleets int

// sitesNamed is how many sites the flag can name.
const sitesNamed = 10

// siteNow is the site of the latest fleet.
func siteNow() int { return *site + sitesNamed*(fleets-1) }

// Ports of a site: the stand-ins', and the first of the controllers'.
const (
	firstPort = 23700
	sitePorts = 100 // of one site
	storePort = 90
	cloudPort = 91
	frontPort = 0
	peerPort  = 20
)

func localAddress(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", firstPort+siteNow()*sitePorts+port)
}

func storeAddr() string            { return localAddress(storePort) }
func cloudAddr() string            { return localAddress(cloudPort) }
func frontAddress(node int) string { return localAddress(frontPort + node) }
func peerAddress(node int) string  { return localAddress(peerPort + node) }
func machineAddress(n int) string {
	return fmt.Sprintf("127.%d.%d.%d:9000", 1+siteNow(), n/250, n%250+1)
}

// fleet is the world around the controllers.
type fleet struct {
	deployment
	dir         string // settings, logs and histories of the controllers
	program     string // the built controller
	controllers []*controller
	store       *store
	cloud       *cloud
	record      *record
	cutOff      []atomic.Bool // by controller: workers' reports do not reach it
	links       *links        // nil: nothing can be cut

	reports, commands, starts atomic.Int64

	mu      sync.Mutex
	runTime map[string]time.Duration // by job; absent: it runs until stopped
	clients map[string]*httpwire.Client
	jobSeq  int
}

// controller is one real process.
type controller struct {
	name, front, settings string
	program               string
	arguments             []string
	log                   *os.File // nil: the test's own standard error
	process               *exec.Cmd
	stopped               atomic.Bool   // by a signal, so that it answers nothing
	spent                 time.Duration // by its earlier processes
}

func (f *fleet) index(name string) int {
	for i, c := range f.controllers {
		if c.name == name {
			return i
		}
	}
	return -1
}

// client is a machine's connection to a controller.
func (f *fleet) client(m *machine, node int) *httpwire.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := m.name + "/" + strconv.Itoa(node)
	if f.clients[key] == nil {
		f.clients[key] = httpwire.NewClient(f.controllers[node].front, 1, time.Second, httpwire.Limits{Header: 8 << 10, Body: 1 << 20})
	}
	return f.clients[key]
}

func (f *fleet) runsFor(task string) time.Duration {
	job, _, _ := wire.ParseTaskName(task)
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(float64(f.runTime[job]) * (0.5 + rand.Float64()))
}

// newFleet builds the program and starts everything.
func newFleet(b testing.TB, d deployment) *fleet {
	fleets++
	r := newRecord()
	f := &fleet{deployment: d, store: newStore(r), record: r, runTime: map[string]time.Duration{}, clients: map[string]*httpwire.Client{}, cutOff: make([]atomic.Bool, d.controllers())}
	f.cloud = newCloud(d.zones, d.machines, func(m *machine) { go m.run(f) })
	f.cloud.lease, f.cloud.record = time.Duration(d.leaseS*float64(time.Second)), r
	serveStandIns(b, f)
	dir := b.TempDir()
	f.dir, f.program = dir, filepath.Join(dir, "ravenport")
	if out, err := exec.Command("go", "build", "-o", f.program, "ravenport/cmd/ravenport").CombinedOutput(); err != nil {
		b.Fatalf("building: %v\n%s", err, out)
	}
	if d.linked {
		f.links = newLinks(b, d.controllers())
	}
	for i := range d.controllers() {
		c := f.configure(b, dir, i)
		f.controllers = append(f.controllers, c)
		c.start(b)
	}
	b.Cleanup(func() {
		for _, c := range f.controllers {
			c.kill()
		}
		f.cloud.giveBack(f.cloud.names)
	})
	return f
}

// serveStandIns serves the state service and the cloud until the test ends.
func serveStandIns(b testing.TB, f *fleet) {
	for addr, handle := range map[string]server.Handler{storeAddr(): f.store.handle, cloudAddr(): f.cloud.handle} {
		s := server.New(addr, 10000, handle)
		ended := make(chan error, 1)
		go func() { ended <- s.Run() }()
		select {
		case <-s.Ready():
		case err := <-ended:
			b.Fatalf("a stand-in at %s: %v", addr, err)
		}
	}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			f.store.expire()
		}
	}()
}

// configure writes a controller's settings files. Each has its own: the one before may be
// reading its files at this moment.
func (f *fleet) configure(b testing.TB, dir string, i int) *controller {
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			b.Fatal(err)
		}
		return path
	}
	c := &controller{name: fmt.Sprintf("n-%d", i), front: frontAddress(i), program: f.program}
	c.settings = write(c.name+".toml", f.settings(i, f.deployment.controllers()))
	c.arguments = []string{"--config", c.settings}
	if f.properties != "" {
		c.arguments = append(c.arguments, "--properties", write(c.name+".properties", f.properties))
	}
	if i == 0 && f.earlier != "" {
		c.program = f.earlier
	} else if f.detection != "" {
		history := filepath.Join(dir, c.name+".history")
		c.arguments = append(c.arguments, "--failure-detection", write(c.name+".detection", f.detection+"\ndetection.history.path = "+history+"\n"))
	}
	if f.draining != "" {
		c.arguments = append(c.arguments, "--draining", write(c.name+".draining", f.draining))
	}
	if f.linked {
		log, err := os.Create(filepath.Join(dir, c.name+".log"))
		if err != nil {
			b.Fatal(err)
		}
		c.log = log
	}
	return c
}

func (f *fleet) settings(node, nodes int) string {
	var s strings.Builder
	zone := func(i int) string { return f.zones[i%len(f.zones)] }
	fmt.Fprintf(&s, "node = \"n-%d\"\ndomain = %q\nbind = %q\nback = %q\n", node, zone(node), frontAddress(node), peerAddress(node))
	for i := range nodes {
		if i != node {
			fmt.Fprintf(&s, "[[siblings]]\nnode = \"n-%d\"\ndomain = %q\npeer_addr = %q\n", i, zone(i), f.peerAddress(node, i))
		}
	}
	fmt.Fprintf(&s, "[outside]\ncloud = %q\nstate = %q\n[facts]\nsize = %d\nzones = [\"%s\"]\nclock_off_ms = 25.0\n", cloudAddr(), f.storeAddress(node), nodes, strings.Join(f.zones, "\", \""))
	fmt.Fprintf(&s, "[[facts.teams]]\nname = \"team\"\n[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ncancel_s = %.1f\n", f.period.Seconds(), f.leaseS, f.cancelS)
	fmt.Fprintf(&s, "gang_wait_s = 30.0\ngang_peer_s = 8.0\n[facts.state]\nrps = 200.0\nwrite_rps = %.1f\nvalue_kb = 8.0\ntxn_ops = 12\n", f.writeRPS)
	fmt.Fprintf(&s, "[facts.cloud]\nrps = 10.0\nlist_lag_s = 5.0\n[facts.machine_limits]\ncpu = %g\nmemory_mb = %g\nmax_connections = 3000\n", f.cpu, f.memoryMB)
	return s.String()
}

// peerAddress is where a controller reaches another one.
func (f *fleet) peerAddress(from, to int) string {
	if f.links == nil {
		return peerAddress(to)
	}
	return f.links.peers[from][to].addr()
}

// storeAddress is where a controller reaches the state service.
func (f *fleet) storeAddress(from int) string {
	if f.links == nil {
		return storeAddr()
	}
	return f.links.store[from].addr()
}

func (c *controller) start(b testing.TB) {
	if err := c.launch(); err != nil {
		b.Fatal(err)
	}
	b.Logf("%s is process %d", c.name, c.process.Process.Pid)
}

// launch starts the process.
func (c *controller) launch() error {
	c.process = exec.Command(c.program, c.arguments...)
	c.process.Env = append(os.Environ(), "LOG_LEVEL=error")
	c.process.Stderr = os.Stderr
	if c.log != nil {
		c.process.Env = append(os.Environ(), "LOG_LEVEL=info")
		c.process.Stderr = c.log
	}
	return c.process.Start()
}

// kill ends the process, as a crash would.
func (c *controller) kill() {
	if c.process == nil {
		return
	}
	if err := c.process.Process.Kill(); err == nil {
		_ = c.process.Wait() // it reports the kill
		c.spent += c.process.ProcessState.UserTime() + c.process.ProcessState.SystemTime()
	}
	c.process = nil
}

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// usage is the processor time taken so far and the memory resident now.
func (c *controller) usage() (time.Duration, float64) {
	if c.process == nil {
		return c.spent, 0
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.process.Process.Pid))
	if err != nil {
		return c.spent, 0
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return c.spent + time.Duration(user+system)*clockTick, pages * float64(os.Getpagesize()) / (1 << 20)
}

// ask makes a user's request at any controller until one answers with 2xx, and returns
// the answer's body.
func (f *fleet) ask(method, path string, body []byte) []byte {
	for {
		c := f.controllers[rand.IntN(len(f.controllers))]
		cl := httpwire.NewClient(c.front, 1, time.Second, httpwire.Limits{Header: 8 << 10, Body: 1 << 20})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		msg, err := cl.Do(ctx, method, path, body)
		cancel()
		cl.Close()
		if err == nil && msg.Status < 300 {
			return msg.Body
		}
		if err == nil && msg.Status < 500 {
			panic(fmt.Sprintf("%s %s: status %d: %s", method, path, msg.Status, msg.Body))
		}
		time.Sleep(time.Second)
	}
}

// What a task takes, by the kind of its job.
const (
	arrayCPUs   = 4.0
	serviceCPUs = 2.0
)

// nextJob is the next job to be submitted.
func (f *fleet) nextJob(service bool) wire.Submission {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobSeq++
	s := wire.Submission{ID: fmt.Sprintf("run-%06d", f.jobSeq), Class: "arrays", Team: "team", Kind: wire.KindArray, Priority: wire.PriorityNormal,
		Tasks: f.tasks, CPUs: arrayCPUs, MemoryGB: 12, Image: fmt.Sprintf("img-%d", f.jobSeq%12), ImageGB: 0.7, Spot: true, EstimateS: f.runs.Seconds()}
	if service {
		s.Class, s.Kind, s.Priority, s.Spot, s.EstimateS = "services", wire.KindService, wire.PriorityProduction, false, 0
		s.Tasks, s.CPUs, s.MemoryGB, s.Spread = f.replicas, serviceCPUs, 4.6, true
	} else {
		f.runTime[s.ID] = f.runs
	}
	return s
}

// submit submits a job and polls it every five seconds from then on.
func (f *fleet) submit(service bool) {
	s := f.nextJob(service)
	body := submission(s)
	go func() {
		f.ask("POST", wire.PathJobs, body)
		for end := time.Now().Add(time.Minute); time.Now().Before(end); {
			time.Sleep(5 * time.Second)
			f.ask("GET", wire.PathJobs+"/"+s.ID, nil)
		}
	}()
}

// submission is the body of a submission, in which no flag may be missing.
func submission(s wire.Submission) []byte {
	body, err := json.Marshal(struct {
		wire.Submission
		OneZone bool `json:"one_zone"`
		Spread  bool `json:"scatter"`
		Spot    bool `json:"loaners"`
	}{s, s.OneZone, s.Spread, s.Spot})
	if err != nil {
		panic(err) // a type of wire
	}
	return body
}

// phase lets time pass and reports the processor time of all controllers in it,
// in all and for each report.
func (f *fleet) phase(b *testing.B, name string, d time.Duration) {
	before := f.spent()
	reports, commands, starts := f.reports.Load(), f.commands.Load(), f.starts.Load()
	time.Sleep(d)
	spent := f.spent() - before
	n := f.reports.Load() - reports
	b.ReportMetric(float64(spent.Microseconds())/float64(max(n, 1)), name+"-us/report")
	b.ReportMetric(spent.Seconds()/d.Seconds()/float64(len(f.controllers)), name+"-cores")
	memory := 0.0
	for _, c := range f.controllers {
		_, mb := c.usage()
		memory = max(memory, mb)
	}
	b.Logf("%-8s %6.0f ms a second in all, %5.0f reports, %4.0f commands, %4.0f starts a second; %d machines; %.0f MB at most", name, 1000*spent.Seconds()/d.Seconds(),
		float64(n)/d.Seconds(), float64(f.commands.Load()-commands)/d.Seconds(), float64(f.starts.Load()-starts)/d.Seconds(), f.cloud.running(), memory)
}

func (f *fleet) spent() time.Duration {
	sum := time.Duration(0)
	for _, c := range f.controllers {
		used, _ := c.usage()
		sum += used
	}
	return sum
}

// measure plays a cold start, steady hours, the end of all controllers but one, and
// their return.
func measure(b *testing.B, d deployment) {
	f := newFleet(b, d)
	time.Sleep(3 * time.Second)
	for range d.services {
		f.submit(true)
	}
	for range d.arrays {
		f.submit(false)
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(d.every):
				f.submit(false)
			}
		}
	}()
	f.phase(b, "start", 25*time.Second)
	f.phase(b, "steady", 30*time.Second)
	others := f.controllers[1:]
	for _, c := range others {
		c.kill()
	}
	f.phase(b, "takeover", 10*time.Second)
	f.phase(b, "alone", 20*time.Second)
	for _, c := range others {
		c.start(b)
	}
	f.phase(b, "back", 10*time.Second)
}

// BenchmarkManyReports has machines that report often and tasks that end soon.
func BenchmarkManyReports(b *testing.B) {
	for range b.N {
		measure(b, manyReports)
	}
}

// BenchmarkManyMachines has more machines and longer tasks.
func BenchmarkManyMachines(b *testing.B) {
	for range b.N {
		measure(b, manyMachines)
	}
}
