package shard

import (
	"sort"
	"time"
)

// markWaitingStale records that a job's tasks have changed. Only changed jobs are
// recomputed, so the cost of a round is proportional to the number of changes.
func (p *placement) markWaitingStale(j *job) {
	if !j.waitingStale {
		j.waitingStale = true
		p.changedJobs = append(p.changedJobs, j)
	}
}

// refreshWaiting recomputes the waiting tasks of the jobs that changed.
func (p *placement) refreshWaiting(v *fleetView) {
	for _, j := range p.changedJobs {
		j.waitingStale = false
		j.waiting, j.hasStarted = j.waiting[:0], false
		for i := range j.record.Assignments {
			j.hasStarted = j.hasStarted || j.record.Assignments[i].Closed
		}
		if v.jobs[j.record.ID] == j && j.record.End == "" {
			for _, t := range j.tasks {
				j.hasStarted = j.hasStarted || t.done || t.attempt != nil
				if t.isWaiting() {
					j.waiting = append(j.waiting, t)
				}
			}
		}
		if len(j.waiting) == 0 {
			delete(p.waiting, j)
			continue
		}
		sort.Slice(j.waiting, func(a, b int) bool {
			x, y := j.waiting[a], j.waiting[b]
			if x.withinGuarantee != y.withinGuarantee {
				return x.withinGuarantee
			}
			return x.index < y.index
		})
		p.waiting[j] = true
	}
	p.changedJobs = p.changedJobs[:0]
}

// readyTasks returns a job's waiting tasks that may start now.
func (k *knownState) readyTasks(now time.Time, j *job) []*task {
	return k.appendReadyTasks(nil, now, j)
}

// appendReadyTasks appends a job's ready tasks to out. A placement round handles one job
// after the other and uses the same slice for each.
func (k *knownState) appendReadyTasks(out []*task, now time.Time, j *job) []*task {
	for _, t := range j.waiting {
		// An earlier attempt that is still on another machine must have ended first.
		if t.isWaiting() && !now.Before(t.notBefore) && !k.hasLiveAttempt(j.record.ID, t.index) {
			out = append(out, t)
		}
	}
	return out
}
