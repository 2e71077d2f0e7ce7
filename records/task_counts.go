package records

// TaskCounts counts the running tasks of a job, and those that are done in open
// assignments. Its encoded form is a list of these two numbers.
type TaskCounts [2]int

// Indexes of the two numbers.
const (
	runningIndex = iota
	doneIndex
)

// Running is the number of running tasks.
func (c TaskCounts) Running() int { return c[runningIndex] }

// Done is the number of tasks that are done in open assignments.
func (c TaskCounts) Done() int { return c[doneIndex] }

// IsZero says whether nothing is counted.
func (c TaskCounts) IsZero() bool { return c == TaskCounts{} }

// AddRunning counts one more running task.
func (c *TaskCounts) AddRunning() { c[runningIndex]++ }

// AddDone counts one more task that is done.
func (c *TaskCounts) AddDone() { c[doneIndex]++ }

// Plus returns the sum of two counts.
func (c TaskCounts) Plus(other TaskCounts) TaskCounts {
	return TaskCounts{c.Running() + other.Running(), c.Done() + other.Done()}
}

// CountsByJob are the counts of a shard's jobs, by job id.
type CountsByJob map[string]TaskCounts
