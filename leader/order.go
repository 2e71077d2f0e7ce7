package leader

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/settings"
)

// Kinds of settings.Objective: on the time from acceptance of a job until it has finished,
// and until it starts.
const (
	objectiveOnFinish = "finished"
	objectiveOnStart  = "wait"
)

// starvationFactor is a multiple of the longest finish objective of a class. A job that
// would finish later than this is ranked as if it had missed no objective, so that jobs
// that have waited longest do not starve.
const starvationFactor = 4

// JobOrder ranks waiting jobs by priority. Within a priority, overdue jobs come first, then
// jobs within their team's guaranteed quota, then gangs (whose tasks start together or not
// at all), then services, then arrays that can still meet an objective on their finish.
// Jobs that are equal in all of these are ranked by age and amount of work.
type JobOrder struct {
	finishObjectives map[string][]time.Duration // by class, in ascending order
	startObjectives  map[string]time.Duration   // by class, the shortest
}

// NewJobOrder returns the order of jobs for a deployment's objectives.
func NewJobOrder(objectives []settings.Objective) JobOrder {
	o := JobOrder{finishObjectives: map[string][]time.Duration{}, startObjectives: map[string]time.Duration{}}
	for _, objective := range objectives {
		within := settings.Seconds(objective.WithinS)
		if objective.Kind == objectiveOnFinish && objective.WithinS > 0 {
			o.finishObjectives[objective.Class] = append(o.finishObjectives[objective.Class], within)
		}
		shortest := o.startObjectives[objective.Class]
		if objective.Kind == objectiveOnStart && within > 0 && (shortest == 0 || within < shortest) {
			o.startObjectives[objective.Class] = within
		}
	}
	for _, objectives := range o.finishObjectives {
		slices.Sort(objectives)
	}
	return o
}

// FinishObjective returns the shortest objective on the finish of a class's jobs; 0 if
// there is none.
func (o JobOrder) FinishObjective(class string) time.Duration {
	if objectives := o.finishObjectives[class]; len(objectives) > 0 {
		return objectives[0]
	}
	return 0
}

// StartObjective returns the shortest objective on the start of a class's jobs; 0 if there
// is none.
func (o JobOrder) StartObjective(class string) time.Duration { return o.startObjectives[class] }

// ObjectivesMet returns how many finish objectives of its class a job meets if it finishes
// at the given time after it was accepted.
func (o JobOrder) ObjectivesMet(class string, after time.Duration) int {
	met := 0
	for _, objective := range o.finishObjectives[class] {
		if after <= objective {
			met++
		}
	}
	return met
}

// Rank is a job's position in the order. Ranks are compared field by field, in the order of
// declaration, and the smaller value comes first.
type Rank struct {
	priority         int
	notOverdue       int     // 0: overdue, see IsOverdue
	beyondGuarantee  int     // 0: within its team's guaranteed quota
	notGang          int     // 0: a gang, which needs capacity for all its tasks at the same time
	missedObjectives int     // finish objectives that the job would miss if it started now
	score            float64 // acceptance time (Unix seconds), plus an amount that grows with the job's work
	acceptedMS       int64   // acceptance time (Unix milliseconds)
	id               string
}

// JobProgress holds what the rank of a job depends on besides its record.
type JobProgress struct {
	WithinGuarantee bool // at least one waiting task of the job is within the team's guaranteed quota
	Started         bool // some of the job's tasks are running or done; for the leader: are in assignments
}

// IsOverdue reports whether a job of which no task has started has waited longer than
// constants.OverdueAfter. An overdue job comes before all others of its priority. Without
// this rule, large jobs and jobs that missed their objectives would starve under sustained
// overload.
func IsOverdue(now time.Time, record *records.Job, started bool) bool {
	return !started && jobAge(now, record) > constants.OverdueAfter
}

// OverdueBatch returns how many tasks of an overdue array come before all other jobs:
// enough for the array to start, but few enough that other jobs can start as well.
func OverdueBatch(tasks int) int { return max(1, tasks/constants.OverdueArrayDivisor) }

// jobAge returns the time since a job was accepted.
func jobAge(now time.Time, record *records.Job) time.Duration {
	return time.Duration(now.UnixMilli()-record.AcceptedMS) * time.Millisecond
}

// Rank returns the rank of a job.
func (o JobOrder) Rank(now time.Time, record *records.Job, progress JobProgress) Rank {
	spec := &record.Spec
	rank := Rank{
		priority:        -spec.Priority.Level(),
		notOverdue:      1,
		beyondGuarantee: 1,
		notGang:         1,
		acceptedMS:      record.AcceptedMS,
		id:              record.ID,
	}
	if progress.WithinGuarantee {
		rank.beyondGuarantee = 0
	}
	if IsOverdue(now, record, progress.Started) {
		rank.notOverdue = 0
	}
	if spec.IsService() {
		return rank
	}
	if spec.IsGang() {
		rank.notGang = 0
	}
	finish := jobAge(now, record) + settings.Seconds(spec.EstimateS)
	rank.missedObjectives = o.missedObjectives(spec.Class, finish)
	rank.score = float64(record.AcceptedMS)/1000 + float64(spec.Tasks)*spec.CPUs*spec.EstimateS/constants.RankWorkPerSecond
	return rank
}

// missedObjectives returns how many finish objectives of a class count as missed by a job
// that would finish at the given time after it was accepted.
func (o JobOrder) missedObjectives(class string, finish time.Duration) int {
	missed := 0
	last := time.Duration(0)
	for _, objective := range o.finishObjectives[class] {
		last = objective
		if finish > objective {
			missed++
		}
	}
	if last > 0 && finish > starvationFactor*last {
		return 0
	}
	return missed
}

// Compare returns a negative number if r comes before other, a positive number if it comes
// after, and 0 if the ranks are equal.
func (r Rank) Compare(other Rank) int {
	switch {
	case r.priority != other.priority:
		return cmp.Compare(r.priority, other.priority)
	case r.notOverdue != other.notOverdue:
		return cmp.Compare(r.notOverdue, other.notOverdue)
	case r.beyondGuarantee != other.beyondGuarantee:
		return cmp.Compare(r.beyondGuarantee, other.beyondGuarantee)
	case r.notGang != other.notGang:
		return cmp.Compare(r.notGang, other.notGang)
	case r.missedObjectives != other.missedObjectives:
		return cmp.Compare(r.missedObjectives, other.missedObjectives)
	case r.score != other.score:
		return cmp.Compare(r.score, other.score)
	case r.acceptedMS != other.acceptedMS:
		return cmp.Compare(r.acceptedMS, other.acceptedMS)
	}
	return strings.Compare(r.id, other.id)
}

// Before reports whether r comes before other.
func (r Rank) Before(other Rank) bool { return r.Compare(other) < 0 }
