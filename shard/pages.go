package shard

import (
	"maps"
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/records"
)

// noPage is the page of a machine that is on none.
const noPage = -1

// page is one page of the shard's inventory. It is written as a whole, one write
// at a time, so that a rental or a wave of boots costs a change or two and not
// one for each machine.
type page struct {
	number      int
	version     uint64
	names       map[string]bool // machines that belong on it
	bytes       int             // what they take of it, at most
	storedNames map[string]bool // machines that the durable page names
	dirty       bool
	inFlight    []records.Machine // content of the write under way

	sentAt time.Time // when it was last sent
}

func (p *page) add(name string) {
	if !p.names[name] {
		p.names[name] = true
		p.bytes += entryBytes(name)
	}
}

func (p *page) remove(name string) {
	if p.names[name] {
		delete(p.names, name)
		p.bytes -= entryBytes(name)
	}
}

// entryBytes is what a machine takes of a page.
func entryBytes(name string) int { return len(name) + constants.InventoryEntryBytes }

// inventoryPages is the inventory's pages and the write of them that is under way.
type inventoryPages struct {
	maxPageBytes         int // bytes that the entries of a page may take
	pages                map[int]*page
	inventoryInFlight    bool      // a write of pages is under way
	nextInventoryWriteAt time.Time // when the next one may be sent
}

func newInventoryPages(sizes records.SizeLimits) inventoryPages {
	b := inventoryPages{pages: map[int]*page{}}
	b.setSizeLimits(sizes)
	return b
}

// setSizeLimits has pages written so that they fit what the state service takes.
func (b *inventoryPages) setSizeLimits(sizes records.SizeLimits) {
	b.maxPageBytes = sizes.Next * constants.PageFillPercent / 100
}

func (b *inventoryPages) ensurePage(n int) *page {
	p := b.pages[n]
	if p == nil {
		p = &page{number: n, names: map[string]bool{}, storedNames: map[string]bool{}}
		b.pages[n] = p
	}
	return p
}

// enroll gives a machine a place in the inventory.
func (b *inventoryPages) enroll(m *machine) {
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

// splitOversized moves machines off a page that is larger than a value may be: the version
// before, with larger limits, may have left it, at any takeover.
func (b *inventoryPages) splitOversized(v *fleetView, p *page) {
	most := b.maxPageBytes
	if p.bytes <= most {
		return
	}
	names := slices.Sorted(maps.Keys(p.names))
	for len(names) > 1 && p.bytes > most {
		b.moveToOtherPage(v, p, names[len(names)-1])
		names = names[:len(names)-1]
	}
}

// moveToOtherPage gives a machine a place on another page. Until it stands there durably
// its old page is not written, so it is never on none.
func (b *inventoryPages) moveToOtherPage(v *fleetView, p *page, name string) {
	m := v.machines[name]
	p.remove(name)
	p.dirty = true
	m.pageNumber = noPage
	b.enroll(m)
}

// isWritable says whether all machines that a page has lost stand durably on
// theirs.
func (b *inventoryPages) isWritable(v *fleetView, p *page) bool {
	for name := range p.storedNames {
		if m := v.machines[name]; m != nil && m.pageNumber != p.number && m.pageNumber != noPage && !b.pages[m.pageNumber].storedNames[name] {
			return false
		}
	}
	return true
}
