package failover

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "ravenport/internal/testseed"
)

// Every ranking has each controller once, with the shard's own zone first and
// deprioritized controllers last. The ranking depends on nothing but the candidates.
func TestOrderIsCompleteAndRanked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "zones")]
		candidates := Candidates{Zones: zones}
		shards, deprioritized := map[string]int{}, map[string]bool{}
		for i := range rapid.IntRange(1, 9).Draw(t, "controllers") {
			c := Controller{Name: fmt.Sprintf("n-%d", i), Zone: rapid.SampledFrom(zones).Draw(t, "zone")}
			candidates.Controllers = append(candidates.Controllers, c)
			shards[c.Name] = rapid.IntRange(0, 3).Draw(t, "shards")
			deprioritized[c.Name] = rapid.IntRange(0, 4).Draw(t, "last") == 0
		}
		candidates.OwnedShards = func(name string) int { return shards[name] }
		candidates.Deprioritized = func(name string) bool { return deprioritized[name] }
		for _, role := range []Role{{Leader: true}, {Zone: zones[0]}, {Zone: zones[len(zones)-1]}} {
			order := candidates.Ranked(role)
			if again := candidates.Ranked(role); !slices.Equal(order, again) {
				t.Fatalf("two rankings of the same candidates differ: %v, %v", order, again)
			}
			if len(order) != len(candidates.Controllers) {
				t.Fatalf("%v has not all of %v", order, candidates.Controllers)
			}
			for i := 1; i < len(order); i++ {
				a, b := order[i-1], order[i]
				switch {
				case deprioritized[a.Name] && !deprioritized[b.Name]:
					t.Fatalf("%s comes before %s: %v", a.Name, b.Name, order)
				case role.Leader || deprioritized[a.Name] != deprioritized[b.Name]:
				case a.Zone != role.Zone && b.Zone == role.Zone:
					t.Fatalf("another zone comes before the shard's own zone: %v", order)
				case a.Zone != role.Zone && shards[a.Name] > shards[b.Name]:
					t.Fatalf("a controller with more shards comes first: %v, shards: %v", order, shards)
				}
			}
		}
	})
}

// A controller's position among the candidates determines how long it waits.
func TestPosition(t *testing.T) {
	order := []Controller{{"n-0", "a"}, {"n-1", "a"}, {"n-2", "a"}}
	allButSecond := func(name string) bool { return name != "n-1" }
	if at, missing := Position(order, "n-2", allButSecond); at != 1 || !missing {
		t.Errorf("position %d, predecessor missing: %v", at, missing)
	}
	if at, missing := Position(order, "n-0", allButSecond); at != 0 || missing {
		t.Errorf("position %d, predecessor missing: %v", at, missing)
	}
}
