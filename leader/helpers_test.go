package leader

import (
	"log/slog"
	"os"
	"testing"
	"time"

	_ "ravenport/internal/testseed"
	"ravenport/records"
	"ravenport/settings"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

func testSettings() *settings.Settings {
	s := &settings.Settings{}
	s.Deployment.Zones = []string{"a", "b", "c"}
	s.Deployment.Store.ValueKB, s.Deployment.Store.WriteRPS = 8, 100
	s.Deployment.Teams = []settings.Team{{Name: "t", GuaranteedCPUs: 6, LimitCPUs: 20}, {Name: "free"}}
	return s
}

func testAggregate(shard string, revision uint64, cpus float64, machines int) Aggregate {
	aggregate := Aggregate{Shard: shard, Term: 1, Revision: revision, CanScaleOutOnDemand: true, CanScaleOutSpot: true, Capacity: cpus}
	for range machines {
		aggregate.OnDemand.Machines++
		aggregate.OnDemand.CPUs.Add(cpus / float64(machines))
		aggregate.OnDemand.Memory.Add(1000)
	}
	aggregate.OnDemand.CPUs.Finish(machines)
	aggregate.OnDemand.Memory.Finish(machines)
	return aggregate
}

// newTestLeader returns a leader that has authority but no aggregates and no jobs yet.
func newTestLeader() (time.Time, *settings.Settings, *Core) {
	now, set := time.Unix(1000, 0), testSettings()
	core := New(set, 1, now, nil, nil)
	core.SetAuthority(now.Add(time.Hour))
	return now, set, core
}

// store simulates the key-value store for the leader: a test may apply a commit with or
// without a reply, late, or not at all.
type store struct {
	jobs     map[string]*records.Job
	versions map[string]uint64
	revision uint64
}

func (s *store) put(job *records.Job) {
	s.revision++
	s.jobs[job.ID], s.versions[job.ID] = job, s.revision
}

// apply applies a commit unless the job's record has changed since the commit was made. It
// reports whether the commit was applied.
func (s *store) apply(commit Commit) bool {
	for _, condition := range commit.Txn.Conditions {
		if condition.Key == records.KeyJob(commit.JobID) && s.versions[commit.JobID] != condition.Version {
			return false
		}
	}
	s.put(decodeCommit(commit))
	return true
}

// decodeCommit returns the record that a commit would write.
func decodeCommit(commit Commit) *records.Job {
	record, err := records.Decode(commit.Txn.Changes[0].Put, commit.Txn.Changes[0].Value)
	if err != nil {
		panic(err)
	}
	return record.(*records.Job)
}
