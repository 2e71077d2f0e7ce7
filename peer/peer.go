// Package peer carries messages between controllers over gRPC. Nothing
// depends on them: they only make faster what the records bring anyway, or have
// a controller write what another one cannot.
package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"ravenport/records"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"

	"ravenport/constants"
	"ravenport/drain"
	"ravenport/leader"
	"ravenport/shard"
	"ravenport/wire"
)

// Status is what a controller tells another of itself.
type Status struct {
	Controller     string             `json:"node"`
	StoreReachable bool               `json:"state_ok"` // it reaches the state service
	Aggregates     []leader.Aggregate `json:"agg,omitempty"`
	// Forecast is what the leader here will assign before long, by shard.
	Forecast map[string]leader.Forecast `json:"fc,omitempty"`
	// Misrouted reports are machines that lately reported here although another
	// controller owns them: they live, and it is their owner that is cut off.
	MisroutedHeartbeats []shard.MisroutedHeartbeat `json:"strays,omitempty"`
	// Revision is what the sender's feed has reached.
	Revision uint64 `json:"rev,omitempty"`
	// ExtensionRequest names the terms under which the sender would go on owning shards while
	// nobody reaches the state service; see docs/safety.md, point 12.
	ExtensionRequest []HeldTerm `json:"ask,omitempty"`
	// Counts are tasks running, and done in open assignments, by shard and job.
	Counts map[string]records.CountsByJob `json:"counts,omitempty"`
	// Drains is how far the drains have come in the sender's shards.
	Drains []drain.ShardStatus `json:"drains,omitempty"`
}

// HeldTerm is a term that a controller holds.
type HeldTerm struct {
	Key     string `json:"key"`
	Term    uint64 `json:"term"`
	Version uint64 `json:"ver"`
}

// StatusReply answers a status.
type StatusReply struct {
	Controller string `json:"node"`
	// ExtensionGranted: for constants.ExtensionTTL from when it was asked, this controller
	// claims nothing.
	ExtensionGranted bool `json:"promise,omitempty"`
	// LatestCancellation is the revision of the latest cancellation that it knows of.
	LatestCancellation uint64 `json:"cancels,omitempty"`
	// AllCancellationsListed: Cancelled lists every cancellation that it knows of beyond the
	// revision that it was asked with.
	AllCancellationsListed bool           `json:"named,omitempty"`
	Cancellations          []Cancellation `json:"cancelled,omitempty"`
}

// Cancellation is a job's stored cancellation.
type Cancellation struct {
	JobID    string `json:"job"`
	Revision uint64 `json:"rev"`
}

// Handlers take in what other controllers send.
type Handlers struct {
	Status func(Status) StatusReply // must not block
	Commit CommitHandler
	// Detection is empty where failure detection is off.
	Detection DetectionHandlers
	// Drain answers requests about drains; nil where they are off.
	Drain DrainHandler
}

const pushMethod = "/ravenport.Peer/Push"

// codec writes the messages as JSON, like every other interface here.
type codec struct{}

func (codec) Name() string                       { return "json" }
func (codec) Marshal(v any) ([]byte, error)      { return json.Marshal(v) }
func (codec) Unmarshal(data []byte, v any) error { return wire.Decode(data, v) }

func init() { encoding.RegisterCodec(codec{}) }

type service interface{}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: "ravenport.Peer",
	HandlerType: (*service)(nil),
	Methods: []grpc.MethodDesc{{
		MethodName: "Push",
		Handler: func(srv any, _ context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			var s Status
			if err := dec(&s); err != nil {
				return nil, err
			}
			r := srv.(Handlers).Status(s)
			return &r, nil
		},
	}, commitMethodDesc, heartbeatMethodDesc, probeMethodDesc, drainMethodDesc},
}

// Serve listens on addr until ctx ends.
func Serve(ctx context.Context, addr string, h Handlers) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	s := grpc.NewServer(grpc.MaxRecvMsgSize(constants.PeerMaxMessage), grpc.NumStreamWorkers(1),
		grpc.ReadBufferSize(constants.PeerBuffer), grpc.WriteBufferSize(constants.PeerBuffer))
	s.RegisterService(&serviceDesc, h)
	context.AfterFunc(ctx, s.Stop)
	return s.Serve(l)
}

// Client speaks to one other controller.
type Client struct{ conn *grpc.ClientConn }

// Dial prepares a connection; it is set up in the background.
func Dial(addr string) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(codec{})),
		grpc.WithDisableServiceConfig(),
		grpc.WithReadBufferSize(constants.PeerBuffer), grpc.WithWriteBufferSize(constants.PeerBuffer),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: constants.RetryBackoffMax},
			MinConnectTimeout: constants.DialTimeout,
		}))
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	return &Client{conn}, nil
}

// PushStatus tells a status and returns the other's answer.
func (c *Client) PushStatus(ctx context.Context, s Status) (StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, constants.PeerTimeout)
	defer cancel()
	var r StatusReply
	err := c.conn.Invoke(ctx, pushMethod, &s, &r)
	return r, err
}
