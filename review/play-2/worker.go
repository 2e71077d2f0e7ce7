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
	"strings"
	"sync"
	"time"
)

// worker is the worker of one machine, as PROTOCOL describes it.
type worker struct {
	t    *trial
	m    *machine
	kind machineKind
	addr string
	srv  *http.Server
	http *http.Client

	mu       sync.Mutex
	shift    uint64
	tally    uint64
	baton    uint64
	tasks    []*workerTask
	images   map[string]bool
	answered time.Time // when the last answered report was sent
	lastSent time.Time
	changed  chan struct{}
	done     chan struct{}
	ended    bool
	node     int
	owner    string // the controller that answered the last report
}

type workerTask struct {
	piece, status, cause string
	try                  uint64
	job                  *jobSpec
	timer                *time.Timer
}

type command struct {
	Verb, Piece string
	Try         uint64
}

func newWorker(t *trial, m *machine, kind machineKind) *worker {
	w := &worker{
		t: t, m: m, kind: kind, shift: 1, answered: time.Now(), images: map[string]bool{},
		changed: make(chan struct{}, 1), done: make(chan struct{}), node: rand.IntN(len(t.nodes)),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 4 * time.Second},
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.fail("worker cannot listen: %v", err)
	}
	w.addr = listener.Addr().String()
	w.srv = &http.Server{Handler: w}
	go w.srv.Serve(listener)
	return w
}

func (w *worker) stop() {
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return
	}
	w.ended = true
	w.killAll("machine gone")
	w.mu.Unlock()
	close(w.done)
	w.srv.Close()
	w.http.CloseIdleConnections()
}

// killAll ends all tasks; the caller holds the lock.
func (w *worker) killAll(why string) {
	for _, task := range w.tasks {
		if task.timer != nil {
			task.timer.Stop()
		}
		if task.status != "exited" {
			w.t.taskOff(task.piece, w.m.name, why)
		}
	}
	w.tasks = nil
}

func (w *worker) touch() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// report returns the worker's report; the caller holds the lock.
func (w *worker) report() []byte {
	w.tally++
	pieces := []map[string]any{}
	for _, task := range w.tasks {
		entry := map[string]any{"piece": task.piece, "try": task.try, "status": task.status}
		if task.status == "exited" {
			entry["cause"] = task.cause
		}
		pieces = append(pieces, entry)
	}
	data, err := json.Marshal(map[string]any{
		"host": w.m.name, "addr": w.addr, "build": w.kind.Name, "yard": w.m.zone, "loaners": w.m.spot,
		"shift": w.shift, "tally": w.tally, "baton": w.baton, "warning_s": nil, "pieces": pieces,
	})
	if err != nil {
		panic(err)
	}
	return data
}

func (w *worker) run() {
	period := time.Duration(w.t.site.reportS * float64(time.Second))
	for {
		wait := time.Duration(float64(period) * (0.75 + rand.Float64()/2))
		select {
		case <-w.done:
			return
		case <-time.After(wait):
		case <-w.changed:
			if early := time.Until(w.lastSent.Add(500 * time.Millisecond)); early > 0 {
				time.Sleep(early)
			}
		}
		pause := w.beat()
		w.checkLease()
		for pause > 0 {
			time.Sleep(pause)
			select {
			case <-w.done:
				return
			default:
			}
			pause = w.beat()
			w.checkLease()
		}
	}
}

func (w *worker) checkLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.answered) > time.Duration(w.t.site.leaseS*float64(time.Second)) {
		if len(w.tasks) > 0 {
			w.t.logf("lease of %s ran out, %d tasks end", w.m.name, len(w.tasks))
		}
		w.killAll("lease ran out")
		w.shift++
		w.answered = time.Now()
	}
}

// beat sends a report. It returns after which time the next one is due, if that is sooner than
// usual.
func (w *worker) beat() time.Duration {
	w.mu.Lock()
	body := w.report()
	shift := w.shift
	sentAt := time.Now()
	w.lastSent = sentAt
	node := w.t.nodes[w.node%len(w.t.nodes)]
	w.mu.Unlock()
	response, err := w.http.Post("http://"+node.front+"/agent/beat", "application/json", bytes.NewReader(body))
	if err != nil {
		w.node++
		return time.Second
	}
	data, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err != nil || response.StatusCode != 200 && response.StatusCode != 421 {
		w.node++
		return time.Second
	}
	if response.StatusCode == 421 {
		var redirect struct{ Foreman string }
		json.Unmarshal(data, &redirect)
		for i, other := range w.t.nodes {
			if other.name == redirect.Foreman && other != node {
				w.node = i
				return 100 * time.Millisecond
			}
		}
		w.node++
		return time.Second
	}
	var answer struct {
		Baton  uint64
		Orders []command
	}
	if json.Unmarshal(data, &answer) != nil {
		w.node++
		return time.Second
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || answer.Baton < w.baton || shift != w.shift || time.Since(sentAt) > 4*time.Second {
		return 0
	}
	if answer.Baton > w.baton {
		w.touch()
	}
	if w.owner != node.name {
		w.owner = node.name
		w.t.logf("machine %s is answered by %s, token %d", w.m.name, node.name, answer.Baton)
	}
	w.baton = answer.Baton
	w.answered = sentAt
	w.carryOut(answer.Orders)
	return 0
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, bodyBytes))
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.URL.Path == "/show" {
		replyBytes(rw, 200, w.report())
		return
	}
	var request struct {
		Baton  *uint64
		Shift  *uint64
		Orders []command
	}
	if json.Unmarshal(body, &request) != nil || request.Baton == nil || request.Shift == nil {
		reply(rw, 400, map[string]any{"error": "malformed"})
		return
	}
	if *request.Baton < w.baton || *request.Shift != w.shift {
		replyBytes(rw, 409, w.report())
		return
	}
	if *request.Baton > w.baton {
		w.touch()
	}
	w.baton = *request.Baton
	w.carryOut(request.Orders)
	replyBytes(rw, 200, w.report())
}

// carryOut executes commands; the caller holds the lock.
func (w *worker) carryOut(commands []command) {
	for _, c := range commands {
		var task *workerTask
		for _, t := range w.tasks {
			if t.piece == c.Piece && t.try == c.Try {
				task = t
			}
		}
		switch c.Verb {
		case "run":
			if task == nil {
				w.start(c)
			}
		case "stop":
			if task != nil && task.status != "exited" {
				w.exit(task, "halted")
			}
		case "clear":
			if task != nil && task.status == "exited" {
				for i, t := range w.tasks {
					if t == task {
						w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
						break
					}
				}
				w.touch()
			}
		}
	}
}

func (w *worker) start(c command) {
	uid, _, _ := strings.Cut(c.Piece, "/")
	task := &workerTask{piece: c.Piece, try: c.Try, status: "pulling", job: w.t.job(uid)}
	refuse := func(cause string) {
		task.status, task.cause = "exited", cause
	}
	w.tasks = append(w.tasks, task)
	w.touch()
	if task.job == nil {
		refuse("unknown")
		return
	}
	cpus, memory := task.job.CPUs, task.job.MemGB
	for _, other := range w.tasks {
		if other != task && other.status != "exited" {
			if other.piece == c.Piece {
				refuse("busy")
				return
			}
			cpus += other.job.CPUs
			memory += other.job.MemGB
		}
	}
	if cpus > w.kind.CPUs+1e-9 || memory > w.kind.MemoryGB+1e-9 {
		refuse("full")
		return
	}
	fetch := time.Millisecond
	if !w.images[task.job.Kit] {
		fetch = time.Duration(task.job.PullGB / w.kind.FetchGBPerS * float64(time.Second))
	}
	task.timer = time.AfterFunc(fetch, func() { w.begin(task) })
}

func (w *worker) begin(task *workerTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || task.status != "pulling" {
		return
	}
	w.images[task.job.Kit] = true
	if task.job.Shape == "ensemble" {
		w.join(task)
		return
	}
	task.status = "running"
	w.t.taskOn(task.piece, w.m.name, w.m.zone)
	w.touch()
	if task.job.Shape != "sweep" {
		return
	}
	run := time.Duration(task.job.runS * float64(time.Second))
	if w.t.isDone(task.piece) {
		run = 0
	}
	task.timer = time.AfterFunc(run, func() {
		for task.job.mayEnd != nil && !task.job.mayEnd() {
			time.Sleep(50 * time.Millisecond)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.ended && task.status == "running" {
			w.t.setDone(task.piece)
			w.exit(task, "done")
		}
	})
}

// join lets a task wait for its gang; the caller holds the lock. The gang starts when its last task
// waits, and its tasks complete together.
func (w *worker) join(task *workerTask) {
	task.status = "waiting"
	w.touch()
	w.t.taskOn(task.piece, w.m.name, w.m.zone)
	limit := time.Duration(w.t.site.gangWaitS * float64(time.Second))
	task.timer = time.AfterFunc(limit, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.ended && task.status == "waiting" {
			w.exit(task, "alone")
		}
	})
	run := time.Duration(task.job.runS * float64(time.Second))
	w.t.joinGang(task.piece, task.try, task.job.Pieces, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.ended || task.status != "waiting" {
			return
		}
		task.timer.Stop()
		task.status = "running"
		w.touch()
		task.timer = time.AfterFunc(run, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.ended && task.status == "running" {
				w.t.setDone(task.piece)
				w.exit(task, "done")
			}
		})
	})
}

// exit ends a task; the caller holds the lock.
func (w *worker) exit(task *workerTask, cause string) {
	if task.timer != nil {
		task.timer.Stop()
	}
	if task.status == "running" || task.status == "waiting" {
		w.t.taskOff(task.piece, w.m.name, cause)
	}
	task.status, task.cause = "exited", cause
	w.touch()
}

// ask sends one request and returns the status and the body; status 0 stands for no response.
func ask(client *http.Client, timeout time.Duration, method, url string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		panic(fmt.Sprint(err))
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}
