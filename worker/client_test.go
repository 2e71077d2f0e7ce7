package worker

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// A shard may have more machines than the process may have open sockets. However many
// workers were called, at most MaxIdleWorkerConns connections stay open.
func TestClientKeepsFewConnections(t *testing.T) {
	var open atomic.Int64
	listen := func() string {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				open.Add(1)
				go func() {
					defer open.Add(-1)
					defer c.Close()
					respondWithHeartbeats(c)
				}()
			}
		}()
		return l.Addr().String()
	}
	client := NewClient()
	defer client.Close()
	done := make(chan Result, 1)
	const machines = 3 * constants.MaxIdleWorkerConns
	for i := range machines {
		client.Send(context.Background(), listen(), wire.CommandRequest{FencingToken: 1, Epoch: 1}, func(r Result) { done <- r })
		if r := <-done; r.Err != nil {
			t.Fatalf("call %d: %v", i, r.Err)
		}
	}
	for end := time.Now().Add(5 * time.Second); open.Load() > constants.MaxIdleWorkerConns && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond) // the kernel closes connections asynchronously
	}
	if n := open.Load(); n > constants.MaxIdleWorkerConns {
		t.Fatalf("%d connections open after calls to %d machines", n, machines)
	}
}

// respondWithHeartbeats responds to every request with a worker's heartbeat.
func respondWithHeartbeats(c net.Conn) {
	body := `{"host":"m-1","shift":1,"tally":1,"baton":1}`
	buf := make([]byte, 4096)
	for {
		if _, err := c.Read(buf); err != nil {
			return
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}
