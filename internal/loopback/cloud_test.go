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

// machineType is the only machine type of the fake cloud.
var machineType = wire.MachineType{
	Name:        "box",
	CPUs:        16,
	MemoryGB:    64,
	CacheGB:     70,
	FetchGBPerS: 0.2,
	Price:       0.87,
	SpotPrice:   0.4,
	BootS:       5,
}

// cloud is a fake cloud. Its machines run once their boot time has passed. It creates every
// requested machine until the zone's capacity is used up.
type cloud struct {
	zones    []string
	start    func(*machine) // called when a machine has booted
	lease    time.Duration  // of the workers
	observer *observer

	mu                sync.Mutex
	capacity          map[string]int      // machines that can still be created, by zone
	machinesByRequest map[string][]string // machine names, by the idempotency key of the request
	machines          map[string]*machine // by name
	names             []string            // of all machines ever created, in the order of their creation

	neverBootNext   int    // number of the next machines that never boot
	failTasksNext   int    // number of machines after those that fail all their tasks
	lastScaleInZone string // zone of the last machine that a controller returned; empty: none
}

func newCloud(zones []string, machines int, start func(*machine)) *cloud {
	c := &cloud{
		zones:             zones,
		start:             start,
		capacity:          map[string]int{},
		machinesByRequest: map[string][]string{},
		machines:          map[string]*machine{},
	}
	for _, z := range zones {
		c.capacity[z] = machines / len(zones)
	}
	return c
}

// handle responds to one request.
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
		c.recordScaleIn(names.Machines)
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

// scaleOut creates machines. A repeated request gets the machines of the first request.
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

// addMachine creates one machine and returns the machine's name. The caller must hold the
// lock.
func (c *cloud) addMachine(req wire.ScaleOutRequest) string {
	n := len(c.names) + 1
	m := newMachine(fmt.Sprintf("m-%06d", n), workerAddress(n), req.Zone, req.Spot)
	m.lease = c.lease
	m.observer = c.observer
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

// recordScaleIn records the zone of machines that a controller returns.
func (c *cloud) recordScaleIn(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		if m := c.machines[name]; m != nil {
			c.lastScaleInZone = m.zone
		}
	}
}

// remove terminates machines. It ignores names of unknown or already removed machines.
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

// list responds with a page of the machines, in the order of their names.
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
		state := wire.MachineRunning
		if m.neverBoots {
			state = wire.MachineBooting
		}
		page.Machines = append(page.Machines, wire.CloudMachine{
			Name:  m.name,
			Addr:  m.addr,
			Type:  machineType.Name,
			Zone:  m.zone,
			Spot:  m.spot,
			State: state,
			AgeS:  time.Since(m.createdAt).Seconds(),
		})
	}
	respond(r, 200, page)
}

// machineCount returns the current number of machines.
func (c *cloud) machineCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.machines)
}

// allMachines returns the current machines in no particular order.
func (c *cloud) allMachines() []*machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*machine
	for _, m := range c.machines {
		out = append(out, m)
	}
	return out
}

// lastScaleIn returns the zone of the last machine that a controller returned; empty: none.
func (c *cloud) lastScaleIn() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastScaleInZone
}

// clearLastScaleIn makes lastScaleIn return an empty zone until a controller returns another
// machine.
func (c *cloud) clearLastScaleIn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastScaleInZone = ""
}
