package httpwire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// Client calls one server and keeps a few connections to it open. It is safe
// for concurrent use: idle connections travel through a channel.
type Client struct {
	addr   string
	limits Limits
	dial   time.Duration
	idle   chan *clientConn
	closed atomic.Bool
}

type clientConn struct {
	net.Conn
	buf []byte
}

// errStale marks a kept connection that the server had closed already.
var errStale = errors.New("httpwire: idle connection was closed")

// NewClient makes a client of the server at addr that keeps up to idle
// connections and spends at most dial on setting one up.
func NewClient(addr string, idle int, dial time.Duration, limits Limits) *Client {
	return &Client{addr: addr, limits: limits, dial: dial, idle: make(chan *clientConn, idle)}
}

// Do sends a request and waits for its response until ctx ends. An error
// leaves open whether the server carried the request out, but for one that
// never left: see Unsent.
func (c *Client) Do(ctx context.Context, method, target string, body []byte) (*Message, error) {
	for {
		conn, kept, err := c.take(ctx)
		if err != nil {
			return nil, &UnsentError{err}
		}
		m, err := c.exchange(ctx, conn, method, target, body)
		if err == nil {
			return m, nil
		}
		conn.Close()
		// A server may close an idle connection at any time; the next one is
		// tried. Requests are made so that a repeat does no harm.
		if kept && errors.Is(err, errStale) && ctx.Err() == nil {
			continue
		}
		return nil, fmt.Errorf("%s %s%s: %w", method, c.addr, target, err)
	}
}

// UnsentError says that no connection could be had, so nothing was sent.
type UnsentError struct{ Err error }

func (e *UnsentError) Error() string { return "connect: " + e.Err.Error() }
func (e *UnsentError) Unwrap() error { return e.Err }

// Unsent says whether err proves that a request never left this process.
func Unsent(err error) bool {
	var u *UnsentError
	return errors.As(err, &u)
}

func (c *Client) take(ctx context.Context) (conn *clientConn, kept bool, err error) {
	select {
	case conn = <-c.idle:
		return conn, true, nil
	default:
	}
	d := net.Dialer{Timeout: c.dial, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp4", c.addr)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: nc}, false, nil
}

func (c *Client) exchange(ctx context.Context, conn *clientConn, method, target string, body []byte) (*Message, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Time{}
	}
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	req := AppendRequest(conn.buf[:0], method, target, c.addr, body)
	if _, err := conn.Write(req); err != nil {
		return nil, fmt.Errorf("%w: %w", errStale, err)
	}
	buf := req[:0]
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, make([]byte, max(4096, cap(buf)))...)[:len(buf)]
		}
		n, err := conn.Read(buf[len(buf):cap(buf)])
		if n == 0 && err != nil {
			if len(buf) == 0 && !isTimeout(err) {
				return nil, fmt.Errorf("%w: %w", errStale, err)
			}
			return nil, err
		}
		buf = buf[:len(buf)+n]
		m, used, err := ParseResponse(buf, c.limits)
		if err != nil {
			return nil, err
		}
		if used == 0 {
			continue
		}
		if cap(buf) > 64<<10 {
			buf = nil // one large answer must not stay in memory
		}
		conn.buf = buf
		if m.Close || used != len(buf) && buf != nil {
			conn.Close()
			return m, nil
		}
		if !stop() {
			conn.Close()
			return m, nil
		}
		select {
		case c.idle <- conn:
			if c.closed.Load() {
				c.drain() // closed while the call was under way
			}
		default:
			conn.Close()
		}
		return m, nil
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// Close ends the idle connections; one in use ends with its call.
func (c *Client) Close() {
	c.closed.Store(true)
	c.drain()
}

func (c *Client) drain() {
	for {
		select {
		case conn := <-c.idle:
			conn.Close()
		default:
			return
		}
	}
}
