package shard

import (
	"fmt"
	"testing"
	"time"
)

// reportElsewhere plays time in which an owner's machines report to other controllers
// alone, and names those that it returns.
func (r *rig) reportElsewhere(d time.Duration) []string {
	seq := uint64(100)
	return r.unacknowledged(d, func() {
		seq++
		var seen []MisroutedHeartbeat
		for name := range r.machines {
			seen = append(seen, MisroutedHeartbeat{Machine: name, Epoch: 1, Seq: seq})
		}
		r.ApplyMisroutedHeartbeats(r.now, seen, true)
	})
}

// An owner that its machines cannot reach returns none of them. Guards against two ways
// in which the machines of a small shard, which ran on and reported to others, were given
// back: an idle one was returned while the shard was out of reach, which left two, and
// two that are both unconfirmed were taken for deaf.
func TestSmallShardThatReportsElsewhereIsKept(t *testing.T) {
	for _, machines := range []int{2, 3} {
		r := newRig(nil)
		if machines > 2 {
			r.cfg.SpotIdleTimeout, r.cfg.OnDemandIdleTimeout = 12*time.Second, 12*time.Second
		}
		for i := range machines {
			r.up(fmt.Sprintf("m-%d", i))
		}
		if gone := r.reportElsewhere(16 * time.Second); len(gone) > 0 {
			t.Errorf("of %d machines that report to others %v were returned", machines, gone)
		}
		if silent, elsewhere := r.IsIsolated(r.now); !silent || !elsewhere {
			t.Errorf("with %d machines the owner does not see that it is cut off", machines)
		}
	}
}

// Two machines that stay unconfirmed are returned once their leases have surely ended:
// nothing runs there any more, and nobody else takes them.
func TestTwoDeafMachinesAreReturnedAfterTheirLease(t *testing.T) {
	r := newRig(nil)
	r.up("m-0")
	r.up("m-1")
	if gone := r.reportElsewhere(2*leaseEnd + 10*time.Second); len(gone) != 2 {
		t.Errorf("%v were returned", gone)
	}
}
