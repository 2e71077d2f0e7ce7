package settings

import (
	"time"

	"ravenport/constants"
)

// minAuthority is the minimum authority of a controller, even if cancel_s is too short for
// it.
const minAuthority = 500 * time.Millisecond

// WorkerLease is how long a worker keeps running its tasks without a reply to its heartbeats.
func (s *Settings) WorkerLease() time.Duration { return Seconds(s.Deployment.Workers.LeaseS) }

// HeartbeatPeriod is the time between two heartbeats of a worker.
func (s *Settings) HeartbeatPeriod() time.Duration { return Seconds(s.Deployment.Workers.HeartbeatS) }

// WorkerLeaseExpiry is the time after which a worker's lease is certain to have expired, for
// any permitted clock drift. It counts from the last moment at which a reply could have
// renewed the lease.
func (s *Settings) WorkerLeaseExpiry() time.Duration {
	return time.Duration(float64(s.WorkerLease())*(1+constants.MaxClockDrift)) + constants.WorkerLeaseMargin
}

// Authority is how long a controller may act without a further response of the key-value
// store. It is counted from when the controller sent the request that last renewed its lease
// or, if that is earlier, the latest read of the revision that its watch feed has reached.
// The authority is shortened if tasks of a cancelled job might otherwise run longer than
// cancel_s; shortened reports whether it was.
func (s *Settings) Authority() (authority time.Duration, shortened bool) {
	authority = time.Duration(float64(s.Operator.LeaseTTL)*(1-constants.MaxClockDrift)) - constants.AuthorityMargin
	limit := s.maxAuthority()
	if authority > limit {
		return max(limit, minAuthority), true
	}
	return authority, false
}

// LeaseExtension is how long an owner may continue to answer heartbeats after the end of its
// authority. In a network partition, this keeps the leases of the machines on the owner's
// side of the partition. It is the time that cancel_s leaves after the authority and a
// worker's lease.
func (s *Settings) LeaseExtension() time.Duration {
	authority, _ := s.Authority()
	return max(0, s.maxAuthority()-authority)
}

// maxAuthority is the time that cancel_s leaves after a worker's lease and a safety margin.
func (s *Settings) maxAuthority() time.Duration {
	return Seconds(s.Deployment.Workers.CancelTimeoutS) - s.WorkerLeaseExpiry() - 2*constants.WorkerLeaseMargin
}
