package leader

import (
	"cmp"
	"sort"
	"strings"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/settings"
	"ravenport/wire"
)

// JobOrder ranks jobs that wait: by priority, then those that have waited long and
// nothing of which has begun, then guaranteed work, then gangs, whose tasks begin
// together or not at all, then those of which an
// objective can still be met before those that missed it, then by age and work.
type JobOrder struct {
	finishObjectives map[string][]time.Duration // by class, rising
	startObjectives  map[string]time.Duration   // by class, the first
}

// NewJobOrder takes in the deployment's objectives.
func NewJobOrder(objectives []settings.Objective) JobOrder {
	o := JobOrder{finishObjectives: map[string][]time.Duration{}, startObjectives: map[string]time.Duration{}}
	for _, x := range objectives {
		if x.Kind == "finished" && x.WithinS > 0 {
			o.finishObjectives[x.Class] = append(o.finishObjectives[x.Class], settings.Seconds(x.WithinS))
		}
		if w := settings.Seconds(x.WithinS); x.Kind == "wait" && w > 0 && (o.startObjectives[x.Class] == 0 || w < o.startObjectives[x.Class]) {
			o.startObjectives[x.Class] = w
		}
	}
	for _, w := range o.finishObjectives {
		sort.Slice(w, func(a, b int) bool { return w[a] < w[b] })
	}
	return o
}

// FinishObjective is the first objective on finishing of a class; 0: it has none.
func (o JobOrder) FinishObjective(class string) time.Duration {
	if w := o.finishObjectives[class]; len(w) > 0 {
		return w[0]
	}
	return 0
}

// StartObjective is the first objective on starting of a class; 0: it has none.
func (o JobOrder) StartObjective(class string) time.Duration { return o.startObjectives[class] }

// ObjectivesMet is how many objectives on finishing a job of a class meets that is
// done after that long.
func (o JobOrder) ObjectivesMet(class string, after time.Duration) int {
	n := 0
	for _, w := range o.finishObjectives[class] {
		if after <= w {
			n++
		}
	}
	return n
}

// Rank is a job's place in the order; smaller comes first.
type Rank struct {
	priority         int
	notOverdue       int     // 0: nothing of it has begun, and it is time
	beyondGuarantee  int     // 1: beyond the team's guarantee
	notGang          int     // 0: a gang, which needs all its room at one moment
	missedObjectives int     // objectives missed so far
	score            float64 // seconds: when it was accepted, later for more work
	acceptedMS       int64
	id               string
}

// IsOverdue says whether a job of which nothing has begun has waited so long that
// it comes before all others of its priority: without this, large jobs and those
// that missed their objectives would starve under lasting overload.
func IsOverdue(now time.Time, rec *records.Job, begun bool) bool {
	return !begun && now.UnixMilli()-rec.AcceptedMS > constants.OverdueAfter.Milliseconds()
}

// OverdueBatch is how many of an overdue array's tasks come before all others: so
// that it begins, and does not keep the others from beginning.
func OverdueBatch(tasks int) int { return max(1, tasks/constants.OverdueDivisor) }

// Rank ranks a job; guaranteed says whether what waits of it is within its
// team's guarantee, begun whether any of its tasks runs or is done.
func (o JobOrder) Rank(now time.Time, rec *records.Job, guaranteed, begun bool) Rank {
	s := &rec.Spec
	p := Rank{beyondGuarantee: 1, notOverdue: 1, notGang: 1, priority: -wire.PriorityLevel(s.Priority), acceptedMS: rec.AcceptedMS, id: rec.ID}
	if guaranteed {
		p.beyondGuarantee = 0
	}
	if IsOverdue(now, rec, begun) {
		p.notOverdue = 0
	}
	if s.IsService() {
		return p
	}
	if s.IsGang() {
		p.notGang = 0
	}
	age := time.Duration(now.UnixMilli()-rec.AcceptedMS) * time.Millisecond
	end := age + settings.Seconds(s.EstimateS)
	last := time.Duration(0)
	for _, w := range o.finishObjectives[s.Class] {
		last = w
		if end > w {
			p.missedObjectives++
		}
	}
	// Beyond the last objective every doubling of the time counts as one more,
	// the other way round: what has waited longest must not starve.
	if last > 0 && end > 4*last {
		p.missedObjectives = 0
	}
	p.score = float64(rec.AcceptedMS)/1000 + float64(s.Tasks)*s.CPUs*s.EstimateS/constants.RankWorkPerSecond
	return p
}

// Compare orders places: the one that comes first is less.
func (p Rank) Compare(q Rank) int {
	switch {
	case p.priority != q.priority:
		return cmp.Compare(p.priority, q.priority)
	case p.notOverdue != q.notOverdue:
		return cmp.Compare(p.notOverdue, q.notOverdue)
	case p.beyondGuarantee != q.beyondGuarantee:
		return cmp.Compare(p.beyondGuarantee, q.beyondGuarantee)
	case p.notGang != q.notGang:
		return cmp.Compare(p.notGang, q.notGang)
	case p.missedObjectives != q.missedObjectives:
		return cmp.Compare(p.missedObjectives, q.missedObjectives)
	case p.score != q.score:
		return cmp.Compare(p.score, q.score)
	case p.acceptedMS != q.acceptedMS:
		return cmp.Compare(p.acceptedMS, q.acceptedMS)
	}
	return strings.Compare(p.id, q.id)
}

// Before says whether a place comes before another.
func (p Rank) Before(q Rank) bool { return p.Compare(q) < 0 }
