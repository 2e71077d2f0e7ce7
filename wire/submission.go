package wire

// JobKind is the kind of a job: how its tasks belong together.
type JobKind string

// Kinds of job.
const (
	// KindArray is a job array: independent tasks, each of which runs to completion.
	KindArray JobKind = "sweep"
	// KindService is a service: its tasks are replicas, which run until it is cancelled.
	KindService JobKind = "standing"
	// KindGang is a gang: its tasks run at the same time or not at all.
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

// Level orders the priorities: a job of a higher level may preempt one of a lower level. It
// is 0 for an unknown priority.
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
	// maxNameBytes bounds ids and names so that a job's record stays small (bytes).
	maxNameBytes = 128
	// maxAllowedTypes bounds the list of allowed machine types (entries).
	maxAllowedTypes = 32
	// maxAmount bounds amounts and durations, far above any real machine.
	maxAmount = 1e9
)

// Submission is the body of a job's submission: the job as its user describes it. CPUs,
// GPUs and memory are those of each task; names that end in S are in seconds, in GB in
// gigabytes.
type Submission struct {
	ID       string   `json:"uid"` // chosen by the user; a retry uses the same
	Class    string   `json:"lane"`
	Team     string   `json:"crew"`
	Kind     JobKind  `json:"shape"`
	Priority Priority `json:"rank"`
	// Tasks is the number of tasks, which are numbered from 0.
	Tasks    int     `json:"pieces"`
	CPUs     float64 `json:"cpus"`
	GPUs     float64 `json:"cards"`
	MemoryGB float64 `json:"mem_gb"`
	// Image is fetched once by each machine before it can start any task of the job.
	Image   string  `json:"kit"`
	ImageGB float64 `json:"pull_gb"`
	// Types are the allowed machine types; none: any.
	Types []string `json:"builds,omitempty"`
	// Zone is the only allowed zone; empty: any.
	Zone string `json:"yard,omitempty"`
	// OneZone: all tasks must be in the same zone.
	OneZone bool `json:"one_zone,omitempty"`
	// Spread: at most half of the tasks, rounded up, may be in one zone.
	Spread bool `json:"scatter,omitempty"`
	// Spot: the job may use spot instances.
	Spot bool `json:"loaners,omitempty"`
	// EstimateS is the user's estimate of a task's run time without the image fetch.
	EstimateS float64 `json:"guess_s"`
	// CheckpointIntervalS is the progress after which a running task saves a checkpoint
	// by itself; 0: the task never saves.
	CheckpointIntervalS float64 `json:"mark_every_s"`
	// CheckpointSaveS is the time that a task needs to save when it is stopped.
	CheckpointSaveS float64 `json:"stow_s"`
	// DeadlineS is counted from the submission; nil: none.
	DeadlineS *float64 `json:"due_s,omitempty"`
}

// IsService says whether the job's tasks run until it is cancelled.
func (s *Submission) IsService() bool { return s.Kind == KindService }

// IsGang says whether the job's tasks run at the same time or not at all.
func (s *Submission) IsGang() bool { return s.Kind == KindGang }

// AllOrNothing says whether the job's tasks are admitted together: all of them have to
// fit their team's limit.
func (s *Submission) AllOrNothing() bool { return s.IsService() || s.IsGang() }
