package constants

import "time"

// Pages of the durable inventory, and writes of assignments.
const (
	// InventoryGap is the least time between two writes of the inventory, and
	// InventoryShare the part of the state service's changes that one shard's pages
	// may use: a new machine waits for its page.
	InventoryGap   = 250 * time.Millisecond
	InventoryShare = 0.1
	// InventoryPages bounds the pages in one such write (pages).
	InventoryPages = 3
	// InventoryEntryBytes is what a machine takes of a page beside its name: an
	// address and signs (bytes).
	InventoryEntryBytes = 30
	// PageFill is how much of a value a page may take (percent).
	PageFill = 90
	// LeastValue is the smallest value that the inventory's pages are made for when
	// the state service finds fault with one (bytes): a few machines.
	LeastValue = 512
	// CloseWait is how long assignments that are over wait for the job's others in
	// the shard, to be recorded with them. Room within a team's limit is free
	// that much later.
	CloseWait = 3 * time.Second
)
