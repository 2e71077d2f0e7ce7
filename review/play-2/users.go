package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// health is the load balancer's view of one controller.
type health struct {
	n        *node
	mu       sync.Mutex
	healthy  bool
	ever     bool
	last     []bool
	removals int
	since    time.Time // of the last removal
	okProbes int       // probes answered with 200
}

func newHealth(n *node) *health {
	h := &health{n: n}
	go func() {
		client := &http.Client{}
		for range time.Tick(time.Second) {
			status, _ := ask(client, time.Second, "GET", "http://"+n.front+"/healthz", nil)
			h.note(status == 200)
		}
	}()
	return h
}

// note applies the result of a probe as PROTOCOL says.
func (h *health) note(ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last = append(h.last, ok)
	if len(h.last) > 6 {
		h.last = h.last[1:]
	}
	if ok {
		h.okProbes++
	}
	before := h.healthy
	count := len(h.last)
	if h.healthy {
		failures := 0
		for _, result := range h.last {
			if !result {
				failures++
			}
		}
		if failures >= 3 || count >= 2 && !h.last[count-1] && !h.last[count-2] {
			h.healthy = false
			h.removals++
			h.since = time.Now()
			h.last = nil
		}
	} else {
		pause := 3 * time.Second << min(max(h.removals-1, 0), 4)
		twice := count >= 2 && h.last[count-1] && h.last[count-2]
		if ok && !h.ever || twice && time.Since(h.since) >= min(pause, time.Minute) {
			h.healthy, h.ever = true, true
			h.last = nil
		}
	}
	if before != h.healthy {
		h.n.t.logf("load balancer: %s healthy: %t", h.n.name, h.healthy)
	}
}

func (h *health) isHealthy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.healthy
}

// probes returns how many probes were answered with 200.
func (h *health) probes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.okProbes
}

func (t *trial) healthyNodes() []*node {
	var out []*node
	for _, n := range t.nodes {
		if n.health.isHealthy() {
			out = append(out, n)
		}
	}
	return out
}

var userClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// request sends a user's request through the load balancer: a new connection to a healthy node,
// and up to two more healthy nodes if a connection fails. Status 0: no response.
func (t *trial) request(timeout time.Duration, method, path string, body []byte) (status int, data []byte, to string) {
	nodes := t.healthyNodes()
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	for _, n := range nodes[:min(3, len(nodes))] {
		status, data := ask(userClient, timeout, method, "http://"+n.front+path, body)
		if status != 0 {
			return status, data, n.name
		}
	}
	return 0, nil, "none"
}

// submit submits a job as users do: again after 1 s, for up to 60 s. It reports whether the job
// was accepted.
func (t *trial) submit(job *jobSpec) bool {
	t.mu.Lock()
	t.jobs[job.UID] = job
	t.mu.Unlock()
	body, err := json.Marshal(job)
	if err != nil {
		t.fail("%v", err)
	}
	began := time.Now()
	var last int
	for tries := 1; time.Since(began) < time.Minute; tries++ {
		status, data, to := t.request(5*time.Second, "POST", "/v2/runs", body)
		if status != last || status == 200 || status == 201 {
			t.logf("submit %s to %s: %d %.100s", job.UID, to, status, data)
		}
		last = status
		if status == 200 || status == 201 {
			return true
		}
		if status == 400 || status == 422 {
			return false
		}
		time.Sleep(time.Second)
	}
	t.logf("submit %s: given up after 60 s", job.UID)
	return false
}

// poll asks for a job once.
func (t *trial) poll(uid string) (status int, state string) {
	status, data, to := t.request(2*time.Second, "GET", "/v2/runs/"+uid, nil)
	var answer struct{ Status string }
	json.Unmarshal(data, &answer)
	t.logf("poll %s at %s: %d %.120s", uid, to, status, data)
	return status, answer.Status
}
