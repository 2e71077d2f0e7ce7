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
	p := c.page(r.Number)
	if version <= p.version {
		return
	}
	entries := r.Machines()
	c.stored(&c.outgoing, p, entries, version)
	for i := range entries {
		e := &entries[i]
		if _, gone := c.gone[e.Name]; gone && c.machines[e.Name] == nil {
			p.dirty = true // written before its return was known
			continue
		}
		m := c.ensureMachine(e.Name)
		if m.pageNumber != r.Number && m.pageNumber != pageless {
			p.dirty = true // it was moved, and the owner that did it ended
			continue
		}
		m.pageNumber = r.Number
		p.put(e.Name)
		m.durable, m.durableAddr = true, e.Addr
		if e.Terminating {
			c.noteClosed(m)
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
	c.split(&c.fleetView, p)
	c.needsPlacement = true
}

// stored notes what a page durably holds: a machine on no durable page gets no
// task, and one that left its page for good is forgotten.
func (v *fleetView) stored(q *outgoing, p *page, entries []records.Machine, version uint64) {
	p.version = version
	was := p.stored
	p.stored = make(map[string]bool, len(entries))
	for _, e := range entries {
		p.stored[e.Name] = true
	}
	for name := range was {
		if m := v.machines[name]; m != nil && m.pageNumber == p.number && !p.stored[name] {
			m.durable, m.durableAddr = false, ""
		}
	}
	for name := range p.names {
		if m := v.machines[name]; m != nil && m.leavingInventory && !p.stored[name] {
			p.drop(name)
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

// inventory writes the pages that changed: no machine gets a task before it
// stands there with its address.
func (c *Core) inventory(now time.Time) {
	if c.inventoryBusy || now.Before(c.inventoryNext) {
		return
	}
	var ps []*page
	for _, p := range c.pages {
		if p.dirty && c.writable(&c.fleetView, p) {
			ps = append(ps, p)
		}
	}
	if len(ps) == 0 {
		return
	}
	// The one written longest ago first: small pages are many, and those of low
	// numbers, which change most, must not keep the others waiting.
	sort.Slice(ps, func(a, b int) bool {
		if !ps[a].writtenAt.Equal(ps[b].writtenAt) {
			return ps[a].writtenAt.Before(ps[b].writtenAt)
		}
		return ps[a].number < ps[b].number
	})
	ps = ps[:min(len(ps), constants.InventoryPages, max(1, c.cfg.TxnOps))]
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
				c.moveOff(&c.fleetView, p, e.Name)
			}
			continue
		}
		p.dirty = false
		p.sent = entries
		p.writtenAt = now
		changes = append(changes, wire.Change{Put: key, Value: value})
		conds = append(conds, wire.Condition{Key: key, Version: p.version})
	}
	if len(changes) == 0 {
		return
	}
	// Its share of the state service's changes, so that a wave of boots or
	// returns becomes one change of a page and not one a machine.
	c.inventoryBusy = true
	c.inventoryNext = now.Add(max(constants.InventoryGap, time.Duration(float64(len(ps))/(c.cfg.WriteRPS*constants.InventoryShare)*float64(time.Second))))
	c.commit(&c.fleetView, "roster/", changes, conds...)
}

// inventoryWritten takes in what came of a write of pages.
func (c *Core) inventoryWritten(now time.Time, revision uint64) {
	c.inventoryBusy = false
	for _, p := range c.pages {
		if p.sent == nil {
			continue
		}
		sent := p.sent
		p.sent = nil
		if revision == 0 {
			// If it was carried out all the same the feed brings the page, and
			// the next write is based on that.
			p.dirty = true
			c.inventoryNext = now.Add(constants.RetryBackoffMin)
			continue
		}
		if revision <= p.version {
			continue // the feed was faster
		}
		c.stored(&c.outgoing, p, sent, revision)
		for _, e := range sent {
			if m := c.machines[e.Name]; m != nil {
				m.durable, m.durableAddr = true, e.Addr
				if e.Terminating {
					c.noteClosed(m)
				}
			}
		}
		c.needsPlacement = true
	}
}

// leaveInventory takes a returned machine off the inventory.
func (c *Core) leaveInventory(m *machine) {
	if m.pageNumber == pageless {
		c.removeMachine(&c.outgoing, m)
		return
	}
	m.leavingInventory = true
	p := c.pages[m.pageNumber]
	if !p.stored[m.name] && p.sent == nil {
		p.drop(m.name) // it never stood there
		c.removeMachine(&c.outgoing, m)
		return
	}
	p.dirty = true
	slog.Debug("leaving the inventory", "machine", m.name)
}
