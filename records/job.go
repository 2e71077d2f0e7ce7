package records

import (
	"errors"
	"strings"

	"ravenport/wire"
)

// Job is the record of an accepted job.
type Job struct {
	ID         string          `json:"-"`
	Spec       wire.Submission `json:"spec"`
	AcceptedMS int64           `json:"at"`            // time of day (ms)
	End        wire.JobState   `json:"end,omitempty"` // wire.JobDone or wire.JobCancelled
	// Assignments are sorted by their tasks; see Normalize.
	Assignments []Assignment `json:"ch,omitempty"`
	// Attempt is the number of the latest attempt to start a gang in several shards. It
	// increases with every such assignment, and a number is never reused.
	Attempt uint64 `json:"try,omitempty"`
}

// Assignment is a range of a job's tasks for which one shard is responsible. The leader
// has yet to assign the tasks that are in no assignment.
type Assignment struct {
	From  int    `json:"f"`
	To    int    `json:"t"` // exclusive
	Shard string `json:"p"`
	// Closed means that every task of the range is done or, if the job has ended, is known
	// to be on no machine any more. A closed assignment uses no capacity.
	Closed bool `json:"c,omitempty"`
	// KeepWaiting means that owners have offloaded tasks of the job repeatedly, or that
	// no shard is known to have capacity for the tasks. The owner therefore waits for
	// capacity or scales out instead of offloading the tasks to the leader.
	KeepWaiting bool `json:"k,omitempty"`
	// Guaranteed means that the tasks were within the team's guaranteed quota when the
	// leader assigned them.
	Guaranteed bool `json:"g,omitempty"`
}

// Tasks returns the number of tasks in the assignment.
func (a Assignment) Tasks() int { return a.To - a.From }

// canMerge reports whether next directly follows a and has the same properties, so that
// the two can be merged. Of a closed assignment only the range matters.
func (a Assignment) canMerge(next Assignment) bool {
	if a.To != next.From || a.Closed != next.Closed {
		return false
	}
	if a.Closed {
		return true
	}
	return a.Shard == next.Shard && a.KeepWaiting == next.KeepWaiting && a.Guaranteed == next.Guaranteed
}

// Range is a range of a job's tasks.
type Range struct {
	From int
	To   int // exclusive
}

// Tasks returns the number of tasks in the range.
func (r Range) Tasks() int { return r.To - r.From }

// TasksIn returns the number of tasks in all ranges.
func TasksIn(ranges []Range) int {
	n := 0
	for _, r := range ranges {
		n += r.Tasks()
	}
	return n
}

// Unassigned returns the ranges of tasks that are in no assignment.
func (j *Job) Unassigned() []Range {
	var unassigned []Range
	next := 0 // the first task after the assignments checked so far
	for _, assignment := range j.Assignments {
		if assignment.From > next {
			unassigned = append(unassigned, Range{From: next, To: assignment.From})
		}
		next = assignment.To
	}
	if next < j.Spec.Tasks {
		unassigned = append(unassigned, Range{From: next, To: j.Spec.Tasks})
	}
	return unassigned
}

// AllTasksClosed reports whether every task of the job is in a closed assignment.
func (j *Job) AllTasksClosed() bool {
	next := 0 // the first task after the assignments checked so far
	for _, assignment := range j.Assignments {
		if assignment.From != next || !assignment.Closed {
			return false
		}
		next = assignment.To
	}
	return next == j.Spec.Tasks
}

// AllAssignmentsClosed reports whether no assignment is open any more, so that no task of
// the job can be on any machine. The job may still have unassigned tasks.
func (j *Job) AllAssignmentsClosed() bool {
	for _, assignment := range j.Assignments {
		if !assignment.Closed {
			return false
		}
	}
	return true
}

// Clone returns a copy of the record whose assignments can be changed. Records from the
// feed are shared and must not be changed.
func (j *Job) Clone() *Job {
	clone := *j
	clone.Assignments = append([]Assignment(nil), j.Assignments...)
	return &clone
}

var errInvalidAssignments = errors.New("assignments overlap, are out of order or are outside the job's tasks")

// checkAssignments returns errInvalidAssignments unless the assignments are sorted ranges
// of the job's tasks that do not overlap. The code that applies the record relies on this.
func (j *Job) checkAssignments() error {
	next := 0 // the smallest task that the next assignment may start with
	for _, assignment := range j.Assignments {
		if assignment.From < next || assignment.To < assignment.From || assignment.To > j.Spec.Tasks {
			return errInvalidAssignments
		}
		next = assignment.To
	}
	return nil
}

// Normalize sorts the assignments, drops empty ones and merges adjacent ones with the same
// properties.
func (j *Job) Normalize() {
	j.sortAssignments()
	merged := j.Assignments[:0]
	for _, assignment := range j.Assignments {
		if assignment.From >= assignment.To {
			continue
		}
		if last := len(merged) - 1; last >= 0 && merged[last].canMerge(assignment) {
			merged[last].To = assignment.To
			continue
		}
		merged = append(merged, assignment)
	}
	j.Assignments = merged
}

// sortAssignments sorts the assignments by their first task, with an insertion sort.
func (j *Job) sortAssignments() {
	for i := 1; i < len(j.Assignments); i++ {
		for k := i; k > 0 && j.Assignments[k].From < j.Assignments[k-1].From; k-- {
			j.Assignments[k], j.Assignments[k-1] = j.Assignments[k-1], j.Assignments[k]
		}
	}
}

// CreatesJob reports whether a transaction creates one job's record and does nothing else.
// Such a transaction changes no existing key, even if it is executed twice or late.
func CreatesJob(txn wire.Txn) bool {
	if len(txn.Conditions) != 1 || len(txn.Changes) != 1 {
		return false
	}
	condition := txn.Conditions[0]
	change := txn.Changes[0]
	return strings.HasPrefix(condition.Key, jobPrefix) && condition.Version == 0 &&
		change.Put == condition.Key && change.Lease == 0 && change.Delete == ""
}
