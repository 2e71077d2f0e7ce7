package controller

import (
	"encoding/json"
	"log/slog"
	"time"

	"ravenport/httpwire"
	"ravenport/records"
	"ravenport/shard"
)

// Status is what /status answers: this controller's view, for operators.
type Status struct {
	Controller     string        `json:"node"`
	Zone           string        `json:"zone"`
	StoreReachable bool          `json:"state_ok"`
	AuthorityMS    int64         `json:"authority_ms"` // how long it may still act without hearing from the state service
	Revision       uint64        `json:"revision"`
	OpenJobs       int           `json:"open_jobs"`
	Unassigned     int           `json:"unassigned_jobs"` // with tasks that wait for the leader
	Leader         Role          `json:"leader"`
	Shards         []ShardStatus `json:"parts"`
	// What failure detection sees, where it is on.
	Members []MemberStatus `json:"members,omitempty"`
	Dropped *MessageCounts `json:"heartbeats_dropped,omitempty"`
	Events  []string       `json:"membership_events,omitempty"` // the latest
}

// MemberStatus is another controller as failure detection sees it.
type MemberStatus struct {
	Controller     string   `json:"node"`
	State          string   `json:"state"`
	Evidence       []string `json:"evidence,omitempty"`
	Accusers       []string `json:"accusers,omitempty"` // controllers with evidence of their own
	Refutation     uint64   `json:"refutation,omitempty"`
	SilentMS       int64    `json:"silent_ms"`
	SilenceLimitMS int64    `json:"bound_ms"` // silence beyond which it is suspected
}

// Role says who holds a term.
type Role struct {
	Controller string `json:"node"`
	Term       uint64 `json:"term"`
	Alive      bool   `json:"alive"`
}

// ShardStatus is one shard; the summary is there on its owner alone.
type ShardStatus struct {
	Shard     string         `json:"part"`
	Owner     Role           `json:"owner"`
	Inventory int            `json:"roster"` // machines in the durable inventory
	Summary   *shard.Summary `json:"summary,omitempty"`
}

func (c *controlActor) role(key string) Role {
	t, _ := c.member.Term(key)
	_, alive := c.member.Holder(key)
	return Role{Controller: t.Controller, Term: t.Number, Alive: alive}
}

func (c *controlActor) answerStatus(now time.Time, req httpRequest) {
	s := Status{Controller: c.set.Controller, Zone: c.set.Zone, StoreReachable: c.storeReachable(now), Revision: c.revision, OpenJobs: len(c.jobs), Leader: c.role(records.KeyLeader)}
	if u := c.authorityEnd(); now.Before(u) {
		s.AuthorityMS = u.Sub(now).Milliseconds()
	}
	for _, j := range c.jobs {
		if j.End == "" && len(j.Unassigned()) > 0 {
			s.Unassigned++
		}
	}
	for _, name := range c.set.Deployment.Zones {
		p := ShardStatus{Shard: name, Owner: c.role(records.KeyShard(name))}
		for _, r := range c.inventory {
			if r.Shard == name {
				p.Inventory += len(r.Machines())
			}
		}
		if st, ok := c.shardStatuses[name]; ok {
			p.Summary = &st.summary
		}
		s.Shards = append(s.Shards, p)
	}
	if c.detection.monitor != nil {
		s.Members, s.Dropped, s.Events = c.detection.membership.members, &c.detection.membership.dropped, c.detection.membership.events
	}
	body, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		slog.Error("encoding the status", "err", err)
	}
	req.Respond(&httpwire.Response{Status: 200, Body: append(body, '\n')})
}
