package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type storeEntry struct {
	value json.RawMessage
	stamp uint64
	lease uint64
}

type storeEvent struct {
	Put    string          `json:"put,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

// store is a stand-in of the state service. Each controller has an address of its own, so
// that the store can treat one controller differently.
type store struct {
	rec *record

	mu       sync.Mutex
	keys     map[string]storeEntry
	rev      uint64
	events   []storeEvent
	leases   map[uint64]*storeLease
	leaseSeq uint64
	changed  chan struct{}
	requests bucket
	writes   bucket

	// delay, if set, is how long a transaction takes before it is carried out.
	delay func(controller int, keys []string) time.Duration
}

type storeLease struct {
	life  time.Duration
	timer *time.Timer
}

// bucket is a rate limit with a burst of one second.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	if b.at.IsZero() {
		b.tokens = b.rate
	} else {
		b.tokens = min(b.rate, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	}
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

func newStore(rec *record, rps, writeRPS float64) *store {
	return &store{
		rec: rec, keys: map[string]storeEntry{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{}),
		requests: bucket{rate: rps}, writes: bucket{rate: writeRPS},
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}

func problem(w http.ResponseWriter, status int, text string) {
	reply(w, status, map[string]string{"error": text})
}

// serve answers a request of one controller.
func (s *store) serve(controller int, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10+1))
	if err != nil {
		return
	}
	if len(body) > 64<<10 {
		problem(w, 400, "too large")
		return
	}
	time.Sleep(3 * time.Millisecond)
	s.mu.Lock()
	admitted := s.requests.take(1)
	s.mu.Unlock()
	if !admitted {
		problem(w, 429, "too many requests")
		return
	}
	path := r.URL.Path
	switch {
	case path == "/multi" && r.Method == "POST":
		s.commit(controller, w, body)
	case path == "/kv":
		s.list(w, r)
	case strings.HasPrefix(path, "/kv/"):
		s.get(w, strings.TrimPrefix(path, "/kv/"))
	case path == "/follow":
		s.follow(w, r)
	case path == "/holds" && r.Method == "POST":
		s.grant(w, body)
	case strings.HasPrefix(path, "/holds/"):
		s.hold(w, r)
	default:
		problem(w, 400, "unknown path")
	}
}

func (s *store) commit(controller int, w http.ResponseWriter, body []byte) {
	var txn struct {
		If []struct {
			Path  string `json:"path"`
			Stamp uint64 `json:"stamp"`
		} `json:"if"`
		Apply []struct {
			Put    string          `json:"put"`
			Data   json.RawMessage `json:"data"`
			Tenure uint64          `json:"tenure"`
			Delete string          `json:"delete"`
		} `json:"apply"`
	}
	if err := json.Unmarshal(body, &txn); err != nil {
		problem(w, 400, err.Error())
		return
	}
	if s.delay != nil {
		var keys []string
		for _, change := range txn.Apply {
			keys = append(keys, change.Put)
		}
		if delay := s.delay(controller, keys); delay > 0 {
			s.rec.log("store: the write of %v takes %v", keys, delay)
			time.Sleep(delay)
		}
	}
	s.mu.Lock()
	if !s.writes.take(float64(len(txn.Apply))) {
		s.mu.Unlock()
		problem(w, 429, "too many changes")
		return
	}
	for _, change := range txn.Apply {
		if change.Tenure != 0 && s.leases[change.Tenure] == nil {
			s.mu.Unlock()
			problem(w, 400, "no such lease")
			return
		}
		if len(change.Data) > 8<<10 {
			s.mu.Unlock()
			problem(w, 400, "value too large")
			return
		}
	}
	var failed []string
	for _, condition := range txn.If {
		if s.keys[condition.Path].stamp != condition.Stamp {
			failed = append(failed, condition.Path)
		}
	}
	if len(failed) > 0 {
		rev := s.rev
		s.mu.Unlock()
		reply(w, 409, map[string]any{"failed": failed, "ledger_count": rev})
		return
	}
	if len(txn.Apply) > 0 {
		s.rev++
	}
	for _, change := range txn.Apply {
		if change.Delete != "" {
			delete(s.keys, change.Delete)
			s.events = append(s.events, storeEvent{Delete: change.Delete, Stamp: s.rev})
			continue
		}
		s.keys[change.Put] = storeEntry{change.Data, s.rev, change.Tenure}
		s.events = append(s.events, storeEvent{Put: change.Put, Data: change.Data, Stamp: s.rev})
		s.rec.log("store: controller %d wrote %s = %.300s", controller, change.Put, change.Data)
	}
	s.notify()
	rev := s.rev
	s.mu.Unlock()
	reply(w, 200, map[string]any{"ledger_count": rev})
}

// notify wakes the open watches. The caller holds the lock.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	e, ok := s.keys[key]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, 404, map[string]any{"ledger_count": rev})
		return
	}
	out := map[string]any{"path": key, "data": e.value, "stamp": e.stamp}
	if e.lease != 0 {
		out["tenure"] = e.lease
	}
	reply(w, 200, out)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 1000 {
		limit = 1000
	}
	s.mu.Lock()
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, q.Get("under")) && key > q.Get("from") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	entries := []map[string]any{}
	size := 0
	more := false
	for _, key := range keys {
		e := s.keys[key]
		if len(entries) == limit || size+len(e.value) > 500<<10 {
			more = true
			break
		}
		size += len(e.value) + len(key) + 60
		entries = append(entries, map[string]any{"path": key, "data": e.value, "stamp": e.stamp})
	}
	rev := s.rev
	s.mu.Unlock()
	reply(w, 200, map[string]any{"entries": entries, "has_next": more, "ledger_count": rev})
}

func (s *store) follow(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	block, _ := strconv.Atoi(q.Get("block_ms"))
	deadline := time.Now().Add(time.Duration(min(block, 60000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeEvent{}
		if len(s.events) > 0 && s.events[0].Stamp > from+1 {
			s.mu.Unlock()
			problem(w, 410, "too old")
			return
		}
		for i := sort.Search(len(s.events), func(i int) bool { return s.events[i].Stamp > from }); i < len(s.events); i++ {
			e := s.events[i]
			if strings.HasPrefix(e.Put+e.Delete, q.Get("under")) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !time.Now().Before(deadline) {
			reply(w, 200, map[string]any{"ledger_count": rev, "log": events})
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) grant(w http.ResponseWriter, body []byte) {
	var request struct {
		Life int `json:"life_ms"`
	}
	if json.Unmarshal(body, &request) != nil || request.Life < 100 || request.Life > 600000 {
		problem(w, 400, "malformed")
		return
	}
	s.mu.Lock()
	s.leaseSeq++
	id := s.leaseSeq
	l := &storeLease{life: time.Duration(request.Life) * time.Millisecond}
	l.timer = time.AfterFunc(l.life, func() { s.expire(id) })
	s.leases[id] = l
	s.mu.Unlock()
	reply(w, 200, map[string]any{"tenure": id})
}

func (s *store) expire(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	var gone []string
	for key, e := range s.keys {
		if e.lease == id {
			gone = append(gone, key)
		}
	}
	s.rec.log("store: lease %d ended, keys %v", id, gone)
	if len(gone) == 0 {
		return
	}
	s.rev++
	for _, key := range gone {
		delete(s.keys, key)
		s.events = append(s.events, storeEvent{Delete: key, Stamp: s.rev})
	}
	s.notify()
}

func (s *store) hold(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(r.URL.Path, "/")
	id, _ := strconv.ParseUint(parts[2], 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil && len(parts) > 3 {
		l.timer.Stop()
		l.timer = time.AfterFunc(l.life, func() { s.expire(id) })
	}
	s.mu.Unlock()
	switch {
	case l == nil:
		problem(w, 404, "no such lease")
	case len(parts) > 3 || r.Method == "DELETE":
		if r.Method == "DELETE" {
			s.expire(id)
		}
		reply(w, 200, map[string]any{"tenure": id})
	default:
		problem(w, 400, fmt.Sprint("unknown path ", r.URL.Path))
	}
}
