package peer

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ravenport/disruption"
	"ravenport/drain"
	"ravenport/records"
)

// ErrDrainingDisabled says that the other controller does not drain machines: it is switched off
// there, or its version does not know how.
var ErrDrainingDisabled = errors.New("draining is off at this controller (start it with --draining), or its version does not know it")

// DrainOp is what is asked about drains.
type DrainOp string

// What can be asked. OpShardPlan is asked by controllers alone.
const (
	OpPlan      DrainOp = "plan"
	OpStart     DrainOp = "start"
	OpStatus    DrainOp = "status"
	OpPause     DrainOp = "pause"
	OpResume    DrainOp = "resume"
	OpCancel    DrainOp = "cancel"
	OpShardPlan DrainOp = "shard plan"
)

// DrainRequest asks a controller about drains.
type DrainRequest struct {
	Op        DrainOp           `json:"op"`
	Number    int               `json:"number,omitempty"`
	Selection records.Selection `json:"sel"`
	// MatchAll: a selection without any field is meant as it is.
	MatchAll bool `json:"all,omitempty"`
	// MinAgeS takes in only machines that are at least so old (s); 0: any.
	MinAgeS float64 `json:"rented_before_s,omitempty"`
	Shard   string  `json:"shard,omitempty"` // with OpShardPlan
}

// DrainReply answers it.
type DrainReply struct {
	// Problem says that nothing was done, and why.
	Problem   *drain.FieldError `json:"problem,omitempty"`
	Number    int               `json:"number,omitempty"`
	Plan      *drain.Plan       `json:"plan,omitempty"`
	ShardPlan *drain.ShardPlan  `json:"shard_plan,omitempty"`
	Status    *DrainStatus      `json:"status,omitempty"`
}

// DrainStatus is what a controller knows of all drains.
type DrainStatus struct {
	Controller string             `json:"node"`
	Drains     []DrainView        `json:"drains"`
	Budgets    []disruption.Usage `json:"budgets"`
	// Unreadable are drains whose record cannot be read.
	Unreadable []int `json:"damaged,omitempty"`
}

// DrainView is one drain.
type DrainView struct {
	Number       int                   `json:"number"`
	State        records.DrainState    `json:"state"`
	StopReason   string                `json:"why,omitempty"`
	StartedS     int64                 `json:"started_s"`
	Machines     int                   `json:"machines"` // at its start
	Remaining    int                   `json:"left"`     // in the inventory
	CanaryPassed bool                  `json:"proven"`
	Shards       []drain.ShardProgress `json:"shards,omitempty"` // as their owners told last
}

// DrainHandler answers requests about drains. It is called on a goroutine of its own
// and may block until ctx ends.
type DrainHandler func(ctx context.Context, r DrainRequest) (DrainReply, error)

const drainMethod = "/ravenport.Peer/Drain"

// Drain asks the other controller about drains.
func (c *Client) Drain(ctx context.Context, r DrainRequest) (DrainReply, error) {
	var answer DrainReply
	err := c.conn.Invoke(ctx, drainMethod, &r, &answer)
	switch {
	case err == nil:
		return answer, nil
	case status.Code(err) == codes.Unimplemented:
		return answer, ErrDrainingDisabled
	}
	return answer, fmt.Errorf("peer: %w", err)
}

// Close ends the connection.
func (c *Client) Close() { _ = c.conn.Close() } // nothing is left to lose

var drainMethodDesc = grpc.MethodDesc{
	MethodName: "Drain",
	Handler: func(srv any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		handle := srv.(Handlers).Drain
		if handle == nil {
			return nil, status.Error(codes.Unimplemented, "draining is off")
		}
		var r DrainRequest
		if err := dec(&r); err != nil {
			return nil, err
		}
		answer, err := handle(ctx, r)
		return &answer, err
	},
}
