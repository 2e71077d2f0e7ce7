package loopback

import (
	"encoding/json"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"ravenport/httpwire"
	"ravenport/records"
	"ravenport/server"
	"ravenport/wire"
)

// storeEntry is the value of one key of the fake store, with its version and lease.
type storeEntry struct {
	value   json.RawMessage
	version uint64
	lease   uint64
}

// store is a fake of the consensus-backed key-value store. It responds within a millisecond
// and has no rate limit.
type store struct {
	observer *observer

	mu       sync.Mutex
	keys     map[string]storeEntry
	revision uint64       // revision of the latest change
	events   []wire.Event // all changes so far
	leases   map[uint64]*storeLease
	leaseSeq uint64        // id of the latest lease
	changed  chan struct{} // closed and replaced after each change
}

func newStore(observer *observer) *store {
	return &store{
		observer: observer,
		keys:     map[string]storeEntry{},
		leases:   map[uint64]*storeLease{},
		changed:  make(chan struct{}),
	}
}

// handle responds to one request in a new goroutine, because a watch blocks.
func (s *store) handle(r *server.Request) { go s.serve(r) }

// serve responds to one request.
func (s *store) serve(r *server.Request) {
	path, query, _ := strings.Cut(r.Target, "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		respond(r, 400, wire.Problem{Error: "malformed query"})
		return
	}
	switch {
	case path == wire.PathTxn:
		var txn wire.Txn
		if err := json.Unmarshal(r.Body, &txn); err != nil {
			respond(r, 400, wire.Problem{Error: err.Error()})
			return
		}
		s.commit(r, txn)
	case path == wire.PathKV:
		s.list(r, values)
	case strings.HasPrefix(path, wire.PathKV+"/"):
		s.get(r, strings.TrimPrefix(path, wire.PathKV+"/"))
	case path == wire.PathWatch:
		s.watch(r, values)
	case path == wire.PathLeases:
		s.grantLease(r)
	default:
		s.renewLease(r, path)
	}
}

// commit applies the changes of a transaction if all its conditions hold.
func (s *store) commit(r *server.Request, txn wire.Txn) {
	receivedAt := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, condition := range txn.Conditions {
		if s.keys[condition.Key].version != condition.Version {
			respond(r, 409, wire.TxnReply{Failed: []string{condition.Key}, Revision: s.revision})
			return
		}
	}
	for _, change := range txn.Changes {
		if change.Lease != 0 && s.leases[change.Lease] == nil {
			respond(r, 400, wire.Problem{Error: "no such lease"})
			return
		}
	}
	s.apply(txn.Changes)
	for _, change := range txn.Changes {
		s.observeTermAcquisition(change, receivedAt)
	}
	respond(r, 200, wire.TxnReply{Revision: s.revision})
}

// observeTermAcquisition reports a change to the observer if the change acquires a shard's
// term.
func (s *store) observeTermAcquisition(change wire.Change, receivedAt time.Time) {
	record, err := records.Decode(change.Put, change.Value)
	if err != nil {
		return
	}
	if term, ok := record.(*records.Term); ok && term.Shard != "" {
		s.observer.termAcquired(term.Shard, term.Number, receivedAt, time.Now())
	}
}

// apply applies changes at one new revision. The caller must hold the lock.
func (s *store) apply(changes []wire.Change) {
	if len(changes) == 0 {
		return
	}
	s.revision++
	for _, change := range changes {
		if change.Delete != "" {
			delete(s.keys, change.Delete)
			s.events = append(s.events, wire.Event{Delete: change.Delete, Version: s.revision})
			continue
		}
		s.keys[change.Put] = storeEntry{change.Value, s.revision, change.Lease}
		s.events = append(s.events, wire.Event{Put: change.Put, Value: change.Value, Version: s.revision})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// get responds with the value of a key.
func (s *store) get(r *server.Request, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys[key]
	if !ok {
		respond(r, 404, wire.TxnReply{Revision: s.revision})
		return
	}
	respond(r, 200, wire.KeyValue{Key: key, Value: e.value, Version: e.version, Lease: e.lease})
}

// list responds with a page of the keys that have a prefix.
func (s *store) list(r *server.Request, q url.Values) {
	limit, _ := strconv.Atoi(q.Get("limit"))
	s.mu.Lock()
	defer s.mu.Unlock()
	page := wire.KeyList{Revision: s.revision}
	for key, e := range s.keys {
		if strings.HasPrefix(key, q.Get("under")) && key > q.Get("from") {
			page.Items = append(page.Items, wire.KeyValue{Key: key, Value: e.value, Version: e.version, Lease: e.lease})
		}
	}
	slices.SortFunc(page.Items, func(a, b wire.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Items) > limit {
		page.Items, page.HasMore = page.Items[:limit], true
	}
	respond(r, 200, page)
}

// watch responds with the changes after a revision. If there is none, it waits for a change
// until a timeout.
func (s *store) watch(r *server.Request, q url.Values) {
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("block_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		out := wire.Events{Revision: s.revision, Events: []wire.Event{}}
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Version > from })
		out.Events = append(out.Events, s.events[first:]...)
		changed := s.changed
		s.mu.Unlock()
		if len(out.Events) > 0 {
			respond(r, 200, out)
			return
		}
		select {
		case <-end:
			respond(r, 200, out)
			return
		case <-changed:
		}
	}
}

// respond responds to a request with v as JSON.
func respond(r *server.Request, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot occur: all response types can be encoded
	}
	r.Respond(&httpwire.Response{Status: status, Body: body})
}
