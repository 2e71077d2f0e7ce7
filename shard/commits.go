package shard

import (
	"strconv"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// CommitID identifies a transaction of a shard owner in Core.CommitResult and
// Core.CommitInvalid.
type CommitID struct {
	kind  commitKind
	jobID string // for commitJob
	drain int    // for commitDrain: number of the drain
}

// commitKind is the kind of record that a transaction writes.
type commitKind int

const (
	commitInventory commitKind = iota // pages of the inventory
	commitJob                         // a job's record
	commitClaim                       // the shard's claim on disruption budgets
	commitDrain                       // a drain's record
)

// String returns the name of the transaction for logs.
func (id CommitID) String() string {
	switch id.kind {
	case commitJob:
		return "job/" + id.jobID
	case commitClaim:
		return "claim"
	case commitDrain:
		return "drain/" + strconv.Itoa(id.drain)
	default:
		return "inventory"
	}
}

// commitInTerm adds a transaction to the outbox. The transaction succeeds only while the
// owner's term is the latest term of the shard.
func (q *outbox) commitInTerm(v *fleetView, id CommitID, changes []wire.Change, conditions ...wire.Condition) {
	q.actions = append(q.actions, Commit{ID: id, Txn: wire.Txn{
		Conditions: append([]wire.Condition{{Key: records.KeyShard(v.cfg.Shard), Version: v.termVersion}}, conditions...),
		Changes:    changes,
	}})
}

// CommitInvalid records that the key-value store refused a transaction as invalid; later
// transactions of that kind are made smaller. CommitResult is called for the transaction as
// well.
func (c *Core) CommitInvalid(id CommitID) {
	switch id.kind {
	case commitInventory:
		c.shrinkPages()
	case commitJob:
		c.EnablePacking()
	case commitClaim, commitDrain: // these transactions cannot be made smaller
	}
}

// shrinkPages limits each later transaction to one page of the inventory, and limits pages to
// a size below that of the largest page that was just refused.
func (c *Core) shrinkPages() {
	c.cfg.MaxTxnOps = 1
	largest := 0
	for _, p := range c.pages {
		if p.inFlight != nil {
			largest = max(largest, p.bytes)
		}
	}
	// A page fills at most PageFillPercent of a value, so that part of the refused size is
	// smaller than the page that was refused.
	refused := min(c.cfg.SizeLimits.Next, largest)
	c.cfg.SizeLimits.Next = max(constants.MinInventoryValueBytes, refused*constants.PageFillPercent/100)
	c.setSizeLimits(c.cfg.SizeLimits)
	for _, p := range c.pages {
		c.splitOversized(&c.fleetView, p)
	}
}

// CommitResult handles the result of a transaction: its revision, or 0 if the transaction is
// not known to have been written. A compare-and-swap conflict needs no further handling,
// because the feed brings the change that caused it.
func (c *Core) CommitResult(now time.Time, id CommitID, revision uint64) {
	switch id.kind {
	case commitInventory:
		c.inventoryCommitted(now, revision)
	case commitJob:
		if j := c.jobs[id.jobID]; j != nil && revision == 0 {
			// Either the feed brings a newer version of the record, or the write is repeated.
			j.writeInFlight = false
			j.nextWriteAt = now.Add(constants.RetryBackoffMax)
			c.queueForClose(j)
		}
	case commitClaim:
		c.draining.ledger.ApplyWriteResult(now, revision)
	case commitDrain:
		c.draining.applyDrainResult(id.drain, revision)
	}
}
