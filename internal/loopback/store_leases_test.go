package loopback

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"ravenport/server"
	"ravenport/wire"
)

// storeLease is a lease of the fake store.
type storeLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// grantLease grants a lease.
func (s *store) grantLease(r *server.Request) {
	var req wire.LeaseRequest
	if err := json.Unmarshal(r.Body, &req); err != nil {
		respond(r, 400, wire.Problem{Error: err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseSeq++
	ttl := time.Duration(req.TTLMS) * time.Millisecond
	s.leases[s.leaseSeq] = &storeLease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	respond(r, 200, wire.LeaseReply{Lease: s.leaseSeq})
}

// renewLease renews the lease whose id is in the path.
func (s *store) renewLease(r *server.Request, path string) {
	id, _, _ := strings.Cut(strings.TrimPrefix(path, wire.PathLeases+"/"), "/")
	n, _ := strconv.ParseUint(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[n]
	if lease == nil {
		respond(r, 404, wire.Problem{Error: "no such lease"})
		return
	}
	lease.expiresAt = time.Now().Add(lease.ttl)
	respond(r, 200, struct{}{})
}

// expireLeases deletes the expired leases and the keys that are attached to them.
func (s *store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, lease := range s.leases {
		if time.Now().Before(lease.expiresAt) {
			continue
		}
		delete(s.leases, id)
		var deletions []wire.Change
		for key, e := range s.keys {
			if e.lease == id {
				deletions = append(deletions, wire.Change{Delete: key})
			}
		}
		s.apply(deletions)
	}
}
