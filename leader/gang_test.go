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

// A gang is assigned to one shard as one range: to one that could start it now, however
// little capacity is left elsewhere, and on machines with its image if there are any.
func TestGangGoesWhole(t *testing.T) {
	now := time.Unix(1000, 0)
	set := testSettings()
	job := gangJob(6)
	shape := GangShape(&job.Spec)
	for name, want := range map[string]string{"room": "b", "image": "c"} {
		c := New(set, 1, now, nil, nil)
		c.SetAuthority(now.Add(time.Hour))
		for _, z := range set.Deployment.Zones {
			a := testAggregate(z, 1, 16, 2) // the sums say that it fits everywhere
			a.Gangs = map[string]GangCapacity{shape: {Now: 4}}
			if z == "b" || z == "c" && name == "image" {
				a.Gangs[shape] = GangCapacity{Now: 6}
			}
			if z == "c" && name == "image" {
				a.Gangs[shape] = GangCapacity{Now: 6, Warm: 6}
			}
			c.ApplyAggregate(now, a)
		}
		c.ApplyJob(now, "run-1", job, 5)
		commits := c.Step(now)
		if len(commits) != 1 {
			t.Fatalf("%s: %d assignments", name, len(commits))
		}
		rec := decodeCommit(commits[0])
		if len(rec.Assignments) != 1 || rec.Assignments[0].Tasks() != 6 || rec.Assignments[0].Shard != want || rec.Attempt != 0 {
			t.Fatalf("%s: %+v, wanted all in %s", name, rec, want)
		}
	}
}

// A gang that must not be in one shard is spread under an attempt number that rises with
// each assignment, and is assigned again only when owners have sent all of it back.
func TestSpreadGangIsNumbered(t *testing.T) {
	now, set, c := newTestLeader()
	job := gangJob(5)
	job.Spec.Spread = true
	push := func() {
		for _, z := range set.Deployment.Zones {
			c.ApplyAggregate(now, testAggregate(z, 1, 16, 2))
		}
	}
	rev := uint64(5)
	for attempt := uint64(1); attempt < 4; attempt++ {
		push()
		c.ApplyJob(now, "run-1", job, rev)
		commits := c.Step(now)
		if len(commits) != 1 {
			t.Fatalf("%d assignments", len(commits))
		}
		rec := decodeCommit(commits[0])
		in := map[string]int{}
		for _, ch := range rec.Assignments {
			in[ch.Shard] += ch.Tasks()
		}
		if len(in) < 2 || len(rec.Unassigned()) > 0 || rec.Attempt != attempt {
			t.Fatalf("%+v, wanted attempt %d over several shards", rec, attempt)
		}
		for z, n := range in {
			if n > 3 {
				t.Fatalf("%d of 5 tasks in %s", n, z)
			}
		}
		rev++
		c.ApplyCommitResult(now, "run-1", true, rev)
		c.ApplyJob(now, "run-1", rec, rev)
		half := rec.Clone()
		half.Assignments = half.Assignments[1:]
		rev++
		now = now.Add(time.Minute)
		push()
		c.ApplyJob(now, "run-1", half, rev)
		if commits := c.Step(now); len(commits) > 0 {
			t.Fatal("assigned again while some of it is in a shard")
		}
		job = half.Clone()
		job.Assignments = nil
		rev++
		now = now.Add(time.Minute)
	}
}

// A gang counts whole towards its team's quota limit: nothing of it is assigned before
// all fits, and all of it counts from then on.
func TestGangIsAdmittedWhole(t *testing.T) {
	now, set, c := newTestLeader()
	for _, z := range set.Deployment.Zones {
		c.ApplyAggregate(now, testAggregate(z, 1, 100, 10))
	}
	for i, tasks := range []int{7, 4} { // of 2 CPUs, where the team may have 20
		j := gangJob(tasks)
		j.ID, j.Spec.ID, j.Spec.Team = []string{"run-1", "run-2"}[i], []string{"run-1", "run-2"}[i], "t"
		c.ApplyJob(now, j.ID, j, uint64(5+i))
	}
	commits := c.Step(now)
	if len(commits) != 1 {
		t.Fatalf("%d gangs of 14 and 8 CPUs were assigned within 20", len(commits))
	}
	if rec := decodeCommit(commits[0]); len(rec.Unassigned()) > 0 {
		t.Fatalf("%+v: not whole", rec)
	}
}

// Assignments that are repeated until they are written are few at a time, however
// many services a cold start brings: hundreds took the key-value store's requests
// from leases and from all other writes.
func TestFewUrgentAssignmentsAtOnce(t *testing.T) {
	now, set, c := newTestLeader()
	for _, z := range set.Deployment.Zones {
		c.ApplyAggregate(now, testAggregate(z, 1, 1000, 100))
	}
	for i := range 300 {
		j := gangJob(1)
		j.ID = "run-" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		j.Spec.ID, j.Spec.Kind, j.Spec.Priority = j.ID, wire.KindService, wire.PriorityProduction
		if i%2 == 0 {
			j.Spec.Kind, j.Spec.Priority = wire.KindArray, wire.PriorityNormal
		}
		c.ApplyJob(now, j.ID, j, uint64(5+i))
	}
	under := map[bool]int{}
	for round := range 20 {
		for _, cm := range c.Step(now) {
			under[cm.Urgent]++
			if round%2 == 1 {
				c.ApplyCommitResult(now, cm.JobID, cm.Urgent, 0)
				under[cm.Urgent]--
			}
		}
		now = now.Add(time.Second)
		for _, z := range set.Deployment.Zones {
			c.ApplyAggregate(now, testAggregate(z, uint64(1+round), 1000, 100))
		}
		if under[true] > constants.MaxUrgentInFlight || under[false] > constants.MaxAssignmentsInFlight {
			t.Fatalf("%v assignments under way", under)
		}
	}
	if under[true] == 0 || under[false] == 0 {
		t.Fatalf("%v assignments under way: one kind keeps out the other", under)
	}
}

// An assignment that its owner sent back as the gang completed elsewhere is closed: a
// closed assignment says that all is done. Found by a generated day on which the gang
// was done and never reported as such.
func TestRestOfDoneGangIsClosed(t *testing.T) {
	now, _, c := newTestLeader()
	job := gangJob(4)
	job.Spec.Spread, job.Attempt = true, 1
	job.Assignments = []records.Assignment{{From: 0, To: 2, Shard: "a", Closed: true}}
	c.ApplyJob(now, "run-1", job, 5)
	commits := c.Step(now)
	if len(commits) != 1 {
		t.Fatalf("%d writes", len(commits))
	}
	if rec := decodeCommit(commits[0]); rec.End != wire.JobDone || !rec.AllTasksClosed() {
		t.Fatalf("%+v", rec)
	}
}
