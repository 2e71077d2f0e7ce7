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

// storeEntry is one key of the stand-in state service.
type storeEntry struct {
	value   json.RawMessage
	version uint64
	lease   uint64
}

// store stands in for the state service. It answers within a millisecond and
// refuses nothing for rate.
type store struct {
	mu       sync.Mutex
	keys     map[string]storeEntry
	revision uint64
	events   []wire.Event
	leases   map[uint64]*storeLease
	leaseSeq uint64
	changed  chan struct{}
	observer *observer
}

func newStore(r *observer) *store {
	return &store{observer: r, keys: map[string]storeEntry{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
}

// handle answers one request on a goroutine of its own, since a watch waits.
func (s *store) handle(r *server.Request) { go s.serve(r) }

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

func (s *store) commit(r *server.Request, txn wire.Txn) {
	came := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.Conditions {
		if s.keys[c.Key].version != c.Version {
			respond(r, 409, wire.TxnReply{Failed: []string{c.Key}, Revision: s.revision})
			return
		}
	}
	for _, ch := range txn.Changes {
		if ch.Lease != 0 && s.leases[ch.Lease] == nil {
			respond(r, 400, wire.Problem{Error: "no such lease"})
			return
		}
	}
	s.apply(txn.Changes)
	for _, ch := range txn.Changes {
		s.noteTermAcquisition(ch, came)
	}
	respond(r, 200, wire.TxnReply{Revision: s.revision})
}

// noteTermAcquisition records a write that raised a shard's term.
func (s *store) noteTermAcquisition(ch wire.Change, came time.Time) {
	record, err := records.Decode(ch.Put, ch.Value)
	if term, ok := record.(*records.Term); err == nil && ok && term.Shard != "" {
		s.observer.termAcquired(term.Shard, term.Number, came, time.Now())
	}
}

// apply carries out changes under one revision. The caller holds the lock.
func (s *store) apply(changes []wire.Change) {
	if len(changes) == 0 {
		return
	}
	s.revision++
	for _, ch := range changes {
		if ch.Delete != "" {
			delete(s.keys, ch.Delete)
			s.events = append(s.events, wire.Event{Delete: ch.Delete, Version: s.revision})
			continue
		}
		s.keys[ch.Put] = storeEntry{ch.Value, s.revision, ch.Lease}
		s.events = append(s.events, wire.Event{Put: ch.Put, Value: ch.Value, Version: s.revision})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

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

// respond sends v as the JSON body of a response.
func respond(r *server.Request, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // the stand-ins' own types
	}
	r.Respond(&httpwire.Response{Status: status, Body: body})
}
