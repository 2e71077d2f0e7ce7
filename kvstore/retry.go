package kvstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"ravenport/constants"
)

// Retry repeats call while it returns ErrRefused, with exponential backoff and jitter,
// until ctx ends. It returns the last call's error.
func Retry(ctx context.Context, call func() error) error {
	delay := constants.RetryBackoffMin
	for {
		err := call()
		if !errors.Is(err, ErrRefused) {
			return err
		}
		if !sleep(ctx, withJitter(delay)) {
			return err
		}
		delay = min(2*delay, constants.RetryBackoffMax)
	}
}

// RateLimitRetry says how a call that was rate limited is retried.
type RateLimitRetry struct {
	// MaxElapsed is the time since the first call after which there is no other.
	MaxElapsed time.Duration
	// MinDelay is the least delay before a retry.
	MinDelay time.Duration
	// Jitter bounds the random delay that is added; it must be positive.
	Jitter time.Duration
}

// Do repeats call while it returns ErrRateLimited, until ctx ends or MaxElapsed has
// passed. It returns the last call's error.
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

// withJitter is a random delay from half to one and a half times d, which must be
// positive.
func withJitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// sleep waits for d or until ctx ends; it says whether d has passed.
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
