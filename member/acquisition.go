package member

import (
	"time"

	"ravenport/constants"
	"ravenport/failover"
	"ravenport/records"
	"ravenport/wire"
)

// TermAcquisition is a compare-and-swap transaction that gives a term to a new holder:
// to this controller or, in a transfer, to another one.
type TermAcquisition struct {
	Key       string // of the term
	NewHolder string // the controller's name
	Txn       wire.Txn
}

// DueAcquisitions returns the term acquisitions to be committed now: this controller
// acquires vacant terms, and gives terms that it holds to a controller that is preferred
// for them. There are none unless this process, identified by its incarnation, is
// registered and authorized. The process is authorized while it knows that its
// registration is valid and that it holds authority.
func (c *Core) DueAcquisitions(now time.Time, incarnation uint64, authorized bool) []TermAcquisition {
	registered, ok := c.registrations[c.self]
	if !ok || registered.incarnation != incarnation || !authorized {
		return nil
	}
	var due []TermAcquisition
	ownsShard := c.ownedShardCount(c.self) > 0
	for _, key := range c.termKeys() {
		if holder, alive := c.Holder(key); alive && !c.revokedAuthorityEnded(now, key) {
			delete(c.vacantSince, key)
			if holder != c.self {
				continue
			}
			if failback, ok := c.failback(now, key); ok {
				due = append(due, failback)
			}
			continue
		}
		if !c.mayAcquire(now, key, ownsShard) {
			continue
		}
		// A shard is not failed back to a revoked owner during the failback cooldown.
		// Leadership is never failed back, and the cooldown must not prevent the next
		// leader from transferring it if that leader is partitioned as well.
		previousUnreachable := isShardKey(key) && c.revokedAuthorityEnded(now, key)
		due = append(due, c.acquisition(key, c.self, previousUnreachable))
		if isShardKey(key) {
			ownsShard = true
			c.takeoverPacer.Record(now)
		}
	}
	return due
}

// vacancy returns how long this controller has seen a term without a holder.
func (c *Core) vacancy(now time.Time, key string) time.Duration {
	since, known := c.vacantSince[key]
	if !known {
		since = now
		c.vacantSince[key] = now
	}
	return now.Sub(since)
}

// mayAcquire reports whether this controller may acquire a vacant term now.
func (c *Core) mayAcquire(now time.Time, key string, ownsShard bool) bool {
	vacancy := c.vacancy(now, key)
	if isShardKey(key) {
		if ownsShard && vacancy < c.secondShardDelay {
			return false
		}
		if !c.takeoverPacer.IsReady(now) {
			return false
		}
	}
	if c.detectionEnabled && c.recentlyRevoked(now, c.self) && vacancy < constants.RevokedAcquisitionDelay {
		return false
	}
	position, predecessorMissing := failover.Position(c.rankedControllers(now, key), c.self, c.isCandidate)
	if vacancy < time.Duration(position)*constants.AcquisitionRankDelay {
		return false
	}
	isStarting := now.Sub(c.startedAt) < constants.StartupAcquisitionDelay
	return !predecessorMissing || !isStarting
}

// AcquisitionFor returns the transaction by which a registered controller acquires the
// term under key.
func (c *Core) AcquisitionFor(key, newHolder string) TermAcquisition {
	return c.acquisition(key, newHolder, false)
}

// acquisition returns the transaction that gives a term to a new holder. The transaction
// succeeds only if the term and the new holder's registration have not changed since this
// controller read them. If the previous holder is another controller whose lease has
// ended, that controller must still be unregistered. If the previous holder is registered
// but was revoked, its revocation must not have changed either.
func (c *Core) acquisition(key, newHolder string, previousUnreachable bool) TermAcquisition {
	current := c.terms[key]
	registered := c.registrations[newHolder]
	next := records.Term{
		Controller:          newHolder,
		Incarnation:         registered.incarnation,
		Number:              current.Number + 1,
		PreviousUnreachable: previousUnreachable,
	}
	conditions := []wire.Condition{
		{Key: key, Version: current.version},
		{Key: records.KeyController(newHolder), Version: registered.version},
	}
	if current.version != 0 && current.Controller != newHolder {
		if !c.IsAlive(current.Controller) {
			conditions = append(conditions, wire.Condition{Key: records.KeyController(current.Controller), Version: 0})
		} else if revoked, ok := c.revocationOfHolder(current.Term); ok {
			conditions = append(conditions, wire.Condition{Key: records.KeyRevocation(current.Controller), Version: revoked.version})
		}
	}
	return TermAcquisition{
		Key:       key,
		NewHolder: newHolder,
		Txn: wire.Txn{
			Conditions: conditions,
			Changes:    []wire.Change{{Put: key, Value: records.Encode(next)}},
		},
	}
}
