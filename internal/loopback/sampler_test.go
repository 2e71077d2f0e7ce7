package loopback

import (
	"sync"
	"time"
)

// sampleInterval is the time between two samples.
const sampleInterval = time.Second

// sample has the state of the workers and the store at one time.
type sample struct {
	elapsed      time.Duration // since the first sample was started
	waitingTasks int           // tasks of accepted job arrays that are neither on a machine nor done
	usedCPUs     float64       // CPUs used by tasks
	machinesUp   int
	freeMachines int // available machines with free capacity for a task of a job array
	// longestFree is the longest time that a machine has been free while tasks waited.
	// longestFreeMachine is the name of that machine.
	longestFree        time.Duration
	longestFreeMachine string

	owners          map[string]string // names of the shards' owners, by zone
	leader          string
	unassignedTasks int    // tasks of job arrays that are in no assignment
	revision        uint64 // revision of the store
}

// sampler takes samples until finish is called.
type sampler struct {
	stop chan struct{}
	done sync.WaitGroup

	// Only the sampling goroutine uses the following fields until it has ended.
	samples   []sample
	freeSince map[string]time.Time // by machine: start of the time that the machine has been free while tasks waited
}

// startSampling starts a sampler.
func (f *fleet) startSampling(w *workload) *sampler {
	s := &sampler{stop: make(chan struct{}), freeSince: map[string]time.Time{}}
	s.done.Add(1)
	go s.run(f, w)
	return s
}

// run takes samples until the sampler is stopped.
func (s *sampler) run(f *fleet, w *workload) {
	defer s.done.Done()
	startedAt := time.Now()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			taken := s.take(f, w, now)
			taken.elapsed = now.Sub(startedAt)
			s.samples = append(s.samples, taken)
		}
	}
}

// finish stops the sampler and returns its samples.
func (s *sampler) finish() []sample {
	close(s.stop)
	s.done.Wait()
	return s.samples
}

// take takes one sample. Machines do not count as free while their shard has no owner or the
// owner is cut off from the workers, because no controller can start tasks on them.
func (s *sampler) take(fleet *fleet, jobs *workload, now time.Time) sample {
	taken := sample{
		waitingTasks: jobs.acceptedArrays()*fleet.tasksPerArray - fleet.observer.startedArrayTasks(fleet.isArrayTask),
		owners:       map[string]string{},
		leader:       fleet.store.leader(),
	}
	taken.unassignedTasks, taken.revision = fleet.store.unassignedTasks()
	isUnserved := map[string]bool{}
	for _, zone := range fleet.zones {
		name, _ := fleet.store.shardOwner(zone)
		owner := fleet.controllerIndex(name)
		taken.owners[zone] = name
		isUnserved[zone] = owner < 0 || fleet.cutFromWorkers[owner].Load()
	}
	var free []string
	for _, m := range fleet.cloud.allMachines() {
		cpus, isUp := m.usedCPUs(fleet)
		if !isUp {
			continue
		}
		taken.machinesUp++
		taken.usedCPUs += cpus
		if machineType.CPUs-cpus >= arrayTaskCPUs && !isUnserved[m.zone] {
			free = append(free, m.name)
		}
	}
	taken.freeMachines = len(free)
	if taken.waitingTasks <= 0 {
		free = nil
	}
	s.trackFree(free, now)
	for name, since := range s.freeSince {
		if d := now.Sub(since); d >= taken.longestFree {
			taken.longestFree = d
			taken.longestFreeMachine = name
		}
	}
	return taken
}

// trackFree updates the times since which machines have been free while tasks waited.
func (s *sampler) trackFree(free []string, now time.Time) {
	freeSince := map[string]time.Time{}
	for _, name := range free {
		freeSince[name] = now
		if since, wasFree := s.freeSince[name]; wasFree {
			freeSince[name] = since
		}
	}
	s.freeSince = freeSince
}
