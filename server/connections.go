package server

import (
	"context"
	"log/slog"
	"time"

	"github.com/panjf2000/gnet/v2"

	"ravenport/constants"
	"ravenport/logkey"
)

// connState is the event loop's state of one connection.
type connState struct {
	busy        bool      // a request waits for its response
	lastEventAt time.Time // when the connection was opened, or its latest complete request or response
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if !s.eventLoopPublished {
		s.eventLoopPublished = true
		s.eventLoops <- c.EventLoop()
	}
	if len(s.conns) >= s.maxConns && !s.reclaimConn() {
		return nil, gnet.Close
	}
	state := &connState{lastEventAt: time.Now()}
	s.conns[c] = state
	c.SetContext(state)
	s.updateNearlyFull()
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	delete(s.conns, c)
	s.updateNearlyFull()
	return gnet.None
}

func (s *Server) updateNearlyFull() {
	s.nearlyFull.Store(len(s.conns) > s.maxConns*constants.ServerNearlyFullEighths/8+1)
}

// reclaimConn closes the connection that has been idle longest, if it has been idle for
// longer than reclaimIdle, so that its client cannot be using it. Without reclaimConn,
// abandoned connections could keep users and health checks from connecting. It reports
// whether it closed a connection.
func (s *Server) reclaimConn() bool {
	var longestIdle gnet.Conn
	idleSince := time.Now().Add(-s.reclaimIdle)
	for c, state := range s.conns {
		if !state.busy && c.InboundBuffered() == 0 && state.lastEventAt.Before(idleSince) {
			longestIdle = c
			idleSince = state.lastEventAt
		}
	}
	if longestIdle == nil {
		return false
	}
	delete(s.conns, longestIdle)
	closeConn(longestIdle)
	return true
}

func closeConn(c gnet.Conn) {
	if err := c.Close(); err != nil {
		slog.Debug("cannot close idle connection", logkey.Err, err)
	}
}

// OnTick implements gnet.EventHandler. It runs on the ticker's goroutine, concurrently with
// the event loop that owns the connections. It therefore only schedules the idle check on
// that event loop: a check on the ticker's goroutine, while connections open and close,
// would crash the process.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	if s.tickerEventLoop == nil {
		select {
		case s.tickerEventLoop = <-s.eventLoops:
		default:
			return s.idleCheckInterval, gnet.None // there has been no connection yet
		}
	}
	check := func(context.Context) error {
		s.closeIdle(time.Now())
		return nil
	}
	if err := s.tickerEventLoop.Execute(context.Background(), gnet.RunnableFunc(check)); err != nil {
		slog.Debug("cannot check for idle connections", logkey.Err, err)
	}
	return s.idleCheckInterval, gnet.None
}

// closeIdle closes connections that are idle for too long or send a request too slowly, so
// that slow or abandoned clients cannot use up all sockets. It runs on the event loop.
func (s *Server) closeIdle(now time.Time) {
	for c, state := range s.conns {
		timeout := constants.ServerIdleTimeout
		if c.InboundBuffered() > 0 {
			timeout = constants.ServerSlowRequestTimeout
		}
		if !state.busy && now.Sub(state.lastEventAt) > timeout {
			closeConn(c)
		}
	}
}
