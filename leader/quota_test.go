package leader

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ravenport/records"
	"ravenport/wire"
)

// limitsModel is a leader with a store that may apply commits late, with or without a
// reply, or not at all, while jobs are submitted and owners change assignments.
type limitsModel struct {
	now          time.Time
	store        *store
	leader       *Core
	readVersions map[string]uint64 // by job: the version of its record that the leader has read last
	lateCommits  []Commit
}

func newLimitsModel() *limitsModel {
	now := time.Unix(1000, 0)
	m := &limitsModel{
		now:          now,
		store:        &store{jobs: map[string]*records.Job{}, versions: map[string]uint64{}},
		leader:       New(testSettings(), 1, now, nil, nil),
		readVersions: map[string]uint64{},
	}
	m.leader.SetAuthority(now.Add(time.Hour))
	return m
}

// submit stores a new job.
func (m *limitsModel) submit(t *rapid.T, step int) {
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
	m.store.put(&records.Job{ID: s.ID, Spec: s})
}

// changeAssignment simulates an owner that closes an assignment or offloads its tasks.
func (m *limitsModel) changeAssignment(t *rapid.T) {
	for id, stored := range m.store.jobs {
		if len(stored.Assignments) == 0 || rapid.Bool().Draw(t, "skip") {
			continue
		}
		job := stored.Clone()
		i := rapid.IntRange(0, len(job.Assignments)-1).Draw(t, "assignment")
		if rapid.Bool().Draw(t, "close") {
			job.Assignments[i].Closed = true
		} else if !job.Assignments[i].Closed {
			job.Assignments = append(job.Assignments[:i], job.Assignments[i+1:]...)
		}
		job.ID = id
		m.store.put(job)
		return
	}
}

// readStore applies all changed records and new aggregates to the leader.
func (m *limitsModel) readStore() {
	for id, job := range m.store.jobs {
		if m.store.versions[id] > m.readVersions[id] {
			m.readVersions[id] = m.store.versions[id]
			m.leader.ApplyJob(m.now, id, job, m.store.versions[id])
		}
	}
	for _, zone := range []string{"a", "b", "c"} {
		m.leader.ApplyAggregate(m.now, testAggregate(zone, m.store.revision, 16, 2))
	}
}

// applyLateCommit applies the oldest of the late commits, if there is one.
func (m *limitsModel) applyLateCommit() {
	if len(m.lateCommits) > 0 {
		m.store.apply(m.lateCommits[0])
		m.lateCommits = m.lateCommits[1:]
	}
}

// resolveCommit draws whether a commit is applied, now or late, and whether the leader
// receives a reply, and applies the result to the leader.
func (m *limitsModel) resolveCommit(t *rapid.T, commit Commit) {
	revision := uint64(0)
	switch rapid.IntRange(0, 3).Draw(t, "fate") {
	case 0, 1:
		if m.store.apply(commit) {
			revision = m.store.revision
		}
	case 2: // applied, but the reply is lost
		m.store.apply(commit)
	case 3: // applied late or never
		m.lateCommits = append(m.lateCommits, commit)
	}
	m.leader.ApplyCommitResult(m.now, commit.JobID, commit.Urgent, revision)
}

// check verifies that the records in the store respect the quota limit and the zone rules.
func (m *limitsModel) check(t *rapid.T) {
	usedCPUs := 0.0
	for _, job := range m.store.jobs {
		zones := map[string]int{}
		next := 0
		for _, a := range job.Assignments {
			if a.From < next {
				t.Fatalf("%s: assignments overlap: %+v", job.ID, job.Assignments)
			}
			next = a.To
			if !a.Closed {
				usedCPUs += float64(a.Tasks()) * job.Spec.CPUs
				zones[a.Shard] += a.Tasks()
			}
		}
		for zone, n := range zones {
			if job.Spec.Spread && n > (job.Spec.Tasks+1)/2 {
				t.Fatalf("%s: %d of %d tasks in %s, want at most half, rounded up", job.ID, n, job.Spec.Tasks, zone)
			}
		}
		if job.Spec.OneZone && len(zones) > 1 {
			t.Fatalf("%s: must be in one zone, is in %v", job.ID, zones)
		}
	}
	if usedCPUs > 20+1e-6 {
		t.Fatalf("team uses %g CPUs, limit is 20", usedCPUs)
	}
}

// The tasks in open assignments never exceed a team's quota limit and never violate a job's
// zone rules, even if replies are lost or commits are applied late.
func TestLimitsHoldUnderLostAndLateWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLimitsModel()
		for step := range rapid.IntRange(5, 40).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				m.submit(t, step)
			case 1:
				m.changeAssignment(t)
			case 2:
				m.readStore()
			case 3:
				m.applyLateCommit()
			}
			for _, commit := range m.leader.Step(m.now) {
				m.resolveCommit(t, commit)
			}
			m.check(t)
		}
	})
}

// The quota reserved for a commit whose reply was lost is released when a newer record of
// the job arrives. It must not stay reserved until the job ends.
func TestReservationEndsWithNewerRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	core := New(testSettings(), 1, now, nil, nil)
	core.SetAuthority(now.Add(time.Hour))
	core.ApplyAggregate(now, testAggregate("a", 1, 64, 4))
	job := &records.Job{ID: "run-1", Spec: wire.Submission{ID: "run-1", Team: "t", Kind: wire.KindService, Priority: wire.PriorityNormal, Tasks: 2, CPUs: 5, MemoryGB: 1}}
	core.ApplyJob(now, "run-1", job, 5)
	commits := core.Step(now)
	if len(commits) != 1 {
		t.Fatalf("%d commits, want 1", len(commits))
	}
	core.ApplyCommitResult(now, "run-1", false, 0) // the commit was written, but the reply was lost
	if cpus := core.usedQuotaExcept("t", "").cpus; cpus != 10 {
		t.Fatalf("%g CPUs counted while the commit may still be applied, want 10", cpus)
	}
	core.ApplyJob(now, "run-1", decodeCommit(commits[0]), 6)
	if cpus := core.usedQuotaExcept("t", "").cpus; cpus != 10 {
		t.Fatalf("%g CPUs counted, want the 10 of the record", cpus)
	}
}

// A service that needs all of its team's quota limit is admitted even if small services of
// the same team are submitted continuously.
func TestLargeServiceIsAdmitted(t *testing.T) {
	now := time.Unix(1000, 0)
	core := New(testSettings(), 1, now, nil, nil)
	revision := uint64(0)
	type run struct {
		job *records.Job
		end time.Time
	}
	jobs := map[string]*run{}
	put := func(job *records.Job) {
		revision++
		core.ApplyJob(now, job.ID, job, revision)
	}
	submit := func(id string, tasks int) {
		job := &records.Job{ID: id, AcceptedMS: now.UnixMilli(), Spec: wire.Submission{ID: id, Team: "t", Kind: wire.KindService, Priority: wire.PriorityNormal, Tasks: tasks, CPUs: 2, MemoryGB: 1}}
		jobs[id] = &run{job: job, end: now.Add(40 * time.Second)}
		put(job)
	}
	start := now
	for i := 0; now.Sub(start) < 4*time.Minute; i++ {
		core.SetAuthority(now.Add(time.Hour))
		if i%10 == 0 {
			submit(fmt.Sprintf("run-small-%d", i), 1)
		}
		if i == 100 {
			submit("run-large", 10) // all 20 CPUs of the limit
		}
		for _, zone := range []string{"a", "b", "c"} {
			core.ApplyAggregate(now, testAggregate(zone, revision, 64, 4))
		}
		for _, commit := range core.Step(now) {
			if commit.JobID == "run-large" {
				return
			}
			job := decodeCommit(commit)
			jobs[commit.JobID].job, jobs[commit.JobID].end = job, now.Add(40*time.Second)
			put(job)
			core.ApplyCommitResult(now, commit.JobID, commit.Urgent, revision)
		}
		for _, r := range jobs { // cancel and close services that have run for 40 s
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
	t.Fatal("large service not admitted within four minutes")
}
