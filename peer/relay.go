package peer

import (
	"context"
	"errors"
	"fmt"

	"ravenport/kvstore"
	"ravenport/wire"
)

// Outcome is the result of a transaction that another controller relayed to the store.
type Outcome string

// Outcomes of a relayed transaction.
const (
	OutcomeCommitted   Outcome = "written"
	OutcomeConflict    Outcome = "conflict"
	OutcomeInvalid     Outcome = "invalid"
	OutcomeRateLimited Outcome = "limited" // refused only because of the rate limit
	OutcomeRefused     Outcome = "refused" // certainly not carried out
	OutcomeUnknown     Outcome = "unknown" // perhaps carried out, perhaps still to be carried out
)

// CommitReply is the reply to a relayed transaction.
type CommitReply struct {
	Outcome    Outcome  `json:"outcome"`
	Revision   uint64   `json:"rev,omitempty"`    // of the transaction, if it was committed
	FailedKeys []string `json:"failed,omitempty"` // keys whose conditions did not hold
}

// CommitHandler carries out a transaction for another controller. Each call runs on its
// own goroutine and may block until ctx is done.
type CommitHandler func(ctx context.Context, t wire.Txn) CommitReply

// NewCommitReply converts the result that the store's client returned into a reply.
func NewCommitReply(revision uint64, err error) CommitReply {
	var conflict *kvstore.ConflictError
	switch {
	case err == nil:
		return CommitReply{Outcome: OutcomeCommitted, Revision: revision}
	case errors.As(err, &conflict):
		return CommitReply{Outcome: OutcomeConflict, FailedKeys: conflict.Keys}
	case errors.Is(err, kvstore.ErrInvalidRequest):
		return CommitReply{Outcome: OutcomeInvalid}
	case errors.Is(err, kvstore.ErrRateLimited):
		return CommitReply{Outcome: OutcomeRateLimited}
	case errors.Is(err, kvstore.ErrNotExecuted):
		return CommitReply{Outcome: OutcomeRefused}
	}
	return CommitReply{Outcome: OutcomeUnknown}
}

// Result converts the reply back into a result as the store's client returns it: a
// revision, or one of the errors of package kvstore.
func (r CommitReply) Result() (revision uint64, err error) {
	switch r.Outcome {
	case OutcomeCommitted:
		return r.Revision, nil
	case OutcomeConflict:
		return 0, &kvstore.ConflictError{Keys: r.FailedKeys}
	case OutcomeInvalid:
		return 0, fmt.Errorf("%w: relayed", kvstore.ErrInvalidRequest)
	case OutcomeRateLimited:
		return 0, fmt.Errorf("%w: %w: relayed", kvstore.ErrNotExecuted, kvstore.ErrRateLimited)
	case OutcomeRefused:
		return 0, fmt.Errorf("%w: relayed", kvstore.ErrNotExecuted)
	}
	return 0, fmt.Errorf("%w: relayed", kvstore.ErrOutcomeUnknown)
}

const commitMethod = "Commit"

// Commit requests that the other controller carry out a transaction, and returns the
// transaction's revision. Errors are those of package kvstore: ErrNotExecuted if the
// other controller's version does not have the method, and ErrOutcomeUnknown if the other
// controller did not reply.
func (c *Client) Commit(ctx context.Context, t wire.Txn) (uint64, error) {
	var reply CommitReply
	err := c.invoke(ctx, commitMethod, &t, &reply)
	switch {
	case err == nil:
		return reply.Result()
	case isUnimplemented(err):
		return 0, fmt.Errorf("%w: relay: %w", kvstore.ErrNotExecuted, err)
	}
	return 0, fmt.Errorf("%w: relay: %w", kvstore.ErrOutcomeUnknown, err)
}

var commitMethodDesc = unaryMethod(commitMethod, func(h Handlers) (methodHandler[wire.Txn, CommitReply], error) {
	return func(ctx context.Context, t wire.Txn) (CommitReply, error) { return h.Commit(ctx, t), nil }, nil
})
