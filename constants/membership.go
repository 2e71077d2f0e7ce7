package constants

import "time"

// Leases, authority and the acquisition of terms.
const (
	// MaxClockDrift is the protocol's bound on how far two monotonic clocks drift
	// apart (share), doubled for safety.
	MaxClockDrift = 0.001
	// AuthorityMargin is taken off an authority and added to every waiting
	// time, for steps of timers and for the moment between check and act.
	AuthorityMargin = 250 * time.Millisecond
	// WorkerLeaseMargin is waited beyond a worker's lease before its tasks count
	// as killed.
	WorkerLeaseMargin = time.Second
	// RenewalsPerTTL is how often a lease is renewed within its TTL, so that
	// a few lost or slow renewals do no harm (renewals).
	RenewalsPerTTL = 4
	// MembershipTickInterval is how often membership checks its deadlines.
	MembershipTickInterval = 100 * time.Millisecond
	// AcquisitionRankDelay separates the acquisitions of a vacant term by candidates of
	// different rank.
	AcquisitionRankDelay = 400 * time.Millisecond
	// AcquisitionRetryTime is how long a term acquisition that is refused for rate alone
	// is retried.
	AcquisitionRetryTime = time.Second
	// StartupAcquisitionDelay is how long a controller that was just started leaves the
	// terms that it is not the first choice for, so that controllers started together
	// share them out.
	StartupAcquisitionDelay = 1600 * time.Millisecond
)
