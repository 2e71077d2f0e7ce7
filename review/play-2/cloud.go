package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// machineKind is a machine type of the cloud.
type machineKind struct {
	Name                 string
	CPUs, MemoryGB       float64
	Price, SpotPrice     float64
	CacheGB, FetchGBPerS float64
	BootS                float64
}

// cloud rents machines and runs their workers.
type cloud struct {
	t        *trial
	kind     machineKind
	zones    []string
	capacity int // machines in each zone
	// limits: in place of capacity, the ordinary and the cheap machines of each zone.
	limits [2]int
	boot   time.Duration
	// bootSpread: the least and the longest time to boot, in place of boot.
	bootSpread [2]time.Duration
	earlyEvery int // every so many machines one is up within two seconds; 0: none
	lag        time.Duration
	requests   bucket

	mu       sync.Mutex
	seq      int
	answers  map[string][]string // by requisition
	machines map[string]*machine
	listed   map[string]time.Time // by caller: when it last asked for the list of machines
	stale    []string             // returns by a controller that was replaced, of machines in use
}

type machine struct {
	name, addr, zone string
	spot             bool
	rentedAt         time.Time
	worker           *worker
	up               bool
}

func newCloud(t *trial, kind machineKind, zones []string, capacity int, boot time.Duration) *cloud {
	return &cloud{
		t: t, kind: kind, zones: zones, capacity: capacity, boot: boot,
		lag: time.Duration(t.site.listLagS * float64(time.Second)), requests: bucket{rate: t.site.cloudRPS},
		answers: map[string][]string{}, listed: map[string]time.Time{}, machines: map[string]*machine{},
	}
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.serve(w, r, "") }

// handler serves one caller, whose returns of machines are checked.
func (c *cloud) handler(caller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(w, r, caller) })
}

func (c *cloud) serve(w http.ResponseWriter, r *http.Request, caller string) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, bodyBytes))
	c.mu.Lock()
	allowed := c.requests.take(time.Now(), 1)
	c.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	if !allowed {
		reply(w, 429, map[string]any{"error": "too many requests"})
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /flavors":
		k := c.kind
		reply(w, 200, map[string]any{"builds": []map[string]any{{
			"sku": k.Name, "cpus": k.CPUs, "cards": 0.0, "mem_gb": k.MemoryGB, "cache_gb": k.CacheGB,
			"fetch_gb_per_s": k.FetchGBPerS, "hourly": k.Price, "spot_price": k.SpotPrice, "ready_s": k.BootS, "yards": c.zones,
		}}})
	case "POST /machines":
		c.rent(w, body)
	case "POST /machines/return":
		var request struct{ Hosts []string }
		if json.Unmarshal(body, &request) != nil || len(request.Hosts) > 100 {
			reply(w, 400, map[string]any{"error": "malformed"})
			return
		}
		for _, name := range request.Hosts {
			if caller != "" {
				c.noteReturn(caller, name)
			}
			c.end(name)
		}
		reply(w, 200, map[string]any{})
	case "GET /machines":
		c.mu.Lock()
		c.listed[caller] = time.Now()
		c.mu.Unlock()
		c.list(w, r)
	default:
		reply(w, 400, map[string]any{"error": "malformed"})
	}
}

// noteReturn notes a controller's request to return a machine, and what ran there.
func (c *cloud) noteReturn(caller, name string) {
	c.mu.Lock()
	m := c.machines[name]
	c.mu.Unlock()
	if m == nil || m.worker == nil {
		return
	}
	m.worker.mu.Lock()
	owner := m.worker.owner
	tasks := []string{}
	for _, task := range m.worker.tasks {
		if task.status != "exited" {
			tasks = append(tasks, task.piece)
		}
	}
	m.worker.mu.Unlock()
	c.t.logf("%s returns machine %s, which %s commands; on it: %v", caller, name, owner, tasks)
	if owner != caller && len(tasks) > 0 {
		c.mu.Lock()
		c.stale = append(c.stale, fmt.Sprintf("%s returned %s, on which %s has started %v", caller, name, owner, tasks))
		c.mu.Unlock()
	}
}

func (c *cloud) rent(w http.ResponseWriter, body []byte) {
	var request struct {
		Requisition, Build, Yard string
		Loaners                  bool
		Number                   int
	}
	if json.Unmarshal(body, &request) != nil || request.Number < 1 || request.Number > 50 || request.Build != c.kind.Name {
		reply(w, 400, map[string]any{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, ok := c.answers[request.Requisition]; ok {
		reply(w, 200, map[string]any{"hosts": names})
		return
	}
	used := 0
	for _, m := range c.machines {
		if m.zone == request.Yard {
			used++
		}
	}
	n := min(request.Number, c.capacity-used)
	if c.limits != [2]int{} {
		of := map[bool]int{}
		for _, m := range c.machines {
			if m.zone == request.Yard {
				of[m.spot]++
			}
		}
		n = min(request.Number, c.limits[0]-of[false])
		if request.Loaners {
			n = min(request.Number, c.limits[1]-of[true])
		}
	}
	if n <= 0 {
		reply(w, 503, map[string]any{"error": "no capacity"})
		return
	}
	names := []string{}
	for range n {
		c.seq++
		m := &machine{name: fmt.Sprintf("m-%06d", c.seq), zone: request.Yard, spot: request.Loaners, rentedAt: time.Now()}
		c.machines[m.name] = m
		names = append(names, m.name)
		// The machines of one request are up one after the other.
		boot := c.boot + time.Duration(c.seq%20)*c.boot/40
		if least, most := c.bootSpread[0], c.bootSpread[1]; most > 0 {
			boot = least + rand.N(most-least)
			if c.earlyEvery > 0 && c.seq%c.earlyEvery == 0 {
				boot = time.Second + rand.N(time.Second)
			}
		}
		time.AfterFunc(boot, func() { c.start(m) })
	}
	c.answers[request.Requisition] = names
	c.t.logf("cloud rents %d machines in %s, cheap: %t", n, request.Yard, request.Loaners)
	reply(w, 200, map[string]any{"hosts": names})
}

func (c *cloud) start(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machines[m.name] == nil {
		return
	}
	m.worker = newWorker(c.t, m, c.kind)
	m.addr = m.worker.addr
	m.up = true
	go m.worker.run()
}

// end ends a machine and all that is on it.
func (c *cloud) end(name string) {
	c.mu.Lock()
	m := c.machines[name]
	delete(c.machines, name)
	c.mu.Unlock()
	if m != nil && m.worker != nil {
		m.worker.stop()
	}
	if m != nil {
		c.t.logf("machine %s is returned", name)
	}
}

// sinceList returns how long ago a controller asked for the list of machines.
func (c *cloud) sinceList(caller string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.listed[caller])
}

func (c *cloud) stop() {
	c.mu.Lock()
	names := []string{}
	for name := range c.machines {
		names = append(names, name)
	}
	c.mu.Unlock()
	for _, name := range names {
		c.end(name)
	}
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	from := r.URL.Query().Get("from")
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit > 500 || limit < 1 {
		limit = 500
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name, m := range c.machines {
		if name > from && time.Since(m.rentedAt) > c.lag {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > limit
	names = names[:min(limit, len(names))]
	hosts := []map[string]any{}
	for _, name := range names {
		m := c.machines[name]
		status := "booting"
		if m.up {
			status = "running"
		}
		hosts = append(hosts, map[string]any{"uid": name, "addr": m.addr, "build": c.kind.Name, "yard": m.zone,
			"loaners": m.spot, "status": status, "age_s": time.Since(m.rentedAt).Seconds()})
	}
	reply(w, 200, map[string]any{"hosts": hosts, "has_next": more})
}
