// Package worker sends direct commands to workers.
package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"ravenport/constants"
	"ravenport/httpwire"
	"ravenport/wire"
)

// Client keeps connections to the workers that it called last. It belongs
// to one actor; only Send's calls run on goroutines of their own.
type Client struct {
	clients map[string]*httpwire.Client
	recent  []string // whose connections may be open, the oldest first
}

// NewClient makes a commander without connections.
func NewClient() *Client { return &Client{clients: map[string]*httpwire.Client{}} }

// Result is what came of a direct command. Report is nil without an answer:
// the commands may then still be carried out.
type Result struct {
	Executed  bool
	Heartbeat *wire.Heartbeat
	Err       error
}

// Send makes a call that done is told the result of, on another goroutine.
func (c *Client) Send(ctx context.Context, addr string, req wire.CommandRequest, done func(Result)) {
	cl := c.clients[addr]
	if cl == nil {
		cl = httpwire.NewClient(addr, 1, constants.DialTimeout,
			httpwire.Limits{Header: constants.MaxHeaderBytes, Body: constants.MaxResponseBody})
		c.clients[addr] = cl
		c.recent = append(c.recent, addr)
		// A fleet has more machines than this process has sockets to spare.
		for len(c.recent) > constants.MaxIdleWorkerConns {
			c.Forget(c.recent[0])
		}
	}
	go func() { done(send(ctx, cl, req)) }()
}

func send(ctx context.Context, cl *httpwire.Client, req wire.CommandRequest) Result {
	body, err := json.Marshal(req)
	if err != nil {
		return Result{Err: fmt.Errorf("worker: encoding commands: %w", err)}
	}
	timeout := constants.CommandTimeout
	if len(req.Commands) == 0 {
		timeout = constants.ProbeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m, err := cl.Do(ctx, "POST", wire.PathCommands, body)
	if err != nil {
		return Result{Err: err}
	}
	if m.Status != 200 && m.Status != 409 {
		return Result{Err: fmt.Errorf("worker: status %d", m.Status)}
	}
	r, err := wire.ParseHeartbeat(m.Body)
	if err != nil {
		return Result{Err: fmt.Errorf("worker: unreadable report: %w", err)}
	}
	return Result{Executed: m.Status == 200, Heartbeat: r}
}

// Forget closes the connections to a worker that is gone.
func (c *Client) Forget(addr string) {
	if cl := c.clients[addr]; cl != nil {
		cl.Close()
		delete(c.clients, addr)
		if i := slices.Index(c.recent, addr); i >= 0 {
			c.recent = slices.Delete(c.recent, i, i+1)
		}
	}
}

// Close closes all connections, when the owner that used them has ended.
func (c *Client) Close() {
	for addr := range c.clients {
		c.Forget(addr)
	}
}
