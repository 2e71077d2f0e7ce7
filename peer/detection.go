package peer

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ravenport/detector"
)

// ErrDetectionDisabled means that the other controller does not take part in failure
// detection: detection is disabled at that controller, or its version does not support
// detection.
var ErrDetectionDisabled = errors.New("peer: failure detection is disabled there")

// ProbeRequest requests a controller's heartbeat, directly or by an indirect probe.
type ProbeRequest struct {
	Controller string `json:"node"` // the sender
	// Target is the controller that the receiver has to probe. If Target is empty, the
	// receiver replies with its own heartbeat.
	Target string `json:"target,omitempty"`
}

// ProbeReply is the reply to a probe.
type ProbeReply struct {
	// Heartbeat is the target's heartbeat; nil if the target did not reply.
	Heartbeat *detector.Heartbeat `json:"hb,omitempty"`
}

// DetectionHandlers handle the messages of failure detection. Each call runs on its own
// goroutine and may block until ctx is done. Both handlers are nil if failure detection is
// disabled.
type DetectionHandlers struct {
	// Heartbeat handles another controller's message and returns this controller's message.
	Heartbeat func(ctx context.Context, m detector.Message) (detector.Message, error)
	// Probe returns this controller's heartbeat, or probes the controller in r.Target.
	Probe func(ctx context.Context, r ProbeRequest) (ProbeReply, error)
}

const (
	heartbeatMethod = "Heartbeat"
	probeMethod     = "Probe"
)

// Heartbeat sends a message and returns the other controller's message. The error is
// ErrDetectionDisabled if that controller does not take part in failure detection.
func (c *Client) Heartbeat(ctx context.Context, m detector.Message) (detector.Message, error) {
	var reply detector.Message
	err := wrapDetectionError(c.invoke(ctx, heartbeatMethod, &m, &reply))
	return reply, err
}

// Probe requests the other controller's heartbeat, or requests that the other controller
// probe a third one. Its errors are those of Heartbeat.
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

// errDetectionOff is the reply of a controller that runs without failure detection. Its
// code is the one that gRPC itself returns if a server does not have the method.
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
