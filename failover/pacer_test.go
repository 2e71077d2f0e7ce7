package failover

import (
	"testing"
	"time"
)

// A controller takes over at most one shard per interval.
func TestPacer(t *testing.T) {
	p := Pacer{MinInterval: time.Second}
	now := time.Unix(0, 0)
	if !p.IsReady(now) {
		t.Error("the first takeover has to wait")
	}
	p.Record(now)
	if p.IsReady(now.Add(999*time.Millisecond)) || !p.IsReady(now.Add(time.Second)) {
		t.Error("the minimum interval is not enforced")
	}
	unlimited := Pacer{}
	unlimited.Record(now)
	if !unlimited.IsReady(now) {
		t.Error("a takeover has to wait without a minimum interval")
	}
}
