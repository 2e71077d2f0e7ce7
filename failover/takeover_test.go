package failover

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ravenport/internal/testseed"
)

// Every order has each controller once, the shard's own zone first and whoever
// should be asked last at the end; it depends on nothing but the fleet.
func TestOrderIsCompleteAndRanked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "zones")]
		f := Candidates{Zones: zones}
		shards, last := map[string]int{}, map[string]bool{}
		for i := range rapid.IntRange(1, 9).Draw(t, "controllers") {
			c := Controller{Name: fmt.Sprintf("n-%d", i), Zone: rapid.SampledFrom(zones).Draw(t, "zone")}
			f.Controllers = append(f.Controllers, c)
			shards[c.Name] = rapid.IntRange(0, 3).Draw(t, "shards")
			last[c.Name] = rapid.IntRange(0, 4).Draw(t, "last") == 0
		}
		f.OwnedShards = func(name string) int { return shards[name] }
		f.Deprioritized = func(name string) bool { return last[name] }
		for _, term := range []Role{{Leader: true}, {Zone: zones[0]}, {Zone: zones[len(zones)-1]}} {
			order := f.Ranked(term)
			if again := f.Ranked(term); !slices.Equal(order, again) {
				t.Fatalf("two orders: %v, %v", order, again)
			}
			if len(order) != len(f.Controllers) {
				t.Fatalf("%v of %v", order, f.Controllers)
			}
			for i := 1; i < len(order); i++ {
				a, b := order[i-1], order[i]
				switch {
				case last[a.Name] && !last[b.Name]:
					t.Fatalf("%s comes before %s: %v", a.Name, b.Name, order)
				case term.Leader || last[a.Name] != last[b.Name]:
				case a.Zone != term.Zone && b.Zone == term.Zone:
					t.Fatalf("the own zone comes second: %v", order)
				case a.Zone != term.Zone && shards[a.Name] > shards[b.Name]:
					t.Fatalf("the one with more shards comes first: %v of %v", order, shards)
				}
			}
		}
	})
}

// A controller claims one orphaned shard at a time.
func TestPace(t *testing.T) {
	p := Pacer{MinInterval: time.Second}
	now := time.Unix(0, 0)
	if !p.IsReady(now) {
		t.Error("the first must wait")
	}
	p.Record(now)
	if p.IsReady(now.Add(999*time.Millisecond)) || !p.IsReady(now.Add(time.Second)) {
		t.Error("the gap is not kept")
	}
	free := Pacer{}
	free.Record(now)
	if !free.IsReady(now) {
		t.Error("without a gap it must wait")
	}
}

// The place among the live ones decides how long a controller waits.
func TestPosition(t *testing.T) {
	order := []Controller{{"n-0", "a"}, {"n-1", "a"}, {"n-2", "a"}}
	dead := func(name string) bool { return name != "n-1" }
	if at, missing := Position(order, "n-2", dead); at != 1 || !missing {
		t.Errorf("%d, %v", at, missing)
	}
	if at, missing := Position(order, "n-0", dead); at != 0 || missing {
		t.Errorf("%d, %v", at, missing)
	}
}
