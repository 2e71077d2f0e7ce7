package settings

import (
	"time"

	"ravenport/constants"
)

// minAuthority is the shortest authority that a controller is left with, however short
// cancel_s is.
const minAuthority = 500 * time.Millisecond

// WorkerLease is how long a worker keeps its tasks without a reply to its heartbeats.
func (s *Settings) WorkerLease() time.Duration { return Seconds(s.Deployment.Workers.LeaseS) }

// HeartbeatPeriod is the time between two heartbeats of a worker.
func (s *Settings) HeartbeatPeriod() time.Duration { return Seconds(s.Deployment.Workers.HeartbeatS) }

// WorkerLeaseExpiry is how long after the last moment at which a reply could have renewed it a
// worker's lease has surely expired, whatever the clocks' drift.
func (s *Settings) WorkerLeaseExpiry() time.Duration {
	return time.Duration(float64(s.WorkerLease())*(1+constants.MaxClockDrift)) + constants.WorkerLeaseMargin
}

// Authority is how long a controller may act after it last heard from the key-value
// store. It is shortened where a cancellation might otherwise come too late; short is
// true when it was.
func (s *Settings) Authority() (authority time.Duration, shortened bool) {
	authority = time.Duration(float64(s.Operator.LeaseTTL)*(1-constants.MaxClockDrift)) - constants.AuthorityMargin
	limit := s.maxAuthority()
	if authority > limit {
		return max(limit, minAuthority), true
	}
	return authority, false
}

// LeaseExtension is how long after the end of its authority an owner may go on answering
// heartbeats, so that the machines of a zone that is partitioned with it keep their
// leases: whatever cancel_s leaves beside authority and lease.
func (s *Settings) LeaseExtension() time.Duration {
	authority, _ := s.Authority()
	return max(0, s.maxAuthority()-authority)
}

// maxAuthority is what cancel_s leaves beside a worker's lease.
func (s *Settings) maxAuthority() time.Duration {
	return Seconds(s.Deployment.Workers.CancelTimeoutS) - s.WorkerLeaseExpiry() - 2*constants.WorkerLeaseMargin
}
