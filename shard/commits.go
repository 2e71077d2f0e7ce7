package shard

import (
	"strings"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// commitInTerm gathers a transaction that holds only while the term stands.
func (q *outbox) commitInTerm(v *fleetView, id string, changes []wire.Change, conds ...wire.Condition) {
	q.actions = append(q.actions, Commit{ID: id, Txn: wire.Txn{
		Conditions: append([]wire.Condition{{Key: records.KeyShard(v.cfg.Shard), Version: v.termVersion}}, conds...),
		Changes:    changes,
	}})
}

// CommitInvalid takes note that the state service found fault with a write: smaller
// ones follow.
func (c *Core) CommitInvalid(id string) {
	switch kind, _, _ := strings.Cut(id, "/"); kind {
	case "roster":
	case commitClaim, commitDrain:
		return // nothing of them can be made smaller
	default:
		c.EnablePacking()
		return
	}
	c.cfg.MaxTxnOps = 1
	largest := 0
	for _, p := range c.pages {
		if p.inFlight != nil {
			largest = max(largest, p.bytes)
		}
	}
	// Pages are of 90% of a value at most, so nine tenths of it are a smaller one.
	c.cfg.SizeLimits.Next = max(constants.MinInventoryValueBytes, min(c.cfg.SizeLimits.Next, largest)*constants.PageFillPercent/100)
	c.setSizeLimits(c.cfg.SizeLimits)
	for _, p := range c.pages {
		c.splitOversized(&c.fleetView, p)
	}
}

// CommitResult takes in what came of a transaction. A conflict needs nothing: the
// feed brings the change that caused it.
func (c *Core) CommitResult(now time.Time, id string, revision uint64) {
	kind, rest, _ := strings.Cut(id, "/")
	switch kind {
	case "roster":
		c.inventoryCommitted(now, revision)
	case "job":
		if j := c.jobs[rest]; j != nil && revision == 0 {
			// Either the feed will bring a newer version, or the write is
			// tried again.
			j.writeInFlight = false
			j.nextWriteAt = now.Add(constants.RetryBackoffMax)
			c.queueForClose(j)
		}
	default:
		c.draining.applyCommitResult(now, kind, rest, revision)
	}
}
