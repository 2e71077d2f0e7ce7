package disruption

import (
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/records"
)

// Counts holds numbers of tasks by budget. Budgets without tasks are absent.
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

// jobPopulation is the contribution of one job to the population.
type jobPopulation struct {
	keys       []BudgetKey
	tasks      int
	unassigned int // tasks of a service that are assigned to no shard
}

// recentAssignment is a number of tasks that were assigned to a shard recently.
type recentAssignment struct {
	until time.Time // from then on the claim of the shard's owner includes the tasks
	keys  []BudgetKey
	tasks int
}

// population counts the tasks of all jobs by budget, from the jobs' records. It also counts
// the unassigned tasks of services: they are unavailable, but no owner claims them because
// they are in no shard. Recently assigned tasks count as unassigned until their owner can
// have claimed them. Unassigned tasks of arrays and gangs do not count, because arrays and
// gangs may wait.
type population struct {
	budgets           Budgets
	jobs              map[string]jobPopulation // by job; only jobs that count against a budget
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

// newJobPopulation returns the contribution of a job whose tasks count against the keys. A
// job that has ended contributes nothing. A gang counts as one task.
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

// countUnowned returns how many tasks of a budget are in no shard, or were assigned to a
// shard recently. It removes assignments that are no longer recent.
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
