package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/wire"
)

// attempt is one attempt of a task that is, or may be, on a machine.
type attempt struct {
	key            attemptKey
	jobID          string
	taskIndex      int
	machine        *machine
	state          wire.TaskState // state in the last heartbeat or reply that listed the attempt, or stateSent
	cause          wire.ExitCause
	resources      resources
	image          string
	reported       bool   // a heartbeat or reply of this epoch has listed the attempt
	lastReconcile  uint64 // knownState.reconcileCount at the last heartbeat or reply that listed the attempt
	adopted        bool   // the attempt was running when this owner first learned of it
	sentDirectly   bool   // a direct command may have carried the start, and a late copy of that command may arrive
	maxDirectToken uint64 // highest fencing token of such a command
	startSentSeq   uint64 // sequence number of the heartbeat whose reply last carried the start
	stopRequested  bool   // the attempt has to be stopped although its task is still wanted
	stopsInstantly bool   // the attempt stops without saving a checkpoint
	stopSentAt     time.Time
	startSentAt    time.Time
	runningSince   time.Time
}

// attemptKey identifies an attempt of a task on a machine.
type attemptKey struct {
	task   string
	number uint64
}

// stateSent is the state of an attempt whose start was decided and may have been sent, and
// which no heartbeat or reply to a direct command has listed yet.
const stateSent wire.TaskState = "sent"

func (a *attempt) hasExited() bool { return a.state == wire.TaskExited }

func (a *attempt) isRunning() bool { return a.state == wire.TaskRunning }

// applySpec copies the properties of the job's tasks from its specification to an attempt.
func (a *attempt) applySpec(j *job) {
	s := &j.record.Spec
	a.resources, a.image = taskResources(s), s.Image
	a.stopsInstantly = s.CheckpointIntervalS == 0
	a.machine.usageStale = true
}

// adoptAttempts matches a new task with the known attempts of that task on machines.
func (c *Core) adoptAttempts(t *task) {
	for _, a := range c.attemptsByTask[taskKey{t.job.record.ID, t.index}] {
		a.applySpec(t.job)
		c.matchAttempt(t, a)
	}
}

// matchAttempt updates a task from one of its attempts that a heartbeat or reply listed.
func (c *Core) matchAttempt(t *task, a *attempt) {
	a.machine.usageStale = true
	c.markWaitingStale(t.job)
	if t.job.gang != nil {
		c.reconcileGangAttempt(t, a)
		return
	}
	if a.hasExited() {
		if a.cause == wire.CauseDone && !t.job.record.Spec.IsService() {
			t.done = true
			t.possiblyRunning = false
		}
		if t.attempt == a {
			t.attempt = nil
		}
		c.queueForClose(t.job)
		return
	}
	if t.attempt == nil && !t.done {
		t.attempt = a
		// Only the status of a machine that has reported a token of this term is certainly
		// current. A late copy of an earlier heartbeat may list a task that has since moved
		// to another machine, which has sent no heartbeat yet.
		t.possiblyRunning = t.possiblyRunning && !a.machine.hasSeenTerm(c.term)
	}
}

// releaseAttempt removes an attempt that has ended for certain from its machine and its task.
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
			t.keepWaiting = false // the task has lost its attempt, usually with its machine: if the task does not fit in this shard, it is offloaded to the leader at once
			if j.gang != nil {
				c.handleLostGangTask(j, a)
			}
		}
		c.markWaitingStale(j)
		c.queueForClose(j)
	}
}

// releaseAttempts releases every attempt on a machine.
func (c *Core) releaseAttempts(now time.Time, m *machine) {
	for len(m.attempts) > 0 {
		c.releaseAttempt(now, m.attempts[len(m.attempts)-1])
	}
}

// attemptFailed records that an attempt ended although its task was not done, and delays the
// next attempt.
func (c *Core) attemptFailed(now time.Time, t *task, a *attempt) {
	t.waitingSince = now
	switch a.cause {
	case wire.CauseStopped, wire.CauseGangPeerLost, wire.CauseGangIncomplete:
		return // neither the task nor the machine is at fault
	case wire.CauseError, wire.CauseUnknownTask:
		slog.Warn("task failed", logkey.TaskID, a.key.task, logkey.Machine, a.machine.name, "cause", a.cause)
		j := t.job
		if j.failedMachines == nil {
			j.failedMachines = map[string]bool{}
		}
		j.failedMachines[a.machine.name] = true
		t.failures++
		// If tasks fail on several machines, the fault is in the job and not in the machines.
		if len(j.failedMachines) < constants.FaultyJobMachines {
			a.machine.avoidUntil = now.Add(constants.FaultyMachinePause)
		}
		wait := time.Second << min(t.failures, 5)
		t.notBefore = now.Add(min(wait, constants.MaxFailedTaskRetryDelay))
		c.draining.migrationFailed(t, a.machine.name)
	default: // the machine refused the start for lack of resources or because it was busy
		slog.Warn("start refused", logkey.TaskID, a.key.task, logkey.Machine, a.machine.name, "cause", a.cause)
		t.notBefore = now.Add(constants.RefusedStartRetryDelay)
	}
}
