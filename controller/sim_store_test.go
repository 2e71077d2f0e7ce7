package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"ravenport/kvstore"
	"ravenport/records"
	"ravenport/wire"
)

// storeEntry is the stored value of a key. The key is deleted when its lease, if any, ends.
type storeEntry struct {
	value   json.RawMessage
	version uint64
	lease   uint64
}

type simLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// simStore is one controller's client of the key-value store.
type simStore struct{ n *simController }

// reach simulates the connection to the key-value store: it takes time and fails while the
// store is unavailable to the controller.
func (s *simStore) reach(ctx context.Context) error {
	w := s.n.world
	s.n.waitWhileFrozen() // a call that was decided before the freeze is sent after it, however late
	time.Sleep(w.randomDuration(time.Millisecond, 12*time.Millisecond) + w.storeLatency)
	if ctx.Err() != nil && !w.chance(0.5) {
		return fmt.Errorf("%w: %w", kvstore.ErrOutcomeUnknown, ctx.Err())
	}
	w.mu.Lock()
	unavailable := w.storeOutage || s.n.cutFromStore || w.partitionedZone == s.n.set.Zone
	w.mu.Unlock()
	if unavailable {
		return kvstore.ErrNotExecuted
	}
	return nil
}

func (s *simStore) Commit(ctx context.Context, txn wire.Txn) (uint64, error) {
	if err := s.reach(ctx); err != nil {
		return 0, err
	}
	w := s.n.world
	switch {
	case w.chance(w.lostAnswerShare): // applied at once, and the answer is lost
		w.mu.Lock()
		if _, err := w.apply(txn); err == nil {
			w.observed["lost answers"]++
		}
		w.mu.Unlock()
		time.Sleep(time.Second)
		return 0, kvstore.ErrOutcomeUnknown
	case w.chance(w.lateWriteShare): // applied 1 s to 20 s later
		go func() {
			time.Sleep(w.randomDuration(time.Second, 20*time.Second))
			w.mu.Lock()
			w.observed["late writes"]++
			if _, err := w.apply(txn); err != nil {
				w.observed["late writes that failed"]++
			}
			w.mu.Unlock()
		}()
		time.Sleep(time.Second)
		return 0, kvstore.ErrOutcomeUnknown
	case w.chance(w.repeatedWriteShare): // applied again 1 s to 20 s later
		go func() {
			time.Sleep(w.randomDuration(time.Second, 20*time.Second))
			w.mu.Lock()
			w.apply(txn)
			w.mu.Unlock()
		}()
	}
	w.mu.Lock()
	rev, err := w.apply(txn)
	w.mu.Unlock()
	s.n.waitWhileFrozen()
	return rev, err
}

// apply applies a transaction. The caller holds the lock.
func (w *world) apply(txn wire.Txn) (uint64, error) {
	if !w.ignoreConditions {
		for _, c := range txn.Conditions {
			v := uint64(0)
			if e := w.kv[c.Key]; e != nil {
				v = e.version
			}
			if v != c.Version {
				return 0, &kvstore.ConflictError{Keys: []string{c.Key}}
			}
		}
	}
	for _, ch := range txn.Changes {
		if ch.Lease != 0 && w.leases[ch.Lease] == nil {
			return 0, kvstore.ErrLeaseExpired
		}
	}
	maxKB, maxOps := 8, 12
	if w.limitsLowered {
		maxKB, maxOps = 1, 2
	}
	for _, ch := range txn.Changes {
		if len(ch.Value) > maxKB<<10 || len(txn.Changes) > maxOps || len(txn.Conditions) > 4*maxOps {
			w.oversizedWrites[ch.Put]++
			return 0, kvstore.ErrInvalidRequest
		}
	}
	w.revision++
	for _, ch := range txn.Changes {
		w.recordChange(ch, w.revision)
		if ch.Delete != "" {
			delete(w.kv, ch.Delete)
			w.storeEvents = append(w.storeEvents, wire.Event{Delete: ch.Delete, Version: w.revision})
			continue
		}
		if strings.HasPrefix(ch.Put, records.KeyRevocation("")) {
			w.observed["revocations"]++
		}
		if w.skipAuthorityWait {
			ch.Value = shortenLeaseTTL(ch.Value)
		}
		w.kv[ch.Put] = &storeEntry{ch.Value, w.revision, ch.Lease}
		w.storeEvents = append(w.storeEvents, wire.Event{Put: ch.Put, Value: ch.Value, Version: w.revision})
	}
	close(w.storeChanged)
	w.storeChanged = make(chan struct{})
	return w.revision, nil
}

func (s *simStore) Get(ctx context.Context, key string) (wire.KeyValue, bool, error) {
	if err := s.reach(ctx); err != nil {
		return wire.KeyValue{}, false, err
	}
	s.n.world.mu.Lock()
	defer s.n.world.mu.Unlock()
	e := s.n.world.kv[key]
	if e == nil {
		return wire.KeyValue{}, false, nil
	}
	return wire.KeyValue{Key: key, Value: e.value, Version: e.version, Lease: e.lease}, true, nil
}

func (s *simStore) Revision(ctx context.Context) (uint64, error) {
	if err := s.reach(ctx); err != nil {
		return 0, err
	}
	s.n.world.mu.Lock()
	defer s.n.world.mu.Unlock()
	return s.n.world.revision, nil
}

func (s *simStore) List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error) {
	if err := s.reach(ctx); err != nil {
		return nil, 0, err
	}
	w := s.n.world
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []wire.KeyValue
	for k, e := range w.kv {
		if strings.HasPrefix(k, prefix) {
			out = append(out, wire.KeyValue{Key: k, Value: e.value, Version: e.version})
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	return out, w.revision, nil
}

func (s *simStore) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (*wire.Events, error) {
	if err := s.reach(ctx); err != nil {
		return nil, err
	}
	w := s.n.world
	end := time.After(wait)
	for {
		w.mu.Lock()
		out := &wire.Events{Revision: w.revision}
		i := sort.Search(len(w.storeEvents), func(i int) bool { return w.storeEvents[i].Version > from })
		out.Events = append(out.Events, w.storeEvents[i:]...)
		changed, unavailable := w.storeChanged, s.n.cutFromStore
		w.mu.Unlock()
		if len(out.Events) > 0 && !unavailable {
			return out, nil
		}
		select {
		case <-ctx.Done():
			return nil, kvstore.ErrNotExecuted
		case <-end:
			if unavailable {
				return nil, kvstore.ErrNotExecuted
			}
			return out, nil
		case <-changed:
		}
	}
}

func (s *simStore) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	if err := s.reach(ctx); err != nil {
		return 0, err
	}
	w := s.n.world
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaseSeq++
	w.leases[w.leaseSeq] = &simLease{ttl, time.Now().Add(ttl)}
	w.note("store lease granted", s.n.set.Controller, fmt.Sprint(w.leaseSeq))
	return w.leaseSeq, nil
}

func (s *simStore) Renew(ctx context.Context, id uint64) error {
	if err := s.reach(ctx); err != nil {
		return err
	}
	w := s.n.world
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.leases[id]
	if l == nil {
		return kvstore.ErrLeaseExpired
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return nil
}

// expireStoreLeases ends leases whose TTL has passed. No lease ends during an outage.
func (w *world) expireStoreLeases() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeOutage {
		return
	}
	for id, l := range w.leases {
		if time.Now().Before(l.expiresAt) {
			continue
		}
		delete(w.leases, id)
		w.note("store lease expires", "", fmt.Sprint(id))
		var t wire.Txn
		for k, e := range w.kv {
			if e.lease == id {
				t.Changes = append(t.Changes, wire.Change{Delete: k})
			}
		}
		if len(t.Changes) > 0 {
			if _, err := w.apply(t); err != nil {
				panic(err)
			}
		}
	}
}

// setOutage starts or ends an outage of the store. In both cases it renews all leases for their
// full TTL.
func (w *world) setOutage(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeOutage = on
	w.note("store outage", "", fmt.Sprint(on))
	for _, l := range w.leases {
		l.expiresAt = time.Now().Add(l.ttl)
	}
}
