package state

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// Change is one key that changed. Record is nil when the key was deleted.
// Records are shared between actors and must not be changed.
type Change struct {
	Key     string
	Version uint64
	Record  any
}

// Update is a run of changes in the order of the state service. After it the
// receiver knows every change up to Revision.
type Update struct {
	Changes  []Change
	Revision uint64
}

// Source is where a feed reads from.
type Source interface {
	List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error)
	Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (*wire.Events, error)
}

// Feed mirrors all keys under Prefix.
type Feed struct {
	client Source
	sink   func(Update)
	known  map[string]uint64
	gap    time.Duration // between two watches
}

// NewFeed makes a feed that hands its updates to sink, in order. It leaves gap
// between two watches, so that a burst of changes comes in few answers.
func NewFeed(c Source, gap time.Duration, sink func(Update)) *Feed {
	return &Feed{client: c, sink: sink, known: map[string]uint64{}, gap: gap}
}

// Run follows the state service until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	revision, listed := uint64(0), false
	wait := constants.RetryMin
	var lost time.Time
	for ctx.Err() == nil {
		var err error
		if !listed {
			revision, err = f.list(ctx)
			listed = err == nil
		} else {
			var next uint64
			next, err = f.follow(ctx, revision)
			if err == nil {
				revision = next
			}
		}
		switch {
		case err == nil:
			wait = constants.RetryMin
			if !lost.IsZero() {
				slog.Info("feed reaches the state service again", "after_ms", time.Since(lost).Milliseconds())
				lost = time.Time{}
			}
			pause(ctx, f.gap)
			continue
		case errors.Is(err, ErrLimited):
			pause(ctx, f.gap/2+rand.N(f.gap)) // it is there, only busy
			continue
		case errors.Is(err, ErrCompacted):
			slog.Warn("feed fell behind and reads everything again")
			listed = false
			continue
		case ctx.Err() != nil:
			return
		}
		if lost.IsZero() {
			lost = time.Now()
			slog.Warn("feed cannot reach the state service", "err", err)
		}
		pause(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, constants.RetryMax/2)
	}
}

func (f *Feed) list(ctx context.Context) (uint64, error) {
	items, revision, err := f.client.List(ctx, Prefix)
	if err != nil {
		return 0, err
	}
	up := Update{Revision: revision}
	present := make(map[string]bool, len(items))
	for _, kv := range items {
		present[kv.Key] = true
		if f.known[kv.Key] < kv.Version {
			up.add(f, kv.Key, kv.Value, kv.Version)
		}
	}
	for key := range f.known {
		if !present[key] {
			delete(f.known, key)
			up.Changes = append(up.Changes, Change{Key: key, Version: revision})
		}
	}
	f.sink(up)
	return revision, nil
}

func (f *Feed) follow(ctx context.Context, from uint64) (uint64, error) {
	ev, err := f.client.Watch(ctx, Prefix, from, constants.WatchWait)
	if err != nil {
		return 0, err
	}
	up := Update{Revision: max(ev.Revision, from)}
	for _, e := range ev.Events {
		up.Revision = max(up.Revision, e.Version)
		switch {
		case e.Delete != "":
			// A list read in pages may hold a newer key than this deletion.
			if v, ok := f.known[e.Delete]; ok && v < e.Version {
				delete(f.known, e.Delete)
				up.Changes = append(up.Changes, Change{Key: e.Delete, Version: e.Version})
			}
		case f.known[e.Put] < e.Version:
			up.add(f, e.Put, e.Value, e.Version)
		}
	}
	f.sink(up)
	return up.Revision, nil
}

func (up *Update) add(f *Feed, key string, value []byte, version uint64) {
	rec, err := Decode(key, value)
	if err != nil {
		slog.Error("unreadable record", "key", key, "err", err)
		if decodeDraining(key) == nil {
			return
		}
		rec = &Damaged{key} // whoever went by the record before must not go on
	}
	f.known[key] = version
	up.Changes = append(up.Changes, Change{Key: key, Version: version, Record: rec})
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
