package records

// TaskCounts counts the running tasks of a job and the done tasks in its open assignments.
// It is encoded as a list of these two numbers.
type TaskCounts [2]int

// Indexes of the numbers in TaskCounts.
const (
	runningIndex = iota
	doneIndex
)

// Running returns the number of running tasks.
func (c TaskCounts) Running() int { return c[runningIndex] }

// Done returns the number of done tasks in open assignments.
func (c TaskCounts) Done() int { return c[doneIndex] }

// IsZero reports whether both numbers are zero.
func (c TaskCounts) IsZero() bool { return c == TaskCounts{} }

// AddRunning increments the number of running tasks.
func (c *TaskCounts) AddRunning() { c[runningIndex]++ }

// AddDone increments the number of done tasks.
func (c *TaskCounts) AddDone() { c[doneIndex]++ }

// Plus returns the sum of two counts.
func (c TaskCounts) Plus(other TaskCounts) TaskCounts {
	return TaskCounts{c.Running() + other.Running(), c.Done() + other.Done()}
}

// CountsByJob maps the job ids of a shard to the task counts of the jobs.
type CountsByJob map[string]TaskCounts
