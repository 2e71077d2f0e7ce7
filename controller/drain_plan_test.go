package controller

import (
	"testing"
	"testing/synctest"

	"ravenport/peer"
	"ravenport/records"
)

// A plan is refused with one line if no owner of a selected shard can provide its part. The
// command used to print an empty table and exit as if it had succeeded. If some owners can
// provide their parts, the plan shows those and lists the missing shards.
func TestPlanWithoutAnyOwnerIsRefused(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := drainWorld(4, "")
		defer w.shutdown()
		for _, n := range w.controllers[1:] {
			n.set.Draining = nil
		}
		w.startBeforeDrain(t)
		owned := w.ownedShards(0)
		if len(owned) != 1 {
			t.Fatalf("the draining controller owns %v", owned)
		}
		other := otherZone(owned[0])
		r := w.requestDrain(t, peer.DrainRequest{Op: peer.OpPlan, Selection: records.Selection{Zones: []string{other}}})
		if r.Problem == nil || r.Problem.Field != "zone" || r.Plan != nil {
			t.Errorf("plan of %s: %+v", other, r)
		}
		r = w.requestDrain(t, peer.DrainRequest{Op: peer.OpPlan, MatchAll: true})
		if r.Plan == nil || len(r.Plan.Shards) != 1 || len(r.Plan.MissingShards) != len(w.controllers)-1 {
			t.Errorf("plan of all: %+v", r.Plan)
		}
	})
}
