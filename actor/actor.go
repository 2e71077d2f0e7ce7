// Package actor runs actors: goroutines that own their state and communicate by messages
// only.
package actor

import (
	"context"
	"sync"
	"sync/atomic"
)

// Handler is an actor's behaviour. Receive is called for one message at a time, always on
// the actor's own goroutine.
type Handler interface {
	Receive(ctx context.Context, msg any)
}

// Ref is an actor's address and mailbox. It is safe for concurrent use.
type Ref struct {
	mu     sync.Mutex // guards the queue alone; no actor's state is shared
	queue  []any
	signal chan struct{} // holds a value when the queue may have messages

	// Messages over the actor's life.
	sent    atomic.Uint64
	handled atomic.Uint64
}

// NewRef makes an address whose actor starts with Run.
func NewRef() *Ref { return &Ref{signal: make(chan struct{}, 1)} }

// Tell sends a message to the actor. It never blocks, since the mailbox has no bound, so
// actors may send to each other in circles. Whoever accepts requests from outside the
// process bounds their number.
func (r *Ref) Tell(msg any) {
	r.mu.Lock()
	r.queue = append(r.queue, msg)
	r.mu.Unlock()
	r.sent.Add(1)
	select {
	case r.signal <- struct{}{}:
	default:
	}
}

// Run handles messages until ctx ends. A batch of messages that has been taken from the
// mailbox is handled to its end.
func (r *Ref) Run(ctx context.Context, h Handler) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signal:
		}
		for batch := r.takeAll(); len(batch) > 0; batch = r.takeAll() {
			for _, msg := range batch {
				h.Receive(ctx, msg)
				r.handled.Add(1)
			}
		}
	}
}

// takeAll empties the mailbox.
func (r *Ref) takeAll() []any {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.queue
	r.queue = nil
	return batch
}
