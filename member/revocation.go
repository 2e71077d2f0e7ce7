package member

import (
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// revocationState is the record of a controller's latest revocation.
type revocationState struct {
	records.Revocation
	version   uint64    // of the key
	firstSeen time.Time // by this controller, which is after the record was written
}

// EnableDetection makes the core treat revoked controllers as failed, rank candidates by
// the shards that they own, and limit how often this controller takes over a shard.
func (c *Core) EnableDetection() {
	c.detectionEnabled = true
	c.takeoverPacer.MinInterval = constants.MinFailoverInterval
}

// IsRevoked reports whether the process that is registered under a controller's name was
// revoked.
func (c *Core) IsRevoked(name string) bool {
	revoked, ok := c.revocations[name]
	return ok && c.registrations[name].incarnation == revoked.Incarnation
}

// revocationOfHolder returns the revocation of the process that holds a term, if there is
// one.
func (c *Core) revocationOfHolder(term records.Term) (revocationState, bool) {
	revoked, ok := c.revocations[term.Controller]
	return revoked, ok && revoked.Incarnation == term.Incarnation
}

// revokedAuthorityEnded reports whether the holder of a term was revoked and its
// authority has certainly ended. Its authority has ended once its lease's TTL, extended
// by clock drift and a margin, has passed since this controller saw the revocation,
// because the revocation was written before this controller saw it.
func (c *Core) revokedAuthorityEnded(now time.Time, key string) bool {
	revoked, ok := c.revocationOfHolder(c.terms[key].Term)
	if !ok || !c.detectionEnabled {
		return false
	}
	leaseTTL := time.Duration(revoked.LeaseTTLMS) * time.Millisecond
	wait := time.Duration(float64(leaseTTL)*(1+constants.MaxClockDrift)) + constants.AuthorityMargin
	return now.Sub(revoked.firstSeen) >= wait
}

// recentlyRevoked reports whether any process of a controller was revoked within the
// failback cooldown. During that time the controller gets terms only if there is no
// other candidate.
func (c *Core) recentlyRevoked(now time.Time, name string) bool {
	revoked, ok := c.revocations[name]
	return ok && now.Sub(revoked.firstSeen) < constants.FailbackCooldown
}

// Revoke completes a revocation and returns the transaction that writes it. The
// transaction succeeds only if the registrations of the target's process and of this
// process have not changed since this controller read them. There is no transaction for
// this controller itself, nor for a process that is not registered, does not support
// revocation or is already revoked.
func (c *Core) Revoke(revocation records.Revocation) (wire.Txn, bool) {
	target, ok := c.registrations[revocation.Controller]
	if !ok || target.incarnation != revocation.Incarnation {
		return wire.Txn{}, false
	}
	supportsRevocation := target.leaseTTL != 0
	if !supportsRevocation || c.IsRevoked(revocation.Controller) {
		return wire.Txn{}, false
	}
	self, ok := c.registrations[c.self]
	if !ok || revocation.Controller == c.self {
		return wire.Txn{}, false
	}
	revocation.RevokedBy = c.self
	revocation.LeaseTTLMS = target.leaseTTL.Milliseconds()
	key := records.KeyRevocation(revocation.Controller)
	return wire.Txn{
		Conditions: []wire.Condition{
			{Key: key, Version: c.revocations[revocation.Controller].version},
			{Key: records.KeyController(revocation.Controller), Version: target.version},
			{Key: records.KeyController(c.self), Version: self.version},
		},
		Changes: []wire.Change{{Put: key, Value: records.Encode(revocation)}},
	}, true
}
