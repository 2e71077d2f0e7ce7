package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const maxBody = 64 << 10

type workerTask struct {
	Piece  string `json:"piece"`
	Try    uint64 `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause,omitempty"`

	cpus, mem float64
	next      time.Time // when the task goes on to its next state
	runFor    time.Duration
}

// worker is a stand-in of one machine's worker.
type worker struct {
	fleet       *fleet
	name, addr  string
	zone        string
	machineType machineType
	listener    net.Listener
	server      *http.Server

	mu         sync.Mutex
	up, gone   bool
	shift      uint64
	tally      uint64
	baton      uint64
	tasks      []*workerTask
	images     map[string]bool
	answeredAt time.Time // when the last answered report was sent, or the session began
	node       int
	hung       chan struct{} // not nil once the machine has stopped
	changed    chan struct{}

	held chan struct{} // not nil while the network holds back what the machine sends; closed at the end
}

func newWorker(f *fleet, name string, t machineType, zone string) *worker {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w := &worker{
		fleet: f, name: name, addr: listener.Addr().String(), machineType: t, zone: zone, listener: listener,
		images: map[string]bool{}, changed: make(chan struct{}, 1), shift: 1, node: rand.IntN(len(f.controllers)),
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	return w
}

func (w *worker) start() {
	w.mu.Lock()
	if w.gone {
		w.mu.Unlock()
		return
	}
	w.up = true
	w.answeredAt = time.Now()
	w.mu.Unlock()
	w.fleet.rec.log("%s: up in %s at %s", w.name, w.zone, w.addr)
	go w.server.Serve(w.listener)
	go w.run()
	go w.reports()
}

// destroy removes the machine and all that is on it. Answers that it has sent are on their
// way.
func (w *worker) destroy() {
	w.mu.Lock()
	for _, t := range w.tasks {
		if t.Status != "exited" {
			w.fleet.ended(w, t, "gone")
		}
	}
	w.gone = true
	w.tasks = nil
	w.mu.Unlock()
	w.listener.Close()
}

// stopForGood stops the machine with all that is on it. It is silent from then on.
func (w *worker) stopForGood() {
	w.fleet.rec.log("%s: stops with all that is on it", w.name)
	w.mu.Lock()
	for _, t := range w.tasks {
		if t.Status != "exited" {
			w.fleet.ended(w, t, "stopped")
		}
	}
	w.tasks = nil
	w.hung = make(chan struct{})
	w.mu.Unlock()
	w.fleet.cloud.mu.Lock()
	if m := w.fleet.cloud.find(w.name); m != nil {
		m.stoppedAt = time.Now()
	}
	w.fleet.cloud.mu.Unlock()
}

func (w *worker) waitIfStopped() {
	for {
		w.mu.Lock()
		hung := w.hung
		w.mu.Unlock()
		if hung == nil {
			return
		}
		<-hung
	}
}

// expire ends the session if the lease has run out.
func (w *worker) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone || time.Since(w.answeredAt) <= w.fleet.lease {
		return
	}
	for _, t := range w.tasks {
		if t.Status != "exited" {
			w.fleet.ended(w, t, "killed")
		}
	}
	w.tasks = nil
	w.shift++
	w.answeredAt = time.Now()
	w.fleet.rec.log("%s: lease ended, session %d", w.name, w.shift)
	w.note()
}

func (w *worker) note() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// hold makes the network hold back what the machine sends, until release is called.
func (w *worker) hold() {
	w.mu.Lock()
	w.held = make(chan struct{})
	w.mu.Unlock()
	w.fleet.rec.log("%s: the network holds back what the machine sends", w.name)
}

func (w *worker) release() {
	w.mu.Lock()
	held := w.held
	w.held = nil
	w.mu.Unlock()
	if held != nil {
		w.fleet.rec.log("%s: the network delivers what it held back", w.name)
		close(held)
	}
}

// waitWhileHeld waits until the network delivers, and reports whether it held anything back.
func (w *worker) waitWhileHeld() bool {
	w.mu.Lock()
	held := w.held
	w.mu.Unlock()
	if held == nil {
		return false
	}
	<-held
	return true
}

// run carries out the tasks.
func (w *worker) run() {
	for {
		time.Sleep(20 * time.Millisecond)
		w.waitIfStopped()
		w.expire()
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		for _, t := range w.tasks {
			if t.Status == "exited" || now.Before(t.next) {
				continue
			}
			switch t.Status {
			case "pulling":
				w.images[w.fleet.job(t.Piece).image] = true
				t.Status = "running"
				t.next = now.Add(t.runFor)
				w.fleet.started(w, t)
			case "running":
				if t.runFor > 0 {
					t.Status, t.Cause = "exited", "done"
					w.fleet.ended(w, t, "done")
				}
			}
			w.note()
		}
		w.mu.Unlock()
	}
}

// report returns the worker's report. The caller holds the lock.
func (w *worker) report() []byte {
	w.tally++
	pieces := w.tasks
	if pieces == nil {
		pieces = []*workerTask{}
	}
	data, err := json.Marshal(map[string]any{
		"host": w.name, "addr": w.addr, "build": w.machineType.name, "yard": w.zone, "loaners": false,
		"shift": w.shift, "tally": w.tally, "baton": w.baton, "warning_s": nil, "pieces": pieces,
	})
	if err != nil {
		panic(err)
	}
	return data
}

type order struct {
	Verb  string `json:"verb"`
	Piece string `json:"piece"`
	Try   uint64 `json:"try"`
}

// carryOut carries out commands in order. The caller holds the lock.
func (w *worker) carryOut(orders []order) {
	for _, o := range orders {
		index := -1
		for i, t := range w.tasks {
			if t.Piece == o.Piece && t.Try == o.Try {
				index = i
			}
		}
		switch {
		case o.Verb == "run" && index < 0:
			w.tasks = append(w.tasks, w.begin(o))
		case o.Verb == "stop" && index >= 0 && w.tasks[index].Status != "exited":
			w.tasks[index].Status, w.tasks[index].Cause = "exited", "halted"
			w.fleet.ended(w, w.tasks[index], "halted")
		case o.Verb == "clear" && index >= 0 && w.tasks[index].Status == "exited":
			w.tasks = append(w.tasks[:index], w.tasks[index+1:]...)
		default:
			continue
		}
		w.note()
	}
}

// begin starts an attempt, or refuses it.
func (w *worker) begin(o order) *workerTask {
	t := &workerTask{Piece: o.Piece, Try: o.Try, Status: "pulling"}
	j := w.fleet.job(o.Piece)
	if j == nil {
		t.Status, t.Cause = "exited", "unknown"
		return t
	}
	usedCPUs, usedMem := 0.0, 0.0
	for _, other := range w.tasks {
		if other.Status != "exited" {
			usedCPUs += other.cpus
			usedMem += other.mem
			if other.Piece == o.Piece {
				t.Status, t.Cause = "exited", "busy"
				return t
			}
		}
	}
	t.cpus, t.mem, t.runFor = j.cpus, j.mem, j.run
	if usedCPUs+t.cpus > w.machineType.cpus+1e-9 || usedMem+t.mem > w.machineType.mem+1e-9 {
		t.Status, t.Cause = "exited", "full"
		return t
	}
	t.next = time.Now()
	if !w.images[j.image] {
		t.next = t.next.Add(j.fetch)
	}
	return t
}

// serve answers direct commands.
func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil {
		return
	}
	if len(body) > maxBody {
		w.fleet.exceeded()
		w.fleet.rec.log("%s: request body above 64 KiB refused (Content-Length %d)", w.name, r.ContentLength)
		out.Header().Set("Connection", "close")
		problem(out, 400, "body above 64 KiB")
		return
	}
	w.waitIfStopped()
	w.mu.Lock()
	if w.gone {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/show" {
		data := w.report()
		w.mu.Unlock()
		out.Write(data)
		return
	}
	var request struct {
		Baton  *uint64 `json:"baton"`
		Shift  *uint64 `json:"shift"`
		Orders []order `json:"orders"`
	}
	if json.Unmarshal(body, &request) != nil || request.Baton == nil || request.Shift == nil {
		w.mu.Unlock()
		problem(out, 400, "malformed")
		return
	}
	status := 200
	if *request.Baton < w.baton || *request.Shift != w.shift {
		status = 409
	} else {
		if *request.Baton > w.baton {
			w.baton = *request.Baton
			w.note()
		}
		w.carryOut(request.Orders)
	}
	data := w.report()
	w.mu.Unlock()
	w.fleet.rec.log("%s: direct command, token %d, %d orders: %.200s -> %d", w.name, *request.Baton, len(request.Orders), brief(request.Orders), status)
	if w.waitWhileHeld() {
		w.fleet.rec.log("%s: an answer that was held back goes on its way: %.200s", w.name, data)
	}
	out.Header().Set("Content-Length", strconv.Itoa(len(data)))
	out.WriteHeader(status)
	out.Write(data)
}

func brief(orders []order) string {
	data, _ := json.Marshal(orders)
	return string(data)
}

// reports sends the reports.
func (w *worker) reports() {
	period := w.fleet.reportPeriod
	redirected := false
	var lastSent time.Time
	for {
		if !redirected {
			next := lastSent.Add(time.Duration(float64(period) * (0.75 + 0.5*rand.Float64())))
			timer := time.NewTimer(time.Until(next))
			select {
			case <-timer.C:
			case <-w.changed:
				timer.Stop()
			}
		}
		redirected = false
		w.waitIfStopped()
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		sentAt := time.Now()
		lastSent = sentAt
		status, next := w.sendReport()
		switch {
		case status == 200:
		case status == 421 && next >= 0 && next != w.node:
			w.node = next
			redirected = true
		default:
			time.Sleep(time.Second)
			w.node = (w.node + 1) % len(w.fleet.controllers)
			redirected = true
		}
		if wait := 500*time.Millisecond - time.Since(sentAt); wait > 0 && !redirected {
			time.Sleep(wait)
		}
	}
}

// sendReport sends one report and handles its answer.
func (w *worker) sendReport() (status, next int) {
	w.mu.Lock()
	data := w.report()
	session := w.shift
	tasks := len(w.tasks)
	w.mu.Unlock()
	if len(data) > maxBody {
		w.fleet.rec.log("%s: the report with %d tasks has %d bytes, above 64 KiB", w.name, tasks, len(data))
	}
	if w.waitWhileHeld() {
		w.fleet.rec.log("%s: a report that was held back goes on its way: %.200s", w.name, data)
	}
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+w.fleet.controllers[w.node].bind+"/agent/beat", bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	response, err := w.fleet.workerHTTP.Do(request)
	if err != nil {
		return 0, -1
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, -1
	}
	w.waitIfStopped()
	if time.Since(sentAt) > 4*time.Second {
		return 0, -1
	}
	if response.StatusCode != 200 {
		if response.StatusCode != 421 && response.StatusCode != 503 {
			w.fleet.rec.log("%s: report of %d bytes -> %d %.100s", w.name, len(data), response.StatusCode, body)
		}
		var redirect struct {
			Foreman string `json:"foreman"`
		}
		json.Unmarshal(body, &redirect)
		return response.StatusCode, w.fleet.controllerIndex(redirect.Foreman)
	}
	if len(body) > maxBody {
		w.fleet.exceeded()
		w.fleet.rec.log("%s: a line of %d bytes in the answer to a report, above 64 KiB", w.name, len(body))
		return 0, -1
	}
	var answer struct {
		Baton  uint64  `json:"baton"`
		Orders []order `json:"orders"`
	}
	if json.Unmarshal(body, &answer) != nil {
		return 0, -1
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone || w.shift != session || answer.Baton < w.baton {
		return 200, -1
	}
	w.answeredAt = sentAt
	if answer.Baton > w.baton {
		w.baton = answer.Baton
		w.note()
	}
	if len(answer.Orders) > 0 {
		w.fleet.rec.log("%s: answer of controller %d, token %d, %d orders: %.200s", w.name, w.node, answer.Baton, len(answer.Orders), brief(answer.Orders))
	}
	w.carryOut(answer.Orders)
	return 200, -1
}

// taskJob returns the id of the job of a task.
func taskJob(piece string) string {
	id, _, _ := strings.Cut(piece, "/")
	return id
}
