package leader

import (
	"fmt"
	"log/slog"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ravenport/constants"
	_ "ravenport/internal/testseed"
	"ravenport/records"
	"ravenport/settings"
	"ravenport/wire"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

func testSettings() *settings.Settings {
	s := &settings.Settings{}
	s.Deployment.Zones = []string{"a", "b", "c"}
	s.Deployment.Store.ValueKB, s.Deployment.Store.WriteRPS = 8, 100
	s.Deployment.Teams = []settings.Team{{Name: "t", CPUs: 6, CPUsMax: 20}, {Name: "free"}}
	return s
}

func testAggregate(shard string, rev uint64, cpus float64, machines int) Aggregate {
	a := Aggregate{Shard: shard, Term: 1, Revision: rev, CanScaleOutOnDemand: true, CanScaleOutSpot: true, Capacity: cpus}
	for range machines {
		a.OnDemand.Machines++
		a.OnDemand.CPUs.Add(cpus / float64(machines))
		a.OnDemand.Memory.Add(1000)
	}
	a.OnDemand.CPUs.Finish(machines)
	a.OnDemand.Memory.Finish(machines)
	return a
}

// store is the key-value store as the leader sees it: a write may be applied with or
// without a reply, late, or not at all.
type store struct {
	jobs    map[string]*records.Job
	version map[string]uint64
	rev     uint64
}

func (s *store) put(j *records.Job) {
	s.rev++
	s.jobs[j.ID], s.version[j.ID] = j, s.rev
}

func (s *store) try(cm Commit) bool {
	for _, c := range cm.Txn.Conditions {
		if c.Key == records.KeyJob(cm.JobID) && s.version[cm.JobID] != c.Version {
			return false
		}
	}
	s.put(decodeCommit(cm))
	return true
}

// decodeCommit is the record that a commit would write.
func decodeCommit(cm Commit) *records.Job {
	rec, err := records.Decode(cm.Txn.Changes[0].Put, cm.Txn.Changes[0].Value)
	if err != nil {
		panic(err)
	}
	return rec.(*records.Job)
}

// Whatever replies are lost and whatever is written late, the tasks in open
// assignments never exceed a team's quota limit, nor a job's zone rules.
func TestLimitsHoldUnderLostAndLateWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		st := &store{jobs: map[string]*records.Job{}, version: map[string]uint64{}}
		c := New(testSettings(), 1, now, nil, nil)
		c.SetAuthority(now.Add(time.Hour))
		seen := map[string]uint64{}
		feed := func() {
			for id, j := range st.jobs {
				if st.version[id] > seen[id] {
					seen[id] = st.version[id]
					c.ApplyJob(now, id, j, st.version[id])
				}
			}
			for _, z := range []string{"a", "b", "c"} {
				c.ApplyAggregate(now, testAggregate(z, st.rev, 16, 2))
			}
		}
		var late []Commit
		for step := range rapid.IntRange(5, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				s := wire.Submission{ID: fmt.Sprintf("run-%d", step), Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal,
					Tasks: rapid.IntRange(1, 8).Draw(t, "tasks"), CPUs: rapid.Float64Range(0.5, 6).Draw(t, "cpus"), MemoryGB: 1, Spot: true}
				switch rapid.IntRange(0, 3).Draw(t, "rule") {
				case 0:
					s.Spread = true
				case 1:
					s.OneZone = true
				case 2:
					s.Kind, s.Tasks = wire.KindService, 2
				}
				st.put(&records.Job{ID: s.ID, Spec: s})
			case 1: // an owner closes an assignment or sends it back
				for id, j := range st.jobs {
					if len(j.Assignments) == 0 || rapid.Bool().Draw(t, "skip") {
						continue
					}
					k := j.Clone()
					i := rapid.IntRange(0, len(k.Assignments)-1).Draw(t, "assignment")
					if rapid.Bool().Draw(t, "close") {
						k.Assignments[i].Closed = true
					} else if !k.Assignments[i].Closed {
						k.Assignments = append(k.Assignments[:i], k.Assignments[i+1:]...)
					}
					k.ID = id
					st.put(k)
					break
				}
			case 2:
				feed()
			case 3:
				if len(late) > 0 {
					st.try(late[0])
					late = late[1:]
				}
			}
			for _, cm := range c.Step(now) {
				switch rapid.IntRange(0, 3).Draw(t, "fate") {
				case 0, 1:
					if st.try(cm) {
						c.ApplyCommitResult(now, cm.JobID, cm.Urgent, st.rev)
					} else {
						c.ApplyCommitResult(now, cm.JobID, cm.Urgent, 0)
					}
				case 2: // applied, the reply lost
					st.try(cm)
					c.ApplyCommitResult(now, cm.JobID, cm.Urgent, 0)
				case 3: // applied later, or never
					late = append(late, cm)
					c.ApplyCommitResult(now, cm.JobID, cm.Urgent, 0)
				}
			}
			use := 0.0
			for _, j := range st.jobs {
				zones := map[string]int{}
				at := 0
				for _, ch := range j.Assignments {
					if ch.From < at {
						t.Fatalf("%s: assignments overlap: %+v", j.ID, j.Assignments)
					}
					at = ch.To
					if !ch.Closed {
						use += float64(ch.Tasks()) * j.Spec.CPUs
						zones[ch.Shard] += ch.Tasks()
					}
				}
				for z, n := range zones {
					if j.Spec.Spread && n > (j.Spec.Tasks+1)/2 {
						t.Fatalf("%s: %d of %d tasks in %s", j.ID, n, j.Spec.Tasks, z)
					}
				}
				if j.Spec.OneZone && len(zones) > 1 {
					t.Fatalf("%s: one zone, but %v", j.ID, zones)
				}
			}
			if use > 20+1e-6 {
				t.Fatalf("team uses %g of 20 CPUs", use)
			}
		}
	})
}

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

// A job that can still meet its objective comes before one that missed it;
// priority, being overdue and the guaranteed quota come before both.
func TestOrder(t *testing.T) {
	o := NewJobOrder([]settings.Objective{{Kind: "finished", Class: "c", WithinS: 90}})
	now := time.Unix(10000, 0)
	job := func(id string, age, estimate float64, priority string) *records.Job {
		return &records.Job{ID: id, AcceptedMS: now.UnixMilli() - int64(age*1000), Spec: wire.Submission{ID: id, Class: "c", Kind: wire.KindArray, Priority: priority, Tasks: 1, CPUs: 1, EstimateS: estimate}}
	}
	in := []struct {
		rec      *records.Job
		progress JobProgress
	}{
		{job("prod", 0, 10, wire.PriorityProduction), JobProgress{}},
		{job("overdue", constants.OverdueAfter.Seconds()+1, 10, wire.PriorityNormal), JobProgress{}},
		{job("guaranteed", 0, 10, wire.PriorityNormal), JobProgress{WithinGuarantee: true}},
		{job("older", 50, 10, wire.PriorityNormal), JobProgress{}},
		{job("newer", 5, 10, wire.PriorityNormal), JobProgress{}},
		{job("begun", constants.OverdueAfter.Seconds()+1, 10, wire.PriorityNormal), JobProgress{Started: true}},
		{job("missed", 100, 10, wire.PriorityNormal), JobProgress{}},
		{job("low", 50, 10, wire.PriorityLow), JobProgress{WithinGuarantee: true}},
	}
	for i := range in {
		for k := i + 1; k < len(in); k++ {
			a, b := o.Rank(now, in[i].rec, in[i].progress), o.Rank(now, in[k].rec, in[k].progress)
			if !a.Before(b) || b.Before(a) {
				t.Errorf("%s does not come before %s", in[i].rec.ID, in[k].rec.ID)
			}
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

// The quota reserved for a commit whose reply was lost is freed by the next record; it
// must not count for as long as the job lives.
func TestReservationEndsWithNewerRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(testSettings(), 1, now, nil, nil)
	c.SetAuthority(now.Add(time.Hour))
	c.ApplyAggregate(now, testAggregate("a", 1, 64, 4))
	job := &records.Job{ID: "run-1", Spec: wire.Submission{ID: "run-1", Team: "t", Kind: wire.KindService, Priority: wire.PriorityNormal, Tasks: 2, CPUs: 5, MemoryGB: 1}}
	c.ApplyJob(now, "run-1", job, 5)
	commits := c.Step(now)
	if len(commits) != 1 {
		t.Fatalf("%d assignments", len(commits))
	}
	c.ApplyCommitResult(now, "run-1", false, 0) // the reply was lost, but it was written
	if cpus := c.usedQuotaExcept("t", "").cpus; cpus != 10 {
		t.Fatalf("%g CPUs counted while the write may still come, wanted 10", cpus)
	}
	c.ApplyJob(now, "run-1", decodeCommit(commits[0]), 6)
	if cpus := c.usedQuotaExcept("t", "").cpus; cpus != 10 {
		t.Fatalf("%g CPUs counted, wanted the 10 of the record", cpus)
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

// A service that needs all of its team's quota limit is admitted, though small ones of
// the team are submitted all the time.
func TestLargeServiceIsAdmitted(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(testSettings(), 1, now, nil, nil)
	rev := uint64(0)
	type run struct {
		job *records.Job
		end time.Time
	}
	jobs := map[string]*run{}
	put := func(j *records.Job) {
		rev++
		c.ApplyJob(now, j.ID, j, rev)
	}
	submit := func(id string, tasks int) {
		j := &records.Job{ID: id, AcceptedMS: now.UnixMilli(), Spec: wire.Submission{ID: id, Team: "t", Kind: wire.KindService, Priority: wire.PriorityNormal, Tasks: tasks, CPUs: 2, MemoryGB: 1}}
		jobs[id] = &run{job: j, end: now.Add(40 * time.Second)}
		put(j)
	}
	began := now
	for i := 0; now.Sub(began) < 4*time.Minute; i++ {
		c.SetAuthority(now.Add(time.Hour))
		if i%10 == 0 {
			submit(fmt.Sprintf("run-small-%d", i), 1)
		}
		if i == 100 {
			submit("run-large", 10) // all 20 CPUs
		}
		for _, z := range []string{"a", "b", "c"} {
			c.ApplyAggregate(now, testAggregate(z, rev, 64, 4))
		}
		for _, cm := range c.Step(now) {
			if cm.JobID == "run-large" {
				return
			}
			j := decodeCommit(cm)
			jobs[cm.JobID].job, jobs[cm.JobID].end = j, now.Add(40*time.Second)
			put(j)
			c.ApplyCommitResult(now, cm.JobID, cm.Urgent, rev)
		}
		for _, r := range jobs { // services that have run for a while are cancelled and closed
			if len(r.job.Assignments) > 0 && now.After(r.end) && r.job.End == "" {
				r.job = r.job.Clone()
				r.job.End = wire.JobCancelled
				for k := range r.job.Assignments {
					r.job.Assignments[k].Closed = true
				}
				put(r.job)
			}
		}
		now = now.Add(200 * time.Millisecond)
	}
	t.Fatal("not admitted within four minutes")
}
