package drain

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ravenport/disruption"
	_ "ravenport/internal/testseed"
	"ravenport/records"
)

// A selection selects the machines that match every field, and is refused with the field
// that is invalid.
func TestSelections(t *testing.T) {
	spot := true
	inventory := Inventory{Zones: []string{"a", "b"}, Types: []string{"box", "tub"}, Machines: []Machine{{"m-1", "a", "box", false}, {"m-2", "a", "tub", true}, {"m-3", "b", "box", true}}}
	inventory.RunningDrains = []*records.Drain{{Number: 4, Selection: records.Selection{Zones: []string{"b"}}}}
	for _, c := range []struct {
		selection records.Selection
		selected  []string
		field     string
	}{
		{records.Selection{Zones: []string{"a"}}, []string{"m-1", "m-2"}, ""},
		{records.Selection{Types: []string{"box"}, LastMachine: "m-2"}, []string{"m-1"}, ""},
		{records.Selection{Spot: &spot, Zones: []string{"a"}}, []string{"m-2"}, ""},
		{records.Selection{}, []string{"m-1", "m-2", "m-3"}, "selection"}, // overlaps drain 4
		{records.Selection{Machines: []string{"m-9"}}, nil, "machine"},
		{records.Selection{Machines: make([]string, 99)}, nil, "machine"},
		{records.Selection{Zones: []string{"c"}}, nil, "zone"},
		{records.Selection{Types: []string{"vat"}}, nil, "type"},
		{records.Selection{LastMachine: "m-0"}, nil, "selection"},
	} {
		var names []string
		for _, m := range inventory.Select(&c.selection) {
			names = append(names, m.Name)
		}
		invalid := inventory.Validate(&c.selection)
		if !slices.Equal(names, c.selected) || (invalid == nil) != (c.field == "") || invalid != nil && invalid.Field != c.field {
			t.Errorf("%+v selects %v, %v", c.selection, names, invalid)
		}
	}
}

// Whatever happens to its machines, a drain of several shards begins with a canary in one
// shard, cordons no more than its share at a time, and ends finished, or stopped after so
// many consecutive failures.
func TestDrainsComeToAnEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"a", "b", "c"}
		policy := Policy{ParallelPercent: float64(rapid.IntRange(0, 100).Draw(t, "parallel")), MaxConsecutiveFailures: rapid.IntRange(1, 4).Draw(t, "failures")}
		record, version := &records.Drain{Number: 1, State: records.DrainRunning}, uint64(1)
		drains, left, cordoned := map[string]*ShardDrain{}, map[string][]string{}, map[string][]string{}
		for _, z := range zones {
			drains[z] = NewShardDrain(policy, z, zones, record, version)
			for i := range rapid.IntRange(0, 6).Draw(t, "machines") {
				left[z] = append(left[z], z+string(rune('0'+i)))
			}
		}
		failures := 0
		for range 400 {
			z := rapid.SampledFrom(zones).Draw(t, "zone")
			s := drains[z]
			if rapid.IntRange(0, 9).Draw(t, "new owner") == 0 {
				s = NewShardDrain(policy, z, zones, record, version)
				drains[z], cordoned[z] = s, nil // cordons follow from the record
			}
			var candidates []Candidate
			for _, name := range left[z] {
				candidates = append(candidates, Candidate{Name: name, IsCordoned: slices.Contains(cordoned[z], name)})
			}
			cordoned[z] = append(cordoned[z], s.ChooseMachines(time.Unix(0, 0), candidates, 10)...)
			most := max(1, int(policy.ParallelPercent/10))
			if !record.CanaryPassed {
				most = 1
			}
			if n := len(cordoned[z]); n > most || n > 0 && !s.MayCordon() && record.State == records.DrainRunning {
				t.Fatalf("%v of %s are cordoned, %d may be", cordoned[z], z, most)
			}
			if n := len(cordoned[z]); n > 0 && rapid.Bool().Draw(t, "gone") {
				left[z] = slices.DeleteFunc(left[z], func(name string) bool { return name == cordoned[z][n-1] })
				cordoned[z] = cordoned[z][:n-1]
				s.RecordReplacement()
			} else if rapid.IntRange(0, 4).Draw(t, "failure") == 0 && s.MayCordon() {
				s.RecordFailure("test")
				failures++
			}
			if next, on := s.NextRecord(rapid.Bool().Draw(t, "settled")); next != nil {
				if on != version || rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					s.ApplyWriteResult(false)
					continue
				}
				version++
				record = next
				for _, other := range drains {
					other.ApplyRecord(record, version)
				}
			}
			if record.State != records.DrainRunning {
				break
			}
		}
		switch record.State {
		case records.DrainStopped:
			if failures < policy.MaxConsecutiveFailures || record.StopReason == "" {
				t.Fatalf("stopped after %d failures: %+v", failures, record)
			}
		case records.DrainFinished:
			if n := len(left["a"]) + len(left["b"]) + len(left["c"]); n > 0 {
				t.Fatalf("finished, and %d machines are left", n)
			}
		default:
			if n := len(left["a"]) + len(left["b"]) + len(left["c"]); n == 0 && len(record.DrainedShards) == len(zones) {
				t.Fatalf("all are gone, and it goes on: %+v", record)
			}
		}
	})
}

// The plan's minimum time is that of the binding budget, over all shards.
func TestPlansAreMerged(t *testing.T) {
	usage := []disruption.Usage{{Budget: "x", Limit: 2}, {Budget: "y", Limit: 10}}
	p := MergePlans([]ShardPlan{{Shard: "b", MovesByBudget: map[string]int{"x": 3, "y": 9}, BudgetUsage: usage, Rounds: 4}, {Shard: "a", MovesByBudget: map[string]int{"x": 2, "": 50}, BudgetUsage: usage, Rounds: 2}}, []string{"c"}, 10*time.Second)
	if p.BindingBudget != "x" || p.MinimumS != 30 || p.Rounds != 5 || p.Shards[0].Shard != "a" || p.FirstPermanentObstacle() != nil {
		t.Errorf("%+v", p)
	}
	p.Shards[1].Obstacles = []Obstacle{{JobID: "run-1"}, {JobID: "run-2", IsPermanent: true}}
	if x := p.FirstPermanentObstacle(); x == nil || x.JobID != "run-2" {
		t.Errorf("%+v", x)
	}
}
