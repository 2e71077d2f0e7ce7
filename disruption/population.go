package disruption

import (
	"time"

	"ravenport/constants"
	"ravenport/records"
)

// Counts are numbers of tasks by budget.
type Counts map[BudgetKey]int

// Add adds n to each of some keys.
func (c Counts) Add(keys []BudgetKey, n int) {
	for _, k := range keys {
		if c[k] += n; c[k] == 0 {
			delete(c, k)
		}
	}
}

// jobPopulation is what a job adds to the population.
type jobPopulation struct {
	keys       []BudgetKey
	tasks      int
	unassigned int
}

// recentAssignment is a number of tasks that have just been given to a shard.
type recentAssignment struct {
	until time.Time
	keys  []BudgetKey
	tasks int
}

// population follows, from the records of all jobs, how many tasks there are, and how many
// of those that should be up no shard looks after: services', as others may wait. Tasks
// that were just given to a shard count as the latter for a while longer, until its owner
// can have claimed them.
type population struct {
	budgets           Budgets
	jobs              map[string]jobPopulation
	total             Counts
	unassigned        Counts
	recentAssignments []recentAssignment
}

func newPopulation(b Budgets) population {
	return population{budgets: b, jobs: map[string]jobPopulation{}, total: Counts{}, unassigned: Counts{}}
}

// apply takes in a job's record.
func (p *population) apply(now time.Time, j *records.Job) {
	was, known := p.jobs[j.ID]
	var is jobPopulation
	if j.End == "" {
		is = jobPopulation{keys: was.keys, tasks: j.Spec.Tasks}
		if !known {
			is.keys = p.budgets.KeysFor(j.Spec.Team, j.Spec.Class, j.Spec.IsService())
		}
		switch {
		case j.Spec.IsService():
			is.unassigned = records.TasksIn(j.Unassigned())
		case j.Spec.IsGang():
			is.tasks = 1
		}
	}
	p.total.Add(was.keys, -was.tasks)
	p.unassigned.Add(was.keys, -was.unassigned)
	p.total.Add(is.keys, is.tasks)
	p.unassigned.Add(is.keys, is.unassigned)
	if given := was.unassigned - is.unassigned; given > 0 && is.tasks > 0 {
		p.recentAssignments = append(p.recentAssignments, recentAssignment{now.Add(constants.AssignmentHandoverTime), is.keys, given})
	}
	if len(is.keys) == 0 {
		delete(p.jobs, j.ID)
		return
	}
	p.jobs[j.ID] = is
}

// countUnowned is how many tasks are in no shard's care, or were until a moment ago.
func (p *population) countUnowned(now time.Time, k BudgetKey) int {
	n := p.unassigned[k]
	kept := p.recentAssignments[:0]
	for _, t := range p.recentAssignments {
		if !now.Before(t.until) {
			continue
		}
		kept = append(kept, t)
		for _, has := range t.keys {
			if has == k {
				n += t.tasks
			}
		}
	}
	p.recentAssignments = kept
	return n
}
