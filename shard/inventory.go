package shard

import (
	"log/slog"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// applyPage takes in a page as the state service has it.
func (c *Core) applyPage(now time.Time, r *records.InventoryPage, version uint64) {
	p := c.ensurePage(r.Number)
	if version <= p.version {
		return
	}
	entries := r.Machines()
	c.applyStoredPage(&c.outbox, p, entries, version)
	for i := range entries {
		e := &entries[i]
		if _, gone := c.terminated[e.Name]; gone && c.machines[e.Name] == nil {
			p.dirty = true // written before its return was known
			continue
		}
		m := c.ensureMachine(e.Name)
		if m.pageNumber != r.Number && m.pageNumber != noPage {
			p.dirty = true // it was moved, and the owner that did it ended
			continue
		}
		m.pageNumber = r.Number
		p.add(e.Name)
		m.durable, m.durableAddr = true, e.Addr
		if e.Terminating {
			c.markClosed(m)
		} else if m.closure.decided {
			p.dirty = true // a version that does not know the mark has dropped it
		}
		if m.addr == "" {
			m.addr = e.Addr
		}
		if m.typeName == "" {
			m.typeName, m.spot = e.Type, e.Spot
			c.resolveType(m)
		}
		if m.requestedAt.IsZero() {
			m.requestedAt = now
			if age := now.Unix() - e.RequestedS; e.RequestedS > 0 && age > 0 && age < 3600 {
				m.requestedAt = now.Add(-time.Duration(age) * time.Second)
			}
		}
		if m.durableAddr != m.addr && m.addr != "" {
			p.dirty = true
		}
	}
	c.splitOversized(&c.fleetView, p)
	c.needsPlacement = true
}

// applyStoredPage notes what a page durably holds: a machine on no durable page gets no
// task, and one that left its page for good is forgotten.
func (v *fleetView) applyStoredPage(q *outbox, p *page, entries []records.Machine, version uint64) {
	p.version = version
	was := p.storedNames
	p.storedNames = make(map[string]bool, len(entries))
	for _, e := range entries {
		p.storedNames[e.Name] = true
	}
	for name := range was {
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

// pageEntries is what a page should hold now.
func (k *knownState) pageEntries(p *page) []records.Machine {
	out := []records.Machine{}
	for name := range p.names {
		m := k.machines[name]
		if m == nil || m.leavingInventory {
			continue
		}
		out = append(out, records.Machine{Name: name, Type: m.typeName, Spot: m.spot, Addr: m.addr, RequestedS: m.requestedAt.Unix(), Terminating: m.closure.decided})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// writeInventory writes the pages that changed: no machine gets a task before it
// stands there with its address.
func (c *Core) writeInventory(now time.Time) {
	if c.inventoryInFlight || now.Before(c.nextInventoryWriteAt) {
		return
	}
	var ps []*page
	for _, p := range c.pages {
		if p.dirty && c.isWritable(&c.fleetView, p) {
			ps = append(ps, p)
		}
	}
	if len(ps) == 0 {
		return
	}
	// The one written longest ago first: small pages are many, and those of low
	// numbers, which change most, must not keep the others waiting.
	sort.Slice(ps, func(a, b int) bool {
		if !ps[a].sentAt.Equal(ps[b].sentAt) {
			return ps[a].sentAt.Before(ps[b].sentAt)
		}
		return ps[a].number < ps[b].number
	})
	ps = ps[:min(len(ps), constants.MaxPagesPerWrite, max(1, c.cfg.MaxTxnOps))]
	var changes []wire.Change
	var conds []wire.Condition
	for _, p := range ps {
		entries := c.pageEntries(p)
		key := records.KeyInventory(c.cfg.Shard, p.number)
		var r records.InventoryPage
		for _, e := range entries {
			r.Add(e)
		}
		value := records.Encode(r)
		if len(value) > c.cfg.SizeLimits.Next && len(entries) > 1 {
			// Many kinds of machine or long addresses take more than was allowed
			// for: half of them go to another page, and this one waits for that.
			for _, e := range entries[len(entries)/2:] {
				c.moveToOtherPage(&c.fleetView, p, e.Name)
			}
			continue
		}
		p.dirty = false
		p.inFlight = entries
		p.sentAt = now
		changes = append(changes, wire.Change{Put: key, Value: value})
		conds = append(conds, wire.Condition{Key: key, Version: p.version})
	}
	if len(changes) == 0 {
		return
	}
	// Its share of the state service's changes, so that a wave of boots or
	// returns becomes one change of a page and not one a machine.
	c.inventoryInFlight = true
	c.nextInventoryWriteAt = now.Add(max(constants.MinInventoryWriteInterval, time.Duration(float64(len(ps))/(c.cfg.MaxWritesPerSecond*constants.InventoryWriteShare)*float64(time.Second))))
	c.commitInTerm(&c.fleetView, CommitID{kind: commitInventory}, changes, conds...)
}

// inventoryCommitted takes in what came of a write of pages.
func (c *Core) inventoryCommitted(now time.Time, revision uint64) {
	c.inventoryInFlight = false
	for _, p := range c.pages {
		if p.inFlight == nil {
			continue
		}
		sent := p.inFlight
		p.inFlight = nil
		if revision == 0 {
			// If it was carried out all the same the feed brings the page, and
			// the next write is based on that.
			p.dirty = true
			c.nextInventoryWriteAt = now.Add(constants.RetryBackoffMin)
			continue
		}
		if revision <= p.version {
			continue // the feed was faster
		}
		c.applyStoredPage(&c.outbox, p, sent, revision)
		for _, e := range sent {
			if m := c.machines[e.Name]; m != nil {
				m.durable, m.durableAddr = true, e.Addr
				if e.Terminating {
					c.markClosed(m)
				}
			}
		}
		c.needsPlacement = true
	}
}

// removeFromInventory takes a returned machine off the inventory.
func (c *Core) removeFromInventory(m *machine) {
	if m.pageNumber == noPage {
		c.removeMachine(&c.outbox, m)
		return
	}
	m.leavingInventory = true
	p := c.pages[m.pageNumber]
	if !p.storedNames[m.name] && p.inFlight == nil {
		p.remove(m.name) // it never stood there
		c.removeMachine(&c.outbox, m)
		return
	}
	p.dirty = true
	slog.Debug("leaving the inventory", "machine", m.name)
}
