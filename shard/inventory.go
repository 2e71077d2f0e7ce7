package shard

import (
	"log/slog"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/records"
	"ravenport/wire"
)

// applyPage applies a page of the inventory as it is stored in the key-value store.
func (c *Core) applyPage(now time.Time, record *records.InventoryPage, version uint64) {
	p := c.ensurePage(record.Number)
	if version <= p.version {
		return
	}
	entries := record.Machines()
	c.applyStoredPage(&c.outbox, p, entries, version)
	for i := range entries {
		c.applyEntry(now, p, &entries[i])
	}
	c.splitOversized(&c.fleetView, p)
	c.needsPlacement = true
}

// applyEntry applies one machine of a stored page.
func (c *Core) applyEntry(now time.Time, p *page, entry *records.Machine) {
	if c.isTerminated(entry.Name) && c.machines[entry.Name] == nil {
		p.dirty = true // the page was written before the machine's termination was known
		return
	}
	m := c.ensureMachine(entry.Name)
	if m.pageNumber != p.number && m.pageNumber != noPage {
		p.dirty = true // the machine was moved to another page, and the owner that moved it has ended
		return
	}
	m.pageNumber = p.number
	p.add(entry.Name)
	m.durable, m.durableAddr = true, entry.Addr
	if entry.Terminating {
		c.markDurablyTerminating(m)
	} else if m.terminationMark.decided {
		p.dirty = true // a previous version that does not know the field Terminating has dropped it
	}
	if m.addr == "" {
		m.addr = entry.Addr
	}
	if m.typeName == "" {
		m.typeName, m.spot = entry.Type, entry.Spot
		c.resolveType(m)
	}
	if m.requestedAt.IsZero() {
		m.requestedAt = requestTime(now, entry)
	}
	if m.durableAddr != m.addr && m.addr != "" {
		p.dirty = true
	}
}

// requestTime returns the time at which a machine was requested from the cloud, or now if its
// entry contains no time or one that is of no use any more.
func requestTime(now time.Time, e *records.Machine) time.Time {
	age := now.Unix() - e.RequestedS
	if e.RequestedS > 0 && age > 0 && age < 3600 {
		return now.Add(-time.Duration(age) * time.Second)
	}
	return now
}

// applyStoredPage records the durable content of a page. A machine on no durable page
// receives no task, and a machine whose entry was removed after its termination is removed
// from the known state.
func (v *fleetView) applyStoredPage(q *outbox, p *page, entries []records.Machine, version uint64) {
	p.version = version
	previous := p.storedNames
	p.storedNames = make(map[string]bool, len(entries))
	for _, e := range entries {
		p.storedNames[e.Name] = true
	}
	for name := range previous {
		if m := v.machines[name]; m != nil && m.pageNumber == p.number && !p.storedNames[name] {
			m.durable, m.durableAddr = false, ""
		}
	}
	for name := range p.names {
		if m := v.machines[name]; m != nil && m.leavingInventory && !p.storedNames[name] {
			p.remove(name)
			v.removeMachine(q, m)
		}
	}
}

// pageEntries returns the entries that a page should contain now, sorted by name.
func (k *knownState) pageEntries(p *page) []records.Machine {
	entries := []records.Machine{}
	for name := range p.names {
		m := k.machines[name]
		if m == nil || m.leavingInventory {
			continue
		}
		entries = append(entries, records.Machine{
			Name:        name,
			Type:        m.typeName,
			Spot:        m.spot,
			Addr:        m.addr,
			RequestedS:  m.requestedAt.Unix(),
			Terminating: m.terminationMark.decided,
		})
	}
	sort.Slice(entries, func(a, b int) bool { return entries[a].Name < entries[b].Name })
	return entries
}

// writeInventory writes the pages that changed. A machine receives no task before a durable
// page contains the machine with its address.
func (c *Core) writeInventory(now time.Time) {
	if c.inventoryInFlight || now.Before(c.nextInventoryWriteAt) {
		return
	}
	pages := c.pagesToWrite()
	if len(pages) == 0 {
		return
	}
	var changes []wire.Change
	var conditions []wire.Condition
	for _, p := range pages {
		entries := c.pageEntries(p)
		value := encodePage(entries)
		if len(value) > c.cfg.SizeLimits.Next && len(entries) > 1 {
			// Many machine types or long addresses take more space than was estimated. Half
			// of the machines move to another page, and this page is written after that one.
			for _, e := range entries[len(entries)/2:] {
				c.moveToOtherPage(&c.fleetView, p, e.Name)
			}
			continue
		}
		p.dirty = false
		p.inFlight = entries
		p.sentAt = now
		key := records.KeyInventory(c.cfg.Shard, p.number)
		changes = append(changes, wire.Change{Put: key, Value: value})
		conditions = append(conditions, wire.Condition{Key: key, Version: p.version})
	}
	if len(changes) == 0 {
		return
	}
	c.inventoryInFlight = true
	c.nextInventoryWriteAt = now.Add(c.inventoryWriteInterval(len(pages)))
	c.commitInTerm(&c.fleetView, CommitID{kind: commitInventory}, changes, conditions...)
}

// pagesToWrite returns the pages of the next write, those written longest ago first. With
// many small pages, those with low numbers change most and must not delay the others.
func (c *Core) pagesToWrite() []*page {
	var pages []*page
	for _, p := range c.pages {
		if p.dirty && c.isWritable(&c.fleetView, p) {
			pages = append(pages, p)
		}
	}
	sort.Slice(pages, func(a, b int) bool {
		if !pages[a].sentAt.Equal(pages[b].sentAt) {
			return pages[a].sentAt.Before(pages[b].sentAt)
		}
		return pages[a].number < pages[b].number
	})
	return pages[:min(len(pages), constants.MaxPagesPerWrite, max(1, c.cfg.MaxTxnOps))]
}

func encodePage(entries []records.Machine) []byte {
	var r records.InventoryPage
	for _, e := range entries {
		r.Add(e)
	}
	return records.Encode(r)
}

// inventoryWriteInterval returns the time until the next write after a write of the given
// number of pages. The interval keeps the inventory within its share of the key-value store's
// writes, so many boots or terminations lead to one write of a page instead of one for each
// machine.
func (o *ownership) inventoryWriteInterval(pages int) time.Duration {
	writesPerSecond := o.cfg.MaxWritesPerSecond * constants.InventoryWriteShare
	interval := time.Duration(float64(pages) / writesPerSecond * float64(time.Second))
	return max(constants.MinInventoryWriteInterval, interval)
}

// inventoryCommitted handles the result of a write of pages.
func (c *Core) inventoryCommitted(now time.Time, revision uint64) {
	c.inventoryInFlight = false
	for _, p := range c.pages {
		if p.inFlight == nil {
			continue
		}
		sent := p.inFlight
		p.inFlight = nil
		if revision == 0 {
			// If the write was carried out nevertheless, the feed brings the page, and the
			// next write is based on that version.
			p.dirty = true
			c.nextInventoryWriteAt = now.Add(constants.RetryBackoffMin)
			continue
		}
		if revision <= p.version {
			continue // the feed has already brought this version or a later one
		}
		c.applyStoredPage(&c.outbox, p, sent, revision)
		for _, e := range sent {
			if m := c.machines[e.Name]; m != nil {
				m.durable, m.durableAddr = true, e.Addr
				if e.Terminating {
					c.markDurablyTerminating(m)
				}
			}
		}
		c.needsPlacement = true
	}
}

// removeFromInventory removes a terminated machine from the inventory.
func (c *Core) removeFromInventory(m *machine) {
	if m.pageNumber == noPage {
		c.removeMachine(&c.outbox, m)
		return
	}
	m.leavingInventory = true
	p := c.pages[m.pageNumber]
	if !p.storedNames[m.name] && p.inFlight == nil {
		p.remove(m.name) // the machine was never durable
		c.removeMachine(&c.outbox, m)
		return
	}
	p.dirty = true
	slog.Debug("removing machine from inventory", logkey.Machine, m.name)
}
