package constants

import "time"

// Leases, authority and the acquisition of terms.
const (
	// MaxClockDrift is the bound on how far two monotonic clocks drift apart (share): the
	// protocol's bound, doubled for safety.
	MaxClockDrift = 0.001
	// AuthorityMargin is subtracted from an authority and added to every waiting time. It
	// covers the granularity of timers and the time between a check and the action that
	// depends on it.
	AuthorityMargin = 250 * time.Millisecond
	// WorkerLeaseMargin is how long after the expiry of a worker's lease its tasks are
	// considered killed.
	WorkerLeaseMargin = time.Second
	// RenewalsPerTTL is how often a lease is renewed within its TTL, so that a few lost or
	// slow renewals do no harm (renewals).
	RenewalsPerTTL = 4
	// MembershipTickInterval is how often a controller checks the deadlines of its
	// membership.
	MembershipTickInterval = 100 * time.Millisecond
	// AcquisitionRankDelay is the delay between the acquisition attempts for a vacant term
	// by candidates of successive ranks.
	AcquisitionRankDelay = 400 * time.Millisecond
	// AcquisitionRetryTime is how long a term acquisition that is refused only by the rate
	// limit is retried.
	AcquisitionRetryTime = time.Second
	// StartupAcquisitionDelay is how long a newly started controller leaves vacant the terms
	// for which it is not the preferred controller, so that controllers started together
	// distribute the terms among themselves.
	StartupAcquisitionDelay = 1600 * time.Millisecond
)
