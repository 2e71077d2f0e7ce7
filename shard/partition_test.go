package shard

import (
	"fmt"
	"testing"
	"time"
)

// advanceMisrouted advances the time while the owner's machines send heartbeats only to other
// controllers, and returns the machines that the owner terminated.
func (r *testOwner) advanceMisrouted(d time.Duration) []string {
	seq := uint64(100)
	return r.advanceUnanswered(d, func() {
		seq++
		var heartbeats []MisroutedHeartbeat
		for name := range r.machines {
			heartbeats = append(heartbeats, MisroutedHeartbeat{Machine: name, Epoch: 1, Seq: seq})
		}
		r.ApplyMisroutedHeartbeats(r.now, heartbeats, true)
	})
}

// An owner that its machines cannot reach terminates none of them. The test guards against
// two ways in which running machines of a small shard that sent heartbeats to other
// controllers were terminated: an idle machine during the partition, which left two machines,
// and two machines that were both unconfirmed and counted as not receiving.
func TestSmallShardWithMisroutedHeartbeatsIsKept(t *testing.T) {
	for _, machines := range []int{2, 3} {
		r := newTestOwner(nil)
		if machines > 2 {
			r.cfg.SpotIdleTimeout, r.cfg.OnDemandIdleTimeout = 12*time.Second, 12*time.Second
		}
		for i := range machines {
			r.bringUp(fmt.Sprintf("m-%d", i))
		}
		if terminated := r.advanceMisrouted(16 * time.Second); len(terminated) > 0 {
			t.Errorf("of %d machines that send heartbeats to other controllers, %v were terminated", machines, terminated)
		}
		if isolated, misrouted := r.IsIsolated(r.now); !isolated || !misrouted {
			t.Errorf("with %d machines the owner does not detect that it is isolated", machines)
		}
	}
}

// Two machines that stay unconfirmed are terminated once their leases have expired for
// certain: no task runs on them any more, and no other controller uses them.
func TestTwoMachinesNotReceivingAreTerminatedAfterTheirLease(t *testing.T) {
	r := newTestOwner(nil)
	r.bringUp("m-0")
	r.bringUp("m-1")
	if terminated := r.advanceMisrouted(2*leaseTimeout + 10*time.Second); len(terminated) != 2 {
		t.Errorf("%v were terminated", terminated)
	}
}
