package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLimits are the limits that the settings name for the state service.
type storeLimits struct {
	RPS, WriteRPS float64
	ValueKB       float64
	TxnOps        int
}

const (
	storeLatency   = 3 * time.Millisecond // responses normally take under 10 ms
	storeLogLength = 10000                // changes that the service keeps
	listItems      = 1000                 // items per response of a list
	listBytes      = 512 << 10            // bytes per response of a list
	bodyBytes      = 64 << 10             // bytes of a request
)

type storeValue struct {
	data   json.RawMessage
	stamp  uint64
	tenure uint64
}

type storeEvent struct {
	stamp  uint64
	key    string
	data   json.RawMessage
	delete bool
}

type storeLease struct {
	life    time.Duration
	expires time.Time
}

// store is the state service: a small key-value store as PROTOCOL describes it.
type store struct {
	limits storeLimits

	mu       sync.Mutex
	values   map[string]*storeValue
	keys     []string // sorted
	revision uint64
	log      []storeEvent
	leases   map[uint64]*storeLease
	leaseSeq uint64
	changed  chan struct{}
	requests bucket
	writes   bucket
	refused  map[string]int // 429 by caller
	served   map[string]int
}

// bucket is a rate limit that allows a burst of one second's worth.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func (b *bucket) take(now time.Time, n float64) bool {
	if !b.at.IsZero() {
		b.tokens += now.Sub(b.at).Seconds() * b.rate
	} else {
		b.tokens = b.rate
	}
	b.at = now
	b.tokens = min(b.tokens, b.rate)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

func newStore(limits storeLimits) *store {
	s := &store{
		limits:   limits,
		values:   map[string]*storeValue{},
		leases:   map[uint64]*storeLease{},
		changed:  make(chan struct{}),
		requests: bucket{rate: limits.RPS},
		writes:   bucket{rate: limits.WriteRPS},
		refused:  map[string]int{},
		served:   map[string]int{},
	}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire(time.Now())
			s.mu.Unlock()
		}
	}()
	return s
}

// expire ends the leases that ran out and deletes their keys.
func (s *store) expire(now time.Time) {
	for id, lease := range s.leases {
		if now.Before(lease.expires) {
			continue
		}
		s.endLease(id)
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, value := range s.values {
		if value.tenure == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.revision++
		for _, key := range keys {
			s.remove(key)
		}
		s.notify()
	}
}

func (s *store) notify() {
	if extra := len(s.log) - storeLogLength; extra > 0 {
		s.log = slices.Clone(s.log[extra:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, data json.RawMessage, tenure uint64) {
	if s.values[key] == nil {
		i := sort.SearchStrings(s.keys, key)
		s.keys = slices.Insert(s.keys, i, key)
	}
	s.values[key] = &storeValue{data, s.revision, tenure}
	s.log = append(s.log, storeEvent{s.revision, key, data, false})
}

func (s *store) remove(key string) {
	if s.values[key] == nil {
		return
	}
	delete(s.values, key)
	if i := sort.SearchStrings(s.keys, key); i < len(s.keys) && s.keys[i] == key {
		s.keys = slices.Delete(s.keys, i, i+1)
	}
	s.log = append(s.log, storeEvent{s.revision, key, nil, true})
}

// get returns the value of a key for the test itself.
func (s *store) get(key string) (json.RawMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := s.values[key]
	if value == nil {
		return nil, false
	}
	return value.data, true
}

// position returns the present revision.
func (s *store) position() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// changesSince describes the changes after a revision, by kind of key.
func (s *store) changesSince(from uint64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	count, size := map[string]int{}, map[string]int{}
	for _, event := range s.log {
		if event.stamp > from {
			kind := strings.Join(strings.SplitN(event.key, "/", 3)[:2], "/")
			count[kind]++
			size[kind] += len(event.data)
		}
	}
	return fmt.Sprintf("number %v, bytes %v", count, size)
}

// keysWith lists the keys that contain a text.
func (s *store) keysWith(text string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for _, key := range s.keys {
		if strings.Contains(key, text) {
			keys = append(keys, key)
		}
	}
	return keys
}

// counts returns how many requests of a caller were answered and refused.
func (s *store) counts(caller string) (served, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served[caller], s.refused[caller]
}

// preload adds keys as transactions of earlier days have left them.
func (s *store) preload(items map[string]json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, data := range items {
		s.revision++
		s.values[key] = &storeValue{data, s.revision, 0}
	}
	s.keys = s.keys[:0]
	for key := range s.values {
		s.keys = append(s.keys, key)
	}
	sort.Strings(s.keys)
	s.log = nil // the service keeps only the last changes; the readers begin anew
	s.notify()
}

// change writes keys, one change after the other.
func (s *store) change(items map[string]json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, data := range items {
		s.revision++
		s.values[key] = &storeValue{data, s.revision, 0}
		s.log = append(s.log, storeEvent{s.revision, key, data, false})
	}
	s.keys = s.keys[:0]
	for key := range s.values {
		s.keys = append(s.keys, key)
	}
	sort.Strings(s.keys)
	s.notify()
}

// handler serves one caller, so that its requests can be counted.
func (s *store) handler(caller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, bodyBytes+1))
		if err != nil || len(body) > bodyBytes {
			reply(w, 400, map[string]any{"error": "too large"})
			return
		}
		s.mu.Lock()
		allowed := s.requests.take(time.Now(), 1)
		if allowed {
			s.served[caller]++
		} else {
			s.refused[caller]++
		}
		s.mu.Unlock()
		time.Sleep(storeLatency)
		if !allowed {
			reply(w, 429, map[string]any{"error": "too many requests"})
			return
		}
		s.serve(w, r, body)
	})
}

func reply(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	replyBytes(w, status, data)
}

func replyBytes(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, body []byte) {
	path := r.URL.Path
	query := r.URL.Query()
	switch {
	case r.Method == "GET" && path == "/kv":
		s.list(w, query.Get("under"), query.Get("from"), query.Get("limit"))
	case r.Method == "GET" && strings.HasPrefix(path, "/kv/"):
		s.read(w, strings.TrimPrefix(path, "/kv/"))
	case r.Method == "POST" && path == "/multi":
		s.multi(w, body)
	case r.Method == "GET" && path == "/follow":
		from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
		block, _ := strconv.Atoi(query.Get("block_ms"))
		s.follow(w, r, query.Get("under"), from, time.Duration(block)*time.Millisecond)
	case r.Method == "POST" && path == "/holds":
		s.hold(w, body)
	case strings.HasPrefix(path, "/holds/"):
		s.lease(w, r.Method, strings.TrimPrefix(path, "/holds/"))
	default:
		reply(w, 400, map[string]any{"error": "malformed"})
	}
}

func (s *store) read(w http.ResponseWriter, key string) {
	s.mu.Lock()
	value := s.values[key]
	revision := s.revision
	s.mu.Unlock()
	if value == nil {
		reply(w, 404, map[string]any{"ledger_count": revision})
		return
	}
	out := map[string]any{"path": key, "data": value.data, "stamp": value.stamp}
	if value.tenure != 0 {
		out["tenure"] = value.tenure
	}
	reply(w, 200, out)
}

func (s *store) list(w http.ResponseWriter, under, from, limitText string) {
	limit := listItems
	if n, err := strconv.Atoi(limitText); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	start := sort.SearchStrings(s.keys, max(under, from))
	buf := []byte(`{"entries":[`)
	count, more := 0, false
	for i := start; i < len(s.keys); i++ {
		key := s.keys[i]
		if key == from {
			continue
		}
		if !strings.HasPrefix(key, under) {
			break
		}
		value := s.values[key]
		if count >= limit || len(buf)+len(value.data)+len(key)+100 > listBytes {
			more = true
			break
		}
		if count > 0 {
			buf = append(buf, ',')
		}
		buf = fmt.Appendf(buf, `{"path":%q,"data":%s,"stamp":%d}`, key, value.data, value.stamp)
		count++
	}
	buf = fmt.Appendf(buf, `],"has_next":%t,"ledger_count":%d}`, more, s.revision)
	s.mu.Unlock()
	replyBytes(w, 200, buf)
}

func (s *store) multi(w http.ResponseWriter, body []byte) {
	var txn struct {
		If []struct {
			Path  string
			Stamp uint64
		}
		Apply []struct {
			Put    string
			Data   json.RawMessage
			Tenure uint64
			Delete string
		}
	}
	if err := json.Unmarshal(body, &txn); err != nil {
		reply(w, 400, map[string]any{"error": "malformed"})
		return
	}
	tooLarge := len(txn.Apply) > s.limits.TxnOps || len(txn.If) > 4*s.limits.TxnOps
	for _, change := range txn.Apply {
		tooLarge = tooLarge || float64(len(change.Data)) > s.limits.ValueKB*1024
	}
	if tooLarge {
		reply(w, 400, map[string]any{"error": "too large"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	if !s.writes.take(now, float64(len(txn.Apply))) {
		reply(w, 429, map[string]any{"error": "too many changes"})
		return
	}
	for _, change := range txn.Apply {
		if change.Put != "" && change.Tenure != 0 && s.leases[change.Tenure] == nil {
			reply(w, 400, map[string]any{"error": "no such lease"})
			return
		}
	}
	failed := []string{}
	for _, condition := range txn.If {
		var stamp uint64
		if value := s.values[condition.Path]; value != nil {
			stamp = value.stamp
		}
		if stamp != condition.Stamp {
			failed = append(failed, condition.Path)
		}
	}
	if len(failed) > 0 {
		reply(w, 409, map[string]any{"failed": failed, "ledger_count": s.revision})
		return
	}
	if len(txn.Apply) > 0 {
		s.revision++
		for _, change := range txn.Apply {
			if change.Put != "" {
				s.put(change.Put, slices.Clone(change.Data), change.Tenure)
			} else {
				s.remove(change.Delete)
			}
		}
		s.notify()
	}
	reply(w, 200, map[string]any{"ledger_count": s.revision})
}

func (s *store) hold(w http.ResponseWriter, body []byte) {
	var request struct {
		Life int64 `json:"life_ms"`
	}
	if json.Unmarshal(body, &request) != nil || request.Life < 100 || request.Life > 600000 {
		reply(w, 400, map[string]any{"error": "malformed"})
		return
	}
	s.mu.Lock()
	s.leaseSeq++
	id := s.leaseSeq
	life := time.Duration(request.Life) * time.Millisecond
	s.leases[id] = &storeLease{life, time.Now().Add(life)}
	s.mu.Unlock()
	reply(w, 200, map[string]any{"tenure": id})
}

func (s *store) lease(w http.ResponseWriter, method, rest string) {
	text, action, _ := strings.Cut(rest, "/")
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	lease := s.leases[id]
	switch {
	case lease == nil:
		reply(w, 404, map[string]any{"error": "no such lease"})
	case method == "DELETE":
		s.endLease(id)
		reply(w, 200, map[string]any{})
	case action == "renew":
		lease.expires = time.Now().Add(lease.life)
		reply(w, 200, map[string]any{"tenure": id})
	default:
		reply(w, 400, map[string]any{"error": "malformed"})
	}
}

func (s *store) follow(w http.ResponseWriter, r *http.Request, under string, from uint64, block time.Duration) {
	timeout := time.After(min(block, time.Minute))
	for {
		s.mu.Lock()
		changed := s.changed
		revision := s.revision
		if from < revision && (len(s.log) == 0 || s.log[0].stamp > from+1) {
			s.mu.Unlock()
			reply(w, 410, map[string]any{"error": "too old"})
			return
		}
		first := sort.Search(len(s.log), func(i int) bool { return s.log[i].stamp > from })
		var events []storeEvent
		for _, event := range s.log[first:] {
			if strings.HasPrefix(event.key, under) {
				events = append(events, event)
			}
		}
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
				expired = true
			}
		}
		if len(events) > 0 || expired {
			buf := fmt.Appendf(nil, `{"ledger_count":%d,"log":[`, revision)
			for i, event := range events {
				if i > 0 {
					buf = append(buf, ',')
				}
				if event.delete {
					buf = fmt.Appendf(buf, `{"delete":%q,"stamp":%d}`, event.key, event.stamp)
				} else {
					buf = fmt.Appendf(buf, `{"put":%q,"data":%s,"stamp":%d}`, event.key, event.data, event.stamp)
				}
			}
			replyBytes(w, 200, append(buf, "]}"...))
			return
		}
	}
}
