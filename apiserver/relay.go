package apiserver

import (
	"context"
	"errors"
	"time"

	"ravenport/constants"
	"ravenport/kvstore"
	"ravenport/wire"
)

// Relay is another controller that writes for an API server that cannot reach the
// store itself.
type Relay interface {
	// Commit has the other controller carry out a transaction and returns its revision.
	Commit(ctx context.Context, t wire.Txn) (uint64, error)
}

// storePath is what the API server knows of how to reach the store: directly, or
// through relays.
type storePath struct {
	relays        []Relay
	relaysNamedAt time.Time
	directBlocked bool // the last direct write was unanswered or refused
}

// currentRelays lists the relays, if they were named recently.
func (p *storePath) currentRelays(now time.Time) []Relay {
	if now.Sub(p.relaysNamedAt) > constants.StoreContactTimeout {
		return nil
	}
	return p.relays
}

// isStoreUnreachable says whether an error means that the store cannot be reached,
// rather than that it decided on the call.
func isStoreUnreachable(err error) bool {
	if errors.Is(err, kvstore.ErrOutcomeUnknown) {
		return true
	}
	return errors.Is(err, kvstore.ErrRefused) && !errors.Is(err, kvstore.ErrRateLimited)
}

// writeSubmission creates a submission's record: directly unless that is known to be
// blocked, and otherwise through the relays, one after the other. It returns whether
// the direct path is blocked. It runs on a goroutine of its own.
//
// Without relays, a controller that alone is refused by the store would turn users away
// for as long as the load balancer takes it for healthy.
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
