package controller

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sort"
	"time"

	"ravenport/cloud"
	"ravenport/constants"
	"ravenport/wire"
)

// simCloud is one controller's client of the cloud.
type simCloud struct{ n *simController }

var simTypes = []wire.MachineType{{Name: "box", CPUs: 8, MemoryGB: 32, CacheGB: 50, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 8}}

func (c *simCloud) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	time.Sleep(50 * time.Millisecond)
	return c.n.world.offeredTypes(c.n.set.Deployment.Zones), nil
}

// offeredTypes returns the machine types that the cloud offers in some of the given zones.
func (w *world) offeredTypes(zones []string) []wire.MachineType {
	var types []wire.MachineType
	for _, zone := range zones {
		i := slices.IndexFunc(types, func(t wire.MachineType) bool { return t.Name == w.typeIn(zone) })
		if i < 0 {
			i = len(types)
			types = append(types, simTypes[0])
			types[i].Name = w.typeIn(zone)
		}
		types[i].Zones = append(types[i].Zones, zone)
	}
	return types
}

// typeIn returns the name of the machine type that the cloud offers in a zone.
func (w *world) typeIn(zone string) string { return cmp.Or(w.zoneTypes[zone], simTypes[0].Name) }

func (c *simCloud) ScaleOut(ctx context.Context, r wire.ScaleOutRequest) ([]string, error) {
	w := c.n.world
	c.n.waitWhileFrozen()
	time.Sleep(100 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cloudUnavailable || w.partitionedZone == c.n.set.Zone {
		return nil, cloud.ErrTransient
	}
	if names, ok := w.requests[r.RequestID]; ok {
		return names, nil
	}
	kind := r.Zone + "/on-demand"
	if r.Spot {
		kind = r.Zone + "/spot"
	}
	var names []string
	for range min(r.Count, w.capacity[kind]) {
		w.capacity[kind]--
		w.machineCount++
		m := &simWorker{world: w, name: fmt.Sprintf("m-%06d", w.machineCount), zone: r.Zone, spot: r.Spot, kind: kind, epoch: 1, tasks: map[string]*simTask{}, createdAt: time.Now()}
		m.bootsAt = time.Now().Add(time.Duration(4+w.rng.IntN(10)) * time.Second)
		if w.bootWithin > 0 {
			m.bootsAt = time.Now().Add(time.Duration(w.rng.Int64N(int64(w.bootWithin))))
		}
		if !w.reliableCloud && w.rng.Float64() < 0.05 {
			m.bootsAt = m.bootsAt.Add(time.Hour)
		}
		w.machines[m.name] = m
		names = append(names, m.name)
		go m.run()
	}
	if len(names) == 0 {
		return nil, cloud.ErrNoCapacity
	}
	w.requests[r.RequestID] = names
	if !w.reliableCloud && w.rng.Float64() < 0.05 {
		return nil, cloud.ErrTransient // the machines are started, and the answer is lost
	}
	return names, nil
}

func (c *simCloud) ScaleIn(ctx context.Context, names []string) error {
	requestedAt := time.Now()
	c.n.world.locked(func() {
		for _, name := range names {
			c.n.world.record.add(simEvent{what: "scale-in requested", controller: c.n.set.Controller, machine: name})
		}
		c.n.world.recordScaleInRequest(c.n)
	})
	c.n.waitWhileFrozen()
	time.Sleep(100 * time.Millisecond)
	c.n.world.mu.Lock()
	defer c.n.world.mu.Unlock()
	c.n.world.recordLateScaleIn(requestedAt, names)
	if c.n.world.cloudUnavailable || c.n.world.ignoreScaleIn || c.n.world.partitionedZone == c.n.set.Zone {
		return cloud.ErrTransient
	}
	for _, n := range names {
		c.n.world.record.add(simEvent{what: "machine terminated", controller: c.n.set.Controller, machine: n})
		c.n.world.recordScaleIn(n)
		c.n.world.removeMachine(n)
	}
	return nil
}

// recordScaleIn counts the tasks that a scale-in ends. It counts separately the tasks on an
// unresponsive machine: one for which the answers to at least constants.MaxUnansweredCommands
// direct commands were lost within the last worker lease. The caller holds the lock.
func (w *world) recordScaleIn(name string) {
	m := w.machines[name]
	if m == nil {
		return
	}
	w.recordLiveTermination(m)
	recentUnanswered := 0
	for _, at := range m.unansweredCommands {
		if time.Since(at) < w.times.lease() {
			recentUnanswered++
		}
	}
	for _, task := range m.tasks {
		if !onMachine(task.state) {
			continue
		}
		w.observed["tasks ended by a scale-in"]++
		if recentUnanswered >= constants.MaxUnansweredCommands {
			w.observed["tasks ended by the scale-in of an unresponsive machine"]++
		}
	}
}

// recordScaleInRequest counts a scale-in that a controller has requested, and calls onScaleIn
// if it is set. The caller holds the lock.
func (w *world) recordScaleInRequest(by *simController) {
	w.observed["scale-in requests"]++
	if w.onScaleIn != nil {
		w.onScaleIn(by)
	}
}

// recordLateScaleIn counts the machines of scale-ins that reach the cloud 5 s or more after the
// request, and the tasks that started on these machines after the request. The caller holds the
// lock.
func (w *world) recordLateScaleIn(requestedAt time.Time, names []string) {
	if time.Since(requestedAt) < 5*time.Second {
		return
	}
	for _, name := range names {
		w.observed["late scale-ins"]++
		m := w.machines[name]
		if m == nil {
			continue
		}
		for _, task := range m.tasks {
			if onMachine(task.state) && task.fetchedAt.After(requestedAt) {
				w.observed["running tasks ended by a late scale-in"]++
			}
		}
	}
}

// removeMachine removes a machine and returns its capacity to the cloud. The caller holds the
// lock.
func (w *world) removeMachine(name string) {
	if m := w.machines[name]; m != nil {
		m.removed = true
		w.capacity[m.kind]++
		delete(w.machines, name)
	}
}

func (c *simCloud) Machines(ctx context.Context) ([]wire.CloudMachine, error) {
	w := c.n.world
	w.mu.Lock()
	var out []wire.CloudMachine
	for _, m := range w.machines {
		s := wire.MachineRunning
		if time.Now().Before(m.bootsAt) {
			s = wire.MachineBooting
		}
		out = append(out, wire.CloudMachine{Name: m.name, Addr: m.name, Type: w.typeIn(m.zone), Zone: m.zone, Spot: m.spot, State: s, AgeS: time.Since(m.createdAt).Seconds()})
	}
	w.mu.Unlock()
	time.Sleep(5 * time.Second) // the list is 5 s old when it is returned
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out, nil
}
