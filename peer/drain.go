package peer

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ravenport/disruption"
	"ravenport/drain"
	"ravenport/records"
)

// ErrDrainingDisabled means that the other controller does not drain machines: draining is
// disabled at that controller, or its version does not support draining. The text is shown
// to operators.
var ErrDrainingDisabled = errors.New("draining is off at this controller (start it with --draining), or its version does not know it")

// DrainOp is an operation on drains.
type DrainOp string

// Operations on drains. Only controllers request OpShardPlan.
const (
	OpPlan      DrainOp = "plan"
	OpStart     DrainOp = "start"
	OpStatus    DrainOp = "status"
	OpPause     DrainOp = "pause"
	OpResume    DrainOp = "resume"
	OpCancel    DrainOp = "cancel"
	OpShardPlan DrainOp = "shard plan"
)

// DrainRequest requests an operation on drains from a controller.
type DrainRequest struct {
	Op        DrainOp           `json:"op"`
	Number    int               `json:"number,omitempty"`
	Selection records.Selection `json:"sel"`
	// MatchAll allows an empty selection, which matches all machines.
	MatchAll bool `json:"all,omitempty"`
	// MinAgeS restricts the selection to machines of at least this age (s); 0 means any age.
	MinAgeS float64 `json:"rented_before_s,omitempty"`
	Shard   string  `json:"shard,omitempty"` // for OpShardPlan
}

// DrainReply is the reply to a DrainRequest. Which fields are set depends on the operation.
type DrainReply struct {
	// Problem is the reason why the operation was not carried out; nil on success.
	Problem   *drain.FieldError `json:"problem,omitempty"`
	Number    int               `json:"number,omitempty"`
	Plan      *drain.Plan       `json:"plan,omitempty"`
	ShardPlan *drain.ShardPlan  `json:"shard_plan,omitempty"`
	Status    *DrainStatus      `json:"status,omitempty"`
}

// DrainStatus is a controller's view of all drains.
type DrainStatus struct {
	Controller string             `json:"node"`
	Drains     []DrainView        `json:"drains"`
	Budgets    []disruption.Usage `json:"budgets"`
	// Unreadable lists the numbers of the drains whose records cannot be read.
	Unreadable []int `json:"damaged,omitempty"`
}

// DrainView is one drain's state and progress.
type DrainView struct {
	Number       int                   `json:"number"`
	State        records.DrainState    `json:"state"`
	StopReason   string                `json:"why,omitempty"`
	StartedS     int64                 `json:"started_s"`
	Machines     int                   `json:"machines"` // when the drain started
	Remaining    int                   `json:"left"`     // still in the inventory
	CanaryPassed bool                  `json:"proven"`
	Shards       []drain.ShardProgress `json:"shards,omitempty"` // as the owners last reported
}

// DrainHandler carries out operations on drains. Each call runs on its own goroutine and
// may block until ctx is done.
type DrainHandler func(ctx context.Context, r DrainRequest) (DrainReply, error)

const drainMethod = "Drain"

// Drain requests an operation on drains. The error is ErrDrainingDisabled if the other
// controller does not drain machines.
func (c *Client) Drain(ctx context.Context, r DrainRequest) (DrainReply, error) {
	var reply DrainReply
	err := c.invoke(ctx, drainMethod, &r, &reply)
	switch {
	case err == nil:
		return reply, nil
	case isUnimplemented(err):
		return reply, ErrDrainingDisabled
	}
	return reply, fmt.Errorf("peer: %w", err)
}

var drainMethodDesc = unaryMethod(drainMethod, func(h Handlers) (methodHandler[DrainRequest, DrainReply], error) {
	if h.Drain == nil {
		return nil, status.Error(codes.Unimplemented, "draining is off")
	}
	return h.Drain, nil
})
