package leader

import (
	"math"

	"ravenport/wire"
)

// roundingTolerance allows for rounding errors in sums of fractional resources, so that a
// task that exactly fills the rest of a machine or of a quota still fits.
const roundingTolerance = 1e-6

// FreeCapacity aggregates the free resources of a shard's machines of one kind (on-demand
// or spot): sum, mean and standard deviation over the machines, as the Oakestra paper
// defines them.
type FreeCapacity struct {
	Machines int     `json:"n"`
	CPUs     Moments `json:"c"`
	GPUs     Moments `json:"g"`
	Memory   Moments `json:"m"` // GB
}

// Moments is the aggregate of one resource over several machines.
type Moments struct {
	Sum    float64 `json:"s"`
	Mean   float64 `json:"e"`
	StdDev float64 `json:"d"`
}

// Add adds one machine's free amount. Until Finish, StdDev holds the sum of squares.
func (m *Moments) Add(free float64) {
	m.Sum += free
	m.StdDev += free * free
}

// Finish computes the mean and the standard deviation after all machines were added.
func (m *Moments) Finish(machines int) {
	if machines == 0 {
		return
	}
	m.Mean = m.Sum / float64(machines)
	m.StdDev = math.Sqrt(max(0, m.StdDev/float64(machines)-m.Mean*m.Mean))
}

// Aggregate is the summary of a shard's capacity that its owner pushes to the leader.
type Aggregate struct {
	Shard       string       `json:"part"`
	Term        uint64       `json:"term"` // of the shard's owner
	Revision    uint64       `json:"rev"`  // of the key-value store, up to which the figures reflect the records
	OnDemand    FreeCapacity `json:"ord"`  // including the capacity of pending machines that waiting tasks do not need
	Spot        FreeCapacity `json:"spot"` // likewise including pending machines
	WaitingCPUs float64      `json:"wait"` // CPUs of waiting tasks that fit on no pending machine
	// CanScaleOutOnDemand and CanScaleOutSpot say whether the shard can still request
	// machines of the kind.
	CanScaleOutOnDemand bool `json:"ro"`
	CanScaleOutSpot     bool `json:"rs"`
	// Preemptible is the on-demand capacity (CPUs) used by tasks that production tasks
	// may preempt.
	Preemptible float64 `json:"y"`
	// Capacity is the total capacity (CPUs) of all machines that accept tasks, are pending
	// or are being requested.
	Capacity float64 `json:"cap"`
	// Warm maps each image to the free and preemptible on-demand capacity (CPUs) on
	// machines that hold the image.
	Warm map[string]float64 `json:"w,omitempty"`
	// Gangs maps each GangShape to the number of tasks of such a gang that could start now.
	Gangs map[string]GangCapacity `json:"gangs,omitempty"`
	// ReservedForGangs is the free capacity (CPUs) that is reserved for gangs.
	ReservedForGangs float64 `json:"gk,omitempty"`
	// Types divides OnDemand, Spot and Preemptible by machine type. It is nil in the
	// aggregate of an owner of the previous version.
	Types map[string]*TypeCapacity `json:"types,omitempty"`
}

// AddMachine adds the free resources of a machine (memory in GB), or of a pending one.
func (a *Aggregate) AddMachine(typeName string, spot bool, cpus, gpus, memoryGB float64) {
	ofType := a.ofType(typeName)
	if spot {
		a.Spot.add(cpus, gpus, memoryGB)
		ofType.Spot.add(cpus, gpus, memoryGB)
		return
	}
	a.OnDemand.add(cpus, gpus, memoryGB)
	ofType.OnDemand.add(cpus, gpus, memoryGB)
}

// AddPreemptible adds the preemptible capacity (CPUs) of an on-demand machine.
func (a *Aggregate) AddPreemptible(typeName string, cpus float64) {
	a.Preemptible += cpus
	a.ofType(typeName).Preemptible += cpus
}

// Finish computes the means and standard deviations after all machines were added.
func (a *Aggregate) Finish() {
	a.OnDemand.finish()
	a.Spot.finish()
	for _, ofType := range a.Types {
		ofType.OnDemand.finish()
		ofType.Spot.finish()
	}
}

// ofType returns the capacity of a type's machines, which is zero at first.
func (a *Aggregate) ofType(name string) *TypeCapacity {
	capacity := a.Types[name]
	if capacity == nil {
		capacity = &TypeCapacity{}
		if a.Types == nil {
			a.Types = map[string]*TypeCapacity{}
		}
		a.Types[name] = capacity
	}
	return capacity
}

// add adds one machine's free resources (memory in GB). finish completes the sums.
func (f *FreeCapacity) add(cpus, gpus, memoryGB float64) {
	f.Machines++
	f.CPUs.Add(cpus)
	f.GPUs.Add(gpus)
	f.Memory.Add(memoryGB)
}

// finish computes the means and standard deviations after all machines were added.
func (f *FreeCapacity) finish() {
	f.CPUs.Finish(f.Machines)
	f.GPUs.Finish(f.Machines)
	f.Memory.Finish(f.Machines)
}

// estimateTasks estimates how many tasks of a job's size fit the free capacity. The sum
// alone does not show whether any single machine has enough free for a task. A resource
// therefore counts as available if the mean plus two standard deviations, or the sum, is
// enough for one task.
func (f FreeCapacity) estimateTasks(s *wire.Submission) int {
	if f.Machines == 0 {
		return 0
	}
	n := math.MaxInt32
	for _, resource := range []struct {
		perTask float64
		free    Moments
	}{{s.CPUs, f.CPUs}, {s.GPUs, f.GPUs}, {s.MemoryGB, f.Memory}} {
		if resource.perTask <= 0 {
			continue
		}
		largestMachine := resource.free.Mean + 2*resource.free.StdDev
		if largestMachine+roundingTolerance < resource.perTask && resource.free.Sum < resource.perTask {
			return 0
		}
		n = min(n, int(resource.free.Sum/resource.perTask+roundingTolerance))
	}
	return n
}
