package shard

import (
	"errors"
	"testing"

	"ravenport/records"
)

// An owner that was asked for the plan of a drain without ever having started to drain
// panicked ("nil pointer dereference" in PlanDrain, at the policy of no draining), which ends
// its controller. It refuses instead.
func TestPlanWithoutDrainingIsRefused(t *testing.T) {
	r := newRig(nil)
	r.bringUpFleet(3)
	defer func() {
		if cause := recover(); cause != nil {
			t.Errorf("planning without draining panics: %v", cause)
		}
	}()
	if plan, err := r.PlanDrain(r.now, &records.Selection{}); !errors.Is(err, ErrDrainingNotStarted) {
		t.Errorf("plan %+v, %v", plan, err)
	}
}
