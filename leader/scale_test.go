package leader

import (
	"fmt"
	"testing"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// backlog returns a leader with many unassigned jobs and the maximum number of commits in
// flight, which is its state for a while after a cold start and during a burst.
func backlog(jobs int) (*Core, time.Time) {
	now := time.Unix(1000, 0)
	jobRecords, versions := map[string]*records.Job{}, map[string]uint64{}
	for i := range jobs {
		s := wire.Submission{ID: fmt.Sprintf("run-%04d", i), Class: "c", Team: "free", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 80, CPUs: 4, MemoryGB: 12, EstimateS: float64(10 + i%20), Spot: true}
		if i%3 == 0 {
			s.Kind, s.Priority, s.Tasks, s.Spread, s.Spot = wire.KindService, wire.PriorityProduction, 8, true, false
		}
		jobRecords[s.ID], versions[s.ID] = &records.Job{ID: s.ID, Spec: s, AcceptedMS: now.UnixMilli() - int64(i)*100}, uint64(10+i)
	}
	core := New(testSettings(), 5, now, jobRecords, versions)
	core.SetAuthority(now.Add(time.Hour))
	for _, zone := range []string{"a", "b", "c"} {
		core.ApplyAggregate(now, testAggregate(zone, 1, 6400, 400))
	}
	// On a slow computer a round may exceed its time budget and end early.
	for i := 0; i < 1000 && (core.urgentInFlight < constants.MaxUrgentInFlight || core.nonUrgentInFlight < constants.MaxAssignmentsInFlight); i++ {
		core.Step(now)
	}
	return core, now
}

func BenchmarkBacklogStep(b *testing.B) {
	c, now := backlog(600)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		c.Step(now)
	}
}

// While the maximum number of commits is in flight, a round costs no more than one pass over
// the waiting jobs and allocates no memory per job.
func TestBacklogStepAllocatesLittle(t *testing.T) {
	c, now := backlog(600)
	if c.urgentInFlight == 0 || c.nonUrgentInFlight == 0 {
		t.Fatal("no urgent commits or no other commits are in flight")
	}
	n := testing.AllocsPerRun(50, func() {
		now = now.Add(10 * time.Millisecond)
		if len(c.Step(now)) > 0 {
			t.Fatal("tasks were assigned beyond the bounds on commits in flight")
		}
	})
	if n > 3 {
		t.Fatalf("%g allocations in a round, want at most 3", n)
	}
}
