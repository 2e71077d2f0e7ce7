package shard

import (
	"errors"
	"testing"

	"ravenport/records"
)

// An owner on which draining was not started refuses to plan a drain. Guards against a fault
// in which PlanDrain panicked with a nil pointer dereference, as there was no draining policy
// to read; the panic ended the controller.
func TestPlanWithoutDrainingIsRefused(t *testing.T) {
	r := newTestOwner(nil)
	r.bringUpFleet(3)
	defer func() {
		if cause := recover(); cause != nil {
			t.Errorf("planning without draining panics: %v", cause)
		}
	}()
	if plan, err := r.PlanDrain(r.now, &records.Selection{}); !errors.Is(err, ErrDrainingNotStarted) {
		t.Errorf("plan %+v, error %v, want ErrDrainingNotStarted", plan, err)
	}
}
