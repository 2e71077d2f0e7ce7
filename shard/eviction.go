package shard

import (
	"errors"
	"time"
)

// These errors are reasons why a drain makes no progress with a machine. Their texts have no
// package prefix because they are part of a drain's status, which docs/operators-draining.md
// explains. The refusal by a budget is a disruption.RefusalError.
var (
	errNoReply         = errors.New("the machine does not answer")
	errArrayGrace      = errors.New("tasks of arrays or gangs get time to end")
	errSearchesUsedUp  = errors.New("others are looked at first")
	errNoOfferForDrain = errors.New("no machine has room for it, and none can be rented now")
)

// notAvailableError says that a task is not stopped because it is expected to become
// available soon.
type notAvailableError struct{ jobID string }

// Error implements error.
func (e *notAvailableError) Error() string { return "a task of " + e.jobID + " is not up yet" }

// noCapacityError says that no machine has capacity for a task that is to be migrated.
type noCapacityError struct{ jobID string }

// Error implements error.
func (e *noCapacityError) Error() string { return "no machine has room for a task of " + e.jobID }

// evict requests that an attempt stops. Its task is placed again on a machine with capacity.
func (q *outbox) evict(a *attempt) {
	a.stopRequested = true
	a.machine.usageStale = true
	q.requestCommand(a.machine)
}

// evictFromCordonedMachine evicts the attempts that may be stopped now from a machine that a
// drain has cordoned. The first reason for which an attempt is not stopped becomes the
// drain's wait reason.
func (c *Core) evictFromCordonedMachine(now time.Time, m *machine, number int) {
	if m.isUnconfirmed() || c.isUnreachable(now, m) {
		c.draining.recordWaitReason(number, m, errNoReply)
		return
	}
	for _, a := range m.attempts {
		t := c.taskOf(a)
		if !isEvictable(a, t) {
			continue
		}
		var err error
		if t.job.record.Spec.IsService() {
			err = c.migrateService(now, number, t)
		} else {
			err = c.evictBatchTask(now, t, a)
		}
		if err != nil {
			c.draining.recordWaitReason(number, m, err)
		}
	}
}

// recordWaitReason records what a drain waits for, unless the drain already has a wait reason
// in this step.
func (d *draining) recordWaitReason(number int, m *machine, reason error) {
	if d.waitReasons[number] == "" {
		d.waitReasons[number] = m.name + ": " + reason.Error()
	}
}

// evictBatchTask evicts a task of an array, or the whole gang that a task belongs to, if the
// grace period for the task to end by itself is over and the task's budgets allow the stop.
// The error says why the task is not stopped.
func (c *Core) evictBatchTask(now time.Time, t *task, a *attempt) error {
	if now.Sub(a.machine.cordon.since) < c.draining.cfg.Policy.ArrayGracePeriod {
		return errArrayGrace
	}
	if err := c.draining.tryInterrupt(now, t); err != nil {
		return err
	}
	if t.job.gang != nil {
		c.stopGangWithCheckpoint(t.job, "machine drained")
		return nil
	}
	c.evict(a)
	return nil
}
