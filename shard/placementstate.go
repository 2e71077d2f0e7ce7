package shard

import (
	"cmp"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/wire"
)

// placement is the queue of waiting tasks and the progress of placement rounds.
type placement struct {
	changedJobs    []*job           // jobs whose lists of waiting tasks are stale
	waiting        map[*job]bool    // jobs with waiting tasks
	lastQueue      []*job           // waiting jobs in the order of the last round
	taskBuffer     []*task          // reused for the ready tasks of one job
	resumeRank     *leader.Rank     // rank of the job at which the last round ran out of time; nil: the round reached the end
	roundBudget    time.Duration    // time limit of a round
	roundClock     func() time.Time // measures a round against its limit
	needsPlacement bool             // a change since the last round may allow placements
	lastPlacement  time.Time
}

// newPlacement returns an empty queue. A budget of 0 selects constants.RoundBudget.
func newPlacement(budget time.Duration) placement {
	return placement{
		waiting:        map[*job]bool{},
		roundBudget:    cmp.Or(budget, constants.RoundBudget),
		roundClock:     time.Now,
		needsPlacement: true,
	}
}

// placementRound holds what one placement round has found so far, so that the round does
// not repeat a failed search for jobs with the same or a larger demand.
type placementRound struct {
	freeMachines []*machine // schedulable machines with free capacity when the round began

	failedPlacements  failedDemands // demands for which no machine has free capacity
	failedPreemptions failedDemands // demands for which preemption cannot free a machine
	preemptionScan    preemptionScan

	reservationsExhausted bool // the limit on machines reserved for single jobs is reached
}

// newPlacementRound starts a round with the machines that have free capacity now.
func (v *fleetView) newPlacementRound(now time.Time) *placementRound {
	return &placementRound{
		failedPlacements:  failedDemands{},
		failedPreemptions: failedDemands{},
		freeMachines:      v.machinesWithFreeCapacity(now),
	}
}

// demandClass is everything besides a task's size that decides whether a machine can
// take the task.
type demandClass struct {
	spot           bool
	types          string // machine types, each followed by a space; empty: any
	priorityLevel  int    // for preemption only
	guaranteedTeam string // for preemption only: the team if the task is within its guarantee
	image          string // set in a search among only the machines that hold this image
}

// demandClassOf returns the class of a job's tasks for placement without preemption.
func demandClassOf(s *wire.Submission) demandClass {
	d := demandClass{spot: s.Spot}
	for _, t := range s.Types {
		d.types += t + " "
	}
	return d
}

// forPreemption returns the class of a job's tasks as preemptors.
func (d demandClass) forPreemption(s *wire.Submission, withinGuarantee bool) demandClass {
	d.priorityLevel = s.Priority.Level()
	if withinGuarantee {
		d.guaranteedTeam = s.Team
	}
	return d
}

// failedDemands holds, by class, the amounts for which a search has found no machine. A
// search for a larger amount of the same class finds none either.
type failedDemands map[demandClass][]resources

// covers reports whether a search for an amount is known to find no machine.
func (f failedDemands) covers(d demandClass, n resources) bool {
	for _, failed := range f[d] {
		if failed.fits(n) {
			return true
		}
	}
	return false
}

// add records that a search for an amount has found no machine.
func (f failedDemands) add(d demandClass, n resources) { f[d] = append(f[d], n) }

// preemptionKnownToFail reports whether preemption is known to free no machine for a
// job's first waiting task.
func (r *placementRound) preemptionKnownToFail(j *job, d demandClass, n resources) bool {
	withinGuarantee := len(j.waiting) > 0 && j.waiting[0].withinGuarantee
	return !r.preemptionScan.needsCheckpoint && r.failedPreemptions.covers(d.forPreemption(&j.record.Spec, withinGuarantee), n)
}
