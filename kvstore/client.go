// Package kvstore calls the consensus-backed key-value store that holds all of
// ravenport's durable state: a client, retries, and a feed that mirrors every key.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"ravenport/constants"
	"ravenport/httpwire"
	"ravenport/records"
	"ravenport/wire"
)

// Errors of calls to the state service.
var (
	// ErrRefused: the call was surely not carried out.
	ErrRefused = errors.New("kvstore: refused")
	// ErrRateLimited: refused for the allowance alone; it comes with ErrRefused.
	ErrRateLimited = errors.New("kvstore: over the allowance")
	// ErrOutcomeUnknown: the call may have been, or may yet be, carried out.
	ErrOutcomeUnknown = errors.New("kvstore: no answer")
	// ErrLeaseExpired: the lease has ended.
	ErrLeaseExpired = errors.New("kvstore: no such lease")
	// ErrInvalidRequest: the service found fault with the call itself, most likely its
	// size, and will every time.
	ErrInvalidRequest = errors.New("kvstore: not acceptable")
	// ErrCompacted: a watch asked for changes that are no longer kept.
	ErrCompacted = errors.New("kvstore: changes no longer kept")
)

// ConflictError says that a transaction's conditions did not hold.
type ConflictError struct{ Keys []string }

func (c *ConflictError) Error() string { return fmt.Sprintf("kvstore: conditions failed: %v", c.Keys) }

// Client calls the state service within this controller's share of the
// allowance.
type Client struct {
	calls   *httpwire.Client
	watches *httpwire.Client
	reads   *rate.Limiter
	writes  *rate.Limiter
	waiting *rate.Limiter // of writes that can wait
	later   bool          // this client's writes can wait
	first   bool          // and this one's cannot at all
	urgent  bool          // and this one's wait for their turn alone
}

// Background returns the same client for writes that can wait: they leave part of
// the allowance to those of users, leases and claims.
func (c *Client) Background() *Client {
	l := *c
	l.later = true
	return &l
}

// Urgent returns the same client for writes that wait for their turn however long
// it takes, and for no longer than that.
func (c *Client) Urgent() *Client {
	u := *c
	u.urgent = true
	return &u
}

// Unthrottled returns the same client for the few writes that come before all
// others, leases and claims: they do not wait for the own allowance.
func (c *Client) Unthrottled() *Client {
	f := *c
	f.first = true
	return &f
}

// allow waits for the write allowance. Writes that users wait for are refused
// at once when it would take long; the user is told when to come back. Those
// that can wait do so in the order in which they came.
func (c *Client) allow(ctx context.Context, n int) error {
	if c.first {
		c.writes.ReserveN(time.Now(), min(n, c.writes.Burst())) // the others wait for them
		return ctx.Err()
	}
	if c.later {
		if err := c.waiting.WaitN(ctx, min(n, c.waiting.Burst())); err != nil {
			return err
		}
	}
	r := c.writes.ReserveN(time.Now(), min(n, c.writes.Burst()))
	d := r.Delay()
	if d > constants.RateLimitWait && !c.later && !c.urgent {
		r.Cancel()
		return ErrRateLimited
	}
	if d > 0 {
		pause(ctx, d)
	}
	return ctx.Err()
}

// NewClient makes a client of the service at addr with the settings' limits.
func NewClient(addr string, rps, writeRPS float64) *Client {
	lim := httpwire.Limits{Header: constants.MaxHeaderBytes, Body: constants.MaxResponseBody}
	share := func(r, shard float64) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(r*shard), max(1, int(r*shard)))
	}
	return &Client{
		calls:   httpwire.NewClient(addr, constants.MaxIdleConns, constants.DialTimeout, lim),
		watches: httpwire.NewClient(addr, 1, constants.DialTimeout, lim),
		reads:   share(rps, constants.StoreRateShare),
		writes:  share(writeRPS, constants.StoreRateShare),
		waiting: share(writeRPS, constants.BackgroundWriteShare),
	}
}

// do makes one call and sorts what came of it.
func (c *Client) do(ctx context.Context, method, path string, body any) (*httpwire.Message, error) {
	var data []byte
	if body != nil {
		data = records.Encode(body)
	}
	ctx, cancel := context.WithTimeout(ctx, constants.StoreTimeout)
	defer cancel()
	m, err := c.calls.Do(ctx, method, path, data)
	switch {
	case err == nil && m.Status == 429:
		return nil, fmt.Errorf("%w: %w: status 429", ErrRefused, ErrRateLimited)
	case err == nil && m.Status == 503:
		return nil, fmt.Errorf("%w: status %d", ErrRefused, m.Status)
	case err == nil:
		return m, nil
	case httpwire.Unsent(err):
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

// Commit carries out a transaction. After ErrOutcomeUnknown the caller must read
// what came of it before it concludes anything.
func (c *Client) Commit(ctx context.Context, t wire.Txn) (uint64, error) {
	if n := len(t.Changes); n > 0 {
		if err := c.allow(ctx, n); err != nil {
			return 0, fmt.Errorf("%w: own allowance: %w", ErrRefused, err)
		}
	}
	if t.Conditions == nil {
		t.Conditions = []wire.Condition{}
	}
	if t.Changes == nil {
		t.Changes = []wire.Change{}
	}
	m, err := c.do(ctx, "POST", wire.PathTxn, t)
	if err != nil {
		return 0, err
	}
	var r wire.TxnReply
	if err := wire.Decode(m.Body, &r); err != nil && m.Status != 400 {
		return 0, fmt.Errorf("%w: unreadable answer: %w", ErrOutcomeUnknown, err)
	}
	switch m.Status {
	case 200:
		return r.Revision, nil
	case 409:
		return 0, &ConflictError{r.Failed}
	case 400:
		var p wire.Problem
		if wire.Decode(m.Body, &p) == nil && p.Error == "no such lease" {
			return 0, ErrLeaseExpired
		}
		return 0, fmt.Errorf("%w: status 400: %.200s", ErrInvalidRequest, m.Body)
	}
	return 0, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, m.Status)
}

// Retry repeats call while it is refused, with backoff and jitter, until ctx
// ends.
func Retry(ctx context.Context, call func() error) error {
	wait := constants.RetryBackoffMin
	for {
		err := call()
		if !errors.Is(err, ErrRefused) {
			return err
		}
		t := time.NewTimer(wait/2 + rand.N(wait))
		select {
		case <-ctx.Done():
			t.Stop()
			return err
		case <-t.C:
		}
		wait = min(2*wait, constants.RetryBackoffMax)
	}
}

// RetryRateLimited repeats call while it is refused for rate alone, for at most limit.
func RetryRateLimited(ctx context.Context, limit, least, spread time.Duration, call func() error) error {
	began := time.Now()
	for {
		err := call()
		if !errors.Is(err, ErrRateLimited) || time.Since(began) > limit || ctx.Err() != nil {
			return err
		}
		pause(ctx, least+rand.N(spread))
	}
}

// Get reads one key; found is false when it does not exist.
func (c *Client) Get(ctx context.Context, key string) (kv wire.KeyValue, found bool, err error) {
	m, err := c.do(ctx, "GET", wire.KeyPath(key), nil)
	if err != nil {
		return kv, false, err
	}
	switch m.Status {
	case 200:
		if err := wire.Decode(m.Body, &kv); err != nil {
			return kv, false, fmt.Errorf("%w: unreadable answer: %w", ErrOutcomeUnknown, err)
		}
		return kv, true, nil
	case 404:
		return kv, false, nil
	}
	return kv, false, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, m.Status)
}

// Revision reads the current revision.
func (c *Client) Revision(ctx context.Context) (uint64, error) {
	m, err := c.do(ctx, "GET", wire.KeyPath(records.KeyBarrier), nil)
	if err != nil {
		return 0, err
	}
	var r wire.TxnReply
	if err := wire.Decode(m.Body, &r); err != nil || m.Status != 404 {
		return 0, fmt.Errorf("%w: status %d for the revision", ErrOutcomeUnknown, m.Status)
	}
	return r.Revision, nil
}

// List reads all keys under prefix. The revision is one at which every change
// up to it is contained; later ones may be, too.
func (c *Client) List(ctx context.Context, prefix string) (items []wire.KeyValue, revision uint64, err error) {
	after := ""
	for {
		if err := c.reads.Wait(ctx); err != nil {
			return nil, 0, err
		}
		m, err := c.do(ctx, "GET", wire.ListPath(prefix, after, constants.StorePageSize), nil)
		if err != nil {
			return nil, 0, err
		}
		var page wire.KeyList
		if err := wire.Decode(m.Body, &page); err != nil || m.Status != 200 {
			return nil, 0, fmt.Errorf("%w: listing: status %d: %v", ErrOutcomeUnknown, m.Status, err)
		}
		if after == "" {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if !page.HasMore || len(page.Items) == 0 {
			return items, revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// Watch waits for changes under prefix after a revision.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (*wire.Events, error) {
	if err := c.reads.Wait(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+constants.StoreTimeout)
	defer cancel()
	m, err := c.watches.Do(ctx, "GET", wire.WatchPath(prefix, from, wait.Milliseconds()), nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	switch m.Status {
	case 200:
		var ev wire.Events
		if err := wire.Decode(m.Body, &ev); err != nil {
			return nil, fmt.Errorf("%w: unreadable events: %w", ErrRefused, err)
		}
		return &ev, nil
	case 410:
		return nil, ErrCompacted
	case 429:
		return nil, fmt.Errorf("%w: %w: watch: status 429", ErrRefused, ErrRateLimited)
	}
	return nil, fmt.Errorf("%w: watch: status %d", ErrRefused, m.Status)
}

// Grant obtains a lease.
func (c *Client) Grant(ctx context.Context, life time.Duration) (uint64, error) {
	m, err := c.do(ctx, "POST", wire.PathLeases, wire.LeaseRequest{TTLMS: life.Milliseconds()})
	if err != nil {
		return 0, err
	}
	var r wire.LeaseReply
	if err := wire.Decode(m.Body, &r); err != nil || m.Status != 200 || r.Lease == 0 {
		return 0, fmt.Errorf("%w: lease: status %d", ErrOutcomeUnknown, m.Status)
	}
	return r.Lease, nil
}

// Renew renews a lease.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	m, err := c.do(ctx, "POST", wire.LeasePath(lease)+"/"+wire.RenewSuffix, struct{}{})
	if err != nil {
		return err
	}
	switch m.Status {
	case 200:
		return nil
	case 404:
		return ErrLeaseExpired
	}
	return fmt.Errorf("%w: renewal: status %d", ErrOutcomeUnknown, m.Status)
}
