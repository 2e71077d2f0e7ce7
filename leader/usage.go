package leader

import "ravenport/wire"

// amount is what counts against a team's guarantee and limit.
type amount struct{ cpus, gpus float64 }

// amountOf is what n tasks of a job take.
func amountOf(s *wire.Submission, n int) amount {
	return amount{float64(n) * s.CPUs, float64(n) * s.GPUs}
}

func (a amount) plus(b amount) amount { return amount{a.cpus + b.cpus, a.gpus + b.gpus} }

func (a amount) minus(b amount) amount { return amount{a.cpus - b.cpus, a.gpus - b.gpus} }

// larger is the larger of both, each by itself.
func (a amount) larger(b amount) amount { return amount{max(a.cpus, b.cpus), max(a.gpus, b.gpus)} }

// count keeps the sum of what a team's open assignments may take. Only durable
// evidence frees room: an assignment counts until it is closed.
func (c *Core) count(j *jobState, open amount) {
	c.add(j.rec.Spec.Team, j.open, open)
	j.open = open
}

// reserve notes what an assignment under way may take.
func (c *Core) reserve(id, team string, r amount) {
	c.add(team, c.reserved[id], r)
	if r == (amount{}) {
		delete(c.reserved, id)
	} else {
		c.reserved[id] = r
	}
}

func (c *Core) add(team string, was, is amount) {
	c.use[team] = c.use[team].minus(was).plus(is)
}

// teamUse is what a team's open assignments may take, assignments of jobs other
// than one under way included.
func (c *Core) teamUse(team, except string) amount {
	return c.use[team].minus(c.reserved[except])
}

// admit says how many of n more tasks a team's limit allows.
func (c *Core) admit(s *wire.Submission, n int) int {
	t := c.set.Team(s.Team)
	if t == nil || t.CPUsMax <= 0 && t.GPUsMax <= 0 {
		return n
	}
	used := c.teamUse(s.Team, s.ID)
	if t.CPUsMax > 0 {
		n = within(n, t.CPUsMax-used.cpus, s.CPUs)
	}
	if t.GPUsMax > 0 {
		n = within(n, t.GPUsMax-used.gpus, s.GPUs)
	}
	return max(n, 0)
}

// within is how many of n tasks fit what is left of one resource.
func within(n int, left, each float64) int {
	if each <= 0 {
		return n
	}
	return min(n, int(left/each+1e-6))
}

// guaranteed is how many more tasks of a job fit its team's guarantee beside
// the team's other open work.
func (c *Core) guaranteed(s *wire.Submission) int {
	t := c.set.Team(s.Team)
	if t == nil || t.CPUs <= 0 && t.GPUs <= 0 {
		return 0
	}
	used := c.teamUse(s.Team, s.ID)
	return max(within(within(s.Tasks, t.CPUs-used.cpus, s.CPUs), t.GPUs-used.gpus, s.GPUs), 0)
}
