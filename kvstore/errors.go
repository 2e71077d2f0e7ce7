package kvstore

import (
	"errors"
	"fmt"
)

// Errors of calls to the key-value store; test for them with errors.Is. A failed
// compare-and-swap is a [ConflictError].
var (
	// ErrRefused: the request was surely not executed, so that it is safe to retry.
	ErrRefused = errors.New("kvstore: refused")
	// ErrRateLimited: the request was refused because it exceeds a rate limit, the
	// store's or this controller's own share of it. It is always wrapped together with
	// ErrRefused.
	ErrRateLimited = errors.New("kvstore: rate limited")
	// ErrOutcomeUnknown: the request may have been executed, or may yet be.
	ErrOutcomeUnknown = errors.New("kvstore: outcome unknown")
	// ErrLeaseExpired: the lease has expired, and the keys attached to it are deleted.
	ErrLeaseExpired = errors.New("kvstore: lease expired")
	// ErrInvalidRequest: the store rejected the request itself, most likely for its
	// size, and will reject it on every retry.
	ErrInvalidRequest = errors.New("kvstore: invalid request")
	// ErrCompacted: a watch asked for changes since a revision that the store no longer
	// keeps; all keys have to be listed again.
	ErrCompacted = errors.New("kvstore: revision compacted")
)

// ConflictError reports a failed compare-and-swap: at least one condition of the
// transaction did not hold, and no change was applied.
type ConflictError struct {
	// Keys are those whose version differs from the transaction's condition.
	Keys []string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("kvstore: compare-and-swap conflict on %v", e.Keys)
}
