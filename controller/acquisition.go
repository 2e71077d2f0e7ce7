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

// receiveTermMessage handles a message about the acquisition of a term, and returns
// whether it is one.
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

// acquireDueTerms acquires the vacant terms that are this controller's to take, and transfers
// those that another one is better placed for.
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
			continue // a second rebuild right after the first would keep more work waiting
		}
		slog.Info("transferring term", "key", acquisition.Key, logkey.Controller, acquisition.NewHolder)
		c.transferTerm(now, acquisition)
	}
}

// reacquireRelinquished takes a new term where a transfer failed, since the term that was
// given up has no owner.
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

// isAcquiring says whether an acquisition of key is under way, or was started a moment
// ago. It ends by itself: else an owner that once acquired its shard could never hand it
// over.
func (c *controlActor) isAcquiring(now time.Time, key string) bool {
	startedAt, ok := c.terms.acquiring[key]
	return ok && now.Sub(startedAt) < constants.StoreTimeout+time.Second
}

// startAcquisition writes an acquisition, unless one of the same term is under way.
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

// acquire commits an acquisition. One that is refused for rate alone is retried at once:
// until it is written nobody owns the shard. It runs beside the actor.
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
		// The feed shows the outcome; until then nothing else is tried, for a little
		// while.
		c.terms.acquiring[m.acquisition.Key] = now.Add(-constants.StoreTimeout)
		return
	}
	delete(c.terms.acquiring, m.acquisition.Key)
	slog.Info("term acquisition failed", "key", m.acquisition.Key, logkey.Controller, m.acquisition.NewHolder, logkey.Err, m.err)
}
