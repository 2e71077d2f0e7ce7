package kvstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"ravenport/constants"
)

// Retry repeats call as long as call returns ErrNotExecuted and ctx has not ended, with
// exponential backoff and jitter. It returns the error of the last call.
func Retry(ctx context.Context, call func() error) error {
	delay := constants.RetryBackoffMin
	for {
		err := call()
		if !errors.Is(err, ErrNotExecuted) {
			return err
		}
		if !sleep(ctx, withJitter(delay)) {
			return err
		}
		delay = min(2*delay, constants.RetryBackoffMax)
	}
}

// RateLimitRetry configures the retries of a rate-limited call.
type RateLimitRetry struct {
	// MaxElapsed is the time since the first call after which no retry is started.
	MaxElapsed time.Duration
	// MinDelay is the minimum delay before a retry.
	MinDelay time.Duration
	// Jitter bounds the random delay that is added to MinDelay. Jitter must be positive.
	Jitter time.Duration
}

// Do repeats call as long as call returns ErrRateLimited, until ctx ends or MaxElapsed
// has passed. It returns the error of the last call.
func (r RateLimitRetry) Do(ctx context.Context, call func() error) error {
	start := time.Now()
	for {
		err := call()
		if !errors.Is(err, ErrRateLimited) || time.Since(start) > r.MaxElapsed || ctx.Err() != nil {
			return err
		}
		sleep(ctx, r.MinDelay+rand.N(r.Jitter))
	}
}

// withJitter returns a random delay from half to one and a half times d. d must be
// positive.
func withJitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// sleep waits until d has passed or ctx ends, and reports whether d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
