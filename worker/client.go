// Package worker sends direct commands to workers.
package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/httpwire"
	"ravenport/wire"
)

// Client sends commands to workers and keeps connections to a limited number of them. It
// is used by one actor and is not safe for concurrent use.
type Client struct {
	clients   map[string]*httpwire.Client // by address
	dialOrder []string                    // addresses with a client, the oldest client first
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{clients: map[string]*httpwire.Client{}} }

// Result is the outcome of a direct command.
type Result struct {
	// Executed reports whether the worker executed the commands.
	Executed bool
	// Heartbeat is the worker's response; nil if no valid response arrived. The worker may
	// then still execute the commands.
	Heartbeat *wire.Heartbeat
	Err       error
}

// Send sends a command request to the worker at addr. It does not block: done is
// called with the result on another goroutine.
func (c *Client) Send(ctx context.Context, addr string, request wire.CommandRequest, done func(Result)) {
	client := c.clientOf(addr)
	go func() { done(send(ctx, client, request)) }()
}

// clientOf returns the client of the worker at addr. With more than
// constants.MaxIdleWorkerConns clients, clientOf closes the oldest one: a shard may have more
// machines than this process may have open sockets.
func (c *Client) clientOf(addr string) *httpwire.Client {
	if client := c.clients[addr]; client != nil {
		return client
	}
	client := httpwire.NewClient(addr, 1, constants.DialTimeout,
		httpwire.Limits{Header: constants.MaxHeaderBytes, Body: constants.MaxResponseBody})
	c.clients[addr] = client
	c.dialOrder = append(c.dialOrder, addr)
	for len(c.dialOrder) > constants.MaxIdleWorkerConns {
		c.Disconnect(c.dialOrder[0])
	}
	return client
}

// timeoutOf returns the timeout of a request. A probe, which may carry stops, has a short
// timeout, since it is repeated soon. A request that starts tasks has a longer one, so that
// the worker has time to start them.
func timeoutOf(request wire.CommandRequest) time.Duration {
	for _, command := range request.Commands {
		if command.Op != wire.OpStop {
			return constants.CommandTimeout
		}
	}
	return constants.ProbeTimeout
}

func send(ctx context.Context, client *httpwire.Client, request wire.CommandRequest) Result {
	body, err := json.Marshal(request)
	if err != nil {
		return Result{Err: fmt.Errorf("worker: encoding commands: %w", err)}
	}
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(request))
	defer cancel()
	response, err := client.Do(ctx, http.MethodPost, wire.PathCommands, body)
	if err != nil {
		return Result{Err: err}
	}
	// A worker that did not execute the commands responds with Conflict and its heartbeat.
	executed := response.Status == http.StatusOK
	if !executed && response.Status != http.StatusConflict {
		return Result{Err: fmt.Errorf("worker: status %d", response.Status)}
	}
	heartbeat, err := wire.ParseHeartbeat(response.Body)
	if err != nil {
		return Result{Err: fmt.Errorf("worker: unreadable heartbeat: %w", err)}
	}
	return Result{Executed: executed, Heartbeat: heartbeat}
}

// Disconnect closes the connections to the worker at addr.
func (c *Client) Disconnect(addr string) {
	client := c.clients[addr]
	if client == nil {
		return
	}
	client.Close()
	delete(c.clients, addr)
	if i := slices.Index(c.dialOrder, addr); i >= 0 {
		c.dialOrder = slices.Delete(c.dialOrder, i, i+1)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	for addr := range c.clients {
		c.Disconnect(addr)
	}
}
