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
	mu     sync.Mutex // guards queue only; an actor's own state is not shared
	queue  []any
	signal chan struct{} // holds a value when the queue may have messages

	// Counts of messages over the actor's lifetime.
	sent    atomic.Uint64
	handled atomic.Uint64
}

// NewRef returns the address of an actor that starts when Run is called.
func NewRef() *Ref { return &Ref{signal: make(chan struct{}, 1)} }

// Tell sends a message to the actor. The mailbox is unbounded, so Tell never blocks, and
// actors that send messages to each other in a cycle cannot deadlock. Actors that accept
// requests from outside the process must limit the number of pending requests.
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

// Run handles messages until ctx is done. It checks ctx only when the mailbox is empty, so
// every message that was taken from the mailbox is handled.
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
