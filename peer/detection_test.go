package peer

import (
	"context"
	"errors"
	"reflect"
	"testing"
	"time"

	"ravenport/detector"
)

// Heartbeats and probes arrive as they were sent. A caller distinguishes a controller
// without failure detection from one that does not reply.
func TestHeartbeatsAndProbes(t *testing.T) {
	status := func(Status) StatusReply { return StatusReply{} }
	sent := detector.Message{Controller: "n-0", Heartbeat: detector.Heartbeat{Incarnation: 7, Refutation: 1, Sequence: 3, Stalled: []string{"leader"}},
		Accusations: []detector.Accusation{{Controller: "n-2", Incarnation: 9, Refutation: 2, Evidence: []detector.Evidence{detector.Unserved}}}}
	reply := detector.Message{Controller: "n-1", Heartbeat: detector.Heartbeat{Incarnation: 8, Sequence: 1}}
	enabled := serve(t, Handlers{Status: status, Detection: DetectionHandlers{
		Heartbeat: func(_ context.Context, m detector.Message) (detector.Message, error) {
			if !reflect.DeepEqual(m, sent) {
				t.Errorf("sent %+v, received %+v", sent, m)
			}
			return reply, nil
		},
		Probe: func(_ context.Context, r ProbeRequest) (ProbeReply, error) {
			if r != (ProbeRequest{Controller: "n-0", Target: "n-2"}) {
				t.Errorf("received request %+v", r)
			}
			return ProbeReply{}, nil
		},
	}})
	ctx := t.Context()
	if got, err := enabled.Heartbeat(ctx, sent); err != nil || !reflect.DeepEqual(got, reply) {
		t.Errorf("%+v, %v", got, err)
	}
	if got, err := enabled.Probe(ctx, ProbeRequest{Controller: "n-0", Target: "n-2"}); err != nil || got.Heartbeat != nil {
		t.Errorf("%+v, %v", got, err)
	}
	disabled := serve(t, Handlers{Status: status})
	if _, err := disabled.Heartbeat(ctx, sent); !errors.Is(err, ErrDetectionDisabled) {
		t.Errorf("failure detection is disabled, but the error is %v", err)
	}
	if _, err := disabled.Probe(ctx, ProbeRequest{}); !errors.Is(err, ErrDetectionDisabled) {
		t.Errorf("failure detection is disabled, but the error is %v", err)
	}
	unreachable, err := Dial("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	shortCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	if _, err := unreachable.Heartbeat(shortCtx, sent); err == nil || errors.Is(err, ErrDetectionDisabled) {
		t.Errorf("unreachable controller: %v", err)
	}
}
