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

// Kinds of settings.Objective: on the time until a job has finished, and until it starts.
const (
	objectiveOnFinish = "finished"
	objectiveOnStart  = "wait"
)

// starvationFactor: a job that would finish after so many times its class's last
// objective is ranked as if it had missed none, since what has waited longest must not
// starve.
const starvationFactor = 4

// JobOrder ranks waiting jobs: by priority, then overdue jobs, then those within their
// team's guaranteed quota, then gangs, whose tasks start together or not at all, then
// services, then arrays that can still meet an objective on their finish, then by age and
// work.
type JobOrder struct {
	finishObjectives map[string][]time.Duration // by class, in rising order
	startObjectives  map[string]time.Duration   // by class, the shortest
}

// NewJobOrder returns the order under a deployment's objectives.
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

// FinishObjective is the shortest objective on the finish of a class's jobs; 0 if there is
// none.
func (o JobOrder) FinishObjective(class string) time.Duration {
	if objectives := o.finishObjectives[class]; len(objectives) > 0 {
		return objectives[0]
	}
	return 0
}

// StartObjective is the shortest objective on the start of a class's jobs; 0 if there is
// none.
func (o JobOrder) StartObjective(class string) time.Duration { return o.startObjectives[class] }

// ObjectivesMet is how many of its class's objectives a job meets that finishes so long
// after it was accepted.
func (o JobOrder) ObjectivesMet(class string, after time.Duration) int {
	met := 0
	for _, objective := range o.finishObjectives[class] {
		if after <= objective {
			met++
		}
	}
	return met
}

// Rank is a job's position in the order. Fields are compared in turn, and the smaller
// value comes first.
type Rank struct {
	priority         int
	notOverdue       int     // 0: none of its tasks has started, and it has waited too long
	beyondGuarantee  int     // 0: within its team's guaranteed quota
	notGang          int     // 0: a gang, which needs all its capacity at one moment
	missedObjectives int     // on its finish, if it started now
	score            float64 // when it was accepted (Unix seconds), and later for more work
	acceptedMS       int64   // Unix milliseconds
	id               string
}

// JobProgress is what the rank of a job depends on beside its record.
type JobProgress struct {
	WithinGuarantee bool // its waiting tasks are within the team's guaranteed quota
	Started         bool // some of its tasks run or are done
}

// IsOverdue reports whether a job of which no task has started has waited so long that it
// comes before all others of its priority. Without this, large jobs and those that missed
// their objectives would starve under lasting overload.
func IsOverdue(now time.Time, record *records.Job, started bool) bool {
	return !started && jobAge(now, record) > constants.OverdueAfter
}

// OverdueBatch is how many of an overdue array's tasks come before all others: enough for
// it to begin, but not so many that the others cannot.
func OverdueBatch(tasks int) int { return max(1, tasks/constants.OverdueArrayDivisor) }

// jobAge is the time since a job was accepted.
func jobAge(now time.Time, record *records.Job) time.Duration {
	return time.Duration(now.UnixMilli()-record.AcceptedMS) * time.Millisecond
}

// Rank returns a job's rank.
func (o JobOrder) Rank(now time.Time, record *records.Job, progress JobProgress) Rank {
	s := &record.Spec
	rank := Rank{
		priority:        -s.Priority.Level(),
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
	if s.IsService() {
		return rank
	}
	if s.IsGang() {
		rank.notGang = 0
	}
	finish := jobAge(now, record) + settings.Seconds(s.EstimateS)
	rank.missedObjectives = o.missedObjectives(s.Class, finish)
	rank.score = float64(record.AcceptedMS)/1000 + float64(s.Tasks)*s.CPUs*s.EstimateS/constants.RankWorkPerSecond
	return rank
}

// missedObjectives is how many objectives count as missed by a job of a class that would
// finish so long after it was accepted.
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

// Compare orders ranks: the one that comes first is less.
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

// Before reports whether a rank comes before another.
func (r Rank) Before(other Rank) bool { return r.Compare(other) < 0 }
