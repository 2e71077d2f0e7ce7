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
	jobID string // of commitJob
	drain int    // of commitDrain: the drain's number
}

// commitKind is what a transaction writes.
type commitKind int

const (
	commitInventory commitKind = iota // pages of the inventory
	commitJob                         // a job's record
	commitClaim                       // the shard's claim on disruption budgets
	commitDrain                       // a drain's record
)

// String names the transaction in logs.
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

// commitInTerm adds a transaction to the outbox that succeeds only while the owner's term
// is the shard's latest.
func (q *outbox) commitInTerm(v *fleetView, id CommitID, changes []wire.Change, conditions ...wire.Condition) {
	q.actions = append(q.actions, Commit{ID: id, Txn: wire.Txn{
		Conditions: append([]wire.Condition{{Key: records.KeyShard(v.cfg.Shard), Version: v.termVersion}}, conditions...),
		Changes:    changes,
	}})
}

// CommitInvalid records that the key-value store refused a transaction as invalid: the next
// ones are smaller. CommitResult is called for the transaction as well.
func (c *Core) CommitInvalid(id CommitID) {
	switch id.kind {
	case commitInventory:
		c.shrinkPages()
	case commitJob:
		c.EnablePacking()
	case commitClaim, commitDrain: // they cannot be made smaller
	}
}

// shrinkPages writes one page of the inventory in a transaction from now on, and smaller
// ones than the largest that was just refused.
func (c *Core) shrinkPages() {
	c.cfg.MaxTxnOps = 1
	largest := 0
	for _, p := range c.pages {
		if p.inFlight != nil {
			largest = max(largest, p.bytes)
		}
	}
	// A page fills PageFillPercent of a value at most: that part of it is smaller.
	refused := min(c.cfg.SizeLimits.Next, largest)
	c.cfg.SizeLimits.Next = max(constants.MinInventoryValueBytes, refused*constants.PageFillPercent/100)
	c.setSizeLimits(c.cfg.SizeLimits)
	for _, p := range c.pages {
		c.splitOversized(&c.fleetView, p)
	}
}

// CommitResult handles the result of a transaction: its revision, or 0 if it is not known to
// have been written. A compare-and-swap conflict needs nothing more: the feed brings the
// change that caused it.
func (c *Core) CommitResult(now time.Time, id CommitID, revision uint64) {
	switch id.kind {
	case commitInventory:
		c.inventoryCommitted(now, revision)
	case commitJob:
		if j := c.jobs[id.jobID]; j != nil && revision == 0 {
			// Either the feed will bring a newer version, or the write is
			// tried again.
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
