package kvstore

import (
	"errors"
	"fmt"
)

// Errors of calls to the key-value store, to be tested with errors.Is. A failed
// compare-and-swap is reported as a [ConflictError] instead.
var (
	// ErrNotExecuted means that the store did not execute the request and never will, so a
	// retry is safe: the request could not be sent, or the store refused it. A failed watch
	// is reported in this way as well, because a watch changes nothing.
	ErrNotExecuted = errors.New("kvstore: refused")
	// ErrRateLimited means that the request was not executed because it exceeds the
	// store's rate limit or this controller's share of it. [Client] always returns it
	// together with ErrNotExecuted.
	ErrRateLimited = errors.New("kvstore: rate limited")
	// ErrOutcomeUnknown means that the store may have executed the request, or may still
	// execute it later.
	ErrOutcomeUnknown = errors.New("kvstore: outcome unknown")
	// ErrLeaseExpired means that the lease has expired and that the store has deleted the
	// keys attached to the lease.
	ErrLeaseExpired = errors.New("kvstore: lease expired")
	// ErrInvalidRequest means that the store rejected the request as invalid, most likely
	// because of its size. The store would reject every retry as well.
	ErrInvalidRequest = errors.New("kvstore: invalid request")
	// ErrCompacted means that the store no longer keeps all changes since the revision
	// that a watch started from. The caller has to list all keys again.
	ErrCompacted = errors.New("kvstore: revision compacted")
)

// ConflictError reports a failed compare-and-swap: at least one condition of the
// transaction was not met, and the store applied none of the changes.
type ConflictError struct {
	// Keys are the keys whose version differs from the transaction's condition.
	Keys []string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("kvstore: compare-and-swap conflict on %v", e.Keys)
}
