package shard

import (
	"time"

	"ravenport/constants"
)

// backlog is the work that the existing machines have before them, at one moment. Tasks
// that are left to wait for those machines are added to it.
type backlog struct {
	computedAt time.Time
	cpuSeconds float64 // expected remaining work of arrays and gangs
	cpus       float64 // CPUs of schedulable machines that services leave to them
}

// newBacklog sums up the work on the schedulable machines that stay.
func (v *fleetView) newBacklog(now time.Time) backlog {
	b := backlog{computedAt: now}
	for _, m := range v.fleet {
		if m.consolidating || !v.isSchedulable(now, m) {
			continue
		}
		b.cpus += m.capacity.cpus
		for _, a := range m.attempts {
			t := v.taskOf(a)
			if a.hasExited() || t == nil {
				continue
			}
			if t.job.rec.Spec.IsService() {
				b.cpus -= a.resources.cpus
				continue
			}
			b.cpuSeconds += a.resources.cpus * a.expectedRemainingSeconds(now, t)
		}
	}
	return b
}

// expectedRemainingSeconds is how much longer an attempt runs by its job's estimate (s).
func (a *attempt) expectedRemainingSeconds(now time.Time, t *task) float64 {
	remaining := t.job.rec.Spec.EstimateS
	if !a.runningSince.IsZero() {
		remaining -= now.Sub(a.runningSince).Seconds()
	}
	return max(remaining, constants.MinRemainingRuntime.Seconds())
}

// backlogClearsInTime says whether the existing machines will get to a waiting task before
// a new machine could be up, and well within its class's objective: a new machine would
// only cost. If so, the task is added to the backlog.
func (c *scaleOutState) backlogClearsInTime(v *fleetView, now time.Time, j *job, t *task) bool {
	s := &j.rec.Spec
	objective := v.cfg.JobOrder.FinishObjective(s.Class)
	bootS := v.maxBootSeconds()
	if s.IsService() || objective == 0 || t.withinGuarantee {
		return false
	}
	if now.Sub(t.waitingSince).Seconds() > bootS*constants.BacklogWaitBootTimes {
		return false // estimates may be far too low
	}
	if c.backlog.computedAt != now {
		c.backlog = v.newBacklog(now)
	}
	limitS := min(bootS*constants.BacklogBootTimes, objective.Seconds()*constants.BacklogObjectiveShare)
	cpuSeconds := c.backlog.cpuSeconds + s.CPUs*s.EstimateS
	if c.backlog.cpus < s.CPUs || cpuSeconds > c.backlog.cpus*limitS {
		return false
	}
	c.backlog.cpuSeconds = cpuSeconds
	return true
}
