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
// free capacity do not show this: a gang needs the capacity for all its tasks at the same
// time, so pending machines, and free capacity on a machine that is too small for a task,
// do not count.
type GangCapacity struct {
	Now  int `json:"n"`
	Warm int `json:"w,omitempty"` // of those tasks, on machines that hold the image
}

// GangShape returns a key made of all properties of a gang that its GangCapacity depends
// on.
func GangShape(s *wire.Submission) string {
	return fmt.Sprintf("%g/%g/%g/%s/%t/%s", s.CPUs, s.GPUs, s.MemoryGB, s.Image, s.Spot, strings.Join(s.Types, ","))
}

// gangEstimate holds the figures by which a shard is ranked for a gang.
type gangEstimate struct {
	startable    int     // tasks that could start now
	warm         int     // of those tasks, on machines that hold the image
	reservedCPUs float64 // free CPUs that are reserved for gangs
}

// estimateGang estimates how many tasks of a gang a shard could start now. It uses
// estimatedTasks if the owner has not pushed the capacity for the gang's shape yet.
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

// gangReadiness is how soon a shard would start a gang. A smaller value is sooner.
type gangReadiness int

// Values of gangReadiness.
const (
	startsWarm       gangReadiness = iota // starts now, on machines that hold the image
	startsCold                            // starts now, but some machines have to fetch the image
	fitsAndScalesOut                      // fits by estimate, and the shard can scale out
	scalesOut                             // does not fit, but the shard can scale out
	fitsOnly                              // fits by estimate, but the shard cannot scale out
	mustWait                              // neither fits nor can the shard scale out
)

// readinessFor returns how soon the shard would start n tasks of a gang.
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

// rankForGang ranks the shards by how soon they would start n tasks of a gang. Among the
// shards that would start the tasks now, those that can start more of them on machines with
// the image come first. This concentrates images on few machines, where later gangs find
// them.
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

// planGang plans all of a gang's tasks or none. It assigns the whole gang to the shard that
// would start it soonest. It spreads a gang over several shards only if the gang must not
// be in one shard, or if the gang is overdue and no shard is ready to take all of it (see
// maySpreadGang).
func (c *Core) planGang(now time.Time, job *jobState) []plannedAssignment {
	s := &job.record.Spec
	if len(job.record.Assignments) > 0 {
		return nil // some tasks are still in assignments to shards
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

// maySpreadGang reports whether a gang may be assigned to several shards. A gang without
// zone rules may be if it has waited for constants.OverdueAfter and no shard could start all
// of it now, or fits all of it by estimate and can scale out. The list must be ranked for
// the gang, so its first shard is the one that would start the gang soonest.
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

// spreadGang plans all of a gang's tasks over several shards. It returns nil if the shards
// cannot take all tasks under the zone rules. Without zone rules each shard is assigned the
// tasks that fit it, or an equal part if that is more, and the last shard is assigned the
// remaining tasks.
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

// incrementAttemptIfSpread increments the attempt number of a gang that is assigned to
// several shards.
func incrementAttemptIfSpread(record *records.Job) {
	for _, a := range record.Assignments {
		if a.Shard != record.Assignments[0].Shard {
			record.Attempt++
			return
		}
	}
}

// closeUnassignedIfDone closes the unassigned tasks of a gang if another assignment of the
// gang is closed already, and reports whether it did so. A closed assignment shows that its
// owner found the whole gang done. Without this, tasks whose machine failed while the gang
// completed, and that their owner offloaded before the completion was known, would wait for
// the rest of the gang forever.
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
