package apiserver

import (
	"context"
	"errors"
	"time"

	"ravenport/constants"
	"ravenport/kvstore"
	"ravenport/wire"
)

// Relay writes for an API server whose own way to the state service is shut. It is
// another controller.
type Relay interface {
	Commit(ctx context.Context, t wire.Txn) (uint64, error)
}

// SetRelays names the controllers that reach the state service, as far as is known.
type SetRelays struct{ Relays []Relay }

// storePath is what the API server knows of its own way to the state service and of
// the ways round.
type storePath struct {
	relays        []Relay
	relaysNamedAt time.Time // when they were named
	directBlocked bool      // the last call of this controller's own had no answer or was refused
}

// currentRelays lists the relays, if they were named lately.
func (r *storePath) currentRelays(now time.Time) []Relay {
	if now.Sub(r.relaysNamedAt) > constants.StateSilence {
		return nil
	}
	return r.relays
}

// away says that an error means that the state service cannot be reached, not that
// it decided on the call.
func away(err error) bool {
	return errors.Is(err, kvstore.ErrOutcomeUnknown) || errors.Is(err, kvstore.ErrRefused) && !errors.Is(err, kvstore.ErrRateLimited)
}

// accept writes a submission's record: by itself unless its own way is known to be
// shut, then through the relays, one after the other. It runs beside the actor.
// Guards against a controller that alone is refused by the state service and would
// turn users away for as long as the load balancer takes it for healthy.
func (d *Server) accept(ctx context.Context, txn wire.Txn, shut bool, relays []Relay) (nowShut bool, err error) {
	if !shut || len(relays) == 0 {
		if _, err = d.commit(ctx, txn); !away(err) {
			return false, err
		}
	}
	for _, r := range relays {
		if _, err = r.Commit(ctx, txn); !away(err) {
			break
		}
	}
	return true, err
}
