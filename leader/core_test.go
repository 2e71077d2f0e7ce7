package leader

import (
	"fmt"
	"testing"
	"time"

	"ravenport/records"
	"ravenport/wire"
)

// Of the shards that fit a whole job, the one with the least capacity left comes first.
func TestLeastRoomLeftComesFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(testSettings(), 1, now, nil, nil)
	c.SetAuthority(now.Add(time.Hour))
	c.ApplyAggregate(now, testAggregate("a", 1, 64, 4))
	c.ApplyAggregate(now, testAggregate("b", 1, 24, 2))
	c.ApplyAggregate(now, testAggregate("c", 1, 8, 1))
	job := &records.Job{ID: "run-1", AcceptedMS: now.UnixMilli(), Spec: wire.Submission{ID: "run-1", Team: "free", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 4, CPUs: 4, MemoryGB: 1}}
	c.ApplyJob(now, "run-1", job, 5)
	commits := c.Step(now)
	if len(commits) != 1 {
		t.Fatalf("%d assignments", len(commits))
	}
	if ch := decodeCommit(commits[0]).Assignments; len(ch) != 1 || ch[0].Shard != "b" {
		t.Fatalf("assignments %+v, wanted all in b", ch)
	}
}

// Until the next aggregate the leader counts what it has just assigned.
func TestBurstDoesNotPileUp(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(testSettings(), 1, now, nil, nil)
	c.SetAuthority(now.Add(time.Hour))
	c.SetRoundClock(func() time.Time { return now }) // a busy machine would cut the round
	for _, z := range []string{"a", "b", "c"} {
		c.ApplyAggregate(now, testAggregate(z, 1, 16, 1))
	}
	got := map[string]int{}
	for i := range 6 {
		id := fmt.Sprintf("run-%d", i)
		c.ApplyJob(now, id, &records.Job{ID: id, AcceptedMS: now.UnixMilli() + int64(i), Spec: wire.Submission{ID: id, Team: "free", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 2, CPUs: 4, MemoryGB: 1}}, uint64(10+i))
	}
	for _, cm := range c.Step(now) {
		for _, ch := range decodeCommit(cm).Assignments {
			got[ch.Shard] += ch.Tasks()
		}
	}
	for _, z := range []string{"a", "b", "c"} {
		if got[z] != 4 {
			t.Fatalf("tasks by shard %v, wanted 4 each", got)
		}
	}
}

// A job of the largest size is assigned in portions.
func TestHugeJobComesInPortions(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(testSettings(), 1, now, nil, nil)
	c.SetAuthority(now.Add(time.Hour))
	for _, z := range []string{"a", "b", "c"} {
		c.ApplyAggregate(now, testAggregate(z, 1, 16, 1))
	}
	c.ApplyJob(now, "run-1", &records.Job{ID: "run-1", Spec: wire.Submission{ID: "run-1", Team: "free", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: wire.MaxTasks, CPUs: 1, MemoryGB: 1}}, 5)
	commits := c.Step(now)
	if len(commits) != 1 {
		t.Fatalf("%d assignments", len(commits))
	}
	n := 0
	for _, ch := range decodeCommit(commits[0]).Assignments {
		n += ch.Tasks()
	}
	if n == 0 || n > 5000 {
		t.Fatalf("%d tasks assigned at once", n)
	}
}

// A record that is too large for one more assignment still takes tasks, as part of an
// assignment that is there: a job in many assignments is not put off for ever.
func TestFullRecordStillGrows(t *testing.T) {
	now := time.Unix(1000, 0)
	set := testSettings()
	c := New(set, 1, now, nil, nil)
	c.SetAuthority(now.Add(time.Hour))
	for _, z := range []string{"a", "b", "c"} {
		c.ApplyAggregate(now, testAggregate(z, 1, 16, 1))
	}
	job := &records.Job{ID: "run-1", Spec: wire.Submission{ID: "run-1", Team: "free", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 2000, CPUs: 1, MemoryGB: 1}}
	for i := 0; len(records.Encode(job)) < set.ValueBytes()-40; i++ { // gaps between assignments of shards in turn
		job.Assignments = append(job.Assignments, records.Assignment{From: 4 * i, To: 4*i + 2, Shard: string('a' + rune(i%3)), KeepWaiting: true})
	}
	left := 2000
	for rev := uint64(5); len(job.Unassigned()) > 0; rev++ {
		c.ApplyJob(now, "run-1", job, rev)
		commits := c.Step(now)
		if len(commits) != 1 {
			t.Fatalf("%d assignments with %d tasks left", len(commits), left)
		}
		c.ApplyCommitResult(now, "run-1", false, rev+1)
		if job = decodeCommit(commits[0]); len(commits[0].Txn.Changes[0].Value) > set.ValueBytes() {
			t.Fatalf("a record of %d bytes", len(commits[0].Txn.Changes[0].Value))
		}
		n := 0
		for _, r := range job.Unassigned() {
			n += r.Tasks()
		}
		if n >= left {
			t.Fatalf("still %d tasks left", n)
		}
		left = n
		now = now.Add(time.Second)
		for _, z := range []string{"a", "b", "c"} {
			c.ApplyAggregate(now, testAggregate(z, rev+1, 16, 1))
		}
	}
}
