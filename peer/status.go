package peer

import (
	"context"

	"ravenport/constants"
	"ravenport/drain"
	"ravenport/leader"
	"ravenport/records"
	"ravenport/shard"
)

// Status is the state that a controller reports to the other controllers.
type Status struct {
	Controller     string             `json:"node"`
	StoreReachable bool               `json:"state_ok"` // the sender can reach the store
	Aggregates     []leader.Aggregate `json:"agg,omitempty"`
	// Forecast is the work that the leader expects to assign soon, by shard. Only the
	// leader's controller sends it.
	Forecast map[string]leader.Forecast `json:"fc,omitempty"`
	// MisroutedHeartbeats lists recent heartbeats that the sender received from machines
	// owned by another controller. These machines are up, but their owner is partitioned
	// from them.
	MisroutedHeartbeats []shard.MisroutedHeartbeat `json:"strays,omitempty"`
	// Revision is the revision that the sender's watch feed has reached.
	Revision uint64 `json:"rev,omitempty"`
	// ExtensionRequest lists the terms for which the sender requests a lease extension,
	// so that the sender can keep its shards while no controller can reach the store
	// (docs/safety.md, point 12).
	ExtensionRequest []HeldTerm `json:"ask,omitempty"`
	// Counts are the numbers of running tasks and of tasks done in open assignments, by
	// shard and job.
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
	// ExtensionGranted says that the replying controller acquires no term for
	// constants.ExtensionTTL from the request on.
	ExtensionGranted bool `json:"promise,omitempty"`
	// LatestCancellation is the revision of the latest cancellation known to the replying
	// controller.
	LatestCancellation uint64 `json:"cancels,omitempty"`
	// AllCancellationsListed says that Cancellations lists every cancellation known to the
	// replying controller whose revision is later than the one in the status.
	AllCancellationsListed bool           `json:"named,omitempty"`
	Cancellations          []Cancellation `json:"cancelled,omitempty"`
}

// Cancellation is a job's stored cancellation.
type Cancellation struct {
	JobID    string `json:"job"`
	Revision uint64 `json:"rev"`
}

// StatusHandler handles another controller's status and returns the reply. It must not
// block.
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
