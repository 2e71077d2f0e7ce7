package httpwire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// minReadBuffer is the minimum free buffer space for a read of a response (bytes).
	minReadBuffer = 4 << 10
	// maxIdleBuffer is the largest buffer that an idle connection keeps (bytes), so
	// that one large response does not stay in memory.
	maxIdleBuffer = 64 << 10
)

// Client sends requests to one server and keeps idle connections to it. A Client is
// safe for concurrent use: goroutines pass on idle connections through a channel.
type Client struct {
	addr        string
	limits      Limits
	dialTimeout time.Duration
	idle        chan *clientConn
	closed      atomic.Bool
}

type clientConn struct {
	net.Conn
	buf []byte // holds the last request and response; reused by the next call
}

// errIdleClosed reports that a connection failed before any byte of the response was
// read, other than by a timeout of that read. If the connection was idle before, the
// server may have closed it before the request.
var errIdleClosed = errors.New("httpwire: idle connection was closed")

// NewClient returns a client of the server at addr. The client keeps up to maxIdle idle
// connections and takes at most dialTimeout to establish a connection.
func NewClient(addr string, maxIdle int, dialTimeout time.Duration, limits Limits) *Client {
	return &Client{addr: addr, limits: limits, dialTimeout: dialTimeout, idle: make(chan *clientConn, maxIdle)}
}

// UnsentError reports that no connection could be established, so that nothing was
// sent.
type UnsentError struct{ Err error }

func (e *UnsentError) Error() string { return "connect: " + e.Err.Error() }

// Unwrap returns the error of the attempt to connect.
func (e *UnsentError) Unwrap() error { return e.Err }

// IsUnsent reports whether err proves that a request was not sent.
func IsUnsent(err error) bool {
	var unsent *UnsentError
	return errors.As(err, &unsent)
}

// Do sends a request and waits for its response until ctx ends. After an error it is
// unknown whether the server executed the request, unless IsUnsent(err).
func (c *Client) Do(ctx context.Context, method, target string, body []byte) (*Message, error) {
	for {
		conn, reused, err := c.acquire(ctx)
		if err != nil {
			return nil, &UnsentError{err}
		}
		m, err := c.exchange(ctx, conn, method, target, body)
		if err == nil {
			return m, nil
		}
		conn.Close()
		// A server may close an idle connection at any time, so the request is sent again
		// on the next connection. That is safe because requests are idempotent.
		if reused && errors.Is(err, errIdleClosed) && ctx.Err() == nil {
			continue
		}
		return nil, fmt.Errorf("%s %s%s: %w", method, c.addr, target, err)
	}
}

// acquire takes an idle connection or establishes a new one.
func (c *Client) acquire(ctx context.Context) (conn *clientConn, reused bool, err error) {
	select {
	case conn = <-c.idle:
		return conn, true, nil
	default:
	}
	dialer := net.Dialer{Timeout: c.dialTimeout, KeepAlive: -1}
	netConn, err := dialer.DialContext(ctx, "tcp4", c.addr)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: netConn}, false, nil
}

// release keeps a connection for the next request, or closes it if maxIdle are kept.
func (c *Client) release(conn *clientConn) {
	select {
	case c.idle <- conn:
		if c.closed.Load() {
			c.closeIdle() // the client was closed during the call
		}
	default:
		conn.Close()
	}
}

// exchange sends a request on conn and reads its response. On success it releases or
// closes conn; after an error the caller closes it.
func (c *Client) exchange(ctx context.Context, conn *clientConn, method, target string, body []byte) (*Message, error) {
	deadline, _ := ctx.Deadline() // zero means no deadline
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	stopInterrupt := context.AfterFunc(ctx, conn.interrupt)
	defer stopInterrupt()
	request := AppendRequest(conn.buf[:0], method, target, c.addr, body)
	if _, err := conn.Write(request); err != nil {
		return nil, fmt.Errorf("%w: %w", errIdleClosed, err)
	}
	m, buf, used, err := conn.readResponse(request[:0], c.limits)
	if err != nil {
		return nil, err
	}
	hasExtraBytes := used != len(buf)
	if cap(buf) > maxIdleBuffer {
		buf = nil
		hasExtraBytes = false
	}
	conn.buf = buf
	if m.Close || hasExtraBytes || !stopInterrupt() {
		conn.Close()
		return m, nil
	}
	c.release(conn)
	return m, nil
}

// interrupt makes a read or write in progress fail.
func (c *clientConn) interrupt() { c.SetDeadline(time.Unix(1, 0)) }

// readResponse reads into buf until it holds a response. It returns the response, the
// bytes read, and how many of these bytes the response used.
func (c *clientConn) readResponse(buf []byte, limits Limits) (m *Message, read []byte, used int, err error) {
	for {
		if len(buf) == cap(buf) {
			buf = slices.Grow(buf, max(minReadBuffer, cap(buf)))
		}
		n, err := c.Read(buf[len(buf):cap(buf)])
		if n == 0 && err != nil {
			if len(buf) == 0 && !isTimeout(err) {
				err = fmt.Errorf("%w: %w", errIdleClosed, err)
			}
			return nil, nil, 0, err
		}
		buf = buf[:len(buf)+n]
		m, used, err := ParseResponse(buf, limits)
		if err != nil {
			return nil, nil, 0, err
		}
		if used > 0 {
			return m, buf, used, nil
		}
	}
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// Close closes the idle connections. A connection in use is closed after its call.
func (c *Client) Close() {
	c.closed.Store(true)
	c.closeIdle()
}

func (c *Client) closeIdle() {
	for {
		select {
		case conn := <-c.idle:
			conn.Close()
		default:
			return
		}
	}
}
