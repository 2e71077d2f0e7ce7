package wire

import "slices"

// JobKind is the kind of a job. It determines how the job's tasks run together.
type JobKind string

// Kinds of jobs.
const (
	// KindArray is a job array: independent tasks, each of which runs to completion.
	KindArray JobKind = "sweep"
	// KindService is a service: its tasks are replicas that run until the job is
	// cancelled.
	KindService JobKind = "standing"
	// KindGang is a gang: either all of its tasks run at the same time, or none of
	// them.
	KindGang JobKind = "ensemble"
)

// Priority is the priority of a job.
type Priority string

// Priorities of jobs, highest first.
const (
	PriorityProduction Priority = "prod"
	PriorityHigh       Priority = "urgent"
	PriorityNormal     Priority = "standard"
	PriorityLow        Priority = "best_effort"
)

// Level returns the rank of a priority: a job of a higher level may preempt a job of a
// lower level. The level of an unknown priority is 0.
func (p Priority) Level() int {
	switch p {
	case PriorityProduction:
		return 4
	case PriorityHigh:
		return 3
	case PriorityNormal:
		return 2
	case PriorityLow:
		return 1
	}
	return 0
}

// Limits on the content of a submission.
const (
	// MaxTasks is the protocol's limit on a job's tasks.
	MaxTasks = 100000
	// maxNameBytes is the maximum length of an id or name (bytes). It keeps a job's
	// record small.
	maxNameBytes = 128
	// maxAllowedTypes is the maximum length of the list of allowed machine types
	// (entries).
	maxAllowedTypes = 32
	// maxAmount is the maximum of amounts and durations. It is far above the resources
	// of any real machine.
	maxAmount = 1e9
)

// Submission is the body of a job's submission: the job as its user describes it. CPUs,
// GPUs and MemoryGB are per task. Fields whose names end in S are in seconds, and
// fields whose names end in GB are in gigabytes.
type Submission struct {
	ID       string   `json:"uid"` // chosen by the user; a retry uses the same id
	Class    string   `json:"lane"`
	Team     string   `json:"crew"`
	Kind     JobKind  `json:"shape"`
	Priority Priority `json:"rank"`
	// Tasks is the number of tasks. The tasks are numbered from 0.
	Tasks    int     `json:"pieces"`
	CPUs     float64 `json:"cpus"`
	GPUs     float64 `json:"cards"`
	MemoryGB float64 `json:"mem_gb"`
	// Image is fetched once by each machine, before the machine can start any task of
	// the job.
	Image   string  `json:"kit"`
	ImageGB float64 `json:"pull_gb"`
	// Types are the allowed machine types; if empty, any type is allowed.
	Types []string `json:"builds,omitempty"`
	// Zone is the only allowed zone; if empty, any zone is allowed.
	Zone string `json:"yard,omitempty"`
	// OneZone requires that all tasks are in the same zone.
	OneZone bool `json:"one_zone,omitempty"`
	// Spread requires that at most half of the tasks, rounded up, are in one zone.
	Spread bool `json:"scatter,omitempty"`
	// Spot allows the job to use spot instances.
	Spot bool `json:"loaners,omitempty"`
	// EstimateS is the user's estimate of a task's run time without the image fetch.
	EstimateS float64 `json:"guess_s"`
	// CheckpointIntervalS is the progress after which a running task saves a checkpoint
	// by itself; 0 if the task never saves checkpoints.
	CheckpointIntervalS float64 `json:"mark_every_s"`
	// CheckpointSaveS is the time that a task needs to save a checkpoint when it is
	// stopped.
	CheckpointSaveS float64 `json:"stow_s"`
	// DeadlineS is the deadline, counted from the submission; nil if there is none.
	DeadlineS *float64 `json:"due_s,omitempty"`
}

// AllowsType reports whether the job's tasks may run on machines of a type.
func (s *Submission) AllowsType(name string) bool {
	return len(s.Types) == 0 || slices.Contains(s.Types, name)
}

// IsService reports whether the job's tasks run until the job is cancelled.
func (s *Submission) IsService() bool { return s.Kind == KindService }

// IsGang reports whether the job's tasks run at the same time or not at all.
func (s *Submission) IsGang() bool { return s.Kind == KindGang }

// AllOrNothing reports whether the job's tasks are admitted together: all of them must
// fit within the team's limit.
func (s *Submission) AllOrNothing() bool { return s.IsService() || s.IsGang() }
