package kvstore

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// Source is where a feed reads from.
type Source interface {
	List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error)
	Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (*wire.Events, error)
}

// Feed mirrors all keys under Prefix.
type Feed struct {
	client Source
	sink   func(records.Update)
	known  map[string]uint64
	gap    time.Duration // between two watches
}

// NewFeed makes a feed that hands its updates to sink, in order. It leaves gap
// between two watches, so that a burst of changes comes in few answers.
func NewFeed(c Source, gap time.Duration, sink func(records.Update)) *Feed {
	return &Feed{client: c, sink: sink, known: map[string]uint64{}, gap: gap}
}

// Run follows the state service until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	revision, listed := uint64(0), false
	wait := constants.RetryBackoffMin
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
			wait = constants.RetryBackoffMin
			if !lost.IsZero() {
				slog.Info("feed reaches the state service again", "after_ms", time.Since(lost).Milliseconds())
				lost = time.Time{}
			}
			pause(ctx, f.gap)
			continue
		case errors.Is(err, ErrRateLimited):
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
		wait = min(2*wait, constants.RetryBackoffMax/2)
	}
}

func (f *Feed) list(ctx context.Context) (uint64, error) {
	items, revision, err := f.client.List(ctx, records.Prefix)
	if err != nil {
		return 0, err
	}
	up := records.Update{Revision: revision}
	present := make(map[string]bool, len(items))
	for _, kv := range items {
		present[kv.Key] = true
		if f.known[kv.Key] < kv.Version {
			f.add(&up, kv.Key, kv.Value, kv.Version)
		}
	}
	for key := range f.known {
		if !present[key] {
			delete(f.known, key)
			up.Changes = append(up.Changes, records.Change{Key: key, Version: revision})
		}
	}
	f.sink(up)
	return revision, nil
}

func (f *Feed) follow(ctx context.Context, from uint64) (uint64, error) {
	ev, err := f.client.Watch(ctx, records.Prefix, from, constants.WatchTimeout)
	if err != nil {
		return 0, err
	}
	up := records.Update{Revision: max(ev.Revision, from)}
	for _, e := range ev.Events {
		up.Revision = max(up.Revision, e.Version)
		switch {
		case e.Delete != "":
			// A list read in pages may hold a newer key than this deletion.
			if v, ok := f.known[e.Delete]; ok && v < e.Version {
				delete(f.known, e.Delete)
				up.Changes = append(up.Changes, records.Change{Key: e.Delete, Version: e.Version})
			}
		case f.known[e.Put] < e.Version:
			f.add(&up, e.Put, e.Value, e.Version)
		}
	}
	f.sink(up)
	return up.Revision, nil
}

// add decodes a changed key into the update, and notes its version as known.
func (f *Feed) add(update *records.Update, key string, value []byte, version uint64) {
	change, err := records.DecodeChange(key, value, version)
	if err != nil {
		slog.Error("unreadable record", "key", key, "err", err)
		if change.Record == nil {
			return
		}
	}
	f.known[key] = version
	update.Changes = append(update.Changes, change)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
