package peer

import (
	"context"

	"ravenport/constants"
	"ravenport/drain"
	"ravenport/leader"
	"ravenport/records"
	"ravenport/shard"
)

// Status is what a controller tells the others of itself.
type Status struct {
	Controller     string             `json:"node"`
	StoreReachable bool               `json:"state_ok"` // the sender reaches the store
	Aggregates     []leader.Aggregate `json:"agg,omitempty"`
	// Forecast is what the sender, as the leader, will assign before long, by shard.
	Forecast map[string]leader.Forecast `json:"fc,omitempty"`
	// MisroutedHeartbeats are from machines that lately sent heartbeats to the sender
	// although another controller owns them: they are alive, and it is their owner that
	// is cut off from them.
	MisroutedHeartbeats []shard.MisroutedHeartbeat `json:"strays,omitempty"`
	// Revision is the revision that the sender's watch feed has reached.
	Revision uint64 `json:"rev,omitempty"`
	// ExtensionRequest lists the terms for which the sender requests an extension of their
	// leases, so that it can keep its shards while no controller reaches the store
	// (docs/safety.md, point 12).
	ExtensionRequest []HeldTerm `json:"ask,omitempty"`
	// Counts are the tasks running, and those done in open assignments, by shard and job.
	Counts map[string]records.CountsByJob `json:"counts,omitempty"`
	// Drains is the progress of all drains in the sender's shards.
	Drains []drain.ShardStatus `json:"drains,omitempty"`
}

// HeldTerm is a term that a controller holds as a leader or a shard owner.
type HeldTerm struct {
	Key     string `json:"key"` // of the term's record
	Term    uint64 `json:"term"`
	Version uint64 `json:"ver"` // of the key
}

// StatusReply is the reply to a status.
type StatusReply struct {
	Controller string `json:"node"`
	// ExtensionGranted: for constants.ExtensionTTL from the request on, the replying controller
	// acquires no term.
	ExtensionGranted bool `json:"promise,omitempty"`
	// LatestCancellation is the revision of the latest cancellation that the replying
	// controller knows of.
	LatestCancellation uint64 `json:"cancels,omitempty"`
	// AllCancellationsListed: Cancellations lists every cancellation that it knows of beyond
	// the revision in the status.
	AllCancellationsListed bool           `json:"named,omitempty"`
	Cancellations          []Cancellation `json:"cancelled,omitempty"`
}

// Cancellation is a job's stored cancellation.
type Cancellation struct {
	JobID    string `json:"job"`
	Revision uint64 `json:"rev"`
}

// StatusHandler takes in another controller's status. It must not block.
type StatusHandler func(Status) StatusReply

const pushMethod = "Push"

// PushStatus sends a status and returns the other controller's reply.
func (c *Client) PushStatus(ctx context.Context, s Status) (StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, constants.PeerTimeout)
	defer cancel()
	var reply StatusReply
	err := c.invoke(ctx, pushMethod, &s, &reply)
	return reply, err
}

var pushMethodDesc = unaryMethod(pushMethod, func(h Handlers) (methodHandler[Status, StatusReply], error) {
	return func(_ context.Context, s Status) (StatusReply, error) { return h.Status(s), nil }, nil
})
