package shard

import (
	"testing"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/records"
	"ravenport/wire"
)

// twoTypes are the machine types of a deployment whose shard "a" offers "box" only.
var twoTypes = []wire.MachineType{
	{Name: "box", CPUs: 8, MemoryGB: 32, Price: 1, SpotPrice: 0.4, BootS: 10, Zones: []string{"a"}},
	{Name: "tub", CPUs: 16, MemoryGB: 64, Price: 1, SpotPrice: 0.4, BootS: 10, Zones: []string{"b"}},
}

// aggregateOf returns the aggregate of another shard with one empty machine.
func aggregateOf(shard, typeName string, cpus float64) leader.Aggregate {
	aggregate := leader.Aggregate{Shard: shard, Term: 1, Warm: map[string]float64{"i": cpus}}
	aggregate.AddMachine(typeName, false, cpus, 0, 64)
	aggregate.Finish()
	return aggregate
}

// offloadedWithin runs the owner for some time, in which it knows the aggregate of another shard
// and the cloud refuses every request for machines. It returns after how long the first task of
// a job was offloaded, and false if none was.
func (r *testOwner) offloadedWithin(limit time.Duration, other leader.Aggregate) (time.Duration, bool) {
	startedAt := r.now
	for r.now.Sub(startedAt) < limit {
		r.ApplyOtherShards(r.now, []leader.Aggregate{other})
		for _, a := range r.advance(250 * time.Millisecond) {
			switch a := a.(type) {
			case ScaleOut:
				r.ScaleOutResult(r.now, a.Request.RequestID, nil, true)
			case Commit:
				record, err := records.Decode(a.Txn.Changes[0].Put, a.Txn.Changes[0].Value)
				if job, ok := record.(*records.Job); err == nil && ok && len(job.Unassigned()) > 0 {
					return r.now.Sub(startedAt), true
				}
			}
		}
	}
	return 0, false
}

// jobOfKind returns a job of two tasks that are to wait in shard "a".
func jobOfKind(kind wire.JobKind, change func(*wire.Submission)) *records.Job {
	job := arrayJob("run-1", 2, "a")
	job.AcceptedMS = time.Unix(1000, 0).UnixMilli()
	job.Spec.Kind = kind
	change(&job.Spec)
	return job
}

// A task that no machine in its shard could ever run waited there for ever, unless another shard
// had room for the task at that moment.
func TestTasksLeaveShardThatCannotRunThem(t *testing.T) {
	const soon = 10 * time.Second
	restrictions := map[string]func(*wire.Submission){
		"named type": func(s *wire.Submission) { s.Types = []string{"tub"} },
		"size":       func(s *wire.Submission) { s.CPUs = 12 },
	}
	for restriction, change := range restrictions {
		for _, kind := range []wire.JobKind{wire.KindArray, wire.KindService, wire.KindGang} {
			r := newTestOwner(nil)
			r.SetTypes(twoTypes)
			r.bringUp("m-1")
			r.submit(jobOfKind(kind, change))
			if after, ok := r.offloadedWithin(soon, leader.Aggregate{Shard: "b", Term: 1}); !ok {
				t.Errorf("%s of a restricted %s was not offloaded, %v", kind, restriction, after)
			}
		}
	}
}

// Tasks stay in a shard that can run them, even on a machine that is not up, if other shards have
// room only on machines that the tasks may not run on. They leave if the machines fit.
func TestTasksLeaveOnlyForMachinesThatFit(t *testing.T) {
	const long = 2 * time.Minute
	onlyBox := func(s *wire.Submission) { s.Types = []string{"box"} }
	for _, kind := range []wire.JobKind{wire.KindArray, wire.KindService} {
		for typeName, want := range map[string]bool{"tub": false, "box": true} {
			r := newTestOwner(nil)
			r.SetTypes(twoTypes)
			r.submit(jobOfKind(kind, onlyBox))
			if after, ok := r.offloadedWithin(long, aggregateOf("b", typeName, 16)); ok != want {
				t.Errorf("%s for box, room on %s elsewhere: offloaded %v after %v, want %v", kind, typeName, ok, after, want)
			}
		}
	}
}

// A machine of a type that is not offered any more keeps its tasks in the shard until it is
// terminated.
func TestTasksWaitForMachineOfWithdrawnType(t *testing.T) {
	const soon = 10 * time.Second
	r := newTestOwner(nil)
	r.bringUp("m-1")
	r.SetTypes(twoTypes[1:])
	r.submit(arrayJob("run-0", 4, "a")) // fills the machine
	r.advance(time.Second)
	r.submit(jobOfKind(wire.KindArray, func(s *wire.Submission) { s.Types = []string{"box"} }))
	if after, ok := r.offloadedWithin(soon, aggregateOf("b", "tub", 16)); ok {
		t.Fatalf("offloaded after %v although the machine may run the tasks", after)
	}
	r.ScaleInResult(r.now, []string{"m-1"})
	if _, ok := r.offloadedWithin(soon, aggregateOf("b", "tub", 16)); !ok {
		t.Error("not offloaded although the only machine that could run the tasks was terminated")
	}
}

// A production task was offloaded for its image on a machine of a type that the task may not run
// on.
func TestWarmImageCountsOnMachinesThatFit(t *testing.T) {
	for typeName, want := range map[string]bool{"tub": false, "box": true} {
		r := newTestOwner(nil)
		r.SetTypes(twoTypes)
		r.bringUp("m-1")
		job := jobOfKind(wire.KindService, func(s *wire.Submission) {
			s.Types, s.Priority, s.Spot, s.Image = []string{"box"}, wire.PriorityProduction, false, "i"
		})
		job.Assignments[0].KeepWaiting = false
		r.ApplyOtherShards(r.now, []leader.Aggregate{aggregateOf("b", typeName, 16)})
		r.submit(job)
		if _, ok := r.offloadedWithin(time.Second, aggregateOf("b", typeName, 16)); ok != want {
			t.Errorf("image on a %s in another shard: offloaded %v, want %v", typeName, ok, want)
		}
	}
}

// A job that allows several machine types never ran: the cloud had no more machines of the
// cheapest type, and after each refusal the owner requested no machine of any type, until it
// requested the cheapest type again.
func TestRefusedTypeLeavesOtherTypes(t *testing.T) {
	types := []wire.MachineType{
		{Name: "cheap", CPUs: 8, MemoryGB: 32, Price: 1, SpotPrice: 0.4, BootS: 10, Zones: []string{"a"}},
		{Name: "dear", CPUs: 8, MemoryGB: 32, Price: 2, SpotPrice: 0.8, BootS: 10, Zones: []string{"a"}},
		{Name: "away", CPUs: 8, MemoryGB: 32, Price: 0.5, SpotPrice: 0.1, BootS: 10, Zones: []string{"b"}},
	}
	for name, change := range map[string]func(*wire.Submission){
		"any type":       func(s *wire.Submission) {},
		"on-demand only": func(s *wire.Submission) { s.Spot = false },
		"both types":     func(s *wire.Submission) { s.Types = []string{"cheap", "dear"} },
		"gang":           func(s *wire.Submission) { s.Kind = wire.KindGang },
		"service":        func(s *wire.Submission) { s.Kind, s.Spot, s.EstimateS = wire.KindService, false, 0 },
		"production's reserve": func(s *wire.Submission) {
			s.Kind, s.Priority, s.Spot = wire.KindService, wire.PriorityProduction, false
		},
	} {
		r := newTestOwner(nil)
		r.SetTypes(types)
		job := jobOfKind(wire.KindArray, change)
		r.submit(job)
		requested := map[string]int{}
		for range 200 {
			for _, a := range r.advance(250 * time.Millisecond) {
				if request, ok := a.(ScaleOut); ok {
					requested[request.Request.Type]++
					r.ScaleOutResult(r.now, request.Request.RequestID, nil, true)
				}
			}
		}
		if requested["cheap"] == 0 || requested["dear"] == 0 || requested["away"] > 0 {
			t.Errorf("%s: requests by type %v, want cheap and dear", name, requested)
		}
	}
}

// An owner offers the leader machines of a kind as long as the cloud refuses only some types.
func TestScaleOutIsOfferedByType(t *testing.T) {
	r := newTestOwner(nil)
	r.SetTypes(append([]wire.MachineType{{Name: "dear", CPUs: 8, MemoryGB: 32, Price: 2, Zones: []string{"a"}}}, twoTypes...))
	refuse := func(typeName string) {
		r.requestScaleOut(r.now, machineKind{typeName, false}, 1)
		for id := range r.pendingScaleOuts {
			r.ScaleOutResult(r.now, id, nil, true)
		}
	}
	for _, step := range []struct {
		refused string
		want    bool
	}{{"box", true}, {"dear", false}} { // "tub" is offered in another zone
		refuse(step.refused)
		if got := r.Aggregate(r.now, 1).CanScaleOutOnDemand; got != step.want {
			t.Errorf("after %s was refused: can scale out %v, want %v", step.refused, got, step.want)
		}
		if summary := r.Summary(r.now); !summary.RefusedOnDemand || summary.RefusedSpot {
			t.Errorf("after %s was refused: summary %+v", step.refused, summary)
		}
	}
	r.now = r.now.Add(constants.ScaleOutRefusedPause)
	if r.Summary(r.now).RefusedOnDemand || !r.Aggregate(r.now, 1).CanScaleOutOnDemand {
		t.Error("the refusals are still in effect")
	}
}
