package shard

import (
	"errors"
	"testing"
	"time"

	"ravenport/wire"
)

// Each reason to refuse a heartbeat has its own error.
func TestRefusedHeartbeats(t *testing.T) {
	otherZone := newHeartbeat("m-1", 1, 9, token(5, 0))
	otherZone.Zone = "b"
	unchanged := func(*testOwner) {}
	for _, c := range []struct {
		name      string
		prepare   func(*testOwner)
		heartbeat *wire.Heartbeat
		want      error
	}{
		{"accepted", unchanged, newHeartbeat("m-1", 1, 9, token(5, 0)), nil},
		{"other zone", unchanged, otherZone, ErrUnknownShard},
		{"later term", unchanged, newHeartbeat("m-1", 1, 9, token(6, 0)), ErrFenced},
		{"no authority", func(r *testOwner) { r.SetAuthority(time.Time{}) }, newHeartbeat("m-1", 1, 9, token(5, 0)), ErrNoAuthority},
		{"terminated", func(r *testOwner) { r.ScaleInResult(r.now, []string{"m-1"}) }, newHeartbeat("m-1", 1, 9, token(5, 0)), ErrMachineTerminated},
		{"repeated", unchanged, newHeartbeat("m-1", 1, 2, token(5, 0)), ErrStaleHeartbeat},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestOwner(nil)
			r.bringUp("m-1")
			c.prepare(r)
			if _, err := r.Heartbeat(r.now, c.heartbeat); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}
