package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"reflect"
	"testing"
	"time"

	"ravenport/kvstore"
	"ravenport/wire"
)

// Whatever the store returned, the controller that requested the relay gets the same
// error over gRPC: what counts as refused must not have been written.
func TestRelayedOutcomes(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	txn := wire.Txn{Conditions: []wire.Condition{{Key: "k"}}, Changes: []wire.Change{{Put: "k", Value: []byte(`{"a":1}`)}}}
	answers := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		h := Handlers{Status: func(Status) StatusReply { return StatusReply{} }, Commit: func(_ context.Context, got wire.Txn) CommitReply {
			if !reflect.DeepEqual(got, txn) {
				t.Errorf("asked for %+v", got)
			}
			return NewCommitReply(7, <-answers)
		}}
		if err := Serve(ctx, addr, h); err != nil && ctx.Err() == nil {
			t.Error(err)
		}
	}()
	c, err := Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if _, err := c.PushStatus(ctx, Status{}); err == nil {
			break // it listens
		}
	}
	kinds := []error{kvstore.ErrRefused, kvstore.ErrRateLimited, kvstore.ErrOutcomeUnknown, kvstore.ErrInvalidRequest}
	for _, want := range []error{nil, kvstore.ErrRefused, fmt.Errorf("%w: %w", kvstore.ErrRefused, kvstore.ErrRateLimited), kvstore.ErrOutcomeUnknown, kvstore.ErrInvalidRequest,
		&kvstore.ConflictError{Keys: []string{"k"}}, errors.New("something else")} {
		answers <- want
		revision, err := c.Commit(ctx, txn)
		if want == nil {
			if err != nil || revision != 7 {
				t.Errorf("written became %d, %v", revision, err)
			}
			continue
		}
		var was, is *kvstore.ConflictError
		if errors.As(want, &was) != errors.As(err, &is) || was != nil && !reflect.DeepEqual(was, is) {
			t.Errorf("%v became %v", want, err)
		}
		for _, kind := range kinds {
			known := errors.Is(want, kind) || kind == kvstore.ErrOutcomeUnknown && want.Error() == "something else"
			if errors.Is(err, kind) != known {
				t.Errorf("%v became %v", want, err)
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
		t.Errorf("no answer became %v", err)
	}
}
