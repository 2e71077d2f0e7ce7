package leader

import (
	"testing"
	"time"

	"ravenport/records"
	"ravenport/wire"
)

// A commit without a result may still be applied. The quota that it would use therefore
// stays reserved when the leader assigns the job again with fewer tasks. A leader that
// reserved quota only for its last commit passed all other tests, but an earlier commit that
// was applied late made the team exceed its limit.

// commitWithoutResultThenSmaller makes the leader assign three tasks of a job, receive no
// result, and then assign one task of the same job to the capacity that is left. It returns
// both commits.
func commitWithoutResultThenSmaller(t *testing.T, now time.Time, core *Core) (first, second Commit) {
	t.Helper()
	job := &records.Job{ID: "run-1", AcceptedMS: now.UnixMilli(), Spec: wire.Submission{ID: "run-1", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Zone: "a", Tasks: 3, CPUs: 6, MemoryGB: 1}}
	core.ApplyAggregate(now, aggregateWithoutScaleOut(18, 1))
	core.ApplyJob(now, job.ID, job, 1)
	commits := core.Step(now)
	if len(commits) != 1 || openTasks(decodeCommit(commits[0])) != 3 {
		t.Fatalf("first round: %d commits, %+v, want one commit of three tasks", len(commits), decodeCommit(commits[0]).Assignments)
	}
	core.ApplyCommitResult(now, job.ID, false, 0)
	core.ApplyAggregate(now, aggregateWithoutScaleOut(6, 1))
	later := now.Add(2 * time.Second)
	again := core.Step(later)
	if len(again) != 1 || openTasks(decodeCommit(again[0])) != 1 {
		t.Fatalf("second round: %d commits, %+v, want one commit of one task", len(again), decodeCommit(again[0]).Assignments)
	}
	return commits[0], again[0]
}

// newLeaderWithoutGuarantee returns a leader whose team has a limit of 20 CPUs and no
// guaranteed quota.
func newLeaderWithoutGuarantee() (time.Time, *Core) {
	now, set := time.Unix(1000, 0), testSettings()
	set.Deployment.Teams[0].GuaranteedCPUs = 0
	core := New(set, 1, now, nil, nil)
	core.SetAuthority(now.Add(time.Hour))
	return now, core
}

// aggregateWithoutScaleOut returns the aggregate of a shard that cannot scale out.
func aggregateWithoutScaleOut(cpus float64, machines int) Aggregate {
	aggregate := testAggregate("a", 1, cpus, machines)
	aggregate.CanScaleOutOnDemand, aggregate.CanScaleOutSpot = false, false
	return aggregate
}

func TestCommitWithoutResultStaysReserved(t *testing.T) {
	now, core := newLeaderWithoutGuarantee()
	commitWithoutResultThenSmaller(t, now, core)
	// The first commit uses 18 of the team's 20 CPUs if it is applied late.
	other := &records.Job{ID: "run-2", AcceptedMS: now.UnixMilli(), Spec: wire.Submission{ID: "run-2", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 1, CPUs: 6, MemoryGB: 1}}
	core.ApplyAggregate(now, aggregateWithoutScaleOut(60, 10))
	core.ApplyJob(now, other.ID, other, 2)
	for i := range 20 {
		for _, commit := range core.Step(now.Add(time.Duration(3+i) * time.Second)) {
			if commit.JobID == other.ID {
				t.Fatalf("after %d s %d more tasks of 6 CPUs are assigned: 18 CPUs are reserved and the limit is 20", 3+i, openTasks(decodeCommit(commit)))
			}
		}
	}
}

// When the feed shows which of the two commits was written, the rest of the reserved quota
// is released.
func TestReservationEndsWithTheRecord(t *testing.T) {
	now, core := newLeaderWithoutGuarantee()
	_, second := commitWithoutResultThenSmaller(t, now, core)
	core.ApplyCommitResult(now, "run-1", false, 7)
	written := decodeCommit(second)
	written.End = wire.JobCancelled // so that the job's other tasks are not assigned
	core.ApplyJob(now, written.ID, written, 7)
	other := &records.Job{ID: "run-2", AcceptedMS: now.UnixMilli(), Spec: wire.Submission{ID: "run-2", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 1, CPUs: 6, MemoryGB: 1}}
	core.ApplyAggregate(now, aggregateWithoutScaleOut(60, 10))
	core.ApplyJob(now, other.ID, other, 8)
	for _, commit := range core.Step(now.Add(3 * time.Second)) {
		if commit.JobID == other.ID {
			return
		}
	}
	t.Error("the other job is not assigned although 14 CPUs of the limit are free")
}
