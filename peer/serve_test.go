package peer

import (
	"net"
	"testing"
	"time"
)

// serve starts a controller's gRPC server and returns a client that reaches it.
func serve(t *testing.T, h Handlers) *Client {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	go func() {
		if err := Serve(t.Context(), addr, h); err != nil && t.Context().Err() == nil {
			t.Error(err)
		}
	}()
	c, err := Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if _, err := c.PushStatus(t.Context(), Status{}); err == nil {
			return c
		}
	}
	t.Fatal("the server does not listen")
	return nil
}
