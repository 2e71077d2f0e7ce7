// Package actor runs actors: goroutines that own their state and are spoken
// to by messages only.
package actor

import (
	"context"
	"sync"
	"sync/atomic"
)

// Handler is an actor's behaviour. Receive is called for one message at a
// time, always on the actor's own goroutine.
type Handler interface {
	Receive(ctx context.Context, msg any)
}

// Ref is an actor's address.
type Ref struct {
	mu     sync.Mutex // guards the mailbox alone; no actor's state is shared
	queue  []any
	signal chan struct{}

	told, handled atomic.Uint64 // messages, over the actor's life
}

// NewRef makes an address whose actor starts with Run.
func NewRef() *Ref { return &Ref{signal: make(chan struct{}, 1)} }

// Tell puts a message into the mailbox. It never blocks, so actors may speak
// to each other in circles; whoever lets the outside world in bounds its own
// requests.
func (r *Ref) Tell(msg any) {
	r.mu.Lock()
	r.queue = append(r.queue, msg)
	r.mu.Unlock()
	r.told.Add(1)
	select {
	case r.signal <- struct{}{}:
	default:
	}
}

// Len is the number of messages that wait.
func (r *Ref) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.queue)
}

// Run handles messages until ctx ends.
func (r *Ref) Run(ctx context.Context, h Handler) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signal:
		}
		for {
			r.mu.Lock()
			batch := r.queue
			r.queue = nil
			r.mu.Unlock()
			if len(batch) == 0 {
				break
			}
			for _, m := range batch {
				h.Receive(ctx, m)
				r.handled.Add(1)
			}
		}
	}
}
