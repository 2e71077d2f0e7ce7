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

// RetryRateLimited repeats call while it returns ErrRateLimited, until ctx ends or
// maxElapsed has passed since the first call. It waits minDelay and a random part of
// jitter, which must be positive, between two calls. It returns the last call's error.
func RetryRateLimited(ctx context.Context, maxElapsed, minDelay, jitter time.Duration, call func() error) error {
	start := time.Now()
	for {
		err := call()
		if !errors.Is(err, ErrRateLimited) || time.Since(start) > maxElapsed || ctx.Err() != nil {
			return err
		}
		sleep(ctx, minDelay+rand.N(jitter))
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
