package controller

import (
	"context"
	"log/slog"
	"time"

	"ravenport/apiserver"
	"ravenport/records"
	"ravenport/wire"
)

// applyUpdate applies changes from the feed and forwards them to the other actors.
func (c *controlActor) applyUpdate(ctx context.Context, now time.Time, update records.Update) {
	for _, change := range update.Changes {
		c.applyChange(now, change)
	}
	c.enablePacking()
	c.feed.revision = update.Revision
	c.lastStoreContact = now
	if !c.feed.synced {
		c.feed.synced = true
		slog.Info("feed has read the key-value store", "revision", update.Revision, "jobs", len(c.feed.jobs))
	}
	c.apiServer.Tell(update)
	c.tellOwners(update)
	c.tellLeader(update)
	c.reconcileRoles(ctx, now)
	c.advanceFreshness()
}

// applyChange applies a change to the state of the control actor.
func (c *controlActor) applyChange(now time.Time, change records.Change) {
	c.member.Apply(now, change)
	c.drains.apply(change)
	switch record := change.Record.(type) {
	case *records.Job:
		if record.End == wire.JobCancelled {
			c.cancellations.add(record.ID, change.Version)
		}
		c.feed.applyJob(record, change.Version)
	case *records.Revocation:
		c.applyRevocation(now, record)
	case *records.InventoryPage:
		c.feed.applyPage(change.Key, record, change.Version)
	case nil:
		delete(c.feed.inventory, change.Key)
		delete(c.feed.inventoryVersions, change.Key)
	}
}

// applyJob stores a job, or removes it if the job has ended and all its assignments are
// closed.
func (f *feedState) applyJob(job *records.Job, version uint64) {
	if job.End != "" && job.AllAssignmentsClosed() {
		delete(f.jobs, job.ID)
		delete(f.jobVersions, job.ID)
		return
	}
	f.jobs[job.ID] = job
	f.jobVersions[job.ID] = version
}

// applyPage replaces a page of a shard's inventory.
func (f *feedState) applyPage(key string, page *records.InventoryPage, version uint64) {
	if old := f.inventory[key]; old != nil {
		for _, machine := range old.Machines() {
			delete(f.shardByMachine, machine.Name)
		}
	}
	for _, machine := range page.Machines() {
		f.shardByMachine[machine.Name] = page.Shard
	}
	f.inventory[key] = page
	f.inventoryVersions[key] = version
}

// enablePacking allows all actors to write packed records once every controller is able to
// read them.
func (c *controlActor) enablePacking() {
	if c.feed.packing || !c.member.AllReadPacked() {
		return
	}
	c.feed.packing = true
	slog.Info("every controller has this version")
	c.apiServer.Tell(apiserver.PackingEnabled{})
	c.tellOwners(packingEnabled{})
	c.tellLeader(packingEnabled{})
}

// inventoryOf returns the pages of a shard's inventory and their versions, by key.
func (f *feedState) inventoryOf(shard string) (map[string]*records.InventoryPage, map[string]uint64) {
	pages := map[string]*records.InventoryPage{}
	versions := map[string]uint64{}
	for key, page := range f.inventory {
		if page.Shard == shard {
			pages[key] = page
			versions[key] = f.inventoryVersions[key]
		}
	}
	return pages, versions
}
