// Package server receives HTTP requests from users, workers and health checks on a gnet
// event loop, and passes them to a handler.
package server

import (
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"ravenport/constants"
)

// Handler handles a request. It is called on the event loop and must not block.
type Handler func(*Request)

// Server is an HTTP server that listens on one address.
type Server struct {
	gnet.BuiltinEventEngine

	addr              string
	maxConns          int
	reclaimIdle       time.Duration // a connection idle for longer may be closed to accept a new one
	idleCheckInterval time.Duration
	handle            Handler
	ready             chan struct{}

	// Owned by the event loop.
	conns              map[gnet.Conn]*connState
	eventLoopPublished bool // the event loop has been sent to eventLoops

	// nearlyFull says that nearly all of the maxConns connections are open; connections
	// are then closed after each response. Only the event loop writes nearlyFull; any
	// goroutine may read it.
	nearlyFull atomic.Bool

	// eventLoops passes the event loop, once, to the ticker's goroutine, which stores it
	// in tickerEventLoop.
	eventLoops      chan gnet.EventLoop
	tickerEventLoop gnet.EventLoop
}

// New returns a server for addr with at most maxConns open connections.
func New(addr string, maxConns int, handle Handler) *Server {
	return &Server{
		addr:              addr,
		maxConns:          maxConns,
		reclaimIdle:       constants.ServerReclaimIdle,
		idleCheckInterval: constants.ServerIdleCheckInterval,
		handle:            handle,
		ready:             make(chan struct{}),
		conns:             map[gnet.Conn]*connState{},
		eventLoops:        make(chan gnet.EventLoop, 1),
	}
}

// Run serves until the process ends or listening fails.
func (s *Server) Run() error {
	return gnet.Run(s, "tcp4://"+s.addr,
		gnet.WithNumEventLoop(1),
		gnet.WithTicker(true),
		gnet.WithReuseAddr(true),
		gnet.WithReadBufferCap(constants.ServerReadBufferSize),
		gnet.WithLogger(gnetLogger{}),
		gnet.WithLogLevel(logging.ErrorLevel))
}

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(gnet.Engine) gnet.Action {
	close(s.ready)
	return gnet.None
}

// Ready returns a channel that is closed once the server listens.
func (s *Server) Ready() <-chan struct{} { return s.ready }
