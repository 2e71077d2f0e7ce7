package shard

import (
	"maps"
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/records"
)

// noPage is the page number of a machine that is on no page.
const noPage = -1

// page is one page of the shard's inventory. A page is written as a whole, one write at a
// time, so that a scale out or many boots at once cost one or two writes instead of one for
// each machine.
type page struct {
	number      int
	version     uint64            // version of the page's record
	names       map[string]bool   // machines that belong on the page
	bytes       int               // upper bound on the size of their entries
	storedNames map[string]bool   // machines on the durable page
	dirty       bool              // the page differs from the durable page
	inFlight    []records.Machine // entries of the write in flight; nil: no write is in flight
	sentAt      time.Time         // time of the last write
}

// add puts a machine on the page.
func (p *page) add(name string) {
	if !p.names[name] {
		p.names[name] = true
		p.bytes += entryBytes(name)
	}
}

// remove takes a machine off the page.
func (p *page) remove(name string) {
	if p.names[name] {
		delete(p.names, name)
		p.bytes -= entryBytes(name)
	}
}

// entryBytes returns an upper bound on the size of a machine's entry on a page.
func entryBytes(name string) int { return len(name) + constants.InventoryEntryBytes }

// inventoryPages holds the pages of the shard's inventory and whether a write of pages is in
// flight. applyPage, writeInventory and inventoryCommitted bring the pages in line with the
// key-value store.
type inventoryPages struct {
	maxPageBytes         int // limit on the size of the entries of a page
	pages                map[int]*page
	inventoryInFlight    bool      // a write of pages is in flight
	nextInventoryWriteAt time.Time // earliest time of the next write
}

func newInventoryPages(sizes records.SizeLimits) inventoryPages {
	b := inventoryPages{pages: map[int]*page{}}
	b.setSizeLimits(sizes)
	return b
}

// setSizeLimits derives the size of pages from the largest value that the key-value store
// accepts.
func (b *inventoryPages) setSizeLimits(sizes records.SizeLimits) {
	b.maxPageBytes = sizes.Next * constants.PageFillPercent / 100
}

// ensurePage returns the page with the given number. A page that does not exist is added.
func (b *inventoryPages) ensurePage(n int) *page {
	p := b.pages[n]
	if p == nil {
		p = &page{number: n, names: map[string]bool{}, storedNames: map[string]bool{}}
		b.pages[n] = p
	}
	return p
}

// addToInventory puts a machine on the first page with enough space. If the machine is on a
// page already, that page is written again.
func (b *inventoryPages) addToInventory(m *machine) {
	if m.pageNumber != noPage {
		b.pages[m.pageNumber].dirty = true
		return
	}
	for n := 0; ; n++ {
		p := b.ensurePage(n)
		if len(p.names) == 0 || p.bytes+entryBytes(m.name) <= b.maxPageBytes {
			m.pageNumber = n
			p.add(m.name)
			p.dirty = true
			return
		}
	}
}

// splitOversized moves machines off a page that is larger than a value may be. An owner of
// the previous version, with larger limits, may have written such a page.
func (b *inventoryPages) splitOversized(v *fleetView, p *page) {
	if p.bytes <= b.maxPageBytes {
		return
	}
	names := slices.Sorted(maps.Keys(p.names))
	for len(names) > 1 && p.bytes > b.maxPageBytes {
		b.moveToOtherPage(v, p, names[len(names)-1])
		names = names[:len(names)-1]
	}
}

// moveToOtherPage moves a machine to another page. The old page is not written until the new
// page is durable, so the machine is on a durable page at all times.
func (b *inventoryPages) moveToOtherPage(v *fleetView, p *page, name string) {
	m := v.machines[name]
	p.remove(name)
	p.dirty = true
	m.pageNumber = noPage
	b.addToInventory(m)
}

// isWritable reports whether all machines that were moved off a page are durably on their new
// pages.
func (b *inventoryPages) isWritable(v *fleetView, p *page) bool {
	for name := range p.storedNames {
		if m := v.machines[name]; m != nil && m.pageNumber != p.number && m.pageNumber != noPage && !b.pages[m.pageNumber].storedNames[name] {
			return false
		}
	}
	return true
}
