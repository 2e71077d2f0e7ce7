// Package server takes HTTP requests from users, workers and health checks on
// gnet and hands them to a handler.
package server

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"ravenport/constants"
	"ravenport/httpwire"
)

// Request is one request and the way to answer it. Answer may be called from
// any goroutine, once.
type Request struct {
	*httpwire.Message
	conn     gnet.Conn
	srv      *Server
	answered atomic.Bool
}

// Respond sends the response.
func (r *Request) Respond(resp *httpwire.Response) {
	if r.answered.Swap(true) {
		return
	}
	resp.Close = resp.Close || r.Close || r.srv.crowded.Load()
	buf := httpwire.AppendResponse(make([]byte, 0, 192+len(resp.Body)), resp)
	closing := resp.Close
	// The callback runs on the event loop, which owns the connection's state.
	err := r.conn.AsyncWrite(buf, func(c gnet.Conn, err error) error {
		if s, ok := c.Context().(*session); ok {
			s.busy = false
			s.since = time.Now()
		}
		if closing || err != nil {
			return c.Close()
		}
		if c.InboundBuffered() > 0 {
			return c.Wake(nil)
		}
		return nil
	})
	if err != nil {
		slog.Debug("answer not sent", "err", err)
	}
}

// Handler is called on the event loop and must not block.
type Handler func(*Request)

// Server listens on one address.
type Server struct {
	gnet.BuiltinEventEngine
	addr    string
	maxConn int
	spare   time.Duration // a connection that idles longer may be closed for another
	tick    time.Duration // between two looks for idle connections
	handle  Handler
	eng     gnet.Engine
	conns   map[gnet.Conn]*session // owned by the event loop
	crowded atomic.Bool            // nearly all sockets are in use: answers end their connections
	ready   chan struct{}

	opened bool                // the event loop has told the ticker of itself
	toTick chan gnet.EventLoop // it does so once, with the first connection
	loop   gnet.EventLoop      // owned by the ticker's goroutine
}

// session is the event loop's record of one connection.
type session struct {
	busy  bool // a request waits for its answer
	since time.Time
}

// New makes a server for addr with at most maxConn open connections.
func New(addr string, maxConn int, h Handler) *Server {
	return &Server{addr: addr, maxConn: maxConn, spare: constants.ServerReclaimIdle, tick: constants.ServerIdleCheckInterval, handle: h,
		conns: map[gnet.Conn]*session{}, ready: make(chan struct{}), toTick: make(chan gnet.EventLoop, 1)}
}

// Run serves until the process ends or listening fails.
func (s *Server) Run() error {
	return gnet.Run(s, "tcp4://"+s.addr,
		gnet.WithNumEventLoop(1),
		gnet.WithTicker(true),
		gnet.WithReuseAddr(true),
		gnet.WithReadBufferCap(constants.ServerReadBufferSize),
		gnet.WithLogger(quiet{}),
		gnet.WithLogLevel(logging.ErrorLevel))
}

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(eng gnet.Engine) gnet.Action {
	s.eng = eng
	close(s.ready)
	return gnet.None
}

// Ready is closed once the server listens.
func (s *Server) Ready() <-chan struct{} { return s.ready }

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if !s.opened {
		s.opened = true
		s.toTick <- c.EventLoop()
	}
	if len(s.conns) >= s.maxConn && !s.makeRoom() {
		return nil, gnet.Close
	}
	ses := &session{since: time.Now()}
	s.conns[c] = ses
	c.SetContext(ses)
	s.count()
	return nil, gnet.None
}

// makeRoom closes the connection that has idled longest, if it has for so long
// that nobody can be using it: forgotten ones must not shut out users and health
// checks.
func (s *Server) makeRoom() bool {
	var longest gnet.Conn
	since := time.Now().Add(-s.spare)
	for c, ses := range s.conns {
		if !ses.busy && c.InboundBuffered() == 0 && ses.since.Before(since) {
			longest, since = c, ses.since
		}
	}
	if longest == nil {
		return false
	}
	delete(s.conns, longest)
	if err := longest.Close(); err != nil {
		slog.Debug("closing an idle connection", "err", err)
	}
	return true
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	delete(s.conns, c)
	s.count()
	return gnet.None
}

// count notes whether sockets are running out.
func (s *Server) count() {
	s.crowded.Store(len(s.conns) > s.maxConn*constants.ServerCrowdedEighths/8+1)
}

// OnTick implements gnet.EventHandler. It runs on a goroutine of its own, beside
// the event loop that owns the connections, so it only asks that loop to look:
// a look from here, while connections come and go, would end the process.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	if s.loop == nil {
		select {
		case s.loop = <-s.toTick:
		default:
			return s.tick, gnet.None // no connection has come yet
		}
	}
	look := func(context.Context) error { s.closeIdle(time.Now()); return nil }
	if err := s.loop.Execute(context.Background(), gnet.RunnableFunc(look)); err != nil {
		slog.Debug("looking for idle connections", "err", err)
	}
	return s.tick, gnet.None
}

// closeIdle closes connections that idle or trickle too long, so that slow or
// forgotten clients cannot hold all sockets. It runs on the event loop.
func (s *Server) closeIdle(now time.Time) {
	for c, ses := range s.conns {
		limit := constants.ServerIdleTimeout
		if c.InboundBuffered() > 0 {
			limit = constants.ServerSlowRequestTimeout
		}
		if !ses.busy && now.Sub(ses.since) > limit {
			if err := c.Close(); err != nil {
				slog.Debug("closing an idle connection", "err", err)
			}
		}
	}
}

// OnTraffic implements gnet.EventHandler. Requests of one connection are
// handled one at a time: nobody pipelines, and answers must not overtake.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	ses, ok := c.Context().(*session)
	if !ok {
		return gnet.Close
	}
	if ses.busy {
		if c.InboundBuffered() > constants.MaxRequestBody+constants.MaxHeaderBytes {
			return gnet.Close
		}
		return gnet.None
	}
	if c.InboundBuffered() == 0 {
		return gnet.None
	}
	buf, err := c.Peek(-1)
	if err != nil {
		return gnet.Close
	}
	m, n, err := httpwire.ParseRequest(buf, httpwire.Limits{Header: constants.MaxHeaderBytes, Body: constants.MaxRequestBody})
	if err != nil {
		// The protocol knows no 413: a body over the limit is malformed too.
		resp := httpwire.AppendResponse(nil, &httpwire.Response{Status: 400, Close: true, Body: []byte(`{"error":"malformed request"}`)})
		if _, err := c.Write(resp); err != nil {
			slog.Debug("refusing a malformed request", "err", err)
		}
		return gnet.Close
	}
	if n == 0 {
		return gnet.None
	}
	if _, err := c.Discard(n); err != nil {
		return gnet.Close
	}
	ses.busy = true
	ses.since = time.Now()
	s.handle(&Request{Message: m, conn: c, srv: s})
	return gnet.None
}

// quiet passes only gnet's errors on to our log.
type quiet struct{}

func (quiet) Debugf(string, ...any) {}
func (quiet) Infof(string, ...any)  {}
func (quiet) Warnf(string, ...any)  {}
func (quiet) Errorf(format string, args ...any) {
	slog.Debug("gnet", "msg", format, "args", args)
}
func (quiet) Fatalf(format string, args ...any) {
	slog.Error("gnet", "msg", format, "args", args)
}
