package leader

import "ravenport/wire"

// quotaAmount is an amount of the resources that count towards a team's guaranteed quota
// and quota limit.
type quotaAmount struct{ cpus, gpus float64 }

// quotaOf returns the quota that n tasks of a job use.
func quotaOf(s *wire.Submission, n int) quotaAmount {
	return quotaAmount{float64(n) * s.CPUs, float64(n) * s.GPUs}
}

func (a quotaAmount) plus(b quotaAmount) quotaAmount {
	return quotaAmount{a.cpus + b.cpus, a.gpus + b.gpus}
}

func (a quotaAmount) minus(b quotaAmount) quotaAmount {
	return quotaAmount{a.cpus - b.cpus, a.gpus - b.gpus}
}

// maxOfEach returns the larger amount of each resource.
func (a quotaAmount) maxOfEach(b quotaAmount) quotaAmount {
	return quotaAmount{max(a.cpus, b.cpus), max(a.gpus, b.gpus)}
}

// setOpenQuota sets the quota that a job's open assignments use. Quota is freed only by the
// stored record: an assignment uses quota until the job's record shows it as closed.
func (c *Core) setOpenQuota(job *jobState, open quotaAmount) {
	c.replaceUsedQuota(job.record.Spec.Team, job.openQuota, open)
	job.openQuota = open
}

// setReservedQuota sets the quota that a job's in-flight assignments may use once they are
// written.
func (c *Core) setReservedQuota(jobID, team string, reserved quotaAmount) {
	c.replaceUsedQuota(team, c.reservedQuota[jobID], reserved)
	if reserved == (quotaAmount{}) {
		delete(c.reservedQuota, jobID)
	} else {
		c.reservedQuota[jobID] = reserved
	}
}

// replaceUsedQuota replaces the part before of a team's used quota by after.
func (c *Core) replaceUsedQuota(team string, before, after quotaAmount) {
	c.usedQuota[team] = c.usedQuota[team].minus(before).plus(after)
}

// usedQuotaExcept returns the quota that a team's open and in-flight assignments use,
// without the in-flight assignments of one job.
func (c *Core) usedQuotaExcept(team, inFlightJobID string) quotaAmount {
	return c.usedQuota[team].minus(c.reservedQuota[inFlightJobID])
}

// tasksWithinLimit returns how many of n more tasks of a job its team's quota limit allows.
func (c *Core) tasksWithinLimit(s *wire.Submission, n int) int {
	team := c.settings.Team(s.Team)
	if team == nil || team.LimitCPUs <= 0 && team.LimitGPUs <= 0 {
		return n
	}
	used := c.usedQuotaExcept(s.Team, s.ID)
	if team.LimitCPUs > 0 {
		n = tasksThatFit(n, team.LimitCPUs-used.cpus, s.CPUs)
	}
	if team.LimitGPUs > 0 {
		n = tasksThatFit(n, team.LimitGPUs-used.gpus, s.GPUs)
	}
	return max(n, 0)
}

// tasksWithinGuarantee returns how many more tasks of a job fit its team's guaranteed quota
// besides the team's other assignments.
func (c *Core) tasksWithinGuarantee(s *wire.Submission) int {
	team := c.settings.Team(s.Team)
	if team == nil || team.GuaranteedCPUs <= 0 && team.GuaranteedGPUs <= 0 {
		return 0
	}
	used := c.usedQuotaExcept(s.Team, s.ID)
	n := tasksThatFit(s.Tasks, team.GuaranteedCPUs-used.cpus, s.CPUs)
	n = tasksThatFit(n, team.GuaranteedGPUs-used.gpus, s.GPUs)
	return max(n, 0)
}

// tasksThatFit returns how many of n tasks fit the free amount of one resource.
func tasksThatFit(n int, free, perTask float64) int {
	if perTask <= 0 {
		return n
	}
	return min(n, int(free/perTask+roundingTolerance))
}
