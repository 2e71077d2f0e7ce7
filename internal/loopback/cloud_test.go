package loopback

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"ravenport/server"
	"ravenport/wire"
)

// machineType is the one type that the stand-in cloud has.
var machineType = wire.MachineType{Name: "box", CPUs: 16, MemoryGB: 64, CacheGB: 70, FetchGBPerS: 0.2, Price: 0.87, SpotPrice: 0.4, BootS: 5}

// cloud stands in for the cloud: machines come up after their boot time, and
// none is refused before the fleet has its size.
type cloud struct {
	mu       sync.Mutex
	zones    []string
	left     map[string]int // machines that may still be rented, by zone
	requests map[string][]string
	workers  map[string]*machine
	names    []string // in their order of creation
	start    func(*machine)
	lease    time.Duration
	record   *record

	bootless, sick int    // of the next machines: so many never boot, or fail all their tasks
	lastReturn     string // zone of the last machine that a controller returned
}

func newCloud(zones []string, machines int, start func(*machine)) *cloud {
	c := &cloud{zones: zones, left: map[string]int{}, requests: map[string][]string{}, workers: map[string]*machine{}, start: start}
	for _, z := range zones {
		c.left[z] = machines / len(zones)
	}
	return c
}

func (c *cloud) handle(r *server.Request) {
	path, query, _ := strings.Cut(r.Target, "?")
	switch path {
	case wire.PathTypes:
		t := machineType
		t.Zones = c.zones
		answer(r, 200, wire.MachineTypes{Types: []wire.MachineType{t}})
	case wire.PathScaleIn:
		var names wire.MachineNames
		if err := json.Unmarshal(r.Body, &names); err != nil {
			answer(r, 400, wire.Problem{Error: err.Error()})
			return
		}
		c.noteReturn(names.Machines)
		c.giveBack(names.Machines)
		answer(r, 200, struct{}{})
	case wire.PathMachines:
		if r.Method == "GET" {
			c.list(r, query)
			return
		}
		var req wire.ScaleOutRequest
		if err := json.Unmarshal(r.Body, &req); err != nil {
			answer(r, 400, wire.Problem{Error: err.Error()})
			return
		}
		c.rent(r, req)
	default:
		answer(r, 404, wire.Problem{Error: "not found"})
	}
}

func (c *cloud) rent(r *server.Request, req wire.ScaleOutRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	names, known := c.requests[req.RequestID]
	if !known {
		n := min(req.Count, c.left[req.Zone])
		c.left[req.Zone] -= n
		for range n {
			names = append(names, c.add(req))
		}
	}
	if len(names) == 0 {
		answer(r, 503, wire.Problem{Error: "no capacity"})
		return
	}
	c.requests[req.RequestID] = names
	answer(r, 200, wire.MachineNames{Machines: names})
}

// add rents one machine. The caller holds the lock.
func (c *cloud) add(req wire.ScaleOutRequest) string {
	n := len(c.names) + 1
	m := newMachine(fmt.Sprintf("m-%06d", n), machineAddress(n), req.Zone, req.Spot)
	m.lease, m.record = c.lease, c.record
	c.names = append(c.names, m.name)
	c.workers[m.name] = m
	switch {
	case c.bootless > 0:
		c.bootless--
		m.bootless = true
		return m.name
	case c.sick > 0:
		c.sick--
		m.sick = true
	}
	time.AfterFunc(time.Duration(machineType.BootS*float64(time.Second)), func() { c.start(m) })
	return m.name
}

// noteReturn notes where a controller returns machines.
func (c *cloud) noteReturn(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		if m := c.workers[name]; m != nil {
			c.lastReturn = m.zone
		}
	}
}

func (c *cloud) giveBack(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		if m := c.workers[name]; m != nil {
			m.end()
			c.left[m.zone]++
			delete(c.workers, name)
		}
	}
}

func (c *cloud) list(r *server.Request, query string) {
	q, err := url.ParseQuery(query)
	if err != nil {
		answer(r, 400, wire.Problem{Error: err.Error()})
		return
	}
	limit, _ := strconv.Atoi(q.Get("limit"))
	c.mu.Lock()
	defer c.mu.Unlock()
	page := wire.MachineList{Machines: []wire.CloudMachine{}}
	from, found := slices.BinarySearch(c.names, q.Get("from"))
	if found {
		from++
	}
	for _, name := range c.names[from:] {
		m := c.workers[name]
		if m == nil {
			continue
		}
		if len(page.Machines) == limit {
			page.HasMore = true
			break
		}
		shows := wire.MachineRunning
		if m.bootless {
			shows = wire.MachineBooting
		}
		page.Machines = append(page.Machines, wire.CloudMachine{Name: m.name, Addr: m.addr, Type: machineType.Name, Zone: m.zone,
			Spot: m.spot, State: shows, AgeS: time.Since(m.born).Seconds()})
	}
	answer(r, 200, page)
}

// running is how many machines there are.
func (c *cloud) running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.workers)
}
