package loopback

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"ravenport/server"
	"ravenport/wire"
)

// storeLease is one lease of it.
type storeLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

func (s *store) grantLease(r *server.Request) {
	var req wire.LeaseRequest
	if err := json.Unmarshal(r.Body, &req); err != nil {
		respond(r, 400, wire.Problem{Error: err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseSeq++
	life := time.Duration(req.TTLMS) * time.Millisecond
	s.leases[s.leaseSeq] = &storeLease{life, time.Now().Add(life)}
	respond(r, 200, wire.LeaseReply{Lease: s.leaseSeq})
}

func (s *store) renewLease(r *server.Request, path string) {
	id, _, _ := strings.Cut(strings.TrimPrefix(path, wire.PathLeases+"/"), "/")
	n, _ := strconv.ParseUint(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[n]
	if l == nil {
		respond(r, 404, wire.Problem{Error: "no such lease"})
		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	respond(r, 200, struct{}{})
}

// expireLeases ends the leases whose time is up, with the keys attached to them.
func (s *store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().Before(l.expiresAt) {
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
