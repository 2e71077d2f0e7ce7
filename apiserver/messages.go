package apiserver

import (
	"time"

	"ravenport/httpwire"
	"ravenport/records"
	"ravenport/wire"
)

// Request is a user's request that waits for its response.
type Request interface {
	// Respond sends the response. It may be called from any goroutine, once.
	Respond(*httpwire.Response)
}

// Messages that the API server receives from other components.
type (
	// Submit requests that a job be accepted.
	Submit struct {
		Request Request
		Body    []byte // the submission as the user sent it (JSON)
	}
	// Poll requests a job's state.
	Poll struct {
		Request Request
		JobID   string
	}
	// Cancel requests a job's cancellation.
	Cancel struct {
		Request Request
		JobID   string
	}
	// GetMetrics requests the metrics in Prometheus' text format.
	GetMetrics struct{ Request Request }
	// MachineTypes replaces the cloud's machine types.
	MachineTypes []wire.MachineType
	// ShardCounts replaces a shard's counts of running and done tasks by job.
	ShardCounts struct {
		Shard string
		ByJob records.CountsByJob
	}
	// SetRelays replaces the list of other controllers that are known to reach the store.
	SetRelays struct{ Relays []Relay }
	// PackingEnabled says that every controller can read packed records.
	PackingEnabled struct{}
	// Tick makes the API server check for polls that have waited too long for the watch
	// feed.
	Tick time.Time
)

// JobCancelled is sent to the controller for each stored cancellation that the API
// server learns of from a read or write of its own, before any user is told of it.
type JobCancelled struct {
	JobID    string
	Revision uint64 // at which the cancellation was stored, or a later one
}

// Messages that the API server's goroutines send to it.
type (
	// revisionRead is the result of one read of the store's current revision.
	revisionRead struct {
		polls    []*pendingPoll
		revision uint64
		err      error
	}
	// readDue says that the interval since the last read has passed.
	readDue struct{}
	// submissionWritten is the result of writing a submission's record.
	submissionWritten struct {
		submission    wire.Submission
		request       Request
		arrivedAt     time.Time
		directBlocked bool // this controller could not reach the store directly
		err           error
	}
	// requestDone says that a goroutine has answered the request that it was started for.
	requestDone struct{}
)
