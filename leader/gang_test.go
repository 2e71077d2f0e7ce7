package leader

import (
	"testing"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

func gangJob(tasks int) *records.Job {
	return &records.Job{ID: "run-1", Spec: wire.Submission{ID: "run-1", Team: "free", Kind: wire.KindGang, Priority: wire.PriorityNormal,
		Tasks: tasks, CPUs: 2, MemoryGB: 1, Image: "i"}}
}

// A gang is assigned to one shard as one range. A shard that could start the gang now is
// preferred even if another shard has less free capacity, and a shard that has the gang's
// image on its machines is preferred to one that does not.
func TestGangIsAssignedToOneShard(t *testing.T) {
	now := time.Unix(1000, 0)
	set := testSettings()
	job := gangJob(6)
	shape := GangShape(&job.Spec)
	for name, want := range map[string]string{"room": "b", "image": "c"} {
		core := New(set, 1, now, nil, nil)
		core.SetAuthority(now.Add(time.Hour))
		for _, zone := range set.Deployment.Zones {
			aggregate := testAggregate(zone, 1, 16, 2) // by the sums the gang fits every shard
			aggregate.Gangs = map[string]GangCapacity{shape: {Now: 4}}
			if zone == "b" || zone == "c" && name == "image" {
				aggregate.Gangs[shape] = GangCapacity{Now: 6}
			}
			if zone == "c" && name == "image" {
				aggregate.Gangs[shape] = GangCapacity{Now: 6, Warm: 6}
			}
			core.ApplyAggregate(now, aggregate)
		}
		core.ApplyJob(now, "run-1", job, 5)
		commits := core.Step(now)
		if len(commits) != 1 {
			t.Fatalf("%s: %d commits, want 1", name, len(commits))
		}
		record := decodeCommit(commits[0])
		if len(record.Assignments) != 1 || record.Assignments[0].Tasks() != 6 || record.Assignments[0].Shard != want || record.Attempt != 0 {
			t.Fatalf("%s: %+v, want all in %s", name, record, want)
		}
	}
}

// A gang that must not be in one shard is spread over several. Its attempt number increases
// with each assignment, and the gang is assigned again only after owners have offloaded all
// of its tasks.
func TestSpreadGangIsNumbered(t *testing.T) {
	now, set, core := newTestLeader()
	job := gangJob(5)
	job.Spec.Spread = true
	push := func() {
		for _, zone := range set.Deployment.Zones {
			core.ApplyAggregate(now, testAggregate(zone, 1, 16, 2))
		}
	}
	revision := uint64(5)
	for attempt := uint64(1); attempt < 4; attempt++ {
		push()
		core.ApplyJob(now, "run-1", job, revision)
		commits := core.Step(now)
		if len(commits) != 1 {
			t.Fatalf("%d commits, want 1", len(commits))
		}
		record := decodeCommit(commits[0])
		tasksByShard := map[string]int{}
		for _, assignment := range record.Assignments {
			tasksByShard[assignment.Shard] += assignment.Tasks()
		}
		if len(tasksByShard) < 2 || len(record.Unassigned()) > 0 || record.Attempt != attempt {
			t.Fatalf("%+v, want attempt %d over several shards", record, attempt)
		}
		for zone, n := range tasksByShard {
			if n > 3 {
				t.Fatalf("%d of 5 tasks in %s, want at most 3", n, zone)
			}
		}
		revision++
		core.ApplyCommitResult(now, "run-1", true, revision)
		core.ApplyJob(now, "run-1", record, revision)
		partlyReturned := record.Clone()
		partlyReturned.Assignments = partlyReturned.Assignments[1:]
		revision++
		now = now.Add(time.Minute)
		push()
		core.ApplyJob(now, "run-1", partlyReturned, revision)
		if commits := core.Step(now); len(commits) > 0 {
			t.Fatal("gang assigned again while some of its tasks are in a shard")
		}
		job = partlyReturned.Clone()
		job.Assignments = nil
		revision++
		now = now.Add(time.Minute)
	}
}

// A gang counts towards its team's quota limit as a whole: none of its tasks is assigned
// before all of them fit, and all of them count once they are assigned.
func TestGangIsAdmittedWhole(t *testing.T) {
	now, set, core := newTestLeader()
	for _, zone := range set.Deployment.Zones {
		core.ApplyAggregate(now, testAggregate(zone, 1, 100, 10))
	}
	for i, tasks := range []int{7, 4} { // of 2 CPUs each; the team's limit is 20
		job := gangJob(tasks)
		job.ID, job.Spec.ID, job.Spec.Team = []string{"run-1", "run-2"}[i], []string{"run-1", "run-2"}[i], "t"
		core.ApplyJob(now, job.ID, job, uint64(5+i))
	}
	commits := core.Step(now)
	if len(commits) != 1 {
		t.Fatalf("%d gangs of 14 and 8 CPUs assigned within a limit of 20 CPUs, want 1", len(commits))
	}
	if record := decodeCommit(commits[0]); len(record.Unassigned()) > 0 {
		t.Fatalf("%+v: gang assigned only in part", record)
	}
}

// The number of urgent commits in flight is bounded, however many services wait at a cold
// start. Urgent commits are retried until they are written, and hundreds of them used up
// the key-value store's rate limit at the expense of leases and all other writes.
func TestFewUrgentAssignmentsAtOnce(t *testing.T) {
	now, set, core := newTestLeader()
	for _, zone := range set.Deployment.Zones {
		core.ApplyAggregate(now, testAggregate(zone, 1, 1000, 100))
	}
	for i := range 300 {
		job := gangJob(1)
		job.ID = "run-" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		job.Spec.ID, job.Spec.Kind, job.Spec.Priority = job.ID, wire.KindService, wire.PriorityProduction
		if i%2 == 0 {
			job.Spec.Kind, job.Spec.Priority = wire.KindArray, wire.PriorityNormal
		}
		core.ApplyJob(now, job.ID, job, uint64(5+i))
	}
	inFlight := map[bool]int{}
	for round := range 20 {
		for _, commit := range core.Step(now) {
			inFlight[commit.Urgent]++
			if round%2 == 1 {
				core.ApplyCommitResult(now, commit.JobID, commit.Urgent, 0)
				inFlight[commit.Urgent]--
			}
		}
		now = now.Add(time.Second)
		for _, zone := range set.Deployment.Zones {
			core.ApplyAggregate(now, testAggregate(zone, uint64(1+round), 1000, 100))
		}
		if inFlight[true] > constants.MaxUrgentInFlight || inFlight[false] > constants.MaxAssignmentsInFlight {
			t.Fatalf("commits in flight by urgency %v exceed the bounds", inFlight)
		}
	}
	if inFlight[true] == 0 || inFlight[false] == 0 {
		t.Fatalf("commits in flight by urgency %v: want commits of both kinds", inFlight)
	}
}

// If an owner offloaded tasks of a gang while the gang completed in another shard, the
// leader closes those tasks: a closed assignment shows that the whole gang is done.
// Otherwise the gang is done but is never reported as done.
func TestRestOfDoneGangIsClosed(t *testing.T) {
	now, _, core := newTestLeader()
	job := gangJob(4)
	job.Spec.Spread, job.Attempt = true, 1
	job.Assignments = []records.Assignment{{From: 0, To: 2, Shard: "a", Closed: true}}
	core.ApplyJob(now, "run-1", job, 5)
	commits := core.Step(now)
	if len(commits) != 1 {
		t.Fatalf("%d commits, want 1", len(commits))
	}
	if record := decodeCommit(commits[0]); record.End != wire.JobDone || !record.AllTasksClosed() {
		t.Fatalf("%+v", record)
	}
}
