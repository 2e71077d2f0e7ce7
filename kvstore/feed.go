package kvstore

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/records"
	"ravenport/wire"
)

// ListWatcher is the part of the key-value store's client that a feed uses; see
// [Client.List] and [Client.Watch].
type ListWatcher interface {
	List(ctx context.Context, prefix string) (items []wire.KeyValue, revision uint64, err error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (*wire.Events, error)
}

// Feed delivers all changes of ravenport's keys. It lists all keys once and then watches
// for changes. It lists the keys again only if the store no longer keeps the changes since
// the last watch.
type Feed struct {
	store    ListWatcher
	deliver  func(records.Update)
	interval time.Duration // pause between two watches

	versions    map[string]uint64 // delivered version of each key, without deleted keys
	listed      bool              // all keys were listed, so that revision is valid
	revision    uint64            // all changes up to this revision were delivered
	outageSince time.Time         // zero while the store is reachable
}

// NewFeed returns a feed that passes its updates to deliver, in order. The feed pauses for
// interval, which must be positive, between two watches, so that a burst of changes
// arrives in few responses.
func NewFeed(store ListWatcher, interval time.Duration, deliver func(records.Update)) *Feed {
	return &Feed{store: store, deliver: deliver, versions: map[string]uint64{}, interval: interval}
}

// Run lists and watches the keys until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	retryDelay := constants.RetryBackoffMin
	for ctx.Err() == nil {
		err := f.listOrWatch(ctx)
		switch {
		case err == nil:
			retryDelay = constants.RetryBackoffMin
			f.logRecovery()
			sleep(ctx, f.interval)
		case errors.Is(err, ErrRateLimited):
			// The store is reachable but busy. This is no outage and needs no backoff.
			sleep(ctx, f.interval/2+rand.N(f.interval))
		case errors.Is(err, ErrCompacted):
			slog.Warn("watch revision compacted, listing all keys again")
			f.listed = false
		case ctx.Err() != nil:
			return
		default:
			f.logOutage(err)
			sleep(ctx, withJitter(retryDelay))
			retryDelay = min(2*retryDelay, constants.RetryBackoffMax/2)
		}
	}
}

// listOrWatch lists all keys if they have not been listed yet, and otherwise waits for the
// next changes.
func (f *Feed) listOrWatch(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

// logOutage logs the first of several consecutive failures.
func (f *Feed) logOutage(err error) {
	if f.outageSince.IsZero() {
		f.outageSince = time.Now()
		slog.Warn("key-value store unreachable", logkey.Err, err)
	}
}

// logRecovery logs the first success after a failure.
func (f *Feed) logRecovery() {
	if !f.outageSince.IsZero() {
		slog.Info("key-value store reachable again", "after_ms", time.Since(f.outageSince).Milliseconds())
		f.outageSince = time.Time{}
	}
}

// list reads all keys and delivers every difference from the state delivered so far.
func (f *Feed) list(ctx context.Context) error {
	items, revision, err := f.store.List(ctx, records.KeyPrefix)
	if err != nil {
		return err
	}
	update := records.Update{Revision: revision}
	present := make(map[string]bool, len(items))
	for _, kv := range items {
		present[kv.Key] = true
		if f.versions[kv.Key] < kv.Version {
			f.appendPut(&update, kv.Key, kv.Value, kv.Version)
		}
	}
	for key := range f.versions {
		if !present[key] {
			f.appendDelete(&update, key, revision)
		}
	}
	f.listed = true
	f.revision = revision
	f.deliver(update)
	return nil
}

// watch waits for changes after the delivered revision and delivers them.
func (f *Feed) watch(ctx context.Context) error {
	watched, err := f.store.Watch(ctx, records.KeyPrefix, f.revision, constants.WatchTimeout)
	if err != nil {
		return err
	}
	update := records.Update{Revision: max(watched.Revision, f.revision)}
	for _, event := range watched.Events {
		update.Revision = max(update.Revision, event.Version)
		switch {
		case event.Delete != "":
			// The keys are listed in pages, so a later page may contain a version of the
			// key that was written after this deletion.
			if version, ok := f.versions[event.Delete]; ok && version < event.Version {
				f.appendDelete(&update, event.Delete, event.Version)
			}
		case f.versions[event.Put] < event.Version:
			f.appendPut(&update, event.Put, event.Value, event.Version)
		}
	}
	f.revision = update.Revision
	f.deliver(update)
	return nil
}

// appendPut adds a changed key to the update and stores the key's version in f.versions.
// If the record cannot be decoded, appendPut logs the error. It then drops the change
// unless the change has to be delivered with a records.DamagedRecord.
func (f *Feed) appendPut(update *records.Update, key string, value []byte, version uint64) {
	change, err := records.DecodeChange(key, value, version)
	if err != nil {
		slog.Error("cannot decode record", "key", key, logkey.Err, err)
		if change.Record == nil {
			return
		}
	}
	f.versions[key] = version
	update.Changes = append(update.Changes, change)
}

// appendDelete adds a deleted key to the update and removes its version from f.versions.
func (f *Feed) appendDelete(update *records.Update, key string, version uint64) {
	delete(f.versions, key)
	update.Changes = append(update.Changes, records.Change{Key: key, Version: version})
}
