// Package apiserver answers users' requests: submissions, polls, cancellations and
// metrics.
//
// A response reports only state that is already stored. The response about a job that has
// not ended follows a read of the store that began after the request arrived. Polls that
// arrive together share one read of the store's current revision, and are answered once
// the watch feed has reached that revision.
package apiserver

import (
	"context"
	"time"

	"ravenport/actor"
	"ravenport/machinetype"
	"ravenport/records"
	"ravenport/settings"
	"ravenport/wire"
)

// Store is the part of the key-value store's client that the API server uses.
type Store interface {
	// Commit carries out a compare-and-swap transaction and returns its revision.
	Commit(ctx context.Context, t wire.Txn) (uint64, error)
	// Get reads a key; the bool is false if the key does not exist.
	Get(ctx context.Context, key string) (wire.KeyValue, bool, error)
	// Revision reads the current revision.
	Revision(ctx context.Context) (uint64, error)
}

// Server is the API server's actor. The actor's goroutine owns the state. Functions that
// run on other goroutines say so, and report their results to the actor by message.
type Server struct {
	settings   *settings.Settings
	sizeLimits records.SizeLimits
	store      Store
	path       storePath
	self       *actor.Ref
	controller *actor.Ref // receives JobCancelled

	// State received from the watch feed and from other actors.
	jobs            map[string]jobSummary
	damagedJobs     map[string]bool // ids of jobs whose records cannot be read
	appliedRevision uint64          // the revision that the watch feed has reached
	machineTypes    machinetype.Set
	countsByShard   map[string]records.CountsByJob

	// Polls that wait for a read of the revision, and those that wait for the feed.
	pollsAwaitingRead []*pendingPoll
	pollsAwaitingFeed []*pendingPoll
	readPending       bool // a read is under way or scheduled
	lastReadAt        time.Time
	readInterval      time.Duration // the minimum time between two reads

	pendingRequests int       // requests that wait for the store
	storeDownUntil  time.Time // until then the store counts as unavailable
	stats           stats
}

// New returns an API server whose mailbox is self and that sends JobCancelled to
// controller.
func New(set *settings.Settings, store Store, self, controller *actor.Ref) *Server {
	return &Server{
		settings:      set,
		sizeLimits:    set.RecordSizeLimits(),
		store:         store,
		self:          self,
		controller:    controller,
		jobs:          map[string]jobSummary{},
		damagedJobs:   map[string]bool{},
		countsByShard: map[string]records.CountsByJob{},
		readInterval:  set.WatchInterval(),
		stats:         newStats(),
	}
}

// Receive implements actor.Handler.
func (s *Server) Receive(ctx context.Context, msg any) {
	switch msg := msg.(type) {
	case records.Update:
		s.applyUpdate(msg)
	case Submit:
		s.submit(ctx, msg)
	case Poll:
		s.poll(ctx, &pendingPoll{request: msg.Request, jobID: msg.JobID})
	case Cancel:
		s.cancel(ctx, msg)
	case GetMetrics:
		s.respondMetrics(msg.Request)
	case MachineTypes:
		s.machineTypes = machinetype.NewSet(msg)
	case ShardCounts:
		s.countsByShard[msg.Shard] = msg.ByJob
	case SetRelays:
		s.path.relays = msg.Relays
		s.path.relaysUpdatedAt = time.Now()
	case PackingEnabled:
		s.sizeLimits.PackingEnabled = true
	case Tick:
		s.readOverduePolls(ctx, time.Time(msg))
	case revisionRead:
		s.handleRevisionRead(ctx, msg)
	case readDue:
		s.readPending = false
		s.readRevision(ctx)
	case submissionWritten:
		s.handleSubmissionWritten(ctx, msg)
	case requestDone:
		s.pendingRequests--
	}
}

// applyUpdate applies changes from the watch feed and answers the polls that waited for
// them.
func (s *Server) applyUpdate(update records.Update) {
	for _, change := range update.Changes {
		switch record := change.Record.(type) {
		case *records.Job:
			s.jobs[record.ID] = summarize(record)
			delete(s.damagedJobs, record.ID)
		case *records.DamagedRecord:
			if jobID, ok := record.JobID(); ok {
				s.damagedJobs[jobID] = true
			}
		}
	}
	s.appliedRevision = update.Revision
	// An update from the watch feed shows that this controller can reach the store.
	s.storeDownUntil = time.Time{}
	s.path.directBlocked = false
	s.answerCaughtUpPolls()
}

// jobSummary is the part of a job's record that the API server keeps in memory.
type jobSummary struct {
	endState    wire.JobState // empty while the job has not ended
	taskCount   int
	closedTasks int // tasks in closed assignments
}

func summarize(job *records.Job) jobSummary {
	summary := jobSummary{endState: job.End, taskCount: job.Spec.Tasks}
	for _, assignment := range job.Assignments {
		if assignment.Closed {
			summary.closedTasks += assignment.Tasks()
		}
	}
	return summary
}

// state returns the job's state according to its record, which does not count running
// tasks.
func (j jobSummary) state(jobID string) wire.JobStatus {
	state := wire.JobStatus{ID: jobID, Status: j.endState, Done: j.closedTasks}
	if j.endState == "" {
		state.Status = wire.JobQueued
	}
	return state
}
