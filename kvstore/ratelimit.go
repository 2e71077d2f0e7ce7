package kvstore

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"ravenport/constants"
)

// writePriority determines how a client's writes wait for this controller's share of the
// store's write rate limit.
type writePriority int

const (
	// priorityInteractive is for writes that a user waits for. The client refuses such a
	// write at once if it would have to wait longer than constants.RateLimitWait; the user
	// is then told when to retry.
	priorityInteractive writePriority = iota
	// priorityBackground is for writes that can be delayed. They wait for as long as
	// necessary and use only a part of the rate limit, so that the rest is left to all
	// other writes.
	priorityBackground
	// priorityUrgent is for writes that wait for the rate limit for as long as necessary,
	// but are not subject to the limit of background writes.
	priorityUrgent
	// priorityUnthrottled is for writes that do not wait at all. They still count towards
	// the rate limit, so later writes wait longer.
	priorityUnthrottled
)

// Background returns a client with the same connections and rate limits for writes that
// can be delayed. These writes leave part of the rate limit to the writes of users, leases
// and term acquisitions.
func (c *Client) Background() *Client { return c.withPriority(priorityBackground) }

// Urgent returns a client with the same connections and rate limits for writes that wait
// for the rate limit for as long as necessary, but are not subject to the limit of
// background writes.
func (c *Client) Urgent() *Client { return c.withPriority(priorityUrgent) }

// Unthrottled returns a client with the same connections and rate limits for the few
// writes that take precedence over all others: those of leases and term acquisitions.
// These writes do not wait for this controller's own rate limit.
func (c *Client) Unthrottled() *Client { return c.withPriority(priorityUnthrottled) }

func (c *Client) withPriority(priority writePriority) *Client {
	client := *c
	client.priority = priority
	return &client
}

// newLimiter returns a limiter for a share of the rate perSecond. A burst may use the
// limit of one second at once.
func newLimiter(perSecond, share float64) *rate.Limiter {
	limit := perSecond * share
	return rate.NewLimiter(rate.Limit(limit), max(1, int(limit)))
}

// waitForWriteLimit waits until this controller's rate limit permits a number of changes,
// as the client's priority requires. It returns ErrRateLimited if an interactive write
// would have to wait too long, and the error of ctx if ctx has ended.
func (c *Client) waitForWriteLimit(ctx context.Context, changes int) error {
	if c.priority == priorityBackground {
		err := c.backgroundLimiter.WaitN(ctx, min(changes, c.backgroundLimiter.Burst()))
		if err != nil {
			return err
		}
	}
	reservation := c.writeLimiter.ReserveN(time.Now(), min(changes, c.writeLimiter.Burst()))
	if c.priority == priorityUnthrottled {
		return ctx.Err() // the reservation still delays later writes
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
