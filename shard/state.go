package shard

import (
	"slices"

	"ravenport/machinetype"
	"ravenport/records"
	"ravenport/wire"
)

// knownState holds the machines, jobs and attempts that the owner knows. Core changes it from
// heartbeats, the feed and the cloud's lists of machines; placement adds attempts.
type knownState struct {
	types          machinetype.Set
	jobs           map[string]*job
	machines       map[string]*machine
	fleet          []*machine // the same machines, in the order in which they became known
	attemptsByTask map[taskKey][]*attempt
	reconcileCount uint64 // number of heartbeats and command replies reconciled
	attemptEnded   bool   // the last reconciliation found that an attempt had ended
	rebuilt        bool   // every inherited machine has reported its attempts, or they have ended for certain
}

func newKnownState() knownState {
	return knownState{
		types:          machinetype.Set{},
		jobs:           map[string]*job{},
		machines:       map[string]*machine{},
		attemptsByTask: map[taskKey][]*attempt{},
	}
}

// taskKey identifies a task.
type taskKey struct {
	job   string
	index int
}

// ensureMachine returns the machine with the given name. An unknown machine is added.
func (k *knownState) ensureMachine(name string) *machine {
	m := k.machines[name]
	if m == nil {
		m = &machine{name: name, pageNumber: noPage, cachedImages: map[string]bool{}, usageStale: true}
		k.machines[name] = m
		k.fleet = append(k.fleet, m)
	}
	return m
}

// resolveType looks up the machine's type and sets its capacity.
func (k *knownState) resolveType(m *machine) {
	if t := k.types[m.typeName]; t != nil {
		m.machineType = t
		m.capacity = machineResources(t)
	}
}

// SetTypes sets the machine types that the cloud offers now. Known machines of a type that is
// no longer offered keep their capacity.
func (c *Core) SetTypes(types []wire.MachineType) {
	c.types = machinetype.NewSet(types)
	for _, m := range c.machines {
		c.resolveType(m)
	}
	c.needsPlacement = true
}

// removeMachine removes a machine from the known state. A direct command to the machine no
// longer counts as in flight.
func (v *fleetView) removeMachine(q *outbox, m *machine) {
	delete(v.machines, m.name)
	q.directCommandDone(m)
	m.commandWanted = false // the next step removes the machine from the command queue
	for i, o := range v.fleet {
		if o == m {
			v.fleet = append(v.fleet[:i], v.fleet[i+1:]...)
			break
		}
	}
}

// addAttempt adds an attempt to its machine, sorted by attempt number, and to its task.
func (k *knownState) addAttempt(a *attempt) {
	m := a.machine
	i := len(m.attempts)
	for i > 0 && m.attempts[i-1].key.number > a.key.number {
		i--
	}
	m.attempts = slices.Insert(m.attempts, i, a)
	m.usageStale = true
	key := taskKey{a.jobID, a.taskIndex}
	k.attemptsByTask[key] = append(k.attemptsByTask[key], a)
}

// removeAttempt removes an attempt from its machine and its task.
func (k *knownState) removeAttempt(a *attempt) {
	m := a.machine
	if i := slices.Index(m.attempts, a); i >= 0 {
		m.attempts = slices.Delete(m.attempts, i, i+1)
	}
	m.usageStale = true
	key := taskKey{a.jobID, a.taskIndex}
	rest := k.attemptsByTask[key]
	if i := slices.Index(rest, a); i >= 0 {
		rest = slices.Delete(rest, i, i+1)
	}
	if len(rest) == 0 {
		delete(k.attemptsByTask, key)
	} else {
		k.attemptsByTask[key] = rest
	}
}

// hasLiveAttempt reports whether an attempt of the task that has not exited may be on a
// machine.
func (k *knownState) hasLiveAttempt(jobID string, index int) bool {
	for _, a := range k.attemptsByTask[taskKey{jobID, index}] {
		if !a.hasExited() {
			return true
		}
	}
	return false
}

// taskOf returns the task of an attempt, or nil if the task is not assigned to the shard.
func (k *knownState) taskOf(a *attempt) *task {
	j := k.jobs[a.jobID]
	if j == nil {
		return nil
	}
	return j.tasks[a.taskIndex]
}

// isWanted reports whether an attempt is the current attempt of its task, and the task should
// run.
func (k *knownState) isWanted(a *attempt) bool {
	t := k.taskOf(a)
	return t != nil && t.attempt == a && !t.done && !a.stopRequested && t.job.record.End == ""
}

// TaskCounts returns for each job the number of its tasks that run in the shard, and the
// number of done tasks in assignments that are not closed yet. The counts are for display.
func (k *knownState) TaskCounts() records.CountsByJob {
	out := make(records.CountsByJob, len(k.jobs))
	for id, j := range k.jobs {
		var n records.TaskCounts
		for _, t := range j.tasks {
			switch {
			case t.done:
				n.AddDone()
			case t.attempt != nil && (t.attempt.state == wire.TaskRunning || t.attempt.state == wire.TaskSaving):
				n.AddRunning()
			}
		}
		if !n.IsZero() {
			out[id] = n
		}
	}
	return out
}
