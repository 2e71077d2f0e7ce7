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

// commitTimeout bounds a transaction including its retries.
const commitTimeout = 2 * constants.StoreTimeout

// commitResult is the result of a transaction.
type commitResult struct {
	revision uint64 // 0: the transaction is not known to have been written
	err      error
}

// isInvalidRequest reports whether the store refused the transaction as invalid, so that
// a retry cannot succeed.
func (r commitResult) isInvalidRequest() bool { return errors.Is(r.err, kvstore.ErrInvalidRequest) }

// writeRequest is a transaction to be committed.
type writeRequest struct {
	txn         wire.Txn
	description string // for the log
	urgent      bool   // retried after a short delay if only a rate limit prevented the write
}

// commit commits a write. It retries a write that was not answered, which is safe because
// the write is conditional. It does not retry a write that the store refused as invalid.
func commit(ctx context.Context, store Store, write writeRequest) commitResult {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	startedAt := time.Now()
	var revision uint64
	commitOnce := func() error {
		written, err := store.Commit(ctx, write.txn)
		revision = written
		return err
	}
	err := kvstore.Retry(ctx, func() error {
		if !write.urgent {
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
		write.logFailure(ctx, err)
		return commitResult{err: err}
	}
	slog.Debug("write committed", "what", write.description, "took_ms", time.Since(startedAt).Milliseconds())
	return commitResult{revision: revision}
}

// logFailure logs why a write failed. Failures after the context has ended are expected
// and are logged only if they are conflicts or invalid requests.
func (w writeRequest) logFailure(ctx context.Context, err error) {
	var conflict *kvstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		slog.Debug("compare-and-swap conflict", "what", w.description, logkey.Err, err)
	case errors.Is(err, kvstore.ErrInvalidRequest):
		for _, change := range w.txn.Changes {
			slog.Error("write refused as invalid", "key", change.Put, "bytes", len(change.Value), "changes", len(w.txn.Changes), logkey.Err, err)
		}
	case ctx.Err() == nil:
		slog.Info("write failed", "what", w.description, logkey.Err, err)
	}
}
