package peer

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ravenport/detector"
)

// ErrDetectionDisabled says that the other controller does not take part in failure
// detection: it is switched off there, or its version does not support it.
var ErrDetectionDisabled = errors.New("peer: failure detection is disabled there")

// ProbeRequest requests a controller's heartbeat, directly or by an indirect probe.
type ProbeRequest struct {
	Controller string `json:"node"` // the sender
	// Target is the controller that the receiver is to probe; empty: the receiver itself.
	Target string `json:"target,omitempty"`
}

// ProbeReply is the reply to a probe.
type ProbeReply struct {
	// Heartbeat is the target's; nil if the target did not reply.
	Heartbeat *detector.Heartbeat `json:"hb,omitempty"`
}

// DetectionHandlers take in the messages of failure detection. They are called on
// goroutines of their own and may block until ctx ends; both are nil where failure
// detection is off.
type DetectionHandlers struct {
	// Heartbeat takes in a message and replies with this controller's own.
	Heartbeat func(ctx context.Context, m detector.Message) (detector.Message, error)
	// Probe replies to a probe of this controller, or probes another one.
	Probe func(ctx context.Context, r ProbeRequest) (ProbeReply, error)
}

const (
	heartbeatMethod = "Heartbeat"
	probeMethod     = "Probe"
)

// Heartbeat sends a message and returns the other controller's own. The error is
// ErrDetectionDisabled if that controller does not take part in failure detection.
func (c *Client) Heartbeat(ctx context.Context, m detector.Message) (detector.Message, error) {
	var reply detector.Message
	err := wrapDetectionError(c.invoke(ctx, heartbeatMethod, &m, &reply))
	return reply, err
}

// Probe requests the other controller's heartbeat, or has it probe a third one. Errors
// are those of Heartbeat.
func (c *Client) Probe(ctx context.Context, r ProbeRequest) (ProbeReply, error) {
	var reply ProbeReply
	err := wrapDetectionError(c.invoke(ctx, probeMethod, &r, &reply))
	return reply, err
}

func wrapDetectionError(err error) error {
	switch {
	case err == nil:
		return nil
	case isUnimplemented(err):
		return fmt.Errorf("%w: %w", ErrDetectionDisabled, err)
	}
	return fmt.Errorf("peer: %w", err)
}

// errDetectionOff is the reply of a controller without failure detection. It has the
// code that gRPC itself replies with where a version does not know the method.
var errDetectionOff = status.Error(codes.Unimplemented, "failure detection is off")

var heartbeatMethodDesc = unaryMethod(heartbeatMethod, func(h Handlers) (methodHandler[detector.Message, detector.Message], error) {
	if h.Detection.Heartbeat == nil {
		return nil, errDetectionOff
	}
	return h.Detection.Heartbeat, nil
})

var probeMethodDesc = unaryMethod(probeMethod, func(h Handlers) (methodHandler[ProbeRequest, ProbeReply], error) {
	if h.Detection.Probe == nil {
		return nil, errDetectionOff
	}
	return h.Detection.Probe, nil
})
