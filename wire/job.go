package wire

// Paths that users and health checks call.
const (
	PathJobs   = "/v2/runs"
	PathHealth = "/healthz"
	// CancelSuffix is appended to a job's path to cancel the job.
	CancelSuffix = "abort"
)

// JobState is the state of a job in responses to users and, once the job has ended, in its
// record.
type JobState string

// States of a job.
const (
	JobQueued    JobState = "queued" // no task is running
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "cancelled"
)

// JobReply is the response to a successful submission or cancellation.
type JobReply struct {
	ID     string   `json:"uid"`
	Status JobState `json:"status"`
}

// JobStatus is the response to a poll of a job.
type JobStatus struct {
	ID      string   `json:"uid"`
	Status  JobState `json:"status"`
	Done    int      `json:"done"`    // number of tasks that are done
	Running int      `json:"running"` // number of running tasks
}

// Problem is the body of an error response.
type Problem struct {
	Error string `json:"error"`
	Field string `json:"field,omitempty"` // the protocol's name of the request's invalid field
}
