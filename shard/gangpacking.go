package shard

import (
	"slices"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// machineSlots is a machine with free capacity for some of a gang's tasks.
type machineSlots struct {
	machine  *machine
	slots    int // how many of the gang's tasks fit
	hasImage bool
}

// isSamePackingClass reports whether two machines are equal in the criteria that
// sortForPacking ranks before the number of slots.
func (s machineSlots) isSamePackingClass(o machineSlots) bool {
	return s.machine.consolidating == o.machine.consolidating && s.machine.reservedForGangs == o.machine.reservedForGangs
}

// gangSlots lists the machines on which a gang's tasks fit, and those among them that
// hold the image and are not being consolidated.
type gangSlots struct {
	all, withImage           []machineSlots
	allSlots, withImageSlots int
}

// packGang finds a machine for each of a gang's tasks, or returns nil if the tasks do
// not all fit now. Machines are chosen by best fit: among the machines that fit all
// remaining tasks, the one with the least capacity left; if there is none, the machine
// that fits the most tasks. Few machines then have to fetch the image. If all tasks fit
// on machines that hold the image, only those machines are used. A machine that lists a
// task under the attempt number, because it refused the start of an earlier owner, is
// left out: its worker would ignore another start.
func (v *fleetView) packGang(now time.Time, s *wire.Submission, tasks int, number uint64) []*machine {
	slots := v.gangSlotsFor(now, s, number)
	switch {
	case slots.withImageSlots >= tasks:
		return packBestFit(slots.withImage, tasks)
	case slots.allSlots < tasks:
		return nil
	case v.fetchMissesStartObjective(s):
		// The gang misses its start objective in any case. The gang is spread over as
		// many of the reserved machines as possible, so that later gangs find the image
		// on them.
		return spreadOverReserved(slots.all, tasks)
	}
	return packBestFit(slots.all, tasks)
}

// gangSlotsFor returns the machines on which tasks of a gang fit now under an attempt
// number.
func (v *fleetView) gangSlotsFor(now time.Time, spec *wire.Submission, number uint64) gangSlots {
	demand := taskResources(spec)
	isOfAttempt := func(a *attempt) bool { return a.key.number == number && a.jobID == spec.ID }
	var out gangSlots
	for _, m := range v.fleet {
		if !isEligible(spec, m.typeName, m.spot) || !v.isSchedulable(now, m) {
			continue
		}
		if m.reservedFor != nil && m.reservedFor.record.ID != spec.ID {
			continue
		}
		count := v.freeResources(m).countFitting(demand)
		if count == 0 || slices.ContainsFunc(m.attempts, isOfAttempt) {
			continue
		}
		slots := machineSlots{m, count, m.cachedImages[spec.Image]}
		out.all = append(out.all, slots)
		out.allSlots += count
		if slots.hasImage && !m.consolidating {
			out.withImage = append(out.withImage, slots)
			out.withImageSlots += count
		}
	}
	return out
}

// fetchMissesStartObjective reports whether the image fetch alone may make a gang miss
// the start objective of its class. A gang starts only when the slowest of its machines
// has fetched the image.
func (v *fleetView) fetchMissesStartObjective(s *wire.Submission) bool {
	objective := v.cfg.JobOrder.StartObjective(s.Class)
	if objective <= 0 {
		return false
	}
	for _, t := range v.types {
		if t.FetchGBPerS <= 0 || !isEligible(s, t.Name, false) {
			continue
		}
		fetchS := s.ImageGB / t.FetchGBPerS * constants.SlowFetchFactor
		if fetchS < objective.Seconds() {
			return false
		}
	}
	return true
}

// spreadOverReserved spreads tasks evenly over the machines that are reserved for gangs, and
// packs on others only what does not fit there.
func spreadOverReserved(machines []machineSlots, tasks int) []*machine {
	var reserved, others []machineSlots
	reservedSlots := 0
	for _, m := range machines {
		if m.machine.reservedForGangs && !m.machine.consolidating {
			reserved = append(reserved, m)
			reservedSlots += m.slots
		} else {
			others = append(others, m)
		}
	}
	sort.Slice(reserved, func(i, j int) bool { return reserved[i].machine.name < reserved[j].machine.name })
	onReserved := min(reservedSlots, tasks)
	out := make([]*machine, 0, tasks)
	for pass := 0; len(out) < onReserved; pass++ {
		for _, m := range reserved {
			if m.slots > pass && len(out) < onReserved {
				out = append(out, m.machine)
			}
		}
	}
	return append(out, packBestFit(others, tasks-onReserved)...)
}

// packBestFit packs tasks on machines that have slots for all of them, and returns the
// machine of each task. It modifies the given slice.
func packBestFit(machines []machineSlots, tasks int) []*machine {
	sortForPacking(machines)
	out := make([]*machine, 0, tasks)
	for len(out) < tasks {
		remaining := tasks - len(out)
		best := bestSlots(machines, remaining)
		for range min(remaining, machines[best].slots) {
			out = append(out, machines[best].machine)
		}
		machines = slices.Delete(machines, best, best+1)
	}
	return out
}

// sortForPacking sorts the machines with the most slots first. Machines that are being
// consolidated come last. Machines reserved for gangs come before others, because the
// next gangs will run there as well and find the image.
func sortForPacking(machines []machineSlots) {
	sort.Slice(machines, func(i, j int) bool {
		a, b := machines[i], machines[j]
		switch {
		case a.machine.consolidating != b.machine.consolidating:
			return b.machine.consolidating
		case a.machine.reservedForGangs != b.machine.reservedForGangs:
			return a.machine.reservedForGangs
		case a.slots != b.slots:
			return a.slots > b.slots
		case a.hasImage != b.hasImage:
			return a.hasImage
		}
		return a.machine.name < b.machine.name
	})
}

// bestSlots returns the index of the machine to fill next, in a list sorted by
// sortForPacking: in the first packing class with a machine that fits all remaining tasks,
// the machine with the fewest slots among those that fit them. If there is no such class,
// the result is the first machine, which fits the most tasks of its class.
func bestSlots(machines []machineSlots, remaining int) int {
	best := 0
	for i, m := range machines {
		if m.slots < remaining {
			continue
		}
		isTighter := m.isSamePackingClass(machines[best]) && m.slots < machines[best].slots
		if machines[best].slots < remaining || isTighter {
			best = i
		}
	}
	return best
}
