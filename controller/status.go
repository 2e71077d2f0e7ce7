package controller

import (
	"encoding/json"
	"log/slog"
	"time"

	"ravenport/apiserver"
	"ravenport/httpwire"
	"ravenport/logkey"
	"ravenport/records"
	"ravenport/shard"
)

// Status is the response body of /status: this controller's view of the cluster, for
// operators.
type Status struct {
	Controller     string        `json:"node"`
	Zone           string        `json:"zone"`
	StoreReachable bool          `json:"state_ok"`
	AuthorityMS    int64         `json:"authority_ms"` // how long this controller may still act without a response of the key-value store (ms)
	Revision       uint64        `json:"revision"`
	OpenJobs       int           `json:"open_jobs"`
	Unassigned     int           `json:"unassigned_jobs"` // jobs with tasks that the leader has not assigned yet
	Leader         TermHolder    `json:"leader"`
	Shards         []ShardStatus `json:"parts"`
	// The view of failure detection; absent if failure detection is off.
	Members []MemberStatus     `json:"members,omitempty"`
	Dropped *DroppedHeartbeats `json:"heartbeats_dropped,omitempty"`
	Events  []string           `json:"membership_events,omitempty"` // the latest, oldest first
}

// MemberStatus is the state of another controller according to failure detection.
type MemberStatus struct {
	Controller         string   `json:"node"`
	State              string   `json:"state"`
	Evidence           []string `json:"evidence,omitempty"`
	Accusers           []string `json:"accusers,omitempty"` // controllers with evidence of their own, including this controller if it has any
	Refutation         uint64   `json:"refutation,omitempty"`
	SinceHeartbeatMS   int64    `json:"silent_ms"` // time since the controller's last heartbeat (ms)
	SuspicionTimeoutMS int64    `json:"bound_ms"`  // time without an answer after which the controller is suspected (ms)
}

// TermHolder is the controller that holds the term of the leader or of a shard's owner.
type TermHolder struct {
	Controller string `json:"node"`
	Term       uint64 `json:"term"`
	Alive      bool   `json:"alive"`
}

// ShardStatus is the status of one shard. Only the owner's controller has its summary.
type ShardStatus struct {
	Shard     string         `json:"part"`
	Owner     TermHolder     `json:"owner"`
	Inventory int            `json:"roster"` // machines in the stored inventory
	Summary   *shard.Summary `json:"summary,omitempty"`
}

// termHolder returns the holder of the term under key.
func (c *controlActor) termHolder(key string) TermHolder {
	term, _ := c.member.Term(key)
	_, alive := c.member.Holder(key)
	return TermHolder{Controller: term.Controller, Term: term.Number, Alive: alive}
}

// answerStatus answers a request for /status with this controller's view.
func (c *controlActor) answerStatus(now time.Time, req apiserver.Request) {
	body, err := json.MarshalIndent(c.statusView(now), "", "  ")
	if err != nil {
		slog.Error("cannot encode status", logkey.Err, err)
	}
	req.Respond(&httpwire.Response{Status: 200, Body: append(body, '\n')})
}

func (c *controlActor) statusView(now time.Time) Status {
	view := Status{
		Controller:     c.settings.Controller,
		Zone:           c.settings.Zone,
		StoreReachable: c.isStoreReachable(now),
		Revision:       c.feed.revision,
		OpenJobs:       len(c.feed.jobs),
		Leader:         c.termHolder(records.KeyLeader),
	}
	if end := c.authorityEnd(); now.Before(end) {
		view.AuthorityMS = end.Sub(now).Milliseconds()
	}
	for _, job := range c.feed.jobs {
		if job.End == "" && len(job.Unassigned()) > 0 {
			view.Unassigned++
		}
	}
	for _, name := range c.settings.Deployment.Zones {
		view.Shards = append(view.Shards, c.shardView(name))
	}
	if c.detection.monitor != nil {
		view.Members = c.detection.membership.members
		view.Dropped = &c.detection.membership.dropped
		view.Events = c.detection.membership.events
	}
	return view
}

func (c *controlActor) shardView(name string) ShardStatus {
	view := ShardStatus{Shard: name, Owner: c.termHolder(records.KeyShard(name))}
	for _, page := range c.feed.inventory {
		if page.Shard == name {
			view.Inventory += len(page.Machines())
		}
	}
	if status, ok := c.roles.shardStatuses[name]; ok {
		view.Summary = &status.summary
	}
	return view
}
