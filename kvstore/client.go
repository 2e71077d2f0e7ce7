package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"ravenport/constants"
	"ravenport/httpwire"
	"ravenport/records"
	"ravenport/wire"
)

// Client sends requests to the key-value store. It limits its request rate to this
// controller's share of the store's rate limits. A Client is safe for concurrent use.
type Client struct {
	httpClient *httpwire.Client
	// watchClient has a separate connection, because a watch occupies its connection
	// until the store responds.
	watchClient *httpwire.Client

	priority          writePriority
	readLimiter       *rate.Limiter // limits lists and watches (requests)
	writeLimiter      *rate.Limiter // limits all writes (changes)
	backgroundLimiter *rate.Limiter // limits background writes in addition to writeLimiter (changes)
}

// NewClient returns a client of the store at addr. requestsPerSecond and changesPerSecond
// are the rate limits of the store. The client's writes have interactive priority; see
// Background, Urgent and Unthrottled for clients with other priorities.
func NewClient(addr string, requestsPerSecond, changesPerSecond float64) *Client {
	limits := httpwire.Limits{Header: constants.MaxHeaderBytes, Body: constants.MaxResponseBody}
	return &Client{
		httpClient:        httpwire.NewClient(addr, constants.MaxIdleConns, constants.DialTimeout, limits),
		watchClient:       httpwire.NewClient(addr, 1, constants.DialTimeout, limits),
		readLimiter:       newLimiter(requestsPerSecond, constants.StoreRateShare),
		writeLimiter:      newLimiter(changesPerSecond, constants.StoreRateShare),
		backgroundLimiter: newLimiter(changesPerSecond, constants.BackgroundWriteShare),
	}
}

// call sends one request, with body encoded as JSON unless body is nil. The error tells
// whether the store may have executed the request. Statuses 429 and 503 are returned as
// errors; the caller handles all other statuses.
func (c *Client) call(ctx context.Context, method, path string, body any) (*httpwire.Message, error) {
	var data []byte
	if body != nil {
		data = records.Encode(body)
	}
	ctx, cancel := context.WithTimeout(ctx, constants.StoreTimeout)
	defer cancel()
	response, err := c.httpClient.Do(ctx, method, path, data)
	switch {
	case httpwire.IsUnsent(err):
		return nil, fmt.Errorf("%w: %w", ErrNotExecuted, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	case response.Status == http.StatusTooManyRequests:
		return nil, fmt.Errorf("%w: %w: status %d", ErrNotExecuted, ErrRateLimited, response.Status)
	case response.Status == http.StatusServiceUnavailable:
		return nil, fmt.Errorf("%w: status %d", ErrNotExecuted, response.Status)
	}
	return response, nil
}

// Commit executes a compare-and-swap transaction and returns its revision. After
// ErrOutcomeUnknown the caller must read the keys to learn whether the transaction was
// executed. The other errors are ErrNotExecuted, ErrLeaseExpired, ErrInvalidRequest and
// ConflictError.
func (c *Client) Commit(ctx context.Context, txn wire.Txn) (revision uint64, err error) {
	if n := len(txn.Changes); n > 0 {
		if err := c.waitForWriteLimit(ctx, n); err != nil {
			return 0, fmt.Errorf("%w: own rate limit: %w", ErrNotExecuted, err)
		}
	}
	// The store requires empty lists instead of null.
	if txn.Conditions == nil {
		txn.Conditions = []wire.Condition{}
	}
	if txn.Changes == nil {
		txn.Changes = []wire.Change{}
	}
	response, err := c.call(ctx, http.MethodPost, wire.PathTxn, txn)
	if err != nil {
		return 0, err
	}
	return commitResult(response)
}

// commitResult converts the response to a transaction into a revision or an error.
func commitResult(response *httpwire.Message) (revision uint64, err error) {
	if response.Status == http.StatusBadRequest {
		var problem wire.Problem
		if wire.Decode(response.Body, &problem) == nil && problem.Error == wire.ProblemLeaseExpired {
			return 0, ErrLeaseExpired
		}
		return 0, fmt.Errorf("%w: status %d: %.200s", ErrInvalidRequest, response.Status, response.Body)
	}
	var reply wire.TxnReply
	if err := wire.Decode(response.Body, &reply); err != nil {
		return 0, unreadableResponse(err)
	}
	switch response.Status {
	case http.StatusOK:
		return reply.Revision, nil
	case http.StatusConflict:
		return 0, &ConflictError{Keys: reply.Failed}
	}
	return 0, unexpectedStatus("transaction", response)
}

// Get reads one key. found is false if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (kv wire.KeyValue, found bool, err error) {
	response, err := c.call(ctx, http.MethodGet, wire.KeyPath(key), nil)
	if err != nil {
		return kv, false, err
	}
	switch response.Status {
	case http.StatusOK:
		if err := wire.Decode(response.Body, &kv); err != nil {
			return kv, false, unreadableResponse(err)
		}
		return kv, true, nil
	case http.StatusNotFound:
		return kv, false, nil
	}
	return kv, false, unexpectedStatus("key", response)
}

// Revision reads the store's current revision.
func (c *Client) Revision(ctx context.Context) (uint64, error) {
	// The response for a key that does not exist contains only the revision.
	response, err := c.call(ctx, http.MethodGet, wire.KeyPath(records.KeyBarrier), nil)
	if err != nil {
		return 0, err
	}
	var reply wire.TxnReply
	if err := wire.Decode(response.Body, &reply); err != nil || response.Status != http.StatusNotFound {
		return 0, unexpectedStatus("revision", response)
	}
	return reply.Revision, nil
}

// List reads all keys under prefix, page by page. The result contains every change up to
// revision and may contain later changes, as the first page determines revision.
func (c *Client) List(ctx context.Context, prefix string) (items []wire.KeyValue, revision uint64, err error) {
	after := ""
	for {
		page, err := c.listPage(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
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

// listPage reads one page of the keys under prefix, starting behind the key after.
func (c *Client) listPage(ctx context.Context, prefix, after string) (page wire.KeyList, err error) {
	if err := c.readLimiter.Wait(ctx); err != nil {
		return page, err
	}
	response, err := c.call(ctx, http.MethodGet, wire.ListPath(prefix, after, constants.StorePageSize), nil)
	if err != nil {
		return page, err
	}
	if err := wire.Decode(response.Body, &page); err != nil || response.Status != http.StatusOK {
		return page, fmt.Errorf("%w: list: status %d: %v", ErrOutcomeUnknown, response.Status, err)
	}
	return page, nil
}

// Watch returns all changes of keys under prefix after the revision after. If there are
// none yet, the store waits for the first one, but not longer than wait. Watch returns
// ErrCompacted if the store no longer keeps these changes. It returns ErrNotExecuted for
// every other failed request, since a watch changes nothing and can always be retried.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (*wire.Events, error) {
	if err := c.readLimiter.Wait(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+constants.StoreTimeout)
	defer cancel()
	response, err := c.watchClient.Do(ctx, http.MethodGet, wire.WatchPath(prefix, after, wait.Milliseconds()), nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	switch response.Status {
	case http.StatusOK:
		var events wire.Events
		if err := wire.Decode(response.Body, &events); err != nil {
			return nil, fmt.Errorf("%w: unreadable events: %w", ErrNotExecuted, err)
		}
		return &events, nil
	case http.StatusGone:
		return nil, ErrCompacted
	case http.StatusTooManyRequests:
		return nil, fmt.Errorf("%w: %w: watch: status %d", ErrNotExecuted, ErrRateLimited, response.Status)
	}
	return nil, fmt.Errorf("%w: watch: status %d", ErrNotExecuted, response.Status)
}

// Grant requests a new lease, which expires unless it is renewed within ttl, and returns
// the id of the lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error) {
	request := wire.LeaseRequest{TTLMS: ttl.Milliseconds()}
	response, err := c.call(ctx, http.MethodPost, wire.PathLeases, request)
	if err != nil {
		return 0, err
	}
	var reply wire.LeaseReply
	if err := wire.Decode(response.Body, &reply); err != nil || response.Status != http.StatusOK || reply.Lease == 0 {
		return 0, unexpectedStatus("lease grant", response)
	}
	return reply.Lease, nil
}

// Renew renews a lease. It returns ErrLeaseExpired if the lease has already expired.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	response, err := c.call(ctx, http.MethodPost, wire.RenewPath(lease), struct{}{})
	if err != nil {
		return err
	}
	switch response.Status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrLeaseExpired
	}
	return unexpectedStatus("lease renewal", response)
}

// unexpectedStatus returns the error for a response whose status or content is not valid
// for the request.
func unexpectedStatus(request string, response *httpwire.Message) error {
	return fmt.Errorf("%w: %s: status %d", ErrOutcomeUnknown, request, response.Status)
}

// unreadableResponse returns the error for a response whose body is not the expected JSON.
func unreadableResponse(err error) error {
	return fmt.Errorf("%w: unreadable response: %w", ErrOutcomeUnknown, err)
}
