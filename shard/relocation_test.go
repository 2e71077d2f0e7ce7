package shard

import (
	"testing"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/records"
	"ravenport/wire"
)

// Tasks that wait for machines which the cloud does not have in their zone waited there for ever
// although another shard could get machines for them. They move once they have waited for long,
// well within the 90 s that users accept, and only to where they may run.
func TestTasksMoveWhereMachinesAreAvailable(t *testing.T) {
	const userBound = 90 * time.Second
	type place struct {
		onDemand, spot bool // the other shard can scale out
		shard          string
	}
	for _, c := range []struct {
		name   string
		other  place
		change func(*wire.Submission)
		want   bool
	}{
		{"on-demand elsewhere", place{true, false, "b"}, func(s *wire.Submission) { s.Types = nil }, true},
		{"spot elsewhere", place{false, true, "b"}, func(s *wire.Submission) {}, true},
		{"spot elsewhere, on-demand only", place{false, true, "b"}, func(s *wire.Submission) { s.Spot = false }, false},
		{"no machines anywhere", place{false, false, "b"}, func(s *wire.Submission) {}, false},
		{"bound to this zone", place{true, true, "b"}, func(s *wire.Submission) { s.Zone = "a" }, false},
		{"type not offered there", place{true, true, "b"}, func(s *wire.Submission) { s.Types = []string{"box"} }, false},
		{"all tasks in one zone", place{true, true, "b"}, func(s *wire.Submission) { s.OneZone = true }, true},
		{"spread", place{true, true, "b"}, func(s *wire.Submission) { s.Spread = true }, true},
	} {
		for _, kind := range []wire.JobKind{wire.KindArray, wire.KindService, wire.KindGang} {
			job := jobOfKind(kind, c.change)
			if job.Spec.IsGang() && !job.Spec.OneZone && job.Spec.Zone == "" {
				continue // an overdue gang is offloaded in any case, and spread over the shards
			}
			r := newTestOwner(nil)
			r.SetTypes(twoTypes)
			r.submit(job)
			other := leader.Aggregate{Shard: c.other.shard, Term: 1, CanScaleOutOnDemand: c.other.onDemand, CanScaleOutSpot: c.other.spot}
			after, ok := r.offloadedWithin(userBound, other)
			if ok != c.want || ok && after < constants.OffloadWait {
				t.Errorf("%s, %s: offloaded %v after %v, want %v", c.name, kind, ok, after, c.want)
			}
		}
	}
}

// The waiting tasks of a job that must be in one zone stay beside the job's running tasks.
func TestTasksOfOneZoneStayTogether(t *testing.T) {
	f := newFakeWorkers(newTestOwner(nil), "m-1")
	f.SetTypes(twoTypes)
	job := arrayJob("run-1", 6, "a") // four of the tasks fit the machine
	job.AcceptedMS, job.Spec.OneZone = f.now.UnixMilli(), true
	f.submit(job)
	for range 480 {
		f.ApplyOtherShards(f.now, []leader.Aggregate{{Shard: "b", Term: 1, CanScaleOutOnDemand: true}})
		actions := f.advance(250 * time.Millisecond)
		for _, a := range actions {
			if request, ok := a.(ScaleOut); ok {
				f.ScaleOutResult(f.now, request.Request.RequestID, nil, true)
			}
		}
		f.applyActions(actions)
		f.setStates("m-1", wire.TaskRunning, "")
		if j := f.jobs["run-1"]; len(j.record.Unassigned()) > 0 {
			t.Fatalf("tasks were offloaded although others of the job run in the zone: %+v", j.record.Assignments)
		}
	}
	if running := len(f.machines["m-1"].attempts); running != 4 {
		t.Errorf("%d tasks run, want 4", running)
	}
}

// A task that cannot be offloaded yet, because a newer record of its job is on its way, does not
// count as offloaded. It counted, and the job's next attempt to offload tasks came 5 s later.
func TestTaskThatStaysIsNotCountedAsOffloaded(t *testing.T) {
	r := newTestOwner(nil)
	r.SetTypes(twoTypes)
	r.submit(jobOfKind(wire.KindArray, func(s *wire.Submission) { s.Types = []string{"tub"} }))
	r.jobs["run-1"].awaitsRecord = true
	if after, ok := r.offloadedWithin(time.Second, leader.Aggregate{Shard: "b", Term: 1}); ok {
		t.Fatalf("offloaded after %v without the newer record", after)
	}
	r.jobs["run-1"].awaitsRecord = false
	if _, ok := r.offloadedWithin(time.Second, leader.Aggregate{Shard: "b", Term: 1}); !ok {
		t.Error("not offloaded within a second of the newer record")
	}
}

// The tasks of a job that must be in one zone were returned to the leader one by one. Each of them
// was assigned to the same shard again because of the others, for ever. They are returned
// together, or not at all.
func TestTasksOfOneZoneAreOffloadedTogether(t *testing.T) {
	const userBound = 90 * time.Second
	for _, c := range []struct {
		freeCPUs float64 // in another shard, for three tasks of 2 CPUs
		want     bool
	}{{2, false}, {4, false}, {6, true}, {8, true}, {20, true}} {
		for _, keepWaiting := range []bool{false, true} {
			r := newTestOwner(nil)
			job := arrayJob("run-1", 3, "a")
			job.AcceptedMS, job.Spec.OneZone, job.Assignments[0].KeepWaiting = r.now.UnixMilli(), true, keepWaiting
			r.submit(job)
			offloaded := false
			for startedAt := r.now; r.now.Sub(startedAt) < userBound && !offloaded; {
				r.ApplyOtherShards(r.now, []leader.Aggregate{aggregateOf("b", "box", c.freeCPUs), {Shard: "c", Term: 1}})
				for _, a := range r.advance(250 * time.Millisecond) {
					switch a := a.(type) {
					case ScaleOut:
						r.ScaleOutResult(r.now, a.Request.RequestID, nil, true)
					case Commit:
						record, err := records.Decode(a.Txn.Changes[0].Put, a.Txn.Changes[0].Value)
						written, ok := record.(*records.Job)
						if err != nil || !ok {
							continue
						}
						offloaded = true
						if n := records.TasksIn(written.Unassigned()); n != 3 {
							t.Errorf("%g CPUs free, keepWaiting %v: %d of 3 tasks were offloaded", c.freeCPUs, keepWaiting, n)
						}
					}
				}
			}
			if offloaded != c.want {
				t.Errorf("%g CPUs free, keepWaiting %v: offloaded %v, want %v", c.freeCPUs, keepWaiting, offloaded, c.want)
			}
		}
	}
}
