package leader

import "ravenport/wire"

// quotaAmount is what counts against a team's guarantee and limit.
type quotaAmount struct{ cpus, gpus float64 }

// quotaOf is what n tasks of a job take.
func quotaOf(s *wire.Submission, n int) quotaAmount {
	return quotaAmount{float64(n) * s.CPUs, float64(n) * s.GPUs}
}

func (a quotaAmount) plus(b quotaAmount) quotaAmount {
	return quotaAmount{a.cpus + b.cpus, a.gpus + b.gpus}
}

func (a quotaAmount) minus(b quotaAmount) quotaAmount {
	return quotaAmount{a.cpus - b.cpus, a.gpus - b.gpus}
}

// larger is the larger of both, each by itself.
func (a quotaAmount) larger(b quotaAmount) quotaAmount {
	return quotaAmount{max(a.cpus, b.cpus), max(a.gpus, b.gpus)}
}

// setOpenQuota keeps the sum of what a team's open assignments may take. Only durable
// evidence frees room: an assignment counts until it is closed.
func (c *Core) setOpenQuota(j *jobState, open quotaAmount) {
	c.replaceUsedQuota(j.record.Spec.Team, j.openQuota, open)
	j.openQuota = open
}

// setReservedQuota notes what an assignment under way may take.
func (c *Core) setReservedQuota(id, team string, r quotaAmount) {
	c.replaceUsedQuota(team, c.reservedQuota[id], r)
	if r == (quotaAmount{}) {
		delete(c.reservedQuota, id)
	} else {
		c.reservedQuota[id] = r
	}
}

func (c *Core) replaceUsedQuota(team string, was, is quotaAmount) {
	c.usedQuota[team] = c.usedQuota[team].minus(was).plus(is)
}

// quotaUsedByOthers is what a team's open assignments may take, assignments of jobs other
// than one under way included.
func (c *Core) quotaUsedByOthers(team, except string) quotaAmount {
	return c.usedQuota[team].minus(c.reservedQuota[except])
}

// tasksWithinLimit says how many of n more tasks a team's limit allows.
func (c *Core) tasksWithinLimit(s *wire.Submission, n int) int {
	t := c.settings.Team(s.Team)
	if t == nil || t.CPUsMax <= 0 && t.GPUsMax <= 0 {
		return n
	}
	used := c.quotaUsedByOthers(s.Team, s.ID)
	if t.CPUsMax > 0 {
		n = tasksThatFit(n, t.CPUsMax-used.cpus, s.CPUs)
	}
	if t.GPUsMax > 0 {
		n = tasksThatFit(n, t.GPUsMax-used.gpus, s.GPUs)
	}
	return max(n, 0)
}

// tasksThatFit is how many of n tasks fit what is left of one resource.
func tasksThatFit(n int, left, each float64) int {
	if each <= 0 {
		return n
	}
	return min(n, int(left/each+1e-6))
}

// tasksWithinGuarantee is how many more tasks of a job fit its team's guarantee beside
// the team's other open work.
func (c *Core) tasksWithinGuarantee(s *wire.Submission) int {
	t := c.settings.Team(s.Team)
	if t == nil || t.CPUs <= 0 && t.GPUs <= 0 {
		return 0
	}
	used := c.quotaUsedByOthers(s.Team, s.ID)
	return max(tasksThatFit(tasksThatFit(s.Tasks, t.CPUs-used.cpus, s.CPUs), t.GPUs-used.gpus, s.GPUs), 0)
}
