package leader

import (
	"math"

	"ravenport/wire"
)

// roundingTolerance absorbs the rounding of sums of fractional resources, so that a
// task which exactly fills the rest of a machine or of a quota still fits.
const roundingTolerance = 1e-6

// FreeCapacity aggregates the free resources of one kind of a shard's machines: sum, mean
// and standard deviation over the machines, as the paper defines them.
type FreeCapacity struct {
	Machines int     `json:"n"`
	CPUs     Moments `json:"c"`
	GPUs     Moments `json:"g"`
	Memory   Moments `json:"m"` // GB
}

// Moments are the aggregate of one resource over several machines.
type Moments struct {
	Sum    float64 `json:"s"`
	Mean   float64 `json:"e"`
	StdDev float64 `json:"d"`
}

// Add adds one machine's free amount. The sum of squares is kept in StdDev until Finish.
func (m *Moments) Add(free float64) {
	m.Sum += free
	m.StdDev += free * free
}

// Finish computes mean and standard deviation once all of the machines were added.
func (m *Moments) Finish(machines int) {
	if machines == 0 {
		return
	}
	m.Mean = m.Sum / float64(machines)
	m.StdDev = math.Sqrt(max(0, m.StdDev/float64(machines)-m.Mean*m.Mean))
}

// Aggregate is the summary of a shard that its owner pushes to the leader.
type Aggregate struct {
	Shard       string       `json:"part"`
	Term        uint64       `json:"term"` // the owner's
	Revision    uint64       `json:"rev"`  // of the store: the records that the figures reflect
	OnDemand    FreeCapacity `json:"ord"`  // machines that are being provisioned included
	Spot        FreeCapacity `json:"spot"`
	WaitingCPUs float64      `json:"wait"` // CPUs of tasks that wait without machines being provisioned for them
	// CanScaleOutOnDemand and CanScaleOutSpot say whether the shard may still get
	// machines of the kind.
	CanScaleOutOnDemand bool `json:"ro"`
	CanScaleOutSpot     bool `json:"rs"`
	// Preemptible is on-demand capacity (CPUs) held by tasks that production tasks may
	// preempt.
	Preemptible float64 `json:"y"`
	// Capacity is that of all machines that take tasks or are being provisioned (CPUs).
	Capacity float64 `json:"cap"`
	// Warm is, by image, the free and preemptible on-demand capacity (CPUs) on machines
	// that have the image already.
	Warm map[string]float64 `json:"w,omitempty"`
	// Gangs is, by GangShape, how many tasks of a gang could start now.
	Gangs map[string]GangCapacity `json:"gangs,omitempty"`
	// ReservedForGangs is the capacity (CPUs) that is kept free for gangs.
	ReservedForGangs float64 `json:"gk,omitempty"`
}

// EstimateTasks estimates how many tasks of a job the shard could run now.
func (a *Aggregate) EstimateTasks(s *wire.Submission) int {
	n := a.OnDemand.estimateTasks(s)
	if s.Spot {
		n += a.Spot.estimateTasks(s)
	}
	if s.Priority == wire.PriorityProduction && s.CPUs > 0 {
		n += int(a.Preemptible / s.CPUs)
	}
	return n
}

// estimateTasks estimates how many tasks of a job's size fit the free capacity. The sum
// alone hides that no single machine may be large enough, so a resource counts as
// available if two standard deviations above the mean, or the sum, hold one task.
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
