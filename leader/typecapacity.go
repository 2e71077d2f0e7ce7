package leader

import (
	"ravenport/machinetype"
	"ravenport/wire"
)

// TypeCapacity is the capacity of a shard's machines of one machine type, or of several.
type TypeCapacity struct {
	OnDemand    FreeCapacity `json:"ord,omitzero"`
	Spot        FreeCapacity `json:"spot,omitzero"`
	Preemptible float64      `json:"y,omitempty"` // as Aggregate.Preemptible
}

// EstimateTasks estimates how many tasks of a job the shard could run now. types are the
// machine types that the cloud offers.
func (a *Aggregate) EstimateTasks(s *wire.Submission, types machinetype.Set) int {
	usable := a.capacityFor(s, types)
	return usable.estimateTasks(s)
}

// HasMachineFor reports whether the shard has a machine on which a task of a job could run if
// the machine were empty. It returns false if the aggregate is not divided by machine type.
func (a *Aggregate) HasMachineFor(s *wire.Submission, types machinetype.Set) bool {
	for name, capacity := range a.Types {
		machines := capacity.OnDemand.Machines
		if s.Spot {
			machines += capacity.Spot.Machines
		}
		if machines > 0 && types.CanRun(s, name) {
			return true
		}
	}
	return false
}

// capacityFor returns the capacity of the machines on which tasks of a job can run: that of
// all machines if the aggregate is not divided by machine type.
func (a *Aggregate) capacityFor(s *wire.Submission, types machinetype.Set) TypeCapacity {
	if a.canRunOnAllTypes(s, types) {
		return TypeCapacity{OnDemand: a.OnDemand, Spot: a.Spot, Preemptible: a.Preemptible}
	}
	var usable TypeCapacity
	for name, capacity := range a.Types {
		if types.CanRun(s, name) {
			usable.OnDemand.merge(capacity.OnDemand)
			usable.Spot.merge(capacity.Spot)
			usable.Preemptible += capacity.Preemptible
		}
	}
	return usable
}

// canRunOnAllTypes reports whether tasks of a job can run on machines of every type that the
// shard has, which is the usual case.
func (a *Aggregate) canRunOnAllTypes(s *wire.Submission, types machinetype.Set) bool {
	for name := range a.Types {
		if !types.CanRun(s, name) {
			return false
		}
	}
	return true
}

// estimateTasks estimates how many tasks of a job the capacity allows to run now.
func (c *TypeCapacity) estimateTasks(s *wire.Submission) int {
	n := c.OnDemand.estimateTasks(s)
	if s.Spot {
		n += c.Spot.estimateTasks(s)
	}
	if s.Priority == wire.PriorityProduction && s.CPUs > 0 {
		n += int(c.Preemptible / s.CPUs)
	}
	return n
}

// merge adds the machines of another finished aggregate to a finished one.
func (f *FreeCapacity) merge(other FreeCapacity) {
	f.CPUs.merge(f.Machines, other.CPUs, other.Machines)
	f.GPUs.merge(f.Machines, other.GPUs, other.Machines)
	f.Memory.merge(f.Machines, other.Memory, other.Machines)
	f.Machines += other.Machines
}

// merge combines the finished moments of two groups of machines.
func (m *Moments) merge(machines int, other Moments, otherMachines int) {
	squares := m.sumOfSquares(machines) + other.sumOfSquares(otherMachines)
	*m = Moments{Sum: m.Sum + other.Sum, StdDev: squares}
	m.Finish(machines + otherMachines)
}

// sumOfSquares returns the sum of the squares of finished moments.
func (m *Moments) sumOfSquares(machines int) float64 {
	return float64(machines) * (m.StdDev*m.StdDev + m.Mean*m.Mean)
}
