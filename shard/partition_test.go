package shard

import (
	"fmt"
	"testing"
	"time"
)

// advanceMisrouted advances the time while the owner's machines send heartbeats only to other
// controllers, and returns the machines that it terminated.
func (r *testOwner) advanceMisrouted(d time.Duration) []string {
	seq := uint64(100)
	return r.advanceUnanswered(d, func() {
		seq++
		var seen []MisroutedHeartbeat
		for name := range r.machines {
			seen = append(seen, MisroutedHeartbeat{Machine: name, Epoch: 1, Seq: seq})
		}
		r.ApplyMisroutedHeartbeats(r.now, seen, true)
	})
}

// An owner that its machines cannot reach terminates none of them. Guards against two ways in
// which the machines of a small shard, which ran on and sent heartbeats to others, were
// terminated: an idle one during the partition, which left two, and two that are both
// unconfirmed as not receiving.
func TestSmallShardWithMisroutedHeartbeatsIsKept(t *testing.T) {
	for _, machines := range []int{2, 3} {
		r := newTestOwner(nil)
		if machines > 2 {
			r.cfg.SpotIdleTimeout, r.cfg.OnDemandIdleTimeout = 12*time.Second, 12*time.Second
		}
		for i := range machines {
			r.bringUp(fmt.Sprintf("m-%d", i))
		}
		if gone := r.advanceMisrouted(16 * time.Second); len(gone) > 0 {
			t.Errorf("of %d machines that send heartbeats to others %v were terminated", machines, gone)
		}
		if isolated, elsewhere := r.IsIsolated(r.now); !isolated || !elsewhere {
			t.Errorf("with %d machines the owner does not see that it is isolated", machines)
		}
	}
}

// Two machines that stay unconfirmed are terminated once their leases have surely ended:
// nothing runs there any more, and nobody else takes them.
func TestTwoMachinesNotReceivingAreTerminatedAfterTheirLease(t *testing.T) {
	r := newTestOwner(nil)
	r.bringUp("m-0")
	r.bringUp("m-1")
	if gone := r.advanceMisrouted(2*leaseTimeout + 10*time.Second); len(gone) != 2 {
		t.Errorf("%v were terminated", gone)
	}
}
