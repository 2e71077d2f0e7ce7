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

// A selection selects the machines that match all its fields, and an invalid selection is
// refused with the name of the invalid field.
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

// drainModel is a drain of several shards. Owners of shards change, machines are replaced or
// fail to be replaced, and writes of the drain's record conflict or are lost.
type drainModel struct {
	zones     []string
	policy    Policy
	record    *records.Drain
	version   uint64
	drains    map[string]*ShardDrain
	remaining map[string][]string // by shard: machines
	cordoned  map[string][]string // by shard: machines
	failures  int
}

func newDrainModel(t *rapid.T) *drainModel {
	m := &drainModel{
		zones:     []string{"a", "b", "c"},
		policy:    Policy{ParallelPercent: float64(rapid.IntRange(0, 100).Draw(t, "parallel")), MaxConsecutiveFailures: rapid.IntRange(1, 4).Draw(t, "failures")},
		record:    &records.Drain{Number: 1, State: records.DrainRunning},
		version:   1,
		drains:    map[string]*ShardDrain{},
		remaining: map[string][]string{},
		cordoned:  map[string][]string{},
	}
	for _, zone := range m.zones {
		m.startOwner(zone)
		for i := range rapid.IntRange(0, 6).Draw(t, "machines") {
			m.remaining[zone] = append(m.remaining[zone], zone+string(rune('0'+i)))
		}
	}
	return m
}

// startOwner starts a new owner of a shard. It begins without cordoned machines, because
// cordons are not stored: the owner chooses them again from the drain's record.
func (m *drainModel) startOwner(zone string) {
	m.drains[zone] = NewShardDrain(m.policy, zone, m.zones, m.record, m.version)
	m.cordoned[zone] = nil
}

// cordon cordons the machines that a shard chooses, and checks that the number of cordoned
// machines does not exceed the maximum.
func (m *drainModel) cordon(t *rapid.T, zone string) {
	s := m.drains[zone]
	var candidates []Candidate
	for _, name := range m.remaining[zone] {
		candidates = append(candidates, Candidate{Name: name, IsCordoned: slices.Contains(m.cordoned[zone], name)})
	}
	m.cordoned[zone] = append(m.cordoned[zone], s.ChooseMachines(time.Unix(0, 0), candidates, 10)...)
	maxCordoned := max(1, int(m.policy.ParallelPercent/10))
	if !m.record.CanaryPassed {
		maxCordoned = 1
	}
	if n := len(m.cordoned[zone]); n > maxCordoned || n > 0 && !s.MayCordon() && m.record.State == records.DrainRunning {
		t.Fatalf("machines %v of shard %s are cordoned, at most %d may be", m.cordoned[zone], zone, maxCordoned)
	}
}

// replaceOrFail draws whether a cordoned machine leaves or its replacement fails.
func (m *drainModel) replaceOrFail(t *rapid.T, zone string) {
	s := m.drains[zone]
	if n := len(m.cordoned[zone]); n > 0 && rapid.Bool().Draw(t, "gone") {
		last := m.cordoned[zone][n-1]
		m.remaining[zone] = slices.DeleteFunc(m.remaining[zone], func(name string) bool { return name == last })
		m.cordoned[zone] = m.cordoned[zone][:n-1]
		s.RecordReplacement()
	} else if rapid.IntRange(0, 4).Draw(t, "failure") == 0 && s.MayCordon() {
		s.RecordFailure("test")
		m.failures++
	}
}

// write writes the record that a shard requests, if any. The write fails if the version
// conflicts or the write is drawn as lost.
func (m *drainModel) write(t *rapid.T, zone string) {
	s := m.drains[zone]
	next, version := s.NextRecord(rapid.Bool().Draw(t, "settled"))
	if next == nil {
		return
	}
	if version != m.version || rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		s.ApplyWriteResult(false)
		return
	}
	m.version++
	m.record = next
	for _, other := range m.drains {
		other.ApplyRecord(m.record, m.version)
	}
}

// checkEnd checks the state of the drain after all events.
func (m *drainModel) checkEnd(t *rapid.T) {
	remaining := len(m.remaining["a"]) + len(m.remaining["b"]) + len(m.remaining["c"])
	switch m.record.State {
	case records.DrainStopped:
		if m.failures < m.policy.MaxConsecutiveFailures || m.record.StopReason == "" {
			t.Fatalf("drain stopped after %d failures: %+v", m.failures, m.record)
		}
	case records.DrainFinished:
		if remaining > 0 {
			t.Fatalf("drain finished with %d machines remaining", remaining)
		}
	default:
		if remaining == 0 && len(m.record.DrainedShards) == len(m.zones) {
			t.Fatalf("drain is still running after all machines were replaced: %+v", m.record)
		}
	}
}

// Under any sequence of replacements and failures, a drain of several shards begins with a
// canary in one shard, never cordons more machines at once than its policy allows, and
// either finishes or stops after the configured number of consecutive failures.
func TestDrainsComeToAnEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newDrainModel(t)
		for range 400 {
			zone := rapid.SampledFrom(m.zones).Draw(t, "zone")
			if rapid.IntRange(0, 9).Draw(t, "new owner") == 0 {
				m.startOwner(zone)
			}
			m.cordon(t, zone)
			m.replaceOrFail(t, zone)
			m.write(t, zone)
			if m.record.State != records.DrainRunning {
				break
			}
		}
		m.checkEnd(t)
	})
}

// The minimum time of a merged plan is that of the binding budget, with the moves of all
// shards added up.
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
