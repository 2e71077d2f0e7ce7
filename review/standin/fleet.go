package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment is a small deployment.
type deployment struct {
	zones        []string
	teams        string // TOML
	reportPeriod time.Duration
	lease        time.Duration
	cancelS      float64
	writeRPS     float64
	rps          float64
	types        []machineType
	capacity     map[string]int
	boot         time.Duration
	restartDelay time.Duration
}

type controller struct {
	name, zone, bind, back, settings string
	cmd                              *exec.Cmd
	stop                             bool
}

// job is a job that a user submits.
type job struct {
	id          string
	shape, rank string
	team        string
	pieces      int
	cpus, mem   float64
	zone        string
	builds      []string // nil: any
	image       string
	fetch       time.Duration
	run         time.Duration // 0: until it is stopped
	scatter     bool
	oneZone     bool
	task        string // the task that the case looks at
	acceptedAt  time.Time
}

// fleet is a deployment that runs: controllers as processes, stand-ins for the rest.
type fleet struct {
	deployment
	rec         *record
	dir         string
	root        string
	store       *store
	cloud       *cloud
	controllers []*controller
	workerHTTP  *http.Client
	userHTTP    *http.Client

	mu   sync.Mutex
	jobs map[string]*job
	on   map[string]map[string]int // by task: machines that the task is on
	// doneTasks holds when a task completed.
	doneTasks map[string]time.Time
	// startedTasks counts the starts of each job's tasks.
	startedTasks map[string]int
	// tooLarge counts bodies and lines of the controllers above 64 KiB.
	tooLarge int
	broken   []string
}

// freeAddress returns a free loopback address for a controller. The IP address depends on this
// process, so that scripts that run at the same time choose no address of each other's.
func freeAddress() string {
	pid := os.Getpid()
	for {
		addr := fmt.Sprintf("127.%d.%d.1:%d", 64+pid>>8&63, pid&255, 12000+rand.IntN(18000))
		listener, err := net.Listen("tcp4", addr)
		if err == nil {
			listener.Close()
			return addr
		}
	}
}

func listenHTTP(handler http.HandlerFunc) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	return listener.Addr().String()
}

func newFleet(rec *record, root string, d deployment) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		deployment: d, rec: rec, dir: dir, root: root, jobs: map[string]*job{}, on: map[string]map[string]int{},
		doneTasks: map[string]time.Time{}, startedTasks: map[string]int{},
		workerHTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}},
		userHTTP:   &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 50, DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext}},
	}
	f.store = newStore(rec, d.rps, d.writeRPS)
	f.cloud = &cloud{
		rec: rec, fleet: f, types: d.types, boot: d.boot, latency: 120 * time.Millisecond,
		listLag: 8 * time.Second, capacity: d.capacity, answers: map[string][]string{},
	}
	for i := range 3 {
		f.controllers = append(f.controllers, &controller{
			name: fmt.Sprintf("berth-%d", i), zone: d.zones[i%len(d.zones)], bind: freeAddress(), back: freeAddress(),
		})
	}
	for i, c := range f.controllers {
		storeAddr := listenHTTP(func(w http.ResponseWriter, r *http.Request) { f.store.serve(i, w, r) })
		cloudAddr := listenHTTP(func(w http.ResponseWriter, r *http.Request) { f.cloud.serve(i, w, r) })
		c.settings = filepath.Join(dir, c.name+".toml")
		if err := os.WriteFile(c.settings, []byte(f.settingsText(c, storeAddr, cloudAddr)), 0o600); err != nil {
			return nil, err
		}
	}
	runningFleet.Lock()
	runningFleet.fleet = f
	runningFleet.Unlock()
	return f, nil
}

func (f *fleet) settingsText(c *controller, storeAddr, cloudAddr string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\ndomain = %q\nbind = %q\nback = %q\n", c.name, c.zone, c.bind, c.back)
	for _, other := range f.controllers {
		if other != c {
			fmt.Fprintf(&b, "[[siblings]]\nnode = %q\ndomain = %q\npeer_addr = %q\n", other.name, other.zone, other.back)
		}
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n", cloudAddr, storeAddr)
	fmt.Fprintf(&b, "[facts]\nsize = 3\nzones = [\"%s\"]\nclock_off_ms = 25.0\n%s", strings.Join(f.zones, `", "`), f.teams)
	fmt.Fprintf(&b, "[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 30.0\ngang_peer_s = 8.0\ncancel_s = %.1f\n",
		f.reportPeriod.Seconds(), f.lease.Seconds(), f.cancelS)
	fmt.Fprintf(&b, "[facts.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = 8.0\ntxn_ops = 12\n", f.rps, f.writeRPS)
	fmt.Fprintf(&b, "[facts.cloud]\nrps = 10.0\nlist_lag_s = 8.0\n")
	fmt.Fprintf(&b, "[facts.machine_limits]\ncpu = 0.3\nmemory_mb = 234.0\nmax_connections = 3000\n")
	return b.String()
}

// starts is served by one thread for ever, as a process started with Pdeathsig ends with the
// thread that has started it.
var starts = make(chan func())

// startOnOneThread starts a process that ends with this process.
func startOnOneThread(cmd *exec.Cmd) error {
	result := make(chan error, 1)
	starts <- func() { result <- cmd.Start() }
	return <-result
}

func serveStarts() {
	runtime.LockOSThread()
	for start := range starts {
		start()
	}
}

// run starts a controller's process with the command of the deploy file, and starts it again
// when it has ended.
func (f *fleet) run(c *controller) error {
	text, err := os.ReadFile(filepath.Join(f.root, "deploy/service.toml"))
	if err != nil {
		return err
	}
	var command []string
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "run = \""); ok {
			command = strings.Fields(strings.TrimRight(rest, "\"\n"))
		}
	}
	cmd := exec.Command(filepath.Join(f.root, command[0]), append(command[1:], c.settings)...)
	cmd.Dir = f.root
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	cmd.Stderr = &lineLog{f.rec, c.name}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := startOnOneThread(cmd); err != nil {
		return err
	}
	f.mu.Lock()
	c.cmd = cmd
	f.mu.Unlock()
	f.rec.log("%s: started", c.name)
	go func() {
		err := cmd.Wait()
		f.rec.log("%s: ended: %v", c.name, err)
		time.Sleep(f.restartDelay)
		f.mu.Lock()
		stop := c.stop
		f.mu.Unlock()
		if !stop {
			f.run(c)
		}
	}()
	return nil
}

func (f *fleet) startAll() error {
	for _, c := range f.controllers {
		if err := f.run(c); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes.
func (f *fleet) close() {
	f.mu.Lock()
	for _, c := range f.controllers {
		c.stop = true
		if c.cmd != nil {
			c.cmd.Process.Kill()
		}
	}
	f.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	os.RemoveAll(f.dir)
}

type lineLog struct {
	rec  *record
	name string
}

func (l *lineLog) Write(p []byte) (int, error) {
	for line := range strings.Lines(string(p)) {
		l.rec.log("log %s: %s", l.name, strings.TrimRight(line, "\n"))
	}
	return len(p), nil
}

func (f *fleet) controllerIndex(name string) int {
	for i, c := range f.controllers {
		if c.name == name {
			return i
		}
	}
	return -1
}

func (f *fleet) job(piece string) *job {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobs[taskJob(piece)]
}

func (f *fleet) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.broken = append(f.broken, text)
	f.rec.log("BROKEN: %s", text)
}

// started records that a task is on a machine.
func (f *fleet) started(w *worker, t *workerTask) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rec.log("%s: runs %s attempt %d", w.name, t.Piece, t.Try)
	if f.on[t.Piece] == nil {
		f.on[t.Piece] = map[string]int{}
	}
	f.on[t.Piece][w.name]++
	f.startedTasks[taskJob(t.Piece)]++
	if len(f.on[t.Piece]) > 1 {
		f.breaks("ran_twice: %s is on %v", t.Piece, f.on[t.Piece])
	}
}

func (f *fleet) ended(w *worker, t *workerTask, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rec.log("%s: ends %s attempt %d: %s", w.name, t.Piece, t.Try, how)
	delete(f.on[t.Piece], w.name)
	if how == "done" {
		f.doneTasks[t.Piece] = time.Now()
	}
}

// isDone reports whether a task has completed.
func (f *fleet) isDone(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.doneTasks[task]
	return ok
}

// exceeded records a body or line of a controller above 64 KiB.
func (f *fleet) exceeded() {
	f.mu.Lock()
	f.tooLarge++
	f.mu.Unlock()
}

// call sends a user's request to a controller.
func (f *fleet) call(c *controller, method, path string, body []byte, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.bind+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	response, err := f.userHTTP.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// waitHealthy waits until all controllers are healthy.
func (f *fleet) waitHealthy(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		healthy := 0
		for _, c := range f.controllers {
			if status, _ := f.call(c, "GET", "/healthz", nil, time.Second); status == 200 {
				healthy++
			}
		}
		if healthy == len(f.controllers) {
			f.rec.log("all controllers are healthy")
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

func (j *job) submission() []byte {
	var zone any
	if j.zone != "" {
		zone = j.zone
	}
	var builds any
	if j.builds != nil {
		builds = j.builds
	}
	data, err := json.Marshal(map[string]any{
		"uid": j.id, "lane": "formula-sweep", "crew": j.team, "shape": j.shape, "rank": j.rank, "pieces": j.pieces,
		"cpus": j.cpus, "cards": 0.0, "mem_gb": j.mem, "kit": j.image, "pull_gb": 0.1, "builds": builds, "yard": zone,
		"one_zone": j.oneZone, "scatter": j.scatter, "loaners": false, "guess_s": j.run.Seconds(), "mark_every_s": 0.0, "stow_s": 0.0, "due_s": nil,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// submit submits a job until a controller has accepted it, for up to 60 s.
func (f *fleet) submit(j *job) bool {
	f.mu.Lock()
	f.jobs[j.id] = j
	f.mu.Unlock()
	end := time.Now().Add(60 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		status, body := f.call(f.controllers[i%len(f.controllers)], "POST", "/v2/runs", j.submission(), 5*time.Second)
		f.rec.log("user: submits %s (%d tasks of %g CPUs) -> %d %s", j.id, j.pieces, j.cpus, status, body)
		if status == 200 || status == 201 {
			j.acceptedAt = time.Now()
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// poll asks for a job's state at one controller after the other.
func (f *fleet) poll(j *job) string {
	for _, c := range f.controllers {
		status, body := f.call(c, "GET", "/v2/runs/"+j.id, nil, 2*time.Second)
		f.rec.log("user: asks %s for %s -> %d %s", c.name, j.id, status, body)
		var state struct {
			Status string `json:"status"`
		}
		if status == 200 && json.Unmarshal([]byte(body), &state) == nil {
			return state.Status
		}
	}
	return ""
}

// machineOf returns the worker that a task runs on, or nil.
func (f *fleet) machineOf(piece string) *worker {
	f.mu.Lock()
	var name string
	for machine := range f.on[piece] {
		name = machine
	}
	f.mu.Unlock()
	if name == "" {
		return nil
	}
	f.cloud.mu.Lock()
	defer f.cloud.mu.Unlock()
	if m := f.cloud.find(name); m != nil {
		return m.worker
	}
	return nil
}
