package shard

import (
	"slices"

	"ravenport/records"
	"ravenport/wire"
)

// knownState is what the owner knows of machines, jobs and attempts.
type knownState struct {
	types          map[string]*wire.MachineType
	jobs           map[string]*job
	machines       map[string]*machine
	fleet          []*machine // the same, in a fixed order
	attemptsByTask map[taskKey][]*attempt
	reconcileCount uint64 // counts looks at reports
	attemptEnded   bool   // the last look found that something had ended
	rebuilt        bool
}

func newKnownState() knownState {
	return knownState{types: map[string]*wire.MachineType{}, jobs: map[string]*job{}, machines: map[string]*machine{}, attemptsByTask: map[taskKey][]*attempt{}}
}

// taskKey names a task.
type taskKey struct {
	job   string
	index int
}

func (k *knownState) ensureMachine(name string) *machine {
	m := k.machines[name]
	if m == nil {
		m = &machine{name: name, pageNumber: noPage, cachedImages: map[string]bool{}, usageStale: true}
		k.machines[name] = m
		k.fleet = append(k.fleet, m)
	}
	return m
}

func (k *knownState) resolveType(m *machine) {
	if t := k.types[m.typeName]; t != nil {
		m.typ = t
		m.capacity = machineResources(t)
	}
}

// SetTypes takes in the cloud's machine types.
func (c *Core) SetTypes(types []wire.MachineType) {
	for i := range types {
		t := types[i]
		c.types[t.Name] = &t
	}
	for _, m := range c.machines {
		c.resolveType(m)
	}
	c.needsPlacement = true
}

func (v *fleetView) removeMachine(q *outbox, m *machine) {
	delete(v.machines, m.name)
	q.directCommandDone(m)
	m.commandWanted = false // its place in the queue goes with the next step
	for i, o := range v.fleet {
		if o == m {
			v.fleet = append(v.fleet[:i], v.fleet[i+1:]...)
			break
		}
	}
}

// addAttempt puts an attempt on its machine, in the order of attempts.
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

// removeAttempt takes an attempt off its machine.
func (k *knownState) removeAttempt(a *attempt) {
	m := a.machine
	if i := slices.Index(m.attempts, a); i >= 0 {
		m.attempts = slices.Delete(m.attempts, i, i+1)
	}
	m.usageStale = true
	key := taskKey{a.jobID, a.taskIndex}
	hs := k.attemptsByTask[key]
	if i := slices.Index(hs, a); i >= 0 {
		hs = slices.Delete(hs, i, i+1)
	}
	if len(hs) == 0 {
		delete(k.attemptsByTask, key)
	} else {
		k.attemptsByTask[key] = hs
	}
}

// hasLiveAttempt says whether any attempt of a task may be on any machine.
func (k *knownState) hasLiveAttempt(jobID string, index int) bool {
	for _, a := range k.attemptsByTask[taskKey{jobID, index}] {
		if !a.hasExited() {
			return true
		}
	}
	return false
}

func (k *knownState) taskOf(a *attempt) *task {
	j := k.jobs[a.jobID]
	if j == nil {
		return nil
	}
	return j.tasks[a.taskIndex]
}

// isWanted says whether an attempt is the one its task should have.
func (k *knownState) isWanted(a *attempt) bool {
	t := k.taskOf(a)
	return t != nil && t.attempt == a && !t.done && !a.stopRequested && t.job.rec.End == ""
}

// TaskCounts returns the tasks of each job that run here, and those that are done
// in assignments not closed yet, for display.
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
