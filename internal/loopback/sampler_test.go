package loopback

import (
	"sync"
	"time"
)

// sampleInterval is the time between two rows of a census.
const sampleInterval = time.Second

// sample is what the workers' side shows at one moment.
type sample struct {
	elapsed            time.Duration // since the census began
	waitingTasks       int           // tasks of accepted arrays that are neither on a machine nor done
	usedCPUs           float64       // held by tasks
	machinesUp         int           // that are up
	freeMachines       int           // of those, machines that an array's task would fit
	longestFree        time.Duration // for how long one of those has had room while tasks waited
	longestFreeMachine string        // which one that is
	owners             map[string]string
	leader             string

	unassignedTasks int    // tasks of arrays in no assignment
	revision        uint64 // changes of the state service so far
}

// sampler counts, second by second and from the workers' side alone, what runs, what
// waits and which machines have room.
type sampler struct {
	stop chan struct{}
	done sync.WaitGroup

	mu        sync.Mutex
	samples   []sample
	freeSince map[string]time.Time // by machine: since when it has room while tasks wait
}

// startSampling counts until the census is ended.
func (f *fleet) startSampling(l *workload) *sampler {
	c := &sampler{stop: make(chan struct{}), freeSince: map[string]time.Time{}}
	began := time.Now()
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		tick := time.NewTicker(sampleInterval)
		defer tick.Stop()
		for {
			select {
			case <-c.stop:
				return
			case now := <-tick.C:
				row := f.takeSample(c, l, now)
				row.elapsed = now.Sub(began)
				c.mu.Lock()
				c.samples = append(c.samples, row)
				c.mu.Unlock()
			}
		}
	}()
	return c
}

// finish ends the census and returns its rows.
func (c *sampler) finish() []sample {
	close(c.stop)
	c.done.Wait()
	return c.samples
}

// takeSample makes one row. The machines of a shard whose owner is cut off from its workers
// have nobody to give them anything, and are not counted as having room.
func (f *fleet) takeSample(c *sampler, l *workload, now time.Time) sample {
	row := sample{owners: map[string]string{}, waitingTasks: l.acceptedArrays()*f.tasksPerArray - f.observer.startedArrayTasks(f.isArrayTask)}
	row.leader = f.store.leader()
	row.unassignedTasks, row.revision = f.store.unassignedTasks()
	unserved := map[string]bool{}
	for _, zone := range f.zones {
		name, _ := f.store.shardOwner(zone)
		owner := f.controllerIndex(name)
		row.owners[zone] = name
		unserved[zone] = owner < 0 || f.cutFromWorkers[owner].Load()
	}
	room := map[string]bool{}
	for _, m := range f.cloud.allMachines() {
		cpus, up := m.usedCPUs(f)
		if !up {
			continue
		}
		row.machinesUp++
		row.usedCPUs += cpus
		if machineType.CPUs-cpus < arrayTaskCPUs || unserved[m.zone] {
			continue
		}
		row.freeMachines++
		room[m.name] = row.waitingTasks > 0
	}
	for name := range c.freeSince {
		if !room[name] {
			delete(c.freeSince, name)
		}
	}
	for name, waits := range room {
		if !waits {
			continue
		}
		if _, known := c.freeSince[name]; !known {
			c.freeSince[name] = now
		}
		if d := now.Sub(c.freeSince[name]); d >= row.longestFree {
			row.longestFree, row.longestFreeMachine = d, name
		}
	}
	return row
}
