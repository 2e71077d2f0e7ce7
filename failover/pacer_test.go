package failover

import (
	"testing"
	"time"
)

// A controller takes over one orphaned shard at a time.
func TestPacer(t *testing.T) {
	p := Pacer{MinInterval: time.Second}
	now := time.Unix(0, 0)
	if !p.IsReady(now) {
		t.Error("the first must wait")
	}
	p.Record(now)
	if p.IsReady(now.Add(999*time.Millisecond)) || !p.IsReady(now.Add(time.Second)) {
		t.Error("the interval is not kept")
	}
	unlimited := Pacer{}
	unlimited.Record(now)
	if !unlimited.IsReady(now) {
		t.Error("without an interval it must wait")
	}
}
