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
	mu                sync.Mutex
	zones             []string
	capacity          map[string]int // machines that may still be rented, by zone
	machinesByRequest map[string][]string
	machines          map[string]*machine
	names             []string // in their order of creation
	start             func(*machine)
	lease             time.Duration
	observer          *observer

	neverBootNext, failTasksNext int    // of the next machines: so many never boot, or fail all their tasks
	lastScaleInZone              string // zone of the last machine that a controller returned
}

func newCloud(zones []string, machines int, start func(*machine)) *cloud {
	c := &cloud{zones: zones, capacity: map[string]int{}, machinesByRequest: map[string][]string{}, machines: map[string]*machine{}, start: start}
	for _, z := range zones {
		c.capacity[z] = machines / len(zones)
	}
	return c
}

func (c *cloud) handle(r *server.Request) {
	path, query, _ := strings.Cut(r.Target, "?")
	switch path {
	case wire.PathTypes:
		t := machineType
		t.Zones = c.zones
		respond(r, 200, wire.MachineTypes{Types: []wire.MachineType{t}})
	case wire.PathScaleIn:
		var names wire.MachineNames
		if err := json.Unmarshal(r.Body, &names); err != nil {
			respond(r, 400, wire.Problem{Error: err.Error()})
			return
		}
		c.noteScaleIn(names.Machines)
		c.remove(names.Machines)
		respond(r, 200, struct{}{})
	case wire.PathMachines:
		if r.Method == "GET" {
			c.list(r, query)
			return
		}
		var req wire.ScaleOutRequest
		if err := json.Unmarshal(r.Body, &req); err != nil {
			respond(r, 400, wire.Problem{Error: err.Error()})
			return
		}
		c.scaleOut(r, req)
	default:
		respond(r, 404, wire.Problem{Error: "not found"})
	}
}

func (c *cloud) scaleOut(r *server.Request, req wire.ScaleOutRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	names, known := c.machinesByRequest[req.RequestID]
	if !known {
		n := min(req.Count, c.capacity[req.Zone])
		c.capacity[req.Zone] -= n
		for range n {
			names = append(names, c.addMachine(req))
		}
	}
	if len(names) == 0 {
		respond(r, 503, wire.Problem{Error: "no capacity"})
		return
	}
	c.machinesByRequest[req.RequestID] = names
	respond(r, 200, wire.MachineNames{Machines: names})
}

// addMachine rents one machine. The caller holds the lock.
func (c *cloud) addMachine(req wire.ScaleOutRequest) string {
	n := len(c.names) + 1
	m := newMachine(fmt.Sprintf("m-%06d", n), workerAddress(n), req.Zone, req.Spot)
	m.lease, m.observer = c.lease, c.observer
	c.names = append(c.names, m.name)
	c.machines[m.name] = m
	switch {
	case c.neverBootNext > 0:
		c.neverBootNext--
		m.neverBoots = true
		return m.name
	case c.failTasksNext > 0:
		c.failTasksNext--
		m.failsTasks = true
	}
	time.AfterFunc(time.Duration(machineType.BootS*float64(time.Second)), func() { c.start(m) })
	return m.name
}

// noteScaleIn notes where a controller returns machines.
func (c *cloud) noteScaleIn(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		if m := c.machines[name]; m != nil {
			c.lastScaleInZone = m.zone
		}
	}
}

func (c *cloud) remove(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		if m := c.machines[name]; m != nil {
			m.terminate()
			c.capacity[m.zone]++
			delete(c.machines, name)
		}
	}
}

func (c *cloud) list(r *server.Request, query string) {
	q, err := url.ParseQuery(query)
	if err != nil {
		respond(r, 400, wire.Problem{Error: err.Error()})
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
		m := c.machines[name]
		if m == nil {
			continue
		}
		if len(page.Machines) == limit {
			page.HasMore = true
			break
		}
		shows := wire.MachineRunning
		if m.neverBoots {
			shows = wire.MachineBooting
		}
		page.Machines = append(page.Machines, wire.CloudMachine{Name: m.name, Addr: m.addr, Type: machineType.Name, Zone: m.zone,
			Spot: m.spot, State: shows, AgeS: time.Since(m.createdAt).Seconds()})
	}
	respond(r, 200, page)
}

// machineCount is how many machines there are.
func (c *cloud) machineCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.machines)
}

// allMachines lists the machines that are rented.
func (c *cloud) allMachines() []*machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*machine
	for _, m := range c.machines {
		out = append(out, m)
	}
	return out
}

// lastScaleIn is the zone of the last machine that a controller returned.
func (c *cloud) lastScaleIn() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastScaleInZone
}

// forgetScaleIn has lastScaleIn wait for another return.
func (c *cloud) forgetScaleIn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastScaleInZone = ""
}
