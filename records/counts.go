package records

// TaskCounts is how many of a job's tasks run, and how many are done in open
// assignments. It is sent as a list of two numbers.
type TaskCounts [2]int

// Indexes of the two numbers.
const (
	runningIndex = iota
	doneIndex
)

// Running is how many tasks run.
func (c TaskCounts) Running() int { return c[runningIndex] }

// Done is how many tasks are done in open assignments.
func (c TaskCounts) Done() int { return c[doneIndex] }

// IsZero says that nothing is counted.
func (c TaskCounts) IsZero() bool { return c == TaskCounts{} }

// AddRunning counts one more task that runs.
func (c *TaskCounts) AddRunning() { c[runningIndex]++ }

// AddDone counts one more task that is done.
func (c *TaskCounts) AddDone() { c[doneIndex]++ }

// Plus is the sum of two counts.
func (c TaskCounts) Plus(other TaskCounts) TaskCounts {
	return TaskCounts{c.Running() + other.Running(), c.Done() + other.Done()}
}

// CountsByJob are the counts of a shard's jobs.
type CountsByJob map[string]TaskCounts
