package shard

import (
	"math"

	"ravenport/constants"
	"ravenport/wire"
)

// resources is what a machine has or a task needs: CPUs, GPUs and memory (GB), and space in the
// messages that the machine and its owner exchange (bytes), whose size the protocol limits.
type resources struct{ cpus, gpus, memory, messageBytes float64 }

func (r resources) plus(o resources) resources {
	return resources{r.cpus + o.cpus, r.gpus + o.gpus, r.memory + o.memory, r.messageBytes + o.messageBytes}
}

func (r resources) minus(o resources) resources {
	return resources{r.cpus - o.cpus, r.gpus - o.gpus, r.memory - o.memory, r.messageBytes - o.messageBytes}
}

// times returns the amount that n tasks of this size need.
func (r resources) times(n int) resources {
	k := float64(n)
	return resources{r.cpus * k, r.gpus * k, r.memory * k, r.messageBytes * k}
}

// roundingSlack tolerates rounding errors in sums of decimal amounts.
const roundingSlack = 1e-6

// fits reports whether r fits into in.
func (r resources) fits(in resources) bool {
	return r.cpus <= in.cpus+roundingSlack && r.gpus <= in.gpus+roundingSlack && r.memory <= in.memory+roundingSlack &&
		r.messageBytes <= in.messageBytes
}

// machineResources returns the capacity of a machine of a type.
func machineResources(t *wire.MachineType) resources {
	return resources{t.CPUs, t.GPUs, t.MemoryGB, constants.MaxTaskEntriesBytes}
}

// taskResources returns what each task of a submission needs.
func taskResources(s *wire.Submission) resources {
	nameBytes := len(s.ID) + len("/") + decimalDigits(s.Tasks-1)
	return resources{s.CPUs, s.GPUs, s.MemoryGB, float64(taskEntryBytes(nameBytes))}
}

// decimalDigits returns the number of digits of a number that is not negative.
func decimalDigits(n int) int {
	digits := 1
	for ; n >= 10; n /= 10 {
		digits++
	}
	return digits
}

// taskEntryBytes returns an upper bound on the encoded size of a task's status, or of a command,
// for a task whose name has a length (bytes). It is rounded up, so that the tasks of most jobs
// need the same amount and a search that failed for one job need not be repeated for another.
func taskEntryBytes(nameBytes int) int {
	units := (nameBytes + constants.TaskEntryBytes + constants.TaskEntryUnit - 1) / constants.TaskEntryUnit
	return units * constants.TaskEntryUnit
}

// countFitting returns how many tasks with the given demand fit into r.
func (r resources) countFitting(demand resources) int {
	k := math.MaxInt32
	for _, x := range [][2]float64{{demand.cpus, r.cpus}, {demand.gpus, r.gpus}, {demand.memory, r.memory}, {demand.messageBytes, r.messageBytes}} {
		if x[0] > 0 {
			k = min(k, int((x[1]+roundingSlack)/x[0]))
		}
	}
	return max(k, 0)
}
