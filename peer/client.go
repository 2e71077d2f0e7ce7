package peer

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"ravenport/constants"
)

// reconnectBackoff is the delay between connection attempts.
var reconnectBackoff = backoff.Config{
	BaseDelay:  200 * time.Millisecond,
	Multiplier: 1.5,
	Jitter:     0.2,
	MaxDelay:   constants.RetryBackoffMax,
}

// Client calls one other controller. It is safe for concurrent use.
type Client struct{ conn *grpc.ClientConn }

// Dial returns a client of the controller at addr. It does not block: gRPC establishes the
// connection in the background.
func Dial(addr string) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(codec{})),
		grpc.WithDisableServiceConfig(),
		grpc.WithReadBufferSize(constants.PeerBufferBytes),
		grpc.WithWriteBufferSize(constants.PeerBufferBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           reconnectBackoff,
			MinConnectTimeout: constants.DialTimeout,
		}))
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	return &Client{conn}, nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() } // the caller cannot act on an error

func (c *Client) invoke(ctx context.Context, method string, request, reply any) error {
	return c.conn.Invoke(ctx, "/"+serviceName+"/"+method, request, reply)
}

// isUnimplemented reports whether a call failed because the other controller's version
// does not have the method, or because the method is disabled at that controller.
func isUnimplemented(err error) bool { return status.Code(err) == codes.Unimplemented }
