package settings

import "testing"

// An owner that is cut off does not learn of cancellations. Before cancel_s has passed, the
// owner must have stopped answering heartbeats, and its workers' leases must have expired.
func TestAuthorityLeavesTimeForCancellation(t *testing.T) {
	for _, cancelS := range []float64{56, 30, 20} {
		s := Settings{Operator: DefaultOperator()}
		s.Deployment.Workers.LeaseS = 26
		s.Deployment.Workers.CancelTimeoutS = cancelS
		authority, shortened := s.Authority()
		if authority <= 0 {
			t.Errorf("cancel_s %g: authority %s", cancelS, authority)
		}
		if end := authority + s.WorkerLeaseExpiry(); !shortened && end >= Seconds(cancelS) {
			t.Errorf("cancel_s %g: a task may run for %s", cancelS, end)
		}
		if !shortened && cancelS == 20 {
			t.Error("no warning although cancel_s is shorter than the lease")
		}
	}
}
