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

// storeLease is one lease of it.
type storeLease struct {
	life time.Duration
	ends time.Time
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
	record   *record
}

func newStore(r *record) *store {
	return &store{record: r, keys: map[string]storeEntry{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
}

// handle answers one request on a goroutine of its own, since a watch waits.
func (s *store) handle(r *server.Request) { go s.serve(r) }

func (s *store) serve(r *server.Request) {
	path, query, _ := strings.Cut(r.Target, "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		answer(r, 400, wire.Problem{Error: "malformed query"})
		return
	}
	switch {
	case path == wire.PathTxn:
		var txn wire.Txn
		if err := json.Unmarshal(r.Body, &txn); err != nil {
			answer(r, 400, wire.Problem{Error: err.Error()})
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
		s.grant(r)
	default:
		s.renew(r, path)
	}
}

func (s *store) commit(r *server.Request, txn wire.Txn) {
	came := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.Conditions {
		if s.keys[c.Key].version != c.Version {
			answer(r, 409, wire.TxnReply{Failed: []string{c.Key}, Revision: s.revision})
			return
		}
	}
	for _, ch := range txn.Changes {
		if ch.Lease != 0 && s.leases[ch.Lease] == nil {
			answer(r, 400, wire.Problem{Error: "no such lease"})
			return
		}
	}
	s.apply(txn.Changes)
	for _, ch := range txn.Changes {
		s.noteClaim(ch, came)
	}
	answer(r, 200, wire.TxnReply{Revision: s.revision})
}

// noteClaim records a write that raised a shard's term.
func (s *store) noteClaim(ch wire.Change, came time.Time) {
	record, err := records.Decode(ch.Put, ch.Value)
	if term, ok := record.(*records.Term); err == nil && ok && term.Shard != "" {
		s.record.claims(term.Shard, term.Number, came, time.Now())
	}
}

// holder is the controller that holds a shard's term.
func (s *store) holder(zone string) (node string, term uint64) {
	return s.holderOf(records.KeyShard(zone))
}

// leads is who leads.
func (s *store) leads() string {
	node, _ := s.holderOf(records.KeyLeader)
	return node
}

// unassigned counts the tasks of arrays that are in no assignment, and tells the
// revision.
func (s *store) unassigned() (tasks int, revision uint64) {
	s.mu.Lock()
	values := map[string]json.RawMessage{}
	for key, e := range s.keys {
		if strings.HasPrefix(key, records.KeyJob("")) {
			values[key] = e.value
		}
	}
	revision = s.revision
	s.mu.Unlock()
	for key, value := range values {
		record, err := records.Decode(key, value)
		if err != nil {
			panic(err) // the controllers' own record
		}
		if j := record.(*records.Job); j.End == "" && !j.Spec.IsService() {
			tasks += records.TasksIn(j.Unassigned())
		}
	}
	return tasks, revision
}

func (s *store) holderOf(key string) (node string, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys[key]
	if !ok {
		return "", 0
	}
	record, err := records.Decode(key, e.value)
	if err != nil {
		panic(err) // the controllers' own record
	}
	t := record.(*records.Term)
	return t.Controller, t.Number
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
		answer(r, 404, wire.TxnReply{Revision: s.revision})
		return
	}
	answer(r, 200, wire.KeyValue{Key: key, Value: e.value, Version: e.version, Lease: e.lease})
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
	answer(r, 200, page)
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
			answer(r, 200, out)
			return
		}
		select {
		case <-end:
			answer(r, 200, out)
			return
		case <-changed:
		}
	}
}

func (s *store) grant(r *server.Request) {
	var req wire.LeaseRequest
	if err := json.Unmarshal(r.Body, &req); err != nil {
		answer(r, 400, wire.Problem{Error: err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseSeq++
	life := time.Duration(req.TTLMS) * time.Millisecond
	s.leases[s.leaseSeq] = &storeLease{life, time.Now().Add(life)}
	answer(r, 200, wire.LeaseReply{Lease: s.leaseSeq})
}

func (s *store) renew(r *server.Request, path string) {
	id, _, _ := strings.Cut(strings.TrimPrefix(path, wire.PathLeases+"/"), "/")
	n, _ := strconv.ParseUint(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[n]
	if l == nil {
		answer(r, 404, wire.Problem{Error: "no such lease"})
		return
	}
	l.ends = time.Now().Add(l.life)
	answer(r, 200, struct{}{})
}

// expire ends the leases whose time is up, with the keys attached to them.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().Before(l.ends) {
			continue
		}
		delete(s.leases, id)
		var gone []wire.Change
		for key, e := range s.keys {
			if e.lease == id {
				gone = append(gone, wire.Change{Delete: key})
			}
		}
		s.apply(gone)
	}
}

// answer sends v as the JSON body of a response.
func answer(r *server.Request, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // the stand-ins' own types
	}
	r.Respond(&httpwire.Response{Status: status, Body: body})
}
