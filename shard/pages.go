package shard

import (
	"maps"
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/records"
)

// pageless is the page of a machine that is on none.
const pageless = -1

// page is one page of the shard's inventory. It is written as a whole, one write
// at a time, so that a rental or a wave of boots costs a change or two and not
// one for each machine.
type page struct {
	number  int
	version uint64
	names   map[string]bool // machines that belong on it
	bytes   int             // what they take of it, at most
	stored  map[string]bool // machines that the durable page names
	dirty   bool
	sent    []records.Machine // content of the write under way

	writtenAt time.Time // when it was last sent
}

func (p *page) put(name string) {
	if !p.names[name] {
		p.names[name] = true
		p.bytes += entryBytes(name)
	}
}

func (p *page) drop(name string) {
	if p.names[name] {
		delete(p.names, name)
		p.bytes -= entryBytes(name)
	}
}

// entryBytes is what a machine takes of a page.
func entryBytes(name string) int { return len(name) + constants.InventoryEntryBytes }

// pageBook is the inventory's pages and the write of them that is under way.
type pageBook struct {
	entriesMost   int // bytes that the entries of a page may take
	pages         map[int]*page
	inventoryBusy bool      // a write of pages is under way
	inventoryNext time.Time // when the next one may be sent
}

func newPageBook(sizes records.SizeLimits) pageBook {
	b := pageBook{pages: map[int]*page{}}
	b.limit(sizes)
	return b
}

// limit has pages written so that they fit what the state service takes.
func (b *pageBook) limit(sizes records.SizeLimits) {
	b.entriesMost = sizes.Next * constants.PageFill / 100
}

func (b *pageBook) page(n int) *page {
	p := b.pages[n]
	if p == nil {
		p = &page{number: n, names: map[string]bool{}, stored: map[string]bool{}}
		b.pages[n] = p
	}
	return p
}

// enrol gives a machine a place in the inventory.
func (b *pageBook) enrol(m *machine) {
	if m.pageNumber != pageless {
		b.pages[m.pageNumber].dirty = true
		return
	}
	for n := 0; ; n++ {
		p := b.page(n)
		if len(p.names) == 0 || p.bytes+entryBytes(m.name) <= b.entriesMost {
			m.pageNumber = n
			p.put(m.name)
			p.dirty = true
			return
		}
	}
}

// split moves machines off a page that is larger than a value may be: the version
// before, with larger limits, may have left it, at any takeover.
func (b *pageBook) split(v *fleetView, p *page) {
	most := b.entriesMost
	if p.bytes <= most {
		return
	}
	names := slices.Sorted(maps.Keys(p.names))
	for len(names) > 1 && p.bytes > most {
		b.moveOff(v, p, names[len(names)-1])
		names = names[:len(names)-1]
	}
}

// moveOff gives a machine a place on another page. Until it stands there durably
// its old page is not written, so it is never on none.
func (b *pageBook) moveOff(v *fleetView, p *page, name string) {
	m := v.machines[name]
	p.drop(name)
	p.dirty = true
	m.pageNumber = pageless
	b.enrol(m)
}

// writable says whether all machines that a page has lost stand durably on
// theirs.
func (b *pageBook) writable(v *fleetView, p *page) bool {
	for name := range p.stored {
		if m := v.machines[name]; m != nil && m.pageNumber != p.number && m.pageNumber != pageless && !b.pages[m.pageNumber].stored[name] {
			return false
		}
	}
	return true
}
