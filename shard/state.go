package shard

import (
	"slices"

	"ravenport/records"
	"ravenport/wire"
)

// knowledge is what the owner knows of machines, jobs and attempts.
type knowledge struct {
	types    map[string]*wire.MachineType
	jobs     map[string]*job
	machines map[string]*machine
	fleet    []*machine // the same, in a fixed order
	byTask   map[taskKey][]*hold
	look     uint64 // counts looks at reports
	freed    bool   // the last look found that something had ended
	rebuilt  bool
}

func newKnowledge() knowledge {
	return knowledge{types: map[string]*wire.MachineType{}, jobs: map[string]*job{}, machines: map[string]*machine{}, byTask: map[taskKey][]*hold{}}
}

// taskKey names a task.
type taskKey struct {
	job   string
	index int
}

func (k *knowledge) machine(name string) *machine {
	m := k.machines[name]
	if m == nil {
		m = &machine{name: name, page: pageless, images: map[string]bool{}, stale: true}
		k.machines[name] = m
		k.fleet = append(k.fleet, m)
	}
	return m
}

func (k *knowledge) size(m *machine) {
	if t := k.types[m.typeName]; t != nil {
		m.typ = t
		m.capacity = sizeOf(t)
	}
}

// SetTypes takes in the cloud's machine types.
func (c *Core) SetTypes(types []wire.MachineType) {
	for i := range types {
		t := types[i]
		c.types[t.Name] = &t
	}
	for _, m := range c.machines {
		c.size(m)
	}
	c.needsPlacement = true
}

func (v *fleetView) removeMachine(q *outgoing, m *machine) {
	delete(v.machines, m.name)
	q.landed(m)
	m.wantCommand = false // its place in the queue goes with the next step
	for i, o := range v.fleet {
		if o == m {
			v.fleet = append(v.fleet[:i], v.fleet[i+1:]...)
			break
		}
	}
}

// addHold puts an attempt on its machine, in the order of attempts.
func (k *knowledge) addHold(h *hold) {
	m := h.m
	i := len(m.holds)
	for i > 0 && m.holds[i-1].key.attempt > h.key.attempt {
		i--
	}
	m.holds = slices.Insert(m.holds, i, h)
	m.stale = true
	key := taskKey{h.jobID, h.index}
	k.byTask[key] = append(k.byTask[key], h)
}

// dropHold takes an attempt off its machine.
func (k *knowledge) dropHold(h *hold) {
	m := h.m
	if i := slices.Index(m.holds, h); i >= 0 {
		m.holds = slices.Delete(m.holds, i, i+1)
	}
	m.stale = true
	key := taskKey{h.jobID, h.index}
	hs := k.byTask[key]
	if i := slices.Index(hs, h); i >= 0 {
		hs = slices.Delete(hs, i, i+1)
	}
	if len(hs) == 0 {
		delete(k.byTask, key)
	} else {
		k.byTask[key] = hs
	}
}

// somewhere says whether any attempt of a task may be on any machine.
func (k *knowledge) somewhere(jobID string, index int) bool {
	for _, h := range k.byTask[taskKey{jobID, index}] {
		if !h.exited() {
			return true
		}
	}
	return false
}

func (k *knowledge) taskOf(h *hold) *task {
	j := k.jobs[h.jobID]
	if j == nil {
		return nil
	}
	return j.tasks[h.index]
}

// wanted says whether an attempt is the one its task should have.
func (k *knowledge) wanted(h *hold) bool {
	t := k.taskOf(h)
	return t != nil && t.hold == h && !t.done && !h.stop && t.job.rec.End == ""
}

// Counts returns the tasks of each job that run here, and those that are done
// in assignments not closed yet, for display.
func (k *knowledge) Counts() records.CountsByJob {
	out := make(records.CountsByJob, len(k.jobs))
	for id, j := range k.jobs {
		var n records.TaskCounts
		for _, t := range j.tasks {
			switch {
			case t.done:
				n.AddDone()
			case t.hold != nil && (t.hold.state == wire.TaskRunning || t.hold.state == wire.TaskSaving):
				n.AddRunning()
			}
		}
		if !n.IsZero() {
			out[id] = n
		}
	}
	return out
}
