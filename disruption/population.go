package disruption

import (
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/records"
)

// Counts are numbers of tasks by budget. Budgets without tasks are absent.
type Counts map[BudgetKey]int

// Add adds n to the count of each key.
func (c Counts) Add(keys []BudgetKey, n int) {
	for _, k := range keys {
		c[k] += n
		if c[k] == 0 {
			delete(c, k)
		}
	}
}

// jobPopulation is what a job adds to the population.
type jobPopulation struct {
	keys       []BudgetKey
	tasks      int
	unassigned int // services' tasks in no assignment
}

// recentAssignment is a number of tasks that were assigned to a shard lately.
type recentAssignment struct {
	until time.Time // when the shard's owner counts them
	keys  []BudgetKey
	tasks int
}

// population counts, from the records of all jobs, the tasks that count against each
// budget, and the tasks of services that no owner counts as unavailable because they are in
// no shard. Tasks that were assigned lately count among the latter until their owner can
// have claimed them. Arrays' and gangs' unassigned tasks do not count: they may wait.
type population struct {
	budgets           Budgets
	jobs              map[string]jobPopulation // by job, of those that count against a budget
	total             Counts
	unassigned        Counts
	recentAssignments []recentAssignment
}

func newPopulation(b Budgets) population {
	return population{budgets: b, jobs: map[string]jobPopulation{}, total: Counts{}, unassigned: Counts{}}
}

// apply applies a job's record.
func (p *population) apply(now time.Time, j *records.Job) {
	before, known := p.jobs[j.ID]
	keys := before.keys
	if !known && j.End == "" {
		keys = p.budgets.KeysFor(j.Spec.Team, j.Spec.Class, j.Spec.IsService())
	}
	after := newJobPopulation(j, keys)
	p.total.Add(before.keys, -before.tasks)
	p.unassigned.Add(before.keys, -before.unassigned)
	p.total.Add(after.keys, after.tasks)
	p.unassigned.Add(after.keys, after.unassigned)
	if assigned := before.unassigned - after.unassigned; assigned > 0 && after.tasks > 0 {
		until := now.Add(constants.AssignmentHandoverTime)
		p.recentAssignments = append(p.recentAssignments, recentAssignment{until, after.keys, assigned})
	}
	if len(after.keys) == 0 {
		delete(p.jobs, j.ID)
		return
	}
	p.jobs[j.ID] = after
}

// newJobPopulation is what a job whose tasks count against the keys adds: nothing once it
// has ended. A gang counts as one task.
func newJobPopulation(j *records.Job, keys []BudgetKey) jobPopulation {
	if j.End != "" {
		return jobPopulation{}
	}
	added := jobPopulation{keys: keys, tasks: j.Spec.Tasks}
	switch {
	case j.Spec.IsService():
		added.unassigned = records.TasksIn(j.Unassigned())
	case j.Spec.IsGang():
		added.tasks = 1
	}
	return added
}

// countUnowned is how many tasks are in no shard, or were until a moment ago. It forgets
// the assignments that are not recent any more.
func (p *population) countUnowned(now time.Time, k BudgetKey) int {
	n := p.unassigned[k]
	recent := p.recentAssignments[:0]
	for _, a := range p.recentAssignments {
		if !now.Before(a.until) {
			continue
		}
		recent = append(recent, a)
		if slices.Contains(a.keys, k) {
			n += a.tasks
		}
	}
	p.recentAssignments = recent
	return n
}
