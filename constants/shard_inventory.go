package constants

import "time"

// Pages of the durable inventory, and writes of assignments.
const (
	// MinInventoryWriteInterval is the least time between two writes of the inventory, and
	// InventoryWriteShare is the part of the key-value store's write rate limit that the
	// pages of one shard may use. A new machine waits until its page is written.
	MinInventoryWriteInterval = 250 * time.Millisecond
	InventoryWriteShare       = 0.1
	// MaxPagesPerWrite bounds the pages in one write of the inventory (pages).
	MaxPagesPerWrite = 3
	// InventoryEntryBytes is the space that a machine takes in a page in addition to its
	// name: an address and punctuation (bytes).
	InventoryEntryBytes = 30
	// PageFillPercent is the part of a value's size limit that a page may fill (percent).
	PageFillPercent = 90
	// MinInventoryValueBytes is the smallest value size for which the inventory's pages are
	// planned when the key-value store refuses a page (bytes): it fits a few machines.
	MinInventoryValueBytes = 512
	// AssignmentCloseDelay is how long finished assignments wait for the job's others in the
	// shard, so that all are recorded in one write. Capacity within a team's limit becomes
	// free that much later.
	AssignmentCloseDelay = 3 * time.Second
)
