package apiserver

import (
	"context"
	"errors"
	"log/slog"
	"net/http"

	"ravenport/constants"
	"ravenport/kvstore"
	"ravenport/logkey"
	"ravenport/records"
	"ravenport/wire"
)

// cancel responds at once if the job is known to have ended. Otherwise it starts a
// goroutine that cancels the job. Cancellation is idempotent: the response to a repeated
// cancellation names the state in which the job ended.
func (s *Server) cancel(ctx context.Context, msg Cancel) {
	if job, ok := s.jobs[msg.JobID]; ok && job.endState != "" {
		respondEnded(msg.Request, msg.JobID, job.endState)
		return
	}
	if s.pendingRequests >= constants.MaxPendingRequests {
		rejectTooManyRequests.respond(msg.Request)
		return
	}
	s.pendingRequests++
	sizeLimits := s.sizeLimits
	go func() {
		defer s.self.Tell(requestDone{})
		ctx, cancel := context.WithTimeout(ctx, constants.UserRequestTimeout)
		defer cancel()
		endState, err := s.cancelJob(ctx, msg.JobID, sizeLimits)
		switch {
		case err != nil:
			rejectStoreUnavailable.respond(msg.Request)
		case endState == "":
			rejectNoSuchJob.respond(msg.Request)
		default:
			respondEnded(msg.Request, msg.JobID, endState)
		}
	}()
}

func respondEnded(request Request, jobID string, endState wire.JobState) {
	respondJSON(request, http.StatusOK, wire.JobReply{ID: jobID, Status: endState})
}

// cancelJob cancels a job that has not ended, and returns the state in which the job ended;
// empty if there is no such job. It runs on its own goroutine.
func (s *Server) cancelJob(ctx context.Context, jobID string, sizeLimits records.SizeLimits) (endState wire.JobState, err error) {
	for {
		job, version, err := s.readJob(ctx, jobID)
		if err != nil {
			return "", err
		}
		if job == nil {
			return "", nil
		}
		if job.End != "" {
			s.notifyIfCancelled(job, version)
			return job.End, nil
		}
		revision, err := s.writeCancellation(ctx, job, version, sizeLimits)
		switch {
		case err == nil:
			s.notifyIfCancelled(job, revision)
			return job.End, nil
		case errors.Is(err, kvstore.ErrInvalidRequest) && !sizeLimits.PackingEnabled:
			// The store enforces its smaller size limits. It does so only once every
			// controller has this version, and so can read packed records.
			sizeLimits.PackingEnabled = true
		case isConflict(err), errors.Is(err, kvstore.ErrOutcomeUnknown):
			// Another write changed the key first, or the outcome of this write is
			// unknown. Reading the key again shows which state is stored.
			if ctx.Err() != nil {
				return "", err
			}
		default:
			return "", err
		}
	}
}

// writeCancellation marks job as cancelled and writes its record, on the condition
// that its key still has the given version. It returns the revision of the write.
func (s *Server) writeCancellation(ctx context.Context, job *records.Job, version uint64, sizeLimits records.SizeLimits) (uint64, error) {
	previous := *job
	job.End = wire.JobCancelled
	value, ok := sizeLimits.Encode(job, &previous)
	if !ok {
		slog.Error("job's record does not fit", logkey.JobID, job.ID, "bytes", len(value))
		return 0, kvstore.ErrNotExecuted
	}
	key := records.KeyJob(job.ID)
	return s.commit(ctx, wire.Txn{
		Conditions: []wire.Condition{{Key: key, Version: version}},
		Changes:    []wire.Change{{Put: key, Value: value}},
	})
}

// notifyIfCancelled notifies the controller of a stored cancellation. It must be called
// before any user is told of the cancellation (docs/safety.md, point 12). It may be called
// from any goroutine.
func (s *Server) notifyIfCancelled(job *records.Job, revision uint64) {
	if job.End == wire.JobCancelled {
		s.controller.Tell(JobCancelled{JobID: job.ID, Revision: revision})
	}
}

func isConflict(err error) bool {
	var conflict *kvstore.ConflictError
	return errors.As(err, &conflict)
}
