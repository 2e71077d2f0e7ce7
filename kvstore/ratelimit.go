package kvstore

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"ravenport/constants"
)

// writePriority says how a client's writes wait for this controller's share of the
// store's write rate limit.
type writePriority int

const (
	// priorityInteractive: a user waits for the write. It is refused at once when it
	// would have to wait longer than constants.RateLimitWait; the user is told when
	// to retry.
	priorityInteractive writePriority = iota
	// priorityBackground: the write can be delayed. It waits for as long as necessary,
	// and leaves a part of the rate limit to all others.
	priorityBackground
	// priorityUrgent: the write waits for the rate limit for as long as necessary, and
	// for nothing else.
	priorityUrgent
	// priorityUnthrottled: the write does not wait at all; later writes wait for it.
	priorityUnthrottled
)

// Background returns a client of the same connections and rate limits for writes that
// can be delayed: they leave part of the rate limit to the writes of users, leases and
// term acquisitions.
func (c *Client) Background() *Client { return c.withPriority(priorityBackground) }

// Urgent returns a client of the same connections and rate limits for writes that wait
// for the rate limit however long it takes, and for nothing else.
func (c *Client) Urgent() *Client { return c.withPriority(priorityUrgent) }

// Unthrottled returns a client of the same connections and rate limits for the few
// writes that precede all others, those of leases and term acquisitions: they do not
// wait for this controller's own rate limit.
func (c *Client) Unthrottled() *Client { return c.withPriority(priorityUnthrottled) }

func (c *Client) withPriority(priority writePriority) *Client {
	client := *c
	client.priority = priority
	return &client
}

// newLimiter makes a limiter for a share of a rate (per second) that allows bursts of
// one second's worth.
func newLimiter(perSecond, share float64) *rate.Limiter {
	limit := perSecond * share
	return rate.NewLimiter(rate.Limit(limit), max(1, int(limit)))
}

// waitForWriteLimit waits until this controller's rate limit permits a number of
// changes, in the way of the client's priority. It returns ErrRateLimited when an
// interactive write would have to wait too long, and the context's error when ctx ended.
func (c *Client) waitForWriteLimit(ctx context.Context, changes int) error {
	if c.priority == priorityBackground {
		err := c.backgroundLimiter.WaitN(ctx, min(changes, c.backgroundLimiter.Burst()))
		if err != nil {
			return err
		}
	}
	reservation := c.writeLimiter.ReserveN(time.Now(), min(changes, c.writeLimiter.Burst()))
	if c.priority == priorityUnthrottled {
		return ctx.Err() // the reservation delays the writes after this one
	}
	delay := reservation.Delay()
	if c.priority == priorityInteractive && delay > constants.RateLimitWait {
		reservation.Cancel()
		return ErrRateLimited
	}
	if delay > 0 {
		sleep(ctx, delay)
	}
	return ctx.Err()
}
