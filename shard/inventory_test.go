package shard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ravenport/records"
	"ravenport/wire"
)

// A page of the previous version that is larger than the new limit on values is split by
// writes of any small number of pages. At each moment every machine is on a durable page,
// also if the owner that splits the page ends before the split is complete.
func TestLargePageIsSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pages := map[string]*records.InventoryPage{}
		versions := map[string]uint64{}
		names := map[string]bool{}
		for number := range rapid.IntRange(1, 3).Draw(t, "pages") {
			record := &records.InventoryPage{Shard: "a", Number: number}
			for i := range rapid.IntRange(1, 190).Draw(t, "machines") {
				name := fmt.Sprintf("m-%06d", 1000*number+i)
				names[name] = true
				record.Add(records.Machine{Name: name, Type: "box", Addr: "10.1.200.232:9000"})
			}
			pages[records.KeyInventory("a", number)], versions[records.KeyInventory("a", number)] = record, uint64(10+number)
		}
		limit := rapid.SampledFrom([]int{1024, 2048, 4096}).Draw(t, "limit")
		revision := uint64(100)
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
				c.fleetScans.last = now // no machine sends heartbeats; without scans of the fleet no lease expires
				for _, a := range c.Step(now) {
					commit, ok := a.(Commit)
					if !ok {
						continue
					}
					if len(commit.Txn.Changes) > cfg.MaxTxnOps {
						t.Fatalf("%d changes in a transaction, %d are allowed", len(commit.Txn.Changes), cfg.MaxTxnOps)
					}
					revision++
					for _, ch := range commit.Txn.Changes {
						if len(ch.Value) > limit {
							t.Fatalf("a page has %d bytes, more than the limit", len(ch.Value))
						}
						record, err := records.Decode(ch.Put, ch.Value)
						if err != nil {
							t.Fatal(err)
						}
						pages[ch.Put], versions[ch.Put] = record.(*records.InventoryPage), revision
					}
					durable := map[string]bool{}
					for _, p := range pages {
						for _, m := range p.Machines() {
							durable[m.Name] = true
						}
					}
					if len(durable) != len(names) {
						t.Fatalf("%d of %d machines are on durable pages", len(durable), len(names))
					}
					if rapid.Bool().Draw(t, "answered") {
						c.CommitResult(now, commit.ID, revision)
					} else {
						c.CommitResult(now, commit.ID, 0)
						for _, ch := range commit.Txn.Changes {
							c.Apply(now, records.Change{Key: ch.Put, Version: revision, Record: pages[ch.Put]})
						}
					}
				}
			}
		}
		total := 0
		for key, p := range pages {
			total += len(p.Machines())
			if n := len(records.Encode(p)); n > limit {
				t.Fatalf("%s still has %d bytes", key, n)
			}
		}
		if total != len(names) {
			t.Fatalf("the pages have %d entries for %d machines", total, len(names))
		}
	})
}
