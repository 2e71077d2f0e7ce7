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
	resumeRank     *leader.Rank     // rank of the job at which the last round ran out of time; nil: it reached the end
	roundBudget    time.Duration    // time limit of a round
	roundClock     func() time.Time // measures a round against its limit
	needsPlacement bool             // something has changed that a round may use
	lastPlacement  time.Time
}

// newPlacement returns an empty queue; a budget of 0 stands for constants.RoundBudget.
func newPlacement(budget time.Duration) placement {
	return placement{
		waiting:        map[*job]bool{},
		roundBudget:    cmp.Or(budget, constants.RoundBudget),
		roundClock:     time.Now,
		needsPlacement: true,
	}
}

// placementRound is what one round of placement has found out so far, so that jobs with
// the same or a larger demand need no search of their own.
type placementRound struct {
	freeMachines []*machine // schedulable machines with free capacity when the round began

	failedPlacements  failedDemands // no machine has free capacity for these
	failedPreemptions failedDemands // nor can preemption make it
	preemptionScan    preemptionScan

	reservationsExhausted bool // as many machines are reserved for single jobs as may be
}

// newPlacementRound begins a round with the machines that have free capacity now.
func (v *fleetView) newPlacementRound(now time.Time) *placementRound {
	return &placementRound{
		failedPlacements:  failedDemands{},
		failedPreemptions: failedDemands{},
		freeMachines:      v.machinesWithFreeCapacity(now),
	}
}

// demandClass is everything beside a task's size that decides whether a machine can take
// it.
type demandClass struct {
	spot           bool
	types          string // machine types, each followed by a space; empty: any
	priorityLevel  int    // for preemption only
	guaranteedTeam string // for preemption only: the team, where the task is within its guarantee
	image          string // for a search among the machines that hold this image
}

// demandClassOf is the class of a job's tasks for placement without preemption.
func demandClassOf(s *wire.Submission) demandClass {
	d := demandClass{spot: s.Spot}
	for _, t := range s.Types {
		d.types += t + " "
	}
	return d
}

// forPreemption is the class of a job's tasks as preemptors.
func (d demandClass) forPreemption(s *wire.Submission, withinGuarantee bool) demandClass {
	d.priorityLevel = s.Priority.Level()
	if withinGuarantee {
		d.guaranteedTeam = s.Team
	}
	return d
}

// failedDemands are the amounts, by class, for which a search has found nothing. The same
// holds for larger amounts of the class.
type failedDemands map[demandClass][]resources

// covers says whether a search for an amount is known to find nothing.
func (f failedDemands) covers(d demandClass, n resources) bool {
	for _, failed := range f[d] {
		if failed.fits(n) {
			return true
		}
	}
	return false
}

// add notes that a search for an amount has found nothing.
func (f failedDemands) add(d demandClass, n resources) { f[d] = append(f[d], n) }

// preemptionKnownToFail says whether preemption is known to find nothing for a job's first
// waiting task either.
func (r *placementRound) preemptionKnownToFail(j *job, d demandClass, n resources) bool {
	withinGuarantee := len(j.waiting) > 0 && j.waiting[0].withinGuarantee
	return !r.preemptionScan.needsCheckpoint && r.failedPreemptions.covers(d.forPreemption(&j.rec.Spec, withinGuarantee), n)
}
