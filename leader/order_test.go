package leader

import (
	"testing"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/settings"
	"ravenport/wire"
)

// A job that can still meet its objective comes before one that missed it. Priority, being
// overdue and the guaranteed quota take precedence over objectives.
func TestOrder(t *testing.T) {
	order := NewJobOrder([]settings.Objective{{Kind: "finished", Class: "c", WithinS: 90}})
	now := time.Unix(10000, 0)
	job := func(id string, age, estimate float64, priority wire.Priority) *records.Job {
		return &records.Job{ID: id, AcceptedMS: now.UnixMilli() - int64(age*1000), Spec: wire.Submission{ID: id, Class: "c", Kind: wire.KindArray, Priority: priority, Tasks: 1, CPUs: 1, EstimateS: estimate}}
	}
	ranked := []struct {
		record   *records.Job
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
	for i := range ranked {
		for k := i + 1; k < len(ranked); k++ {
			a, b := order.Rank(now, ranked[i].record, ranked[i].progress), order.Rank(now, ranked[k].record, ranked[k].progress)
			if !a.Before(b) || b.Before(a) {
				t.Errorf("%s does not come before %s", ranked[i].record.ID, ranked[k].record.ID)
			}
		}
	}
}
