package apiserver

import (
	"context"
	"errors"
	"time"

	"ravenport/constants"
	"ravenport/kvstore"
	"ravenport/wire"
)

// Relay is another controller, which writes to the store on behalf of an API server that
// cannot reach the store itself.
type Relay interface {
	// Commit requests that the other controller carry out a transaction, and returns the
	// transaction's revision.
	Commit(ctx context.Context, t wire.Txn) (uint64, error)
}

// storePath records how the API server can reach the store: directly, or through relays.
type storePath struct {
	relays          []Relay
	relaysUpdatedAt time.Time
	directBlocked   bool // the last direct write got no response or was refused
}

// currentRelays returns the relays if SetRelays arrived within the last
// constants.StoreContactTimeout, and nil otherwise.
func (p *storePath) currentRelays(now time.Time) []Relay {
	if now.Sub(p.relaysUpdatedAt) > constants.StoreContactTimeout {
		return nil
	}
	return p.relays
}

// isStoreUnreachable reports whether an error means that the store cannot be reached.
// Other errors mean that the store decided on the call, or that a rate limit, the store's
// or this controller's own, refused it.
func isStoreUnreachable(err error) bool {
	if errors.Is(err, kvstore.ErrOutcomeUnknown) {
		return true
	}
	return errors.Is(err, kvstore.ErrNotExecuted) && !errors.Is(err, kvstore.ErrRateLimited)
}

// writeSubmission creates a submission's record. It writes directly, unless the direct path
// is known to be blocked and there are relays. If the store is not reached directly, it
// tries the relays one after the other. It returns whether the direct path is blocked. It
// runs on its own goroutine.
//
// The relays serve the case that the store is unreachable from this controller only.
// Without them, this controller would refuse submissions for as long as the load balancer
// considers it healthy.
func (s *Server) writeSubmission(ctx context.Context, txn wire.Txn, directBlocked bool, relays []Relay) (nowBlocked bool, err error) {
	if !directBlocked || len(relays) == 0 {
		_, err = s.commit(ctx, txn)
		if !isStoreUnreachable(err) {
			return false, err
		}
	}
	for _, relay := range relays {
		_, err = relay.Commit(ctx, txn)
		if !isStoreUnreachable(err) {
			break
		}
	}
	return true, err
}
