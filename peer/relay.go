package peer

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ravenport/kvstore"
	"ravenport/wire"
)

// Outcome is what came of a transaction that another controller carried out.
type Outcome string

// Outcomes of a relayed transaction.
const (
	OutcomeCommitted   Outcome = "written"
	OutcomeConflict    Outcome = "conflict"
	OutcomeInvalid     Outcome = "invalid"
	OutcomeRateLimited Outcome = "limited" // refused for the allowance alone
	OutcomeRefused     Outcome = "refused" // surely not carried out
	OutcomeUnknown     Outcome = "unknown" // it may have been, or may be yet
)

// CommitReply answers a relayed transaction.
type CommitReply struct {
	Outcome    Outcome  `json:"outcome"`
	Revision   uint64   `json:"rev,omitempty"`
	FailedKeys []string `json:"failed,omitempty"` // keys whose conditions did not hold
}

// CommitHandler carries out a transaction for another controller. It is called on a
// goroutine of its own and may block until ctx ends.
type CommitHandler func(ctx context.Context, t wire.Txn) CommitReply

const commitMethod = "/ravenport.Peer/Commit"

// NewCommitReply puts what a call of the state service returned into a reply.
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
	case errors.Is(err, kvstore.ErrRefused):
		return CommitReply{Outcome: OutcomeRefused}
	}
	return CommitReply{Outcome: OutcomeUnknown}
}

// Result is what the state service's own client would have returned.
func (r CommitReply) Result() (revision uint64, err error) {
	switch r.Outcome {
	case OutcomeCommitted:
		return r.Revision, nil
	case OutcomeConflict:
		return 0, &kvstore.ConflictError{Keys: r.FailedKeys}
	case OutcomeInvalid:
		return 0, fmt.Errorf("%w: relayed", kvstore.ErrInvalidRequest)
	case OutcomeRateLimited:
		return 0, fmt.Errorf("%w: %w: relayed", kvstore.ErrRefused, kvstore.ErrRateLimited)
	case OutcomeRefused:
		return 0, fmt.Errorf("%w: relayed", kvstore.ErrRefused)
	}
	return 0, fmt.Errorf("%w: relayed", kvstore.ErrOutcomeUnknown)
}

// Commit has the other controller carry out a transaction. One of the version before
// does not know how, and refuses.
func (c *Client) Commit(ctx context.Context, t wire.Txn) (uint64, error) {
	var r CommitReply
	err := c.conn.Invoke(ctx, commitMethod, &t, &r)
	switch {
	case err == nil:
		return r.Result()
	case status.Code(err) == codes.Unimplemented:
		return 0, fmt.Errorf("%w: relay: %w", kvstore.ErrRefused, err)
	}
	return 0, fmt.Errorf("%w: relay: %w", kvstore.ErrOutcomeUnknown, err)
}

// commitMethodDesc is the method's description for gRPC.
var commitMethodDesc = grpc.MethodDesc{
	MethodName: "Commit",
	Handler: func(srv any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		var t wire.Txn
		if err := dec(&t); err != nil {
			return nil, err
		}
		r := srv.(Handlers).Commit(ctx, t)
		return &r, nil
	},
}
