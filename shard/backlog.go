package shard

import (
	"time"

	"ravenport/constants"
)

// backlog is the remaining work of the existing machines at one point in time. Waiting tasks
// for which no machine is requested are added to it.
type backlog struct {
	computedAt time.Time
	cpuSeconds float64 // expected remaining work of arrays and gangs
	cpus       float64 // CPUs of schedulable machines that services leave to arrays and gangs
}

// newBacklog sums up the work on the schedulable machines that are not being consolidated.
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
			if t.job.record.Spec.IsService() {
				b.cpus -= a.resources.cpus
				continue
			}
			b.cpuSeconds += a.resources.cpus * a.expectedRemainingSeconds(now, t)
		}
	}
	return b
}

// expectedRemainingSeconds returns the remaining runtime (s) of an attempt by its job's
// estimate, but at least constants.MinRemainingRuntime.
func (a *attempt) expectedRemainingSeconds(now time.Time, t *task) float64 {
	remaining := t.job.record.Spec.EstimateS
	if !a.runningSince.IsZero() {
		remaining -= now.Sub(a.runningSince).Seconds()
	}
	return max(remaining, constants.MinRemainingRuntime.Seconds())
}

// backlogClearsInTime reports whether the existing machines are expected to start a waiting
// task before a new machine could be up, and well within the objective of the job's class. A
// new machine would then add cost without starting the task sooner. If so, the task is added
// to the backlog.
func (c *scaleOutState) backlogClearsInTime(v *fleetView, now time.Time, j *job, t *task) bool {
	s := &j.record.Spec
	objective := v.cfg.JobOrder.FinishObjective(s.Class)
	bootS := v.maxBootSeconds()
	if s.IsService() || objective == 0 || t.withinGuarantee {
		return false
	}
	if now.Sub(t.waitingSince).Seconds() > bootS*constants.BacklogWaitBootTimes {
		return false // the wait shows that the runtime estimates may be far too low
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
