package leader

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// GangCapacity is how many tasks of a gang of one shape a shard could start now. Sums of
// free capacity do not tell that: a gang needs the capacity for all tasks at one moment,
// so machines that are being provisioned and pieces that are too small do not count.
type GangCapacity struct {
	Now  int `json:"n"`
	Warm int `json:"w,omitempty"` // of them, on machines that have the image
}

// GangShape identifies all properties of a gang that its GangCapacity depends on.
func GangShape(s *wire.Submission) string {
	return fmt.Sprintf("%g/%g/%g/%s/%t/%s", s.CPUs, s.GPUs, s.MemoryGB, s.Image, s.Spot, strings.Join(s.Types, ","))
}

// gangEstimate is what a shard is ranked by for a gang.
type gangEstimate struct {
	startable    int     // tasks that could start now
	warm         int     // of them, on machines that have the image
	reservedCPUs float64 // kept free for gangs
}

// estimateGang estimates what a shard could start of a gang. estimatedTasks stands in where
// the owner has not pushed the capacity for the gang's shape yet.
func (sh *shardState) estimateGang(s *wire.Submission, estimatedTasks int) gangEstimate {
	capacity, known := sh.aggregate.Gangs[GangShape(s)]
	estimate := gangEstimate{reservedCPUs: sh.aggregate.ReservedForGangs}
	if !known {
		estimate.startable = estimatedTasks
		return estimate
	}
	if s.CPUs <= 0 {
		return estimate
	}
	assignedCPUs := 0.0
	for _, r := range sh.reservations {
		if r.gang {
			assignedCPUs += r.cpus
		}
	}
	assignedTasks := int(assignedCPUs / s.CPUs)
	estimate.startable = capacity.Now - assignedTasks
	estimate.warm = capacity.Warm - assignedTasks
	return estimate
}

// gangReadiness is how soon a shard would start a gang; less is sooner.
type gangReadiness int

// Values of gangReadiness.
const (
	startsWarm       gangReadiness = iota // now, on machines that have the image
	startsCold                            // now
	fitsAndScalesOut                      // by estimate it fits, and the shard can scale out
	scalesOut                             // the shard can scale out
	fitsOnly                              // by estimate it fits
	mustWait                              // none of these
)

// readinessFor is how soon a shard would start n tasks of a gang.
func (k *candidate) readinessFor(n int) gangReadiness {
	fits := k.estimatedTasks >= n
	switch {
	case k.gang.warm >= n:
		return startsWarm
	case k.gang.startable >= n:
		return startsCold
	case fits && k.canScaleOut:
		return fitsAndScalesOut
	case k.canScaleOut:
		return scalesOut
	case fits:
		return fitsOnly
	}
	return mustWait
}

// rankForGang puts the shards first that would start n tasks of a gang soonest. Among those
// that start it now, more machines with the image come first, so that images gather on few
// machines and are there the next time.
func rankForGang(list []*candidate, n int) {
	sort.SliceStable(list, func(a, b int) bool {
		x, y := list[a], list[b]
		readiness := x.readinessFor(n)
		if other := y.readinessFor(n); readiness != other {
			return readiness < other
		}
		startsNow := readiness <= startsCold
		switch {
		case startsNow && min(x.gang.warm, n) != min(y.gang.warm, n):
			return x.gang.warm > y.gang.warm
		case startsNow && x.gang.reservedCPUs != y.gang.reservedCPUs:
			return x.gang.reservedCPUs > y.gang.reservedCPUs
		case startsNow || readiness == fitsOnly:
			return x.freeCPUs < y.freeCPUs
		case readiness == fitsAndScalesOut || readiness == scalesOut:
			return x.totalCPUs < y.totalCPUs
		}
		return x.queuedCPUs < y.queuedCPUs
	})
}

// planGang plans a gang's tasks, all of them or none. One shard takes it whole: the one
// that would start it soonest. Only a gang that must not be in one shard, or that has been
// overdue without a shard that takes it, is spread over several.
func (c *Core) planGang(now time.Time, job *jobState) []plannedAssignment {
	s := &job.record.Spec
	if len(job.record.Assignments) > 0 {
		return nil // owners have not sent all of it back yet
	}
	list, ok := c.candidates(now, job)
	if !ok {
		return nil
	}
	rankForGang(list, s.Tasks)
	if !c.maySpreadGang(now, job, list) {
		return []plannedAssignment{{list[0].shard, s.Tasks, true}}
	}
	rankForGang(list, (s.Tasks+1)/2)
	return spreadGang(list, s)
}

// maySpreadGang reports whether a gang may be assigned to several of the shards, which are
// ranked for it.
func (c *Core) maySpreadGang(now time.Time, job *jobState, list []*candidate) bool {
	s := &job.record.Spec
	if s.Spread && s.Tasks != 1 {
		return true
	}
	if s.OneZone || s.Zone != "" || len(list) == 1 {
		return false
	}
	hasWaitedLong := jobAge(now, job.record) >= constants.OverdueAfter
	return hasWaitedLong && list[0].readinessFor(s.Tasks) >= scalesOut
}

// spreadGang plans a gang for several shards, all of its tasks or none: nil if the shards
// cannot hold it under the zone rules. Without zone rules each shard takes what fits it,
// or an equal part if that is more, and the last takes the rest.
func spreadGang(list []*candidate, s *wire.Submission) []plannedAssignment {
	var plan []plannedAssignment
	left := s.Tasks
	for i, k := range list {
		var tasks int
		switch {
		case s.Spread:
			tasks = min(left, k.maxTasks)
		case i == len(list)-1:
			tasks = left
		default:
			tasks = min(left, max(k.estimatedTasks, s.Tasks/len(list)))
		}
		if tasks > 0 {
			plan = append(plan, plannedAssignment{k.shard, tasks, true})
			left -= tasks
		}
	}
	if left > 0 {
		return nil
	}
	return plan
}

// incrementAttemptIfSpread counts one more attempt of a gang that is to run in several
// shards.
func incrementAttemptIfSpread(record *records.Job) {
	for _, a := range record.Assignments {
		if a.Shard != record.Assignments[0].Shard {
			record.Attempt++
			return
		}
	}
}

// closeUnassignedIfDone closes the unassigned tasks of a gang if another assignment of it
// is closed already: that one's owner saw the gang done, so all of it is. It reports
// whether it did. Tasks that lost their machine as the gang completed were sent back before
// anybody knew, and would wait for the rest of the gang for ever.
func closeUnassignedIfDone(record *records.Job) bool {
	if !slices.ContainsFunc(record.Assignments, func(a records.Assignment) bool { return a.Closed }) {
		return false
	}
	for _, r := range record.Unassigned() {
		record.Assignments = append(record.Assignments, records.Assignment{From: r.From, To: r.To, Closed: true})
	}
	record.Normalize()
	if record.AllTasksClosed() {
		record.End = wire.JobDone
	}
	return true
}
