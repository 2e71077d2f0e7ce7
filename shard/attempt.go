package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// attempt is an attempt that is, or may be, on a machine.
type attempt struct {
	key            attemptKey
	jobID          string
	taskIndex      int
	machine        *machine
	state          string // a state of wire, or stateSent
	cause          string
	resources      resources
	image          string
	reported       bool   // a report of this session has shown it
	lastReconcile  uint64 // the look at a report that last showed it
	adopted        bool   // it ran already when this owner first heard of it
	sentDirectly   bool   // a direct command may have carried its start; such a one can be repeated late
	maxDirectToken uint64 // the highest token under which one may have
	startSentSeq   uint64 // the report whose answer last carried the start
	stopRequested  bool   // to be stopped though its task is still wanted
	stopsInstantly bool   // stopping takes no saving
	stopSentAt     time.Time
	startSentAt    time.Time
	runningSince   time.Time
}

// attemptKey names one attempt of a task on one machine.
type attemptKey struct {
	task   string
	number uint64
}

// stateSent: a start was decided and may have been sent, and no report has
// shown the attempt yet.
const stateSent = "sent"

func (a *attempt) hasExited() bool { return a.state == wire.TaskExited }

func (a *attempt) isRunning() bool { return a.state == wire.TaskRunning }

// applySpec takes in what the job says of its tasks.
func (a *attempt) applySpec(j *job) {
	s := &j.rec.Spec
	a.resources, a.image = taskResources(s), s.Image
	a.stopsInstantly = s.CheckpointS == 0
	a.machine.usageStale = true
}

// adoptAttempts looks for a task that is already known to be on a machine.
func (c *Core) adoptAttempts(t *task) {
	for _, a := range c.attemptsByTask[taskKey{t.job.rec.ID, t.index}] {
		a.applySpec(t.job)
		c.matchAttempt(t, a)
	}
}

// matchAttempt brings a task in line with an attempt that a report showed.
func (c *Core) matchAttempt(t *task, a *attempt) {
	a.machine.usageStale = true
	c.markWaitingStale(t.job)
	if t.job.gang != nil {
		c.reconcileGangAttempt(t, a)
		return
	}
	if a.hasExited() {
		if a.cause == wire.CauseDone && !t.job.rec.Spec.IsService() {
			t.done = true
			t.uncertain = false
		}
		if t.attempt == a {
			t.attempt = nil
		}
		c.queueForClose(t.job)
		return
	}
	if t.attempt == nil && !t.done {
		t.attempt = a
		// Only a machine that shows this term's token speaks of now. A late copy
		// may name a machine that the task has left since, for another that has
		// not reported yet.
		t.uncertain = t.uncertain && !a.machine.hasSeenTerm(c.term)
	}
}

// releaseAttempt takes an attempt that is surely gone off its machine and its task.
func (c *Core) releaseAttempt(now time.Time, a *attempt) {
	c.removeAttempt(a)
	if !a.hasExited() {
		c.needsPlacement = true
	}
	c.aggregateChanged = true
	if j := c.jobs[a.jobID]; j != nil {
		if t := j.tasks[a.taskIndex]; t != nil && t.attempt == a {
			t.attempt = nil
			t.waitingSince = now
			t.keepWaiting = false // lost its machine: what does not fit here goes up at once
			if j.gang != nil {
				c.handleLostGangTask(j, a)
			}
		}
		c.markWaitingStale(j)
		c.queueForClose(j)
	}
}

// releaseAttempts is release for all that was on a machine.
func (c *Core) releaseAttempts(now time.Time, m *machine) {
	for len(m.attempts) > 0 {
		c.releaseAttempt(now, m.attempts[len(m.attempts)-1])
	}
}

// attemptFailed notes that an attempt ended without its task being done.
func (c *Core) attemptFailed(now time.Time, t *task, a *attempt) {
	t.waitingSince = now
	switch a.cause {
	case wire.CauseStopped, wire.CauseGangPeerLost, wire.CauseGangIncomplete:
		return // nobody's fault
	case wire.CauseError, wire.CauseUnknown:
		slog.Warn("task failed", "task", a.key.task, "machine", a.machine.name, "cause", a.cause)
		j := t.job
		if j.failedMachines == nil {
			j.failedMachines = map[string]bool{}
		}
		j.failedMachines[a.machine.name] = true
		t.failures++
		// Failing on several machines, the job is at fault, not they.
		if len(j.failedMachines) < constants.FaultyJobMachines {
			a.machine.avoidUntil = now.Add(constants.FaultyMachinePause)
		}
		wait := time.Second << min(t.failures, 5)
		t.notBefore = now.Add(min(wait, constants.MaxFailedTaskRetry))
		c.draining.migrationFailed(t, a.machine.name)
	default: // refused for room, or as busy
		slog.Warn("start refused", "task", a.key.task, "machine", a.machine.name, "cause", a.cause)
		t.notBefore = now.Add(constants.RefusedStartRetry)
	}
}
