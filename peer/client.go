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

// reconnectBackoff is the wait between attempts to connect.
var reconnectBackoff = backoff.Config{
	BaseDelay:  200 * time.Millisecond,
	Multiplier: 1.5,
	Jitter:     0.2,
	MaxDelay:   constants.RetryBackoffMax,
}

// Client calls one other controller. It is safe for concurrent use.
type Client struct{ conn *grpc.ClientConn }

// Dial makes a client of the controller at addr. It does not wait: the connection is set
// up in the background.
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

// Close ends the connection.
func (c *Client) Close() { _ = c.conn.Close() } // there is nothing to do about an error

func (c *Client) invoke(ctx context.Context, method string, request, reply any) error {
	return c.conn.Invoke(ctx, "/"+serviceName+"/"+method, request, reply)
}

// isUnimplemented says whether the other controller does not know a method or has
// switched it off.
func isUnimplemented(err error) bool { return status.Code(err) == codes.Unimplemented }
