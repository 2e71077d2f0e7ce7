package shard

import (
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// pendingScaleOut is a scale-out request that the cloud has not answered yet.
type pendingScaleOut struct {
	request     wire.ScaleOutRequest
	requestedAt time.Time
}

// pendingMachine is the unused capacity of a machine that cannot run tasks yet.
type pendingMachine struct {
	free     resources
	typeName string
	spot     bool
}

// bootAge returns the time since a machine was requested, as a multiple of the nominal boot
// time of its type.
func (m *machine) bootAge(now time.Time) float64 {
	bootS := 60.0
	if m.machineType != nil {
		bootS = max(1, m.machineType.BootS)
	}
	return now.Sub(m.requestedAt).Seconds() / bootS
}

// maxBootSeconds returns the longest nominal boot time of all machine types (s).
func (k *knownState) maxBootSeconds() float64 {
	bootS := 0.0
	for _, t := range k.types {
		bootS = max(bootS, t.BootS)
	}
	return bootS
}

// isPendingMachine reports whether a machine is not up yet and counts as pending capacity.
func (l *liveness) isPendingMachine(now time.Time, m *machine) bool {
	return !m.up && !m.inherited && !l.partitioned && !m.scalingIn && m.machineType != nil && m.bootAge(now) < constants.PendingBootTimes
}

// isNotYetSchedulable reports whether a machine is up and becomes schedulable with its first
// heartbeat under this term, its entry in the durable inventory, or both.
func (v *fleetView) isNotYetSchedulable(now time.Time, m *machine) bool {
	isVerified := m.hasSeenTerm(v.term) && m.durable && m.durableAddr == m.addr
	return m.up && !isVerified && !m.scalingIn && m.machineType != nil && !v.isUnreachable(now, m)
}

// listPendingMachines lists the capacity of machines that are requested, booting or not yet
// schedulable. The list reuses the memory of c.pendingCapacity.
func (c *scaleOutState) listPendingMachines(v *fleetView, now time.Time) []pendingMachine {
	out := c.pendingCapacity[:0]
	for _, m := range v.fleet {
		switch {
		case v.isPendingMachine(now, m):
			out = append(out, pendingMachine{m.capacity, m.typeName, m.spot})
		case v.isNotYetSchedulable(now, m):
			out = append(out, pendingMachine{v.freeResources(m), m.typeName, m.spot})
		}
	}
	for _, r := range c.pendingScaleOuts {
		t := v.types[r.request.Type]
		if t == nil {
			continue
		}
		for range r.request.Count {
			out = append(out, pendingMachine{machineResources(t), t.Name, r.request.Spot})
		}
	}
	return out
}

// tasksBeyondPendingCapacity takes capacity of pending machines for a job's ready tasks, and
// returns the tasks that do not fit.
func (c *Core) tasksBeyondPendingCapacity(now time.Time, j *job) []*task {
	s := &j.record.Spec
	tasks := c.appendReadyTasks(c.taskBuffer[:0], now, j)
	c.taskBuffer = tasks
	c.unplacedDemand = c.unplacedDemand.plus(taskResources(s).times(len(tasks)))
	return tasks[c.takePendingCapacity(s, len(tasks)):]
}

// takePendingCapacity takes capacity of pending machines for tasks of a job, and returns how
// many tasks fit. Spot machines are used first, because some of the other tasks can only run
// on on-demand machines.
func (c *scaleOutState) takePendingCapacity(s *wire.Submission, tasks int) int {
	n := taskResources(s)
	remaining := tasks
	for _, spot := range []bool{true, false} {
		for i := range c.pendingCapacity {
			if remaining == 0 {
				return tasks
			}
			p := &c.pendingCapacity[i]
			if p.spot == spot && n.fits(p.free) && isEligible(s, p.typeName, p.spot) {
				count := min(remaining, p.free.countFitting(n))
				p.free = p.free.minus(n.times(count))
				remaining -= count
			}
		}
	}
	return tasks - remaining
}

// planMachine adds an offered machine to the machines to request. It adds the capacity of the
// machine that is not taken to the pending capacity, and returns a pointer to that entry. The
// pointer is valid until the next call.
func (c *scaleOutState) planMachine(offer machineOffer, taken resources, counts machineCounts) *pendingMachine {
	counts[offer.kind()]++
	free := machineResources(offer.machineType).minus(taken)
	c.pendingCapacity = append(c.pendingCapacity, pendingMachine{free, offer.machineType.Name, offer.spot})
	return &c.pendingCapacity[len(c.pendingCapacity)-1]
}
