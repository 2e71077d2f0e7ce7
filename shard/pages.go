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

// page is one page of the shard's inventory. It is written as a whole, one write at a time,
// so that a scale out or many boots at once cost one or two writes and not one for each
// machine.
type page struct {
	number      int
	version     uint64            // of its record
	names       map[string]bool   // machines that belong on it
	bytes       int               // what their entries take of it, at most
	storedNames map[string]bool   // machines that the durable page names
	dirty       bool              // it differs from the durable page
	inFlight    []records.Machine // content of the write in flight; nil: none is
	sentAt      time.Time         // when it was last written
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

// entryBytes is the size of a machine's entry on a page, at most.
func entryBytes(name string) int { return len(name) + constants.InventoryEntryBytes }

// inventoryPages owns the pages of the shard's inventory and the write of them that is in
// flight. applyPage, writeInventory and inventoryCommitted bring them in line with the store.
type inventoryPages struct {
	maxPageBytes         int // limit on the entries of a page
	pages                map[int]*page
	inventoryInFlight    bool      // a write of pages is in flight
	nextInventoryWriteAt time.Time // when the next write may begin
}

func newInventoryPages(sizes records.SizeLimits) inventoryPages {
	b := inventoryPages{pages: map[int]*page{}}
	b.setSizeLimits(sizes)
	return b
}

// setSizeLimits sizes the pages by what the key-value store accepts as a value.
func (b *inventoryPages) setSizeLimits(sizes records.SizeLimits) {
	b.maxPageBytes = sizes.Next * constants.PageFillPercent / 100
}

// ensurePage returns the page with a number, which it adds if there is none.
func (b *inventoryPages) ensurePage(n int) *page {
	p := b.pages[n]
	if p == nil {
		p = &page{number: n, names: map[string]bool{}, storedNames: map[string]bool{}}
		b.pages[n] = p
	}
	return p
}

// addToInventory puts a machine on the first page with space, or has its page written again.
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

// splitOversized moves machines off a page that is larger than a value may be: an owner of
// the previous version, with larger limits, may have written it.
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

// moveToOtherPage moves a machine to another page. Until that page is durable, the old one is
// not written, so the machine is always on a durable page.
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
