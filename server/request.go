package server

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"ravenport/constants"
	"ravenport/httpwire"
	"ravenport/logkey"
)

// responseHeaderBytes is the buffer space for a response's status line and headers.
const responseHeaderBytes = 192

// Request is a request and the connection to respond on.
type Request struct {
	*httpwire.Message
	conn      gnet.Conn
	srv       *Server
	responded atomic.Bool
}

// OnTraffic implements gnet.EventHandler. Requests of one connection are handled one at a
// time: clients do not pipeline, and responses must keep the order of the requests.
func (s *Server) OnTraffic(conn gnet.Conn) gnet.Action {
	state, ok := conn.Context().(*connState)
	if !ok {
		return gnet.Close
	}
	if state.busy {
		if conn.InboundBuffered() > constants.MaxRequestBody+constants.MaxHeaderBytes {
			return gnet.Close
		}
		return gnet.None
	}
	if conn.InboundBuffered() == 0 {
		return gnet.None
	}
	buf, err := conn.Peek(-1)
	if err != nil {
		return gnet.Close
	}
	message, used, err := httpwire.ParseRequest(buf, httpwire.Limits{Header: constants.MaxHeaderBytes, Body: constants.MaxRequestBody})
	if err != nil {
		refuseMalformed(conn)
		return gnet.Close
	}
	if used == 0 {
		return gnet.None // the request is not complete yet
	}
	if _, err := conn.Discard(used); err != nil {
		return gnet.Close
	}
	state.busy = true
	state.lastEventAt = time.Now()
	s.handle(&Request{Message: message, conn: conn, srv: s})
	return gnet.None
}

// refuseMalformed responds to data that cannot be parsed as a request. The protocol has no
// status 413, so a request whose body exceeds the limit is refused as malformed too.
func refuseMalformed(c gnet.Conn) {
	response := httpwire.AppendResponse(nil, &httpwire.Response{Status: http.StatusBadRequest, Close: true, Body: []byte(`{"error":"malformed request"}`)})
	if _, err := c.Write(response); err != nil {
		slog.Debug("cannot refuse malformed request", logkey.Err, err)
	}
}

// Respond sends the response. It may be called from any goroutine; only the first call
// has an effect.
func (r *Request) Respond(response *httpwire.Response) {
	if r.responded.Swap(true) {
		return
	}
	response.Close = response.Close || r.Close || r.srv.nearlyFull.Load()
	closing := response.Close
	buf := httpwire.AppendResponse(make([]byte, 0, responseHeaderBytes+len(response.Body)), response)
	// The callback runs on the event loop, which owns the connection's state.
	err := r.conn.AsyncWrite(buf, func(c gnet.Conn, err error) error {
		if state, ok := c.Context().(*connState); ok {
			state.busy = false
			state.lastEventAt = time.Now()
		}
		if closing || err != nil {
			return c.Close()
		}
		if c.InboundBuffered() > 0 {
			return c.Wake(nil) // the next request has already arrived
		}
		return nil
	})
	if err != nil {
		slog.Debug("cannot send response", logkey.Err, err)
	}
}
