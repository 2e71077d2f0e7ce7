package shard

import (
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

type pendingScaleOut struct {
	request     wire.ScaleOutRequest
	requestedAt time.Time
}

// pendingMachine is the room of a machine that is not up yet.
type pendingMachine struct {
	free     resources
	typeName string
	spot     bool
}

// bootAge is a machine's age in nominal boot times.
func (m *machine) bootAge(now time.Time) float64 {
	boot := 60.0
	if m.typ != nil {
		boot = max(1, m.typ.BootS)
	}
	return now.Sub(m.requestedAt).Seconds() / boot
}

// maxBootSeconds is the longest nominal boot time (s).
func (k *knownState) maxBootSeconds() float64 {
	boot := 0.0
	for _, t := range k.types {
		boot = max(boot, t.BootS)
	}
	return boot
}

// isPendingMachine says whether a machine that has not come up yet is still counted on.
func (l *liveness) isPendingMachine(now time.Time, m *machine) bool {
	return !m.up && !m.inherited && !l.partitioned && !m.scalingIn && m.typ != nil && m.bootAge(now) < constants.PendingBootTimes
}

// listPendingMachines lists the room of machines that are not up yet or may not take
// tasks yet.
func (c *scaleOutState) listPendingMachines(v *fleetView, now time.Time) []pendingMachine {
	out := c.pendingCapacity[:0] // made anew each time, in the same place
	for _, m := range v.fleet {
		if v.isPendingMachine(now, m) {
			out = append(out, pendingMachine{m.capacity, m.typeName, m.spot})
		} else if m.up && (!m.hasSeenTerm(v.term) || !m.durable || m.durableAddr != m.addr) && !m.scalingIn && m.typ != nil && !v.isUnreachable(now, m) {
			out = append(out, pendingMachine{v.freeResources(m), m.typeName, m.spot})
		}
	}
	for _, r := range c.pendingScaleOuts {
		if t := v.types[r.request.Type]; t != nil {
			for range r.request.Count {
				out = append(out, pendingMachine{machineResources(t), t.Name, r.request.Spot})
			}
		}
	}
	return out
}

// tasksBeyondPending gives a job's ready tasks the room that is coming and returns those that
// it does not take.
func (c *Core) tasksBeyondPending(now time.Time, j *job) []*task {
	s := &j.rec.Spec
	tasks := c.appendReadyTasks(c.taskBuffer[:0], now, j)
	c.taskBuffer = tasks
	c.unplacedDemand = c.unplacedDemand.plus(taskResources(s).times(len(tasks)))
	return tasks[c.takePendingCapacity(s, len(tasks)):]
}

// takePendingCapacity gives so many tasks of a job room that is coming, spot room first since
// ordinary room is all that some may use, and returns how many it takes.
func (c *scaleOutState) takePendingCapacity(s *wire.Submission, tasks int) int {
	n := taskResources(s)
	left := tasks
	for _, spot := range []bool{true, false} {
		for i := range c.pendingCapacity {
			if left == 0 {
				return tasks
			}
			b := &c.pendingCapacity[i]
			if b.spot == spot && n.fits(b.free) && isEligible(s, b.typeName, b.spot) {
				k := min(left, b.free.holdsOf(n))
				b.free = b.free.minus(n.times(k))
				left -= k
			}
		}
	}
	return tasks - left
}

// planMachine has one more machine rented, and counts its room beside what is taken of it as
// coming, which is returned.
func (c *scaleOutState) planMachine(typ *wire.MachineType, spot bool, taken resources, want map[machineKind]int) *pendingMachine {
	want[machineKind{typ.Name, spot}]++
	c.pendingCapacity = append(c.pendingCapacity, pendingMachine{machineResources(typ).minus(taken), typ.Name, spot})
	return &c.pendingCapacity[len(c.pendingCapacity)-1]
}
