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
	slots    int // how many tasks fit
	hasImage bool
}

// isSamePackingClass says whether two machines differ in nothing that packing puts before
// the number of their slots.
func (s machineSlots) isSamePackingClass(o machineSlots) bool {
	return s.machine.consolidating == o.machine.consolidating && s.machine.reservedForGangs == o.machine.reservedForGangs
}

// gangSlots are the machines on which a gang's tasks fit, and of those the ones that hold
// the image and are not being consolidated.
type gangSlots struct {
	all, withImage           []machineSlots
	allSlots, withImageSlots int
}

// packGang finds a machine for each of a gang's tasks, nil if they do not all fit now. It
// is a best fit by machine: of those that fit all remaining tasks the one that is left with
// the least, else the one that fits the most, so that few machines have to fetch the image.
// If all tasks fit on machines that hold it, only those are used. A machine that lists a
// task of the attempt number, refused to an earlier owner, would ignore another start.
func (v *fleetView) packGang(now time.Time, s *wire.Submission, tasks int, number uint64) []*machine {
	slots := v.gangSlotsFor(now, s, number)
	switch {
	case slots.withImageSlots >= tasks:
		return packBestFit(slots.withImage, tasks)
	case slots.allSlots < tasks:
		return nil
	case v.fetchMissesStartObjective(s):
		// The objective is missed whatever is done: the gang brings the image to as many
		// of the reserved machines as it can, for the gangs that come after it.
		return spreadOverReserved(slots.all, tasks)
	}
	return packBestFit(slots.all, tasks)
}

// gangSlotsFor lists the machines on which tasks of a gang fit now under an attempt number.
func (v *fleetView) gangSlotsFor(now time.Time, spec *wire.Submission, number uint64) gangSlots {
	demand := taskResources(spec)
	isOfAttempt := func(a *attempt) bool { return a.key.number == number && a.jobID == spec.ID }
	var out gangSlots
	for _, m := range v.fleet {
		if !isEligible(spec, m.typeName, m.spot) || !v.isSchedulable(now, m) {
			continue
		}
		if m.reservedFor != nil && m.reservedFor.rec.ID != spec.ID {
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

// fetchMissesStartObjective says whether the fetch of its image alone may make a gang miss
// its class's start objective. The gang starts with the slowest of its machines.
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
// machine of each task. It sorts and changes the list that it is given.
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

// sortForPacking puts the machines with the most slots first. Machines that are being
// consolidated come last, and machines reserved for gangs before others: the next gangs
// will be there as well, and find the image.
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

// bestSlots is the index of the machine that is filled next, of a list in the order of
// sortForPacking: the one with the fewest slots of those that fit all remaining tasks, else
// the first, which fits the most.
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
