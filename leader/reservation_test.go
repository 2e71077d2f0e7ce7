package leader

import (
	"testing"
	"time"

	"ravenport/records"
	"ravenport/wire"
)

// A commit without a result may still be applied, so what it would use of the team's limit
// stays reserved when the leader decides anew and decides on less. A leader that reserved the
// last decision alone passed all other tests; the late commit then took the team past its
// limit.

// unansweredThenSmaller has the leader assign three tasks of a job, get no result, and assign
// one task of it on the capacity that is left. It returns both commits.
func unansweredThenSmaller(t *testing.T, now time.Time, c *Core) (first, second Commit) {
	t.Helper()
	job := &records.Job{ID: "run-1", AcceptedMS: now.UnixMilli(), Spec: wire.Submission{ID: "run-1", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Zone: "a", Tasks: 3, CPUs: 6, MemoryGB: 1}}
	c.ApplyAggregate(now, closedAggregate(18, 1))
	c.ApplyJob(now, job.ID, job, 1)
	commits := c.Step(now)
	if len(commits) != 1 || openTasks(decodeCommit(commits[0])) != 3 {
		t.Fatalf("first decision: %d commits, %+v", len(commits), decodeCommit(commits[0]).Assignments)
	}
	c.ApplyCommitResult(now, job.ID, false, 0)
	c.ApplyAggregate(now, closedAggregate(6, 1))
	later := now.Add(2 * time.Second)
	again := c.Step(later)
	if len(again) != 1 || openTasks(decodeCommit(again[0])) != 1 {
		t.Fatalf("second decision: %d commits, %+v", len(again), decodeCommit(again[0]).Assignments)
	}
	return commits[0], again[0]
}

// newLeaderWithoutGuarantee returns a leader whose team has a limit of 20 CPUs alone.
func newLeaderWithoutGuarantee() (time.Time, *Core) {
	now, set := time.Unix(1000, 0), testSettings()
	set.Deployment.Teams[0].GuaranteedCPUs = 0
	c := New(set, 1, now, nil, nil)
	c.SetAuthority(now.Add(time.Hour))
	return now, c
}

// closedAggregate is the aggregate of a shard that cannot scale out.
func closedAggregate(cpus float64, machines int) Aggregate {
	a := testAggregate("a", 1, cpus, machines)
	a.CanScaleOutOnDemand, a.CanScaleOutSpot = false, false
	return a
}

func TestUnansweredCommitStaysReservedBesideASmallerOne(t *testing.T) {
	now, c := newLeaderWithoutGuarantee()
	unansweredThenSmaller(t, now, c)
	// 18 of the team's 20 CPUs may come to be used by the first commit, if it is late.
	other := &records.Job{ID: "run-2", AcceptedMS: now.UnixMilli(), Spec: wire.Submission{ID: "run-2", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 1, CPUs: 6, MemoryGB: 1}}
	c.ApplyAggregate(now, closedAggregate(60, 10))
	c.ApplyJob(now, other.ID, other, 2)
	for i := range 20 {
		for _, commit := range c.Step(now.Add(time.Duration(3+i) * time.Second)) {
			if commit.JobID == other.ID {
				t.Fatalf("after %d s %d tasks more are assigned, of 18 and 6 CPUs where 20 may be used", 3+i, openTasks(decodeCommit(commit)))
			}
		}
	}
}

// Once the feed shows which of the two was written, the rest is free again.
func TestReservationEndsWithTheRecord(t *testing.T) {
	now, c := newLeaderWithoutGuarantee()
	_, second := unansweredThenSmaller(t, now, c)
	c.ApplyCommitResult(now, "run-1", false, 7)
	written := decodeCommit(second)
	written.End = wire.JobCancelled // its other tasks are not assigned any more
	c.ApplyJob(now, written.ID, written, 7)
	other := &records.Job{ID: "run-2", AcceptedMS: now.UnixMilli(), Spec: wire.Submission{ID: "run-2", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 1, CPUs: 6, MemoryGB: 1}}
	c.ApplyAggregate(now, closedAggregate(60, 10))
	c.ApplyJob(now, other.ID, other, 8)
	for _, commit := range c.Step(now.Add(3 * time.Second)) {
		if commit.JobID == other.ID {
			return
		}
	}
	t.Error("the other job is not assigned though 14 CPUs of the limit are free")
}
