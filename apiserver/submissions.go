package apiserver

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"ravenport/constants"
	"ravenport/kvstore"
	"ravenport/logkey"
	"ravenport/records"
	"ravenport/wire"
)

// submit accepts a job by creating its record. It is idempotent: a repeated submission
// of a known job is answered with the job's state.
func (s *Server) submit(ctx context.Context, msg Submit) {
	submission, jobID, err := wire.ParseSubmission(msg.Body)
	if err != nil && jobID == "" {
		rejectMalformed(err).respond(msg.Request)
		return
	}
	var rejected *rejection
	if err != nil {
		rejected = rejectMalformed(err)
	} else {
		rejected = s.validate(&submission)
	}
	if rejected != nil {
		// A repeated submission of an accepted job is answered with the job's state, even
		// if the submission would be rejected now.
		s.poll(ctx, &pendingPoll{request: msg.Request, jobID: jobID, ifNotFound: rejected})
		return
	}
	if _, known := s.jobs[jobID]; known {
		s.poll(ctx, &pendingPoll{request: msg.Request, jobID: jobID, ifNotFound: &rejectNotReady})
		return
	}
	if s.pendingRequests >= constants.MaxPendingRequests {
		rejectTooManyRequests.respond(msg.Request)
		return
	}
	arrivedAt := time.Now()
	relays := s.path.currentRelays(arrivedAt)
	if arrivedAt.Before(s.storeDownUntil) && len(relays) == 0 {
		rejectStoreUnavailable.respond(msg.Request)
		return
	}
	s.pendingRequests++
	s.startSubmission(ctx, submissionWritten{submission: submission, request: msg.Request, arrivedAt: arrivedAt}, relays)
}

// startSubmission starts a goroutine that writes the record of result.submission, sets the
// outcome in result, and sends result to the actor.
func (s *Server) startSubmission(ctx context.Context, result submissionWritten, relays []Relay) {
	directBlocked := s.path.directBlocked
	job := records.Job{Spec: result.submission, AcceptedMS: time.Now().UnixMilli()}
	key := records.KeyJob(result.submission.ID)
	// Version 0: the key must not exist, so only the first of several submissions of a
	// job creates its record.
	txn := wire.Txn{
		Conditions: []wire.Condition{{Key: key, Version: 0}},
		Changes:    []wire.Change{{Put: key, Value: records.Encode(job)}},
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, constants.UserRequestTimeout)
		defer cancel()
		result.directBlocked, result.err = s.writeSubmission(ctx, txn, directBlocked, relays)
		s.self.Tell(result)
	}()
}

func (s *Server) handleSubmissionWritten(ctx context.Context, result submissionWritten) {
	s.pendingRequests--
	if result.directBlocked {
		s.path.directBlocked = true
	}
	jobID := result.submission.ID
	elapsed := time.Since(result.arrivedAt)
	switch {
	case result.err == nil:
		s.stats.accepted++
		s.stats.submit.observe(elapsed)
		slog.Debug("job accepted", logkey.JobID, jobID, "class", result.submission.Class, "tasks", result.submission.Tasks, "took_ms", elapsed.Milliseconds())
		respondJSON(result.request, http.StatusCreated, wire.JobReply{ID: jobID, Status: wire.JobQueued})
	case isConflict(result.err):
		// The record exists already.
		s.poll(ctx, &pendingPoll{request: result.request, jobID: jobID, ifNotFound: &rejectNotReady})
	default:
		// The record may have been written despite the error. The user's repeated
		// submission then finds the record.
		s.stats.refused++
		s.rejectUnwritten(result, elapsed)
	}
}

// rejectUnwritten rejects a submission whose record was not written, or may not have been
// written.
func (s *Server) rejectUnwritten(m submissionWritten, elapsed time.Duration) {
	jobID := m.submission.ID
	if errors.Is(m.err, kvstore.ErrInvalidRequest) {
		slog.Error("store rejected submission as invalid", logkey.JobID, jobID, logkey.Err, m.err)
		rejectTooLong.respond(m.request)
		return
	}
	slog.Info("submission refused", logkey.JobID, jobID, "took_ms", elapsed.Milliseconds(), logkey.Err, m.err)
	if errors.Is(m.err, kvstore.ErrRateLimited) {
		rejected := retryable(http.StatusServiceUnavailable, "too many submissions")
		// Many submissions arrive at once. The jitter spreads their retries.
		rejected.retryAfterS += rand.IntN(constants.RetryAfterJitterS)
		rejected.respond(m.request)
		return
	}
	s.storeDownUntil = time.Now().Add(constants.StoreFailureBackoff)
	rejectStoreUnavailable.respond(m.request)
}

// commit carries out a transaction on which a user's response depends. If the transaction
// is refused only because of the rate limit, commit retries it for up to
// constants.RateLimitWait. Any other error is returned at once, also when the store is
// unavailable.
func (s *Server) commit(ctx context.Context, txn wire.Txn) (revision uint64, err error) {
	retry := kvstore.RateLimitRetry{
		MaxElapsed: constants.RateLimitWait,
		MinDelay:   constants.RetryBackoffMin / 2,
		Jitter:     constants.RetryBackoffMin,
	}
	err = retry.Do(ctx, func() (err error) {
		revision, err = s.store.Commit(ctx, txn)
		return err
	})
	return revision, err
}
