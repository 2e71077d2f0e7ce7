package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTime is the longest time of a case, a little less than the 120 s that a case may take.
const caseTime = 118 * time.Second

// site holds the settings of a deployment, as its site file has them.
type site struct {
	zones                       []string
	clockOffMS                  float64
	team                        string
	teams                       int // 0: one, without a number
	teamCPUs, teamMax           float64
	reportS, leaseS, cancelS    float64
	gangWaitS, gangPeerS        float64
	store                       storeLimits
	cloudRPS, listLagS          float64
	cpu, memoryMB, restartDelay float64
	sockets                     int
	kind                        machineKind
	zoneMachines                int // of one kind in one zone
	zoneOf                      []string
}

// magnolia is the deployment of kit/sites/magnolia-tint-works.toml.
func magnolia() site {
	zones := []string{"back-room", "loading-dock", "mill-annex"}
	return site{
		zones: zones, zoneOf: zones, clockOffMS: 25, team: "color-lab",
		reportS: 3, leaseS: 26, cancelS: 56, gangWaitS: 30, gangPeerS: 8,
		store:    storeLimits{RPS: 200, WriteRPS: 20, ValueKB: 8, TxnOps: 12},
		cloudRPS: 10, listLagS: 8, cpu: 0.3, memoryMB: 234, sockets: 3000, restartDelay: 5,
		kind:         machineKind{Name: "pine-box", CPUs: 16, MemoryGB: 64, Price: 0.87, SpotPrice: 0.4, CacheGB: 70, FetchGBPerS: 0.2, BootS: 50},
		zoneMachines: 9,
	}
}

// umoya is the deployment of kit/sites/umoya-menus.toml.
func umoya() site {
	zones := []string{"joburg-rack", "durban-rack"}
	return site{
		zones: zones, zoneOf: []string{"joburg-rack", "durban-rack", "joburg-rack"}, clockOffMS: 250, team: "menu-ops",
		teamCPUs: 24, teamMax: 88, reportS: 3, leaseS: 36, cancelS: 61, gangWaitS: 50, gangPeerS: 5,
		store:    storeLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 24},
		cloudRPS: 5, listLagS: 5, cpu: 0.144, memoryMB: 342, sockets: 3500, restartDelay: 6,
		kind:         machineKind{Name: "kombuis-node", CPUs: 16, MemoryGB: 32, Price: 1, SpotPrice: 0.45, CacheGB: 25, FetchGBPerS: 0.3, BootS: 25},
		zoneMachines: 15,
	}
}

// jobSpec is a submission.
type jobSpec struct {
	UID       string   `json:"uid"`
	Lane      string   `json:"lane"`
	Crew      string   `json:"crew"`
	Shape     string   `json:"shape"`
	Rank      string   `json:"rank"`
	Pieces    int      `json:"pieces"`
	CPUs      float64  `json:"cpus"`
	Cards     float64  `json:"cards"`
	MemGB     float64  `json:"mem_gb"`
	Kit       string   `json:"kit"`
	PullGB    float64  `json:"pull_gb"`
	Builds    []string `json:"builds"`
	Yard      *string  `json:"yard"`
	OneZone   bool     `json:"one_zone"`
	Scatter   bool     `json:"scatter"`
	Loaners   bool     `json:"loaners"`
	GuessS    float64  `json:"guess_s"`
	MarkEvery float64  `json:"mark_every_s"`
	StowS     float64  `json:"stow_s"`
	DueS      *float64 `json:"due_s"`

	runS   float64     // how long a task really runs
	mayEnd func() bool // nil or a condition for which a task that has run for runS waits
}

// trial is one run of a case.
type trial struct {
	name    string
	trouble bool
	site    site
	began   time.Time
	dir     string // temporary
	program []string
	store   *store
	cloud   *cloud
	nodes   []*node
	servers []*http.Server

	mu     sync.Mutex
	record *os.File
	jobs   map[string]*jobSpec
	done   map[string]bool
	on     map[string]string // task -> machine, while it runs
	twice  int
	starts map[string]int

	links    bool                // every link of a controller passes a gate
	gangs    map[string][]func() // by job and attempt: what starts the tasks that wait
	ports    map[string]bool
	firstKey string // of the record of the first job
}

func newTrial(name, folder string, s site) *trial {
	t := &trial{
		name: name, site: s, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0",
		jobs: map[string]*jobSpec{}, done: map[string]bool{}, on: map[string]string{}, starts: map[string]int{}, ports: map[string]bool{},
	}
	var err error
	if t.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	if t.dir, err = os.MkdirTemp("", "ravenport-review-"); err != nil {
		t.fail("%v", err)
	}
	deploy, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		t.fail("%v", err)
	}
	for _, line := range strings.Split(string(deploy), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			run, err := strconv.Unquote(strings.TrimSpace(value))
			if err != nil {
				t.fail("run command: %v", err)
			}
			t.program = strings.Fields(run)
		}
	}
	if len(t.program) == 0 {
		t.fail("deploy/service.toml has no run command")
	}
	t.store = newStore(s.store)
	t.cloud = newCloud(t, s.kind, s.zones, s.zoneMachines, 1500*time.Millisecond)
	t.logf("case %s, trouble %t", name, t.trouble)
	time.AfterFunc(caseTime, func() { t.fail("out of time") })
	return t
}

func (t *trial) logf(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.record, "%8.3f %s\n", time.Since(t.began).Seconds(), fmt.Sprintf(format, args...))
}

func (t *trial) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	t.logf("could not run: %s", text)
	fmt.Fprintln(os.Stderr, "could not run:", text)
	t.end(exitNotRun)
}

// end ends all processes and the case.
func (t *trial) end(code int) {
	for _, n := range t.nodes {
		n.shut()
	}
	if t.cloud != nil {
		t.cloud.stop()
	}
	if t.dir != "" {
		os.RemoveAll(t.dir)
	}
	t.logf("exit %d", code)
	os.Exit(code)
}

// verdict ends the case: the rule was broken if there is a reason.
func (t *trial) verdict(broken string) {
	if broken != "" {
		t.logf("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		t.end(exitBroken)
	}
	t.logf("HELD")
	fmt.Println("held")
	t.end(exitHeld)
}

func (t *trial) job(uid string) *jobSpec {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.jobs[uid]
}

func (t *trial) isDone(piece string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.done[piece]
}

func (t *trial) setDone(piece string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.done[piece] = true
}

func (t *trial) taskOn(piece, machine, zone string) {
	t.mu.Lock()
	if other := t.on[piece]; other != "" && other != machine {
		t.twice++
		fmt.Fprintf(t.record, "%8.3f RAN TWICE %s on %s and %s\n", time.Since(t.began).Seconds(), piece, other, machine)
	}
	t.on[piece] = machine
	t.starts[piece]++
	quiet := len(t.starts) > 200
	t.mu.Unlock()
	if !quiet {
		t.logf("task %s runs on %s in %s", piece, machine, zone)
	}
}

func (t *trial) taskOff(piece, machine, why string) {
	t.mu.Lock()
	if t.on[piece] == machine {
		delete(t.on, piece)
	}
	quiet := len(t.starts) > 200
	t.mu.Unlock()
	if !quiet {
		t.logf("task %s ends on %s: %s", piece, machine, why)
	}
}

// joinGang notes a task that waits for its gang, and starts all tasks with the last one.
func (t *trial) joinGang(piece string, try uint64, pieces int, start func()) {
	uid, _, _ := strings.Cut(piece, "/")
	key := fmt.Sprint(uid, " ", try)
	t.mu.Lock()
	if t.gangs == nil {
		t.gangs = map[string][]func(){}
	}
	t.gangs[key] = append(t.gangs[key], start)
	starts := t.gangs[key]
	t.mu.Unlock()
	if len(starts) == pieces {
		for _, start := range starts {
			go start()
		}
	}
}

// running counts the tasks of a job that run.
func (t *trial) running(uid string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for piece := range t.on {
		if strings.HasPrefix(piece, uid+"/") {
			n++
		}
	}
	return n
}

func (t *trial) doneTasks(uid string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for piece := range t.done {
		if strings.HasPrefix(piece, uid+"/") {
			n++
		}
	}
	return n
}

// listen serves a handler on a free port of loopback and returns the address.
func (t *trial) listen(handler http.Handler) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.fail("%v", err)
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	t.servers = append(t.servers, server)
	return listener.Addr().String()
}

// node is one controller's machine.
type node struct {
	t          *trial
	name, zone string
	bind, back string
	config     string
	front      string  // where workers, users and the load balancer reach the controller
	gate       *gate   // between the controller and the state service
	links      []*gate // all links of the controller, in a trial with links

	mu        sync.Mutex
	process   *exec.Cmd
	exited    chan struct{}
	startedAt time.Time
	stopping  bool
	peakRSS   float64 // MB, anonymous memory of the present process
	ends      int     // ends that nobody ordered

	health *health
}

// makeNodes makes the controllers' machines and their settings files. It starts nothing.
func (t *trial) makeNodes() {
	cloudAddr := t.listen(t.cloud)
	var ports []string
	for range t.site.zoneOf {
		ports = append(ports, freePort(t), freePort(t))
	}
	for i, zone := range t.site.zoneOf {
		t.nodes = append(t.nodes, &node{t: t, name: fmt.Sprintf("berth-%d", i), zone: zone, bind: ports[2*i], back: ports[2*i+1]})
	}
	for _, n := range t.nodes {
		n.gate = newGate(t, t.listen(t.store.handler(n.name)))
		n.front = n.bind
		if t.links {
			front := newGate(t, n.bind)
			n.front, n.links = front.addr, append(n.links, front, n.gate)
		}
		n.config = filepath.Join(t.dir, n.name, "settings.toml")
		if err := os.MkdirAll(filepath.Dir(n.config), 0o755); err != nil {
			t.fail("%v", err)
		}
		cloudAddr := cloudAddr
		if t.links {
			link := newGate(t, t.listen(t.cloud.handler(n.name)))
			n.links = append(n.links, link)
			cloudAddr = link.addr
		}
		if err := os.WriteFile(n.config, []byte(n.settings(cloudAddr)), 0o644); err != nil {
			t.fail("%v", err)
		}
		n.health = newHealth(n)
		go func() {
			for range time.Tick(20 * time.Millisecond) {
				n.memoryMB()
			}
		}()
	}
}

// freePort returns a free address outside the range from which the system takes the ports of
// connections, so that nothing takes it while a controller is down.
func freePort(t *trial) string {
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))
		if t.ports[addr] {
			continue
		}
		if listener, err := net.Listen("tcp4", addr); err == nil {
			listener.Close()
			t.ports[addr] = true
			return addr
		}
	}
	t.fail("no free port")
	return ""
}

func (n *node) settings(cloudAddr string) string {
	s := n.t.site
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\ndomain = %q\nbind = %q\nback = %q\n", n.name, n.zone, n.bind, n.back)
	for _, other := range n.t.nodes {
		if other != n {
			addr := other.back
			if n.t.links {
				link := newGate(n.t, other.back)
				n.links, other.links = append(n.links, link), append(other.links, link)
				addr = link.addr
			}
			fmt.Fprintf(&b, "\n[[siblings]]\nnode = %q\ndomain = %q\npeer_addr = %q\n", other.name, other.zone, addr)
		}
	}
	zones, _ := json.Marshal(s.zones)
	fmt.Fprintf(&b, "\n[outside]\ncloud = %q\nstate = %q\n", cloudAddr, n.gate.addr)
	fmt.Fprintf(&b, "\n[facts]\nsize = %d\nzones = %s\nclock_off_ms = %.1f\n", len(n.t.nodes), zones, s.clockOffMS)
	for i := range max(1, s.teams) {
		name := s.team
		if s.teams > 0 {
			name = fmt.Sprintf("%s-%02d", s.team, i)
		}
		fmt.Fprintf(&b, "\n[[facts.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", name, s.teamCPUs, s.teamMax)
	}
	fmt.Fprintf(&b, "\n[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f\n", s.reportS, s.leaseS, s.gangWaitS, s.gangPeerS, s.cancelS)
	fmt.Fprintf(&b, "\n[facts.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", s.store.RPS, s.store.WriteRPS, s.store.ValueKB, s.store.TxnOps)
	fmt.Fprintf(&b, "\n[facts.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", s.cloudRPS, s.listLagS)
	fmt.Fprintf(&b, "\n[facts.machine_limits]\ncpu = %.3f\nmemory_mb = %.1f\nmax_connections = %d\n", s.cpu, s.memoryMB, s.sockets)
	return b.String()
}

// start starts the controller with the run command of the deploy file.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	args := append(append([]string{}, n.t.program[1:]...), n.config)
	command := exec.Command(n.t.program[0], args...)
	command.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	// The controller ends with this program, also if this program is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if path := os.Getenv("REVIEW_LOGS"); path != "" {
		file, err := os.OpenFile(filepath.Join(path, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err == nil {
			command.Stderr = file
		}
	}
	if err := spawn(command); err != nil {
		n.t.fail("cannot start %s: %v", n.name, err)
	}
	n.process, n.exited, n.startedAt, n.stopping, n.peakRSS = command, make(chan struct{}), time.Now(), false, 0
	n.t.logf("%s starts, process %d", n.name, command.Process.Pid)
	go func(exited chan struct{}) {
		err := command.Wait()
		n.mu.Lock()
		if !n.stopping {
			n.ends++
			n.t.logf("%s ended by itself: %v", n.name, err)
		}
		n.mu.Unlock()
		close(exited)
	}(n.exited)
}

// spawned passes commands to the one thread that starts processes. The death signal of a process
// is tied to the thread that started it, so that thread must live as long as this program.
var spawned = func() chan func() {
	calls := make(chan func())
	go func() {
		runtime.LockOSThread()
		for call := range calls {
			call()
		}
	}()
	return calls
}()

func spawn(command *exec.Cmd) error {
	result := make(chan error)
	spawned <- func() { result <- command.Start() }
	return <-result
}

// startAndWait starts the controller and waits until it is healthy.
func (n *node) startAndWait(limit time.Duration) {
	probes := n.health.probes()
	n.start()
	if !waitFor(limit, func() bool { return n.health.probes() >= probes+2 && n.health.isHealthy() }) {
		n.t.fail("%s does not come up", n.name)
	}
	n.t.logf("%s is up, it held %.0f MB at most", n.name, n.peak())
}

// peak returns the most memory that the present process has held (MB).
func (n *node) peak() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peakRSS
}

func logLevel() string {
	if level := os.Getenv("LOG_LEVEL"); level != "" {
		return level
	}
	return "info"
}

// kill ends the process without a signal that it could see.
func (n *node) kill(why string) {
	n.mu.Lock()
	if n.process == nil {
		n.mu.Unlock()
		return
	}
	n.stopping = true
	process, exited := n.process, n.exited
	n.process = nil
	n.mu.Unlock()
	n.t.logf("%s is killed: %s", n.name, why)
	process.Process.Signal(syscall.SIGCONT)
	process.Process.Kill()
	<-exited
}

func (n *node) shut() {
	n.mu.Lock()
	running := n.process != nil
	n.mu.Unlock()
	if running {
		n.kill("end of the case")
	}
}

// signal sends a signal to the controller's process.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.process.Process.Signal(sig)
	}
}

// memoryMB reads the anonymous memory that the process holds; pages of the program's file do
// not count.
func (n *node) memoryMB() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
			n.peakRSS = max(n.peakRSS, kb/1024)
			return kb / 1024
		}
	}
	return 0
}

// waitFor waits until a condition holds and reports whether it did.
func waitFor(limit time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return true
}
