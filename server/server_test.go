package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"ravenport/httpwire"
)

// startServer starts a server on a free loopback port that echoes the request's method and
// target.
func startServer(t *testing.T, maxConns int) string {
	t.Helper()
	return startServerWith(t, maxConns, time.Hour, time.Second)
}

func startServerWith(t *testing.T, maxConns int, reclaimIdle, idleCheckInterval time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	s := New(addr, maxConns, func(r *Request) {
		go r.Respond(&httpwire.Response{Status: 200, Body: []byte(r.Method + " " + r.Target)})
	})
	s.reclaimIdle = reclaimIdle
	s.idleCheckInterval = idleCheckInterval
	go func() {
		if err := s.Run(); err != nil {
			t.Error(err)
		}
	}()
	<-s.Ready()
	return addr
}

func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// Requests on one connection are served one after the other, also when a request arrives
// in pieces or before the response to the previous request.
func TestRequestsOnOneConnection(t *testing.T) {
	c, in := dial(t, startServer(t, 10))
	for i := range 3 {
		for _, piece := range []string{"GET /x", fmt.Sprint(i), " HTTP/1.1\r\nHost", ": h\r\n\r\n"} {
			if _, err := c.Write([]byte(piece)); err != nil {
				t.Fatal(err)
			}
		}
		expectResponse(t, in, "200", fmt.Sprintf("GET /x%d", i))
	}
	if _, err := c.Write([]byte("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	expectResponse(t, in, "200", "GET /a")
	expectResponse(t, in, "200", "GET /b")
}

func expectResponse(t *testing.T, in *bufio.Reader, status, body string) {
	t.Helper()
	line, err := in.ReadString('\n')
	if err != nil || !strings.Contains(line, " "+status+" ") {
		t.Fatalf("status line %q, %v", line, err)
	}
	n := 0
	for {
		h, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if h == "\r\n" {
			break
		}
		_, _ = fmt.Sscanf(h, "Content-Length: %d", &n)
	}
	buf := make([]byte, n)
	if _, err := io.ReadFull(in, buf); err != nil {
		t.Fatal(err)
	}
	if body != "" && string(buf) != body {
		t.Fatalf("body %q, wanted %q", buf, body)
	}
}

// A request that is not HTTP or is too large is refused, and its connection is closed.
func TestMalformedRequestIsRefused(t *testing.T) {
	addr := startServer(t, 10)
	for _, raw := range []string{"nonsense\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"} {
		c, in := dial(t, addr)
		if _, err := c.Write([]byte(raw)); err != nil {
			t.Fatal(err)
		}
		expectResponse(t, in, "400", "")
		if _, err := in.ReadByte(); err == nil {
			t.Errorf("%q: the connection stays open", raw)
		}
	}
}

// At the connection limit, new connections are closed and open ones are still served.
func TestConnectionsAreBounded(t *testing.T) {
	addr := startServer(t, 1)
	c, in := dial(t, addr)
	if _, err := c.Write([]byte("GET /1 HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	expectResponse(t, in, "200", "GET /1")
	_, overLimit := dial(t, addr)
	if _, err := overLimit.ReadByte(); err == nil {
		t.Error("a connection over the limit was served")
	}
	if _, err := c.Write([]byte("GET /2 HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	expectResponse(t, in, "200", "GET /2")
}

// At the connection limit, idle connections are closed, so that users and health checks can
// connect.
func TestIdleConnectionsAreReclaimed(t *testing.T) {
	addr := startServerWith(t, 3, 0, time.Second)
	for range 3 { // these clients send no further request
		c, in := dial(t, addr)
		if _, err := c.Write([]byte("GET /1 HTTP/1.1\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		expectResponse(t, in, "200", "GET /1")
	}
	for i := range 5 {
		c, in := dial(t, addr)
		if _, err := fmt.Fprintf(c, "GET /healthz%d HTTP/1.1\r\n\r\n", i); err != nil {
			t.Fatal(err)
		}
		expectResponse(t, in, "200", fmt.Sprintf("GET /healthz%d", i))
	}
}

// When nearly all allowed connections are open, the server closes a connection after its
// response, so that clients between two heartbeats or polls do not keep users and health
// checks from connecting. With fewer open connections the server keeps them open.
func TestNearlyFullServerClosesConnections(t *testing.T) {
	addr := startServer(t, 20)
	closesAfterRequest := func(c net.Conn, in *bufio.Reader) bool {
		if _, err := c.Write([]byte("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		closes, length := false, 0
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			closes = closes || strings.EqualFold(strings.TrimSpace(line), "Connection: close")
			if _, err := fmt.Sscanf(strings.ToLower(line), "content-length: %d", &length); err == nil {
				continue
			}
			if line == "\r\n" {
				if _, err := in.Discard(length); err != nil {
					t.Fatal(err)
				}
				return closes
			}
		}
	}
	type client struct {
		net.Conn
		in *bufio.Reader
	}
	var open []client
	for i := range 18 {
		c, in := dial(t, addr)
		if closesAfterRequest(c, in) {
			t.Fatalf("connection %d of 20 is closed", i+1)
		}
		open = append(open, client{c, in})
	}
	c, in := dial(t, addr)
	if !closesAfterRequest(c, in) {
		t.Fatal("with 19 of 20 connections open, the response does not close its connection")
	}
	if _, err := in.ReadByte(); err == nil {
		t.Fatal("the connection is not closed")
	}
	if closesAfterRequest(open[0].Conn, open[0].in) {
		t.Fatal("with 18 of 20 connections open again, the response closes its connection")
	}
}

// The idle check does not run concurrently with connections that open and close. When it
// did, the process crashed on real processors as a fleet's workers switched from one
// controller to another within a second.
func TestIdleCheckDuringConnectionChurn(t *testing.T) {
	addr := startServerWith(t, 5000, time.Hour, 100*time.Microsecond)
	for range 300 {
		dial(t, addr)
	}
	var done sync.WaitGroup
	for range 4 {
		done.Go(func() {
			for range 300 {
				c, err := net.Dial("tcp4", addr)
				if err != nil {
					t.Error(err)
					return
				}
				c.Close()
			}
		})
	}
	done.Wait()
	c, in := dial(t, addr)
	if _, err := c.Write([]byte("GET /still HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	expectResponse(t, in, "200", "GET /still")
}
