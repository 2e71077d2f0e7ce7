package leader

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// typedMachines is a number of empty machines of one type.
type typedMachines struct {
	typeName string
	machines int
	cpus     float64
}

// typedAggregate returns the aggregate of a shard whose machines are empty and of several
// types.
func typedAggregate(shard string, canScaleOut bool, groups ...typedMachines) Aggregate {
	aggregate := Aggregate{Shard: shard, Term: 1, Revision: 1, CanScaleOutOnDemand: canScaleOut, CanScaleOutSpot: canScaleOut}
	for _, group := range groups {
		for range group.machines {
			aggregate.AddMachine(group.typeName, false, group.cpus, 0, 64)
			aggregate.Capacity += group.cpus
		}
	}
	aggregate.Finish()
	return aggregate
}

// assignedShards returns how many tasks of a new job a leader assigns to each shard, at once or
// after it has waited for the shards' aggregates.
func assignedShards(t *testing.T, core *Core, now time.Time, job *records.Job) map[string]int {
	t.Helper()
	job.AcceptedMS = now.UnixMilli()
	core.ApplyJob(now, job.ID, job, 5)
	got := map[string]int{}
	for _, commit := range append(core.Step(now), core.Step(now.Add(constants.AggregateStaleAfter))...) {
		for _, assignment := range decodeCommit(commit).Assignments {
			got[assignment.Shard] += assignment.Tasks()
		}
	}
	return got
}

// jobsOfEachKind returns one job of each kind and zone rule.
func jobsOfEachKind(change func(*wire.Submission)) map[string]*records.Job {
	jobs := map[string]*records.Job{}
	add := func(name string, kind wire.JobKind, rule func(*wire.Submission)) {
		job := gangJob(4)
		job.Spec.Kind = kind
		if rule != nil {
			rule(&job.Spec)
		}
		change(&job.Spec)
		jobs[name] = job
	}
	add("array", wire.KindArray, nil)
	add("array of one zone", wire.KindArray, func(s *wire.Submission) { s.OneZone = true })
	add("spread array", wire.KindArray, func(s *wire.Submission) { s.Spread = true })
	add("service", wire.KindService, nil)
	add("gang", wire.KindGang, nil)
	return jobs
}

var zoneTypes = []wire.MachineType{
	{Name: "small", CPUs: 16, MemoryGB: 64, Zones: []string{"a", "b"}},
	{Name: "large", CPUs: 64, MemoryGB: 256, Zones: []string{"c"}},
}

// A task was assigned again and again to zones in which the cloud offers no machine that the
// task may run on, because the machines there had room.
func TestTasksGoToZonesThatOfferTheirType(t *testing.T) {
	restrictions := map[string]func(*wire.Submission){
		"named type":             func(s *wire.Submission) { s.Types = []string{"large"} },
		"size":                   func(s *wire.Submission) { s.CPUs = 32 },
		"several types, by size": func(s *wire.Submission) { s.Types, s.CPUs = []string{"small", "large"}, 32 },
	}
	room := map[string][]Aggregate{
		"empty fleet": {typedAggregate("a", true), typedAggregate("b", true), typedAggregate("c", true)},
		"room elsewhere": {typedAggregate("a", true, typedMachines{"small", 8, 16}), typedAggregate("b", true, typedMachines{"small", 8, 16}),
			typedAggregate("c", true)},
		"the cloud has no more": {typedAggregate("a", true, typedMachines{"small", 8, 16}), typedAggregate("b", true, typedMachines{"small", 8, 16}),
			typedAggregate("c", false, typedMachines{"large", 3, 64})},
		"only the shard in question reports nothing": {typedAggregate("a", true, typedMachines{"small", 8, 16}), typedAggregate("b", true)},
	}
	for restriction, change := range restrictions {
		for name, aggregates := range room {
			for kind, job := range jobsOfEachKind(change) {
				now, _, core := newTestLeader()
				core.SetTypes(zoneTypes)
				for _, aggregate := range aggregates {
					core.ApplyAggregate(now, aggregate)
				}
				got := assignedShards(t, core, now, job)
				if got["a"] > 0 || got["b"] > 0 {
					t.Errorf("%s, %s, %s: assigned to %v, want none to a and b", restriction, name, kind, got)
				}
				want := job.Spec.Tasks
				if job.Spec.Spread {
					want /= 2
				}
				if got["c"] != want {
					t.Errorf("%s, %s, %s: assigned to %v, want %d to c", restriction, name, kind, got, want)
				}
			}
		}
	}
}

// Where several zones offer a type, free capacity on machines of other types does not count:
// the task waited beside the machine of another zone that would have fitted.
func TestFreeCapacityCountsByType(t *testing.T) {
	types := []wire.MachineType{{Name: "small", CPUs: 16, MemoryGB: 64}, {Name: "large", CPUs: 64, MemoryGB: 256}}
	for _, onlyLarge := range []func(*wire.Submission){
		func(s *wire.Submission) { s.Types = []string{"large"} },
		func(s *wire.Submission) { s.CPUs = 15; s.Types = []string{"large", "other"} },
	} {
		for kind, job := range jobsOfEachKind(onlyLarge) {
			if kind == "spread array" {
				continue // half of its tasks must go to another shard
			}
			now, _, core := newTestLeader()
			core.SetTypes(types)
			core.ApplyAggregate(now, typedAggregate("a", false, typedMachines{"small", 8, 16}))
			core.ApplyAggregate(now, typedAggregate("b", false, typedMachines{"small", 4, 16}, typedMachines{"large", 1, 64}))
			core.ApplyAggregate(now, typedAggregate("c", false, typedMachines{"small", 30, 16}))
			if got := assignedShards(t, core, now, job); got["b"] != job.Spec.Tasks {
				t.Errorf("%s: assigned to %v, want all to b", kind, got)
			}
		}
	}
}

// A machine of a type that the cloud no longer offers in its zone still runs tasks.
func TestMachineOfWithdrawnTypeIsUsed(t *testing.T) {
	now, _, core := newTestLeader()
	core.SetTypes(zoneTypes)
	core.ApplyAggregate(now, typedAggregate("a", true, typedMachines{"withdrawn", 1, 16}))
	core.ApplyAggregate(now, typedAggregate("b", true, typedMachines{"small", 4, 16}))
	core.ApplyAggregate(now, typedAggregate("c", true, typedMachines{"large", 4, 64}))
	job := gangJob(4)
	job.Spec.Kind, job.Spec.Types = wire.KindArray, []string{"withdrawn"}
	if got := assignedShards(t, core, now, job); got["a"] != 4 {
		t.Errorf("assigned to %v, want all to a", got)
	}
}

// Tasks that wait for new machines go to a zone that offers such machines, and not to one that
// only has a full machine of the type left.
func TestTasksQueueWhereTheirTypeIsOffered(t *testing.T) {
	now, _, core := newTestLeader()
	core.SetTypes(zoneTypes)
	core.ApplyAggregate(now, typedAggregate("a", true, typedMachines{"large", 1, 0}))
	core.ApplyAggregate(now, typedAggregate("b", true))
	aggregate := typedAggregate("c", true, typedMachines{"large", 1, 0})
	aggregate.Capacity = 64
	core.ApplyAggregate(now, aggregate)
	job := gangJob(4)
	job.Spec.Kind, job.Spec.Types = wire.KindArray, []string{"large"}
	if got := assignedShards(t, core, now, job); got["c"] != 4 {
		t.Errorf("assigned to %v, want all to c", got)
	}
}

// What was just assigned to a shard for machines of one type takes no room from jobs that may
// only run on machines of another type.
func TestAssignmentsOfOtherTypesTakeNoRoom(t *testing.T) {
	now, _, core := newTestLeader()
	core.SetTypes([]wire.MachineType{{Name: "small", CPUs: 16, MemoryGB: 64, Zones: []string{"b"}}, {Name: "large", CPUs: 64, MemoryGB: 256, Zones: []string{"b", "c"}}})
	core.ApplyAggregate(now, typedAggregate("b", true, typedMachines{"small", 8, 16}, typedMachines{"large", 1, 64}))
	core.ApplyAggregate(now, typedAggregate("c", true))
	small, large := gangJob(32), gangJob(4)
	small.Spec.Kind, small.Spec.Types = wire.KindArray, []string{"small"}
	large.Spec.Kind, large.Spec.Types = wire.KindArray, []string{"large"}
	large.ID, large.Spec.ID = "run-2", "run-2"
	if got := assignedShards(t, core, now, small); got["b"] != 32 {
		t.Fatalf("first job assigned to %v, want all to b", got)
	}
	if got := assignedShards(t, core, now, large); got["b"] != 4 {
		t.Errorf("second job assigned to %v, want all to b", got)
	}
}

// While nothing is known of the machine types, or an owner of the previous version does not
// divide its capacity by type, tasks are assigned as before.
func TestUnknownTypesExcludeNoShard(t *testing.T) {
	job := gangJob(4)
	job.Spec.Kind, job.Spec.Types = wire.KindArray, []string{"large"}
	now, _, core := newTestLeader()
	core.ApplyAggregate(now, testAggregate("a", 1, 16, 1))
	if got := assignedShards(t, core, now, job); got["a"] != 4 {
		t.Errorf("types unknown: assigned to %v, want all to a", got)
	}
	now, _, core = newTestLeader()
	core.SetTypes(zoneTypes)
	for _, zone := range []string{"a", "b", "c"} {
		core.ApplyAggregate(now, testAggregate(zone, 1, 16, 1))
	}
	if got := assignedShards(t, core, now, job); got["c"] != 4 {
		t.Errorf("aggregates of the previous version: assigned to %v, want all to c", got)
	}
}

// Work for a type of one zone is forecast for that zone only, and other work for all zones.
func TestForecastFollowsTypes(t *testing.T) {
	now, _, core := newTestLeader()
	core.SetTypes(zoneTypes)
	any, large := gangJob(6), gangJob(3)
	any.Spec.Kind, large.Spec.Kind = wire.KindArray, wire.KindArray
	large.ID, large.Spec.ID, large.Spec.Types = "run-2", "run-2", []string{"large"}
	core.ApplyJob(now, any.ID, any, 5)
	core.ApplyJob(now, large.ID, large, 6)
	for zone, want := range map[string]float64{"a": 4, "b": 4, "c": 10} {
		if got := core.BuildForecasts(now, 7)[zone].OnDemand; math.Abs(got-want) > roundingTolerance {
			t.Errorf("forecast for %s: %g CPUs, want %g", zone, got, want)
		}
	}
}

// The capacity by type adds up to that of all machines, and is the same after it was sent.
func TestCapacityByTypeAddsUp(t *testing.T) {
	aggregate := typedAggregate("a", true, typedMachines{"small", 3, 16}, typedMachines{"large", 2, 50}, typedMachines{"other", 1, 7})
	encoded, err := json.Marshal(aggregate)
	if err != nil {
		t.Fatal(err)
	}
	var sent Aggregate
	if err := json.Unmarshal(encoded, &sent); err != nil {
		t.Fatal(err)
	}
	var sum FreeCapacity
	for _, ofType := range sent.Types {
		sum.merge(ofType.OnDemand)
	}
	if sum.Machines != aggregate.OnDemand.Machines || math.Abs(sum.CPUs.StdDev-aggregate.OnDemand.CPUs.StdDev) > roundingTolerance || math.Abs(sum.CPUs.Mean-aggregate.OnDemand.CPUs.Mean) > roundingTolerance {
		t.Errorf("sum over the types %+v, want %+v", sum, aggregate.OnDemand)
	}
}
