package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/kvstore"
	"ravenport/logkey"
	"ravenport/wire"
)

// commitTimeout bounds a transaction with its retries.
const commitTimeout = 2 * constants.StoreTimeout

// commitResult is the result of a transaction.
type commitResult struct {
	revision uint64 // 0: not known to have been written
	err      error
}

// isInvalid says whether the store refused the transaction itself, so that repeating it
// is of no use.
func (r commitResult) isInvalid() bool { return errors.Is(r.err, kvstore.ErrInvalidRequest) }

// commit carries out a transaction. One without an answer is retried: its conditions make
// that safe. One that the store found invalid is not. Urgent ones are retried at once
// where a rate limit alone was in the way. What is written, in a few words, is for the log.
func commit(ctx context.Context, store Store, txn wire.Txn, what string, urgent bool) commitResult {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	began := time.Now()
	var revision uint64
	commitOnce := func() error {
		written, err := store.Commit(ctx, txn)
		revision = written
		return err
	}
	err := kvstore.Retry(ctx, func() error {
		if !urgent {
			return commitOnce()
		}
		retry := kvstore.RateLimitRetry{
			MaxElapsed: commitTimeout,
			MinDelay:   constants.UrgentRetryInterval,
			Jitter:     constants.UrgentRetryInterval,
		}
		return retry.Do(ctx, commitOnce)
	})
	if err != nil {
		logCommitError(ctx, txn, what, err)
		return commitResult{err: err}
	}
	slog.Debug("write committed", "what", what, "took_ms", time.Since(began).Milliseconds())
	return commitResult{revision: revision}
}

// logCommitError logs why a transaction failed; a failure of a context that
// has ended is expected, and is not logged.
func logCommitError(ctx context.Context, txn wire.Txn, what string, err error) {
	var conflict *kvstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		slog.Debug("compare-and-swap conflict", "what", what, logkey.Err, err)
	case errors.Is(err, kvstore.ErrInvalidRequest):
		for _, change := range txn.Changes {
			slog.Error("write refused as invalid", "key", change.Put, "bytes", len(change.Value), "changes", len(txn.Changes), logkey.Err, err)
		}
	case ctx.Err() == nil:
		slog.Info("write failed", "what", what, logkey.Err, err)
	}
}
