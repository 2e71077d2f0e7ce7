// Package logkey holds the keys of the structured fields in ravenport's log lines.
// Operators' alerts and searches match these keys, so they do not change; DEVELOPERS.md
// lists them with their values.
package logkey

// Keys of structured log fields.
const (
	// JobID is a job's id, as its user gave it.
	JobID = "job_id"
	// TaskID is a task's name: the job's id, a slash and the task's index.
	TaskID = "task_id"
	// Shard is a shard's name, which is its zone's.
	Shard = "shard"
	// Term is the number of a leader's or a shard owner's term.
	Term = "term"
	// FencingToken is the fencing token of a command or of a heartbeat's reply.
	FencingToken = "fencing_token"
	// Epoch is a worker's epoch: it rises each time the worker's lease expires.
	Epoch = "epoch"
	// Machine is a machine's name.
	Machine = "machine"
	// Controller is a controller's name.
	Controller = "controller"
	// Lease is the id of a lease of the key-value store.
	Lease = "lease"
	// Err is the error that the line reports.
	Err = "err"
)
