package shard

import (
	"cmp"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/wire"
)

// placement is which tasks wait, and how far rounds of placing have come.
type placement struct {
	changedJobs    []*job           // jobs whose waiting tasks are to be listed anew
	waiting        map[*job]bool    // jobs with waiting tasks
	lastQueue      []*job           // waiting jobs in the order of the last round
	taskBuffer     []*task          // ready tasks of the job that a round looks at
	resumeRank     *leader.Rank     // where the last round stopped
	roundBudget    time.Duration    // of a round
	roundClock     func() time.Time // what a round's time is taken by
	needsPlacement bool             // something changed that placing may use
	lastPlacement  time.Time
}

func newPlacement(budget time.Duration) placement {
	return placement{waiting: map[*job]bool{}, roundBudget: cmp.Or(budget, constants.RoundBudget), roundClock: time.Now, needsPlacement: true}
}

// placementRound is what a round of placing has found out.
type placementRound struct {
	freeMachines []*machine // usable machines with anything free
	// unplaceable are demands that found no room, and so will no larger ones; stuck
	// are those for which nothing could be stopped either.
	unplaceable, unpreemptable map[demandClass][]resources
	// lowest is the lowest priority among what could be stopped, and loose the
	// teams that run arrays beyond their guarantee; made when first asked for.
	preemptionScanned     bool
	reservationsExhausted bool // as many machines are kept for single jobs as may be
	hasCheckpointing      bool // some of it saves first
	lowestPriority        int
	overGuaranteeTeams    map[string]bool
}

// demandClass is what the room for a task depends on beside its size.
type demandClass struct {
	spot           bool
	types          string
	priorityLevel  int
	guaranteedTeam string // the team, for work within its guarantee
	image          string // for a search among machines that hold it
}

func (r *placementRound) known(in map[demandClass][]resources, d demandClass, n resources) bool {
	for _, f := range in[d] {
		if f.fits(n) {
			return true
		}
	}
	return false
}

// hopeless says that nothing can be stopped for a job's first waiting task either.
func (r *placementRound) preemptionIsFutile(j *job, d demandClass, n resources) bool {
	d.priorityLevel = wire.PriorityLevel(j.rec.Spec.Priority)
	if len(j.waiting) > 0 && j.waiting[0].withinGuarantee {
		d.guaranteedTeam = j.rec.Spec.Team
	}
	return !r.hasCheckpointing && r.known(r.unpreemptable, d, n)
}

func demandClassOf(s *wire.Submission) demandClass {
	d := demandClass{spot: s.Spot}
	for _, t := range s.Types {
		d.types += t + " "
	}
	return d
}

func (v *fleetView) newPlacementRound(now time.Time) *placementRound {
	return &placementRound{unplaceable: map[demandClass][]resources{}, unpreemptable: map[demandClass][]resources{}, freeMachines: v.machinesWithFreeCapacity(now)}
}
