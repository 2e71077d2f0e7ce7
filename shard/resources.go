package shard

import (
	"math"

	"ravenport/wire"
)

// resources is an amount of CPUs, GPUs and memory (GB) that a machine has or a task
// needs.
type resources struct{ cpus, gpus, memory float64 }

func (r resources) plus(o resources) resources {
	return resources{r.cpus + o.cpus, r.gpus + o.gpus, r.memory + o.memory}
}

func (r resources) minus(o resources) resources {
	return resources{r.cpus - o.cpus, r.gpus - o.gpus, r.memory - o.memory}
}

// times returns the amount that n tasks of this size need.
func (r resources) times(n int) resources {
	return resources{r.cpus * float64(n), r.gpus * float64(n), r.memory * float64(n)}
}

// roundingSlack tolerates rounding errors in sums of decimal amounts.
const roundingSlack = 1e-6

// fits reports whether r fits into in.
func (r resources) fits(in resources) bool {
	return r.cpus <= in.cpus+roundingSlack && r.gpus <= in.gpus+roundingSlack && r.memory <= in.memory+roundingSlack
}

// machineResources returns the capacity of a machine of a type.
func machineResources(t *wire.MachineType) resources { return resources{t.CPUs, t.GPUs, t.MemoryGB} }

// taskResources returns what each task of a submission needs.
func taskResources(s *wire.Submission) resources { return resources{s.CPUs, s.GPUs, s.MemoryGB} }

// countFitting returns how many tasks with the given demand fit into r.
func (r resources) countFitting(demand resources) int {
	k := math.MaxInt32
	for _, x := range [][2]float64{{demand.cpus, r.cpus}, {demand.gpus, r.gpus}, {demand.memory, r.memory}} {
		if x[0] > 0 {
			k = min(k, int((x[1]+roundingSlack)/x[0]))
		}
	}
	return max(k, 0)
}
