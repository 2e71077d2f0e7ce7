package member

import (
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// revocation is a stored revocation, and when this controller first knew of it.
type revocation struct {
	records.Revocation
	version uint64
	seen    time.Time
}

// EnableDetection has the core heed revocations of other controllers when it ranks
// them, rank them by what they own, and take over one shard at a time.
func (c *Core) EnableDetection() {
	c.detection = true
	c.pace.Gap = constants.TakeoverGap
}

// Revoked says whether the process that holds a controller's key was revoked.
func (c *Core) Revoked(name string) bool {
	r, ok := c.revocations[name]
	return ok && c.nodes[name].incarnation == r.Incarnation
}

// revocationOf returns the revocation of the process that holds a term, if there is
// one.
func (c *Core) revocationOf(t records.Term) (revocation, bool) {
	r, ok := c.revocations[t.Controller]
	return r, ok && r.Incarnation == t.Incarnation
}

// outlived says that the holder of a term was revoked, and that its authority has
// surely ended since: its lease's life has passed, with drift and margin, since this
// controller saw the revocation, which was after it was written.
func (c *Core) outlived(now time.Time, key string) bool {
	r, ok := c.revocationOf(c.terms[key].Term)
	if !ok || !c.detection {
		return false
	}
	life := time.Duration(r.LeaseTTLMS) * time.Millisecond
	wait := time.Duration(float64(life)*(1+constants.ClockDrift)) + constants.AuthorityMargin
	return now.Sub(r.seen) >= wait
}

// recentlyRevoked says whether any process of a controller was revoked a short while
// ago. It then gets terms only if nobody else is there.
func (c *Core) recentlyRevoked(now time.Time, name string) bool {
	r, ok := c.revocations[name]
	return ok && now.Sub(r.seen) < constants.CutPause
}

// Revoke makes the transaction that revokes a controller's process. It holds only
// while that process and this one are registered as known. Processes that do not
// heed revocations, or are revoked already, are left alone.
func (c *Core) Revoke(r records.Revocation) (wire.Txn, bool) {
	target, ok := c.nodes[r.Controller]
	me, registered := c.nodes[c.me]
	if !ok || !registered || r.Controller == c.me || target.incarnation != r.Incarnation || target.life == 0 || c.Revoked(r.Controller) {
		return wire.Txn{}, false
	}
	r.By, r.LeaseTTLMS = c.me, target.life.Milliseconds()
	return wire.Txn{
		Conditions: []wire.Condition{
			{Key: records.KeyRevoked(r.Controller), Version: c.revocations[r.Controller].version},
			{Key: records.KeyController(r.Controller), Version: target.version},
			{Key: records.KeyController(c.me), Version: me.version},
		},
		Changes: []wire.Change{{Put: records.KeyRevoked(r.Controller), Value: records.Encode(r)}},
	}, true
}
