package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/kvstore"
	"ravenport/logkey"
	"ravenport/member"
)

// receiveTermMessage handles a message about the acquisition of a term. It returns false
// if msg is of another kind.
func (c *controlActor) receiveTermMessage(ctx context.Context, now time.Time, msg any) bool {
	switch m := msg.(type) {
	case acquisitionDone:
		c.handleAcquisitionDone(now, m)
	case actorStopped:
		delete(c.terms.acquiring, m.acquisition.Key)
		c.startAcquisition(ctx, now, m.acquisition)
	default:
		return false
	}
	return true
}

// acquireDueTerms acquires the vacant terms that this controller is due to acquire, and
// transfers the terms that it holds but for which another controller is preferred.
func (c *controlActor) acquireDueTerms(ctx context.Context, now time.Time) {
	authorized := c.hasAuthority(now) && !c.isAcquisitionBlocked(now)
	for _, acquisition := range c.member.DueAcquisitions(now, c.lease.incarnation, authorized) {
		if c.isAcquiring(now, acquisition.Key) {
			continue
		}
		if acquisition.NewHolder == c.settings.Controller {
			c.startAcquisition(ctx, now, acquisition)
			continue
		}
		if now.Sub(c.terms.unstableAt[acquisition.Key]) < constants.FailbackStabilizationTime {
			continue // a second rebuild right after the first would delay more work
		}
		slog.Info("transferring term", "key", acquisition.Key, logkey.Controller, acquisition.NewHolder)
		c.transferTerm(now, acquisition)
	}
}

// reacquireRelinquished acquires a new term where a transfer failed: without it the
// relinquished term has no running leader or owner.
func (c *controlActor) reacquireRelinquished(ctx context.Context, now time.Time) {
	for key, number := range c.terms.relinquished {
		if c.isAcquisitionBlocked(now) {
			return
		}
		term, _ := c.member.Term(key)
		if term.Number != number {
			delete(c.terms.relinquished, key)
			continue
		}
		if !c.isAcquiring(now, key) && c.hasAuthority(now) {
			c.startAcquisition(ctx, now, c.member.AcquisitionFor(key, c.settings.Controller))
		}
	}
}

// isAcquiring reports whether an acquisition of key counts as in progress. An acquisition
// without a result counts for StoreTimeout and one second, a written one, or one whose
// outcome is unknown, for one second after its result. The state expires without a further
// event: otherwise an owner that had once acquired its shard could never transfer the shard.
func (c *controlActor) isAcquiring(now time.Time, key string) bool {
	startedAt, ok := c.terms.acquiring[key]
	return ok && now.Sub(startedAt) < constants.StoreTimeout+time.Second
}

// startAcquisition writes an acquisition, unless one for the same key is in progress.
func (c *controlActor) startAcquisition(ctx context.Context, now time.Time, acquisition member.TermAcquisition) {
	if c.isAcquiring(now, acquisition.Key) {
		return
	}
	c.terms.acquiring[acquisition.Key] = now
	go func() {
		err := c.acquire(ctx, acquisition)
		c.self.Tell(acquisitionDone{acquisition, err})
	}()
}

// acquire commits an acquisition. It retries an acquisition that was refused only for the
// rate limit after a short delay, because the shard has no owner until the acquisition is
// written. It runs on a goroutine other than the actor's.
func (c *controlActor) acquire(ctx context.Context, acquisition member.TermAcquisition) error {
	const backoff = constants.RetryBackoffMin / 4
	retry := kvstore.RateLimitRetry{
		MaxElapsed: constants.AcquisitionRetryTime,
		MinDelay:   backoff,
		Jitter:     backoff,
	}
	return retry.Do(ctx, func() error {
		_, err := c.dependencies.Unthrottled.Commit(ctx, acquisition.Txn)
		return err
	})
}

// handleAcquisitionDone handles the result of an acquisition.
func (c *controlActor) handleAcquisitionDone(now time.Time, m acquisitionDone) {
	if m.err == nil || errors.Is(m.err, kvstore.ErrOutcomeUnknown) {
		// No other acquisition of the key is started for one second, within which the
		// feed is expected to deliver the outcome.
		c.terms.acquiring[m.acquisition.Key] = now.Add(-constants.StoreTimeout)
		return
	}
	delete(c.terms.acquiring, m.acquisition.Key)
	slog.Info("term acquisition failed", "key", m.acquisition.Key, logkey.Controller, m.acquisition.NewHolder, logkey.Err, m.err)
}
