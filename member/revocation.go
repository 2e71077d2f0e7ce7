package member

import (
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// revocationState is a stored revocation, and when this controller first knew of it.
type revocationState struct {
	records.Revocation
	version   uint64
	firstSeen time.Time
}

// EnableDetection has the core heed revocations of other controllers when it ranks
// them, rank them by what they own, and take over one shard at a time.
func (c *Core) EnableDetection() {
	c.detectionEnabled = true
	c.takeoverPacer.MinInterval = constants.MinFailoverInterval
}

// IsRevoked says whether the process that holds a controller's key was revoked.
func (c *Core) IsRevoked(name string) bool {
	r, ok := c.revocations[name]
	return ok && c.registrations[name].incarnation == r.Incarnation
}

// revocationOfHolder returns the revocation of the process that holds a term, if there is
// one.
func (c *Core) revocationOfHolder(t records.Term) (revocationState, bool) {
	r, ok := c.revocations[t.Controller]
	return r, ok && r.Incarnation == t.Incarnation
}

// revokedAuthorityEnded says that the holder of a term was revoked, and that its authority has
// surely ended since: its lease's life has passed, with drift and margin, since this
// controller saw the revocation, which was after it was written.
func (c *Core) revokedAuthorityEnded(now time.Time, key string) bool {
	r, ok := c.revocationOfHolder(c.terms[key].Term)
	if !ok || !c.detectionEnabled {
		return false
	}
	life := time.Duration(r.LeaseTTLMS) * time.Millisecond
	wait := time.Duration(float64(life)*(1+constants.MaxClockDrift)) + constants.AuthorityMargin
	return now.Sub(r.firstSeen) >= wait
}

// recentlyRevoked says whether any process of a controller was revoked a short while
// ago. It then gets terms only if nobody else is there.
func (c *Core) recentlyRevoked(now time.Time, name string) bool {
	r, ok := c.revocations[name]
	return ok && now.Sub(r.firstSeen) < constants.FailbackCooldown
}

// Revoke makes the transaction that revokes a controller's process. It holds only
// while that process and this one are registered as known. Processes that do not
// heed revocations, or are revoked already, are left alone.
func (c *Core) Revoke(r records.Revocation) (wire.Txn, bool) {
	target, ok := c.registrations[r.Controller]
	me, registered := c.registrations[c.self]
	if !ok || !registered || r.Controller == c.self || target.incarnation != r.Incarnation || target.leaseTTL == 0 || c.IsRevoked(r.Controller) {
		return wire.Txn{}, false
	}
	r.By, r.LeaseTTLMS = c.self, target.leaseTTL.Milliseconds()
	return wire.Txn{
		Conditions: []wire.Condition{
			{Key: records.KeyRevoked(r.Controller), Version: c.revocations[r.Controller].version},
			{Key: records.KeyController(r.Controller), Version: target.version},
			{Key: records.KeyController(c.self), Version: me.version},
		},
		Changes: []wire.Change{{Put: records.KeyRevoked(r.Controller), Value: records.Encode(r)}},
	}, true
}
