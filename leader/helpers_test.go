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

// newTestLeader returns a leader with authority that has no aggregates and no jobs yet.
func newTestLeader() (time.Time, *settings.Settings, *Core) {
	now, set := time.Unix(1000, 0), testSettings()
	c := New(set, 1, now, nil, nil)
	c.SetAuthority(now.Add(time.Hour))
	return now, set, c
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
