package constants

import "time"

// Pages of the durable inventory, and writes of assignments.
const (
	// MinInventoryWriteInterval is the least time between two writes of the inventory, and
	// InventoryWriteShare the part of the key-value store's writes that one shard's pages
	// may use: a new machine waits for its page.
	MinInventoryWriteInterval = 250 * time.Millisecond
	InventoryWriteShare       = 0.1
	// MaxPagesPerWrite bounds the pages in one such write (pages).
	MaxPagesPerWrite = 3
	// InventoryEntryBytes is what a machine takes of a page beside its name: an
	// address and punctuation (bytes).
	InventoryEntryBytes = 30
	// PageFillPercent is how much of a value a page may take (percent).
	PageFillPercent = 90
	// MinInventoryValueBytes is the smallest value that the inventory's pages are sized
	// for when the key-value store refuses one (bytes): a few machines.
	MinInventoryValueBytes = 512
	// AssignmentCloseDelay is how long finished assignments wait for the job's others in
	// the shard, to be recorded with them. Capacity within a team's limit is free
	// that much later.
	AssignmentCloseDelay = 3 * time.Second
)
