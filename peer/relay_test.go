package peer

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"ravenport/kvstore"
	"ravenport/wire"
)

// The controller that requested a relay gets the same error over gRPC as the store
// returned to the relaying controller. In particular, a transaction that is reported as
// refused must not have been written.
func TestRelayedOutcomes(t *testing.T) {
	txn := wire.Txn{Conditions: []wire.Condition{{Key: "k"}}, Changes: []wire.Change{{Put: "k", Value: []byte(`{"a":1}`)}}}
	results := make(chan error, 1)
	client := serve(t, Handlers{
		Status: func(Status) StatusReply { return StatusReply{} },
		Commit: func(_ context.Context, got wire.Txn) CommitReply {
			if !reflect.DeepEqual(got, txn) {
				t.Errorf("received transaction %+v", got)
			}
			return NewCommitReply(7, <-results)
		},
	})
	kinds := []error{kvstore.ErrNotExecuted, kvstore.ErrRateLimited, kvstore.ErrOutcomeUnknown, kvstore.ErrInvalidRequest}
	for _, want := range []error{nil, kvstore.ErrNotExecuted, fmt.Errorf("%w: %w", kvstore.ErrNotExecuted, kvstore.ErrRateLimited), kvstore.ErrOutcomeUnknown, kvstore.ErrInvalidRequest,
		&kvstore.ConflictError{Keys: []string{"k"}}, errors.New("something else")} {
		results <- want
		revision, err := client.Commit(t.Context(), txn)
		if want == nil {
			if err != nil || revision != 7 {
				t.Errorf("committed transaction: got %d, %v", revision, err)
			}
			continue
		}
		var wantConflict, gotConflict *kvstore.ConflictError
		if errors.As(want, &wantConflict) != errors.As(err, &gotConflict) || wantConflict != nil && !reflect.DeepEqual(wantConflict, gotConflict) {
			t.Errorf("store returned %v, got %v", want, err)
		}
		for _, kind := range kinds {
			wantMatch := errors.Is(want, kind) || kind == kvstore.ErrOutcomeUnknown && want.Error() == "something else"
			if errors.Is(err, kind) != wantMatch {
				t.Errorf("store returned %v, got %v", want, err)
			}
		}
	}
}

// Without a reply the outcome is unknown.
func TestRelayWithoutAnswer(t *testing.T) {
	c, err := Dial("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if _, err := c.Commit(ctx, wire.Txn{}); !errors.Is(err, kvstore.ErrOutcomeUnknown) {
		t.Errorf("no reply: got error %v", err)
	}
}
