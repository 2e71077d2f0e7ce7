package leader

import (
	"fmt"
	"testing"
	"time"

	"ravenport/records"
	"ravenport/wire"
)

// Of the shards that fit a whole job, the one with the least free capacity comes first.
func TestBestFitComesFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	core := New(testSettings(), 1, now, nil, nil)
	core.SetAuthority(now.Add(time.Hour))
	core.ApplyAggregate(now, testAggregate("a", 1, 64, 4))
	core.ApplyAggregate(now, testAggregate("b", 1, 24, 2))
	core.ApplyAggregate(now, testAggregate("c", 1, 8, 1))
	job := &records.Job{ID: "run-1", AcceptedMS: now.UnixMilli(), Spec: wire.Submission{ID: "run-1", Team: "free", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 4, CPUs: 4, MemoryGB: 1}}
	core.ApplyJob(now, "run-1", job, 5)
	commits := core.Step(now)
	if len(commits) != 1 {
		t.Fatalf("%d commits, want 1", len(commits))
	}
	if assignments := decodeCommit(commits[0]).Assignments; len(assignments) != 1 || assignments[0].Shard != "b" {
		t.Fatalf("assignments %+v, want all in b", assignments)
	}
}

// Until a shard's next aggregate arrives, the leader counts the tasks that it has just
// assigned as used capacity, so that a burst of jobs does not overload one shard.
func TestUnreportedAssignmentsReduceFreeCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	core := New(testSettings(), 1, now, nil, nil)
	core.SetAuthority(now.Add(time.Hour))
	core.SetRoundClock(func() time.Time { return now }) // on a busy computer the real clock would end the round early
	for _, zone := range []string{"a", "b", "c"} {
		core.ApplyAggregate(now, testAggregate(zone, 1, 16, 1))
	}
	got := map[string]int{}
	for i := range 6 {
		id := fmt.Sprintf("run-%d", i)
		core.ApplyJob(now, id, &records.Job{ID: id, AcceptedMS: now.UnixMilli() + int64(i), Spec: wire.Submission{ID: id, Team: "free", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 2, CPUs: 4, MemoryGB: 1}}, uint64(10+i))
	}
	for _, commit := range core.Step(now) {
		for _, assignment := range decodeCommit(commit).Assignments {
			got[assignment.Shard] += assignment.Tasks()
		}
	}
	for _, zone := range []string{"a", "b", "c"} {
		if got[zone] != 4 {
			t.Fatalf("tasks by shard %v, want 4 each", got)
		}
	}
}

// A job of the largest size is assigned in several parts.
func TestLargestJobIsAssignedInParts(t *testing.T) {
	now := time.Unix(1000, 0)
	core := New(testSettings(), 1, now, nil, nil)
	core.SetAuthority(now.Add(time.Hour))
	for _, zone := range []string{"a", "b", "c"} {
		core.ApplyAggregate(now, testAggregate(zone, 1, 16, 1))
	}
	core.ApplyJob(now, "run-1", &records.Job{ID: "run-1", Spec: wire.Submission{ID: "run-1", Team: "free", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: wire.MaxTasks, CPUs: 1, MemoryGB: 1}}, 5)
	commits := core.Step(now)
	if len(commits) != 1 {
		t.Fatalf("%d commits, want 1", len(commits))
	}
	n := 0
	for _, assignment := range decodeCommit(commits[0]).Assignments {
		n += assignment.Tasks()
	}
	if n == 0 || n > 5000 {
		t.Fatalf("%d tasks assigned at once", n)
	}
}

// If a job's record is too large for one more assignment, its tasks are added to an existing
// assignment. Otherwise a job with many assignments would never be assigned completely.
func TestFullRecordExtendsAssignment(t *testing.T) {
	now := time.Unix(1000, 0)
	set := testSettings()
	core := New(set, 1, now, nil, nil)
	core.SetAuthority(now.Add(time.Hour))
	for _, zone := range []string{"a", "b", "c"} {
		core.ApplyAggregate(now, testAggregate(zone, 1, 16, 1))
	}
	job := &records.Job{ID: "run-1", Spec: wire.Submission{ID: "run-1", Team: "free", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 2000, CPUs: 1, MemoryGB: 1}}
	for i := 0; len(records.Encode(job)) < set.ValueBytes()-40; i++ { // unassigned gaps between assignments to the shards in turn
		job.Assignments = append(job.Assignments, records.Assignment{From: 4 * i, To: 4*i + 2, Shard: string('a' + rune(i%3)), KeepWaiting: true})
	}
	left := 2000
	for revision := uint64(5); len(job.Unassigned()) > 0; revision++ {
		core.ApplyJob(now, "run-1", job, revision)
		commits := core.Step(now)
		if len(commits) != 1 {
			t.Fatalf("%d commits with %d tasks left, want 1 commit", len(commits), left)
		}
		core.ApplyCommitResult(now, "run-1", false, revision+1)
		if job = decodeCommit(commits[0]); len(commits[0].Txn.Changes[0].Value) > set.ValueBytes() {
			t.Fatalf("record of %d bytes exceeds the size limit", len(commits[0].Txn.Changes[0].Value))
		}
		n := 0
		for _, r := range job.Unassigned() {
			n += r.Tasks()
		}
		if n >= left {
			t.Fatalf("%d tasks left, no fewer than before", n)
		}
		left = n
		now = now.Add(time.Second)
		for _, zone := range []string{"a", "b", "c"} {
			core.ApplyAggregate(now, testAggregate(zone, revision+1, 16, 1))
		}
	}
}
