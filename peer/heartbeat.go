package peer

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ravenport/detector"
)

// ErrDetectionDisabled says that the other controller does not take part in failure
// detection: it is of a version without, or it is switched off there.
var ErrDetectionDisabled = errors.New("peer: no failure detection there")

// ProbeRequest asks a controller for its heartbeat, or to ask another one for its.
type ProbeRequest struct {
	Controller string `json:"node"`             // who asks
	Target     string `json:"target,omitempty"` // empty: the one that is asked
}

// ProbeReply answers a probe.
type ProbeReply struct {
	// Heartbeat is the target's; nil: it did not answer.
	Heartbeat *detector.Heartbeat `json:"hb,omitempty"`
}

// DetectionHandlers takes in what other controllers send for failure detection. Both are
// called on goroutines of their own and may block until ctx ends.
type DetectionHandlers struct {
	// Heartbeat takes in a message and answers with this controller's own.
	Heartbeat func(ctx context.Context, m detector.Message) (detector.Message, error)
	// Probe answers a probe of this controller, or carries one out.
	Probe func(ctx context.Context, r ProbeRequest) (ProbeReply, error)
}

const (
	heartbeatMethod = "/ravenport.Peer/Heartbeat"
	probeMethod     = "/ravenport.Peer/Probe"
)

// Heartbeat sends a message and returns the other controller's.
func (c *Client) Heartbeat(ctx context.Context, m detector.Message) (detector.Message, error) {
	var answer detector.Message
	err := wrapDetectionError(c.conn.Invoke(ctx, heartbeatMethod, &m, &answer))
	return answer, err
}

// Probe asks the other controller for its heartbeat, or to probe a third one.
func (c *Client) Probe(ctx context.Context, r ProbeRequest) (ProbeReply, error) {
	var answer ProbeReply
	err := wrapDetectionError(c.conn.Invoke(ctx, probeMethod, &r, &answer))
	return answer, err
}

func wrapDetectionError(err error) error {
	switch {
	case err == nil:
		return nil
	case status.Code(err) == codes.Unimplemented:
		return fmt.Errorf("%w: %w", ErrDetectionDisabled, err)
	}
	return fmt.Errorf("peer: %w", err)
}

// errDetectionOff is what a controller without failure detection answers, like one of a
// version that does not know the call.
var errDetectionOff = status.Error(codes.Unimplemented, "failure detection is off")

var heartbeatMethodDesc = grpc.MethodDesc{
	MethodName: "Heartbeat",
	Handler: func(srv any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		handle := srv.(Handlers).Detection.Heartbeat
		if handle == nil {
			return nil, errDetectionOff
		}
		var m detector.Message
		if err := dec(&m); err != nil {
			return nil, err
		}
		answer, err := handle(ctx, m)
		return &answer, err
	},
}

var probeMethodDesc = grpc.MethodDesc{
	MethodName: "Probe",
	Handler: func(srv any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		handle := srv.(Handlers).Detection.Probe
		if handle == nil {
			return nil, errDetectionOff
		}
		var r ProbeRequest
		if err := dec(&r); err != nil {
			return nil, err
		}
		answer, err := handle(ctx, r)
		return &answer, err
	},
}
