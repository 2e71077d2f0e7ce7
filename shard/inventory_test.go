package shard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ravenport/records"
	"ravenport/wire"
)

// A page that the version before left, larger than values will be, is brought
// under the limit by writes of any small number of pages, and at each moment every
// machine is on a durable page; also where the owner that did it ends half way.
func TestLargePageIsSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pages := map[string]*records.InventoryPage{}
		versions := map[string]uint64{}
		names := map[string]bool{}
		for p := range rapid.IntRange(1, 3).Draw(t, "pages") {
			pg := &records.InventoryPage{Shard: "a", Number: p}
			for i := range rapid.IntRange(1, 190).Draw(t, "machines") {
				name := fmt.Sprintf("m-%06d", 1000*p+i)
				names[name] = true
				pg.Add(records.Machine{Name: name, Type: "box", Addr: "10.1.200.232:9000"})
			}
			pages[records.KeyInventory("a", p)], versions[records.KeyInventory("a", p)] = pg, uint64(10+p)
		}
		limit := rapid.SampledFrom([]int{1024, 2048, 4096}).Draw(t, "limit")
		rev := uint64(100)
		for term := uint64(5); term < 9; term++ {
			r := newTestOwner(nil)
			cfg := r.cfg
			cfg.SizeLimits, cfg.MaxTxnOps = records.SizeLimits{Current: 8192, Next: limit}, rapid.IntRange(1, 4).Draw(t, "ops")
			now := r.now
			c := New(cfg, now, Snapshot{Term: term, TermVersion: 50, MachineTypes: []wire.MachineType{{Name: "box", CPUs: 8, MemoryGB: 32, Zones: []string{"a"}}}, Inventory: pages, InventoryVersions: versions})
			c.SetAuthority(now.Add(time.Hour))
			steps := 400
			if term < 8 {
				steps = rapid.IntRange(0, 40).Draw(t, "steps")
			}
			for range steps {
				now = now.Add(300 * time.Millisecond)
				c.fleetScans.last = now // nobody reports: nothing is to be given up for it
				for _, a := range c.Step(now) {
					cm, ok := a.(Commit)
					if !ok {
						continue
					}
					if len(cm.Txn.Changes) > cfg.MaxTxnOps {
						t.Fatalf("%d changes where %d are allowed", len(cm.Txn.Changes), cfg.MaxTxnOps)
					}
					rev++
					for _, ch := range cm.Txn.Changes {
						if len(ch.Value) > limit {
							t.Fatalf("a page of %d bytes", len(ch.Value))
						}
						rec, err := records.Decode(ch.Put, ch.Value)
						if err != nil {
							t.Fatal(err)
						}
						pages[ch.Put], versions[ch.Put] = rec.(*records.InventoryPage), rev
					}
					on := map[string]bool{}
					for _, p := range pages {
						for _, m := range p.Machines() {
							on[m.Name] = true
						}
					}
					if len(on) != len(names) {
						t.Fatalf("%d of %d machines on durable pages", len(on), len(names))
					}
					if rapid.Bool().Draw(t, "answered") {
						c.CommitResult(now, cm.ID, rev)
					} else {
						c.CommitResult(now, cm.ID, 0)
						for _, ch := range cm.Txn.Changes {
							c.Apply(now, records.Change{Key: ch.Put, Version: rev, Record: pages[ch.Put]})
						}
					}
				}
			}
		}
		total := 0
		for key, p := range pages {
			total += len(p.Machines())
			if n := len(records.Encode(p)); n > limit {
				t.Fatalf("%s still takes %d bytes", key, n)
			}
		}
		if total != len(names) {
			t.Fatalf("%d entries for %d machines", total, len(names))
		}
	})
}
