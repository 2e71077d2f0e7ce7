package controller

import (
	"testing"
	"time"

	"ravenport/wire"
)

// TestZoneWithoutMachines: tasks were assigned to a zone in which the cloud has no machines at all,
// and waited there for ever although the cloud has machines in the other zones.
func TestZoneWithoutMachines(t *testing.T) {
	jobs := map[string]func(*wire.Submission){
		"an array":             func(*wire.Submission) {},
		"an on-demand array":   func(s *wire.Submission) { s.Spot = false },
		"an array of one zone": func(s *wire.Submission) { s.OneZone = true },
		"a spread array":       func(s *wire.Submission) { s.Spread = true },
		"a gang":               func(s *wire.Submission) { s.Kind, s.CheckpointIntervalS, s.CheckpointSaveS = wire.KindGang, 4, 1 },
		"a gang of one zone": func(s *wire.Submission) {
			s.Kind, s.CheckpointIntervalS, s.CheckpointSaveS, s.OneZone = wire.KindGang, 4, 1, true
		},
		"a service": func(s *wire.Submission) {
			s.Kind, s.Priority, s.Spot, s.EstimateS = wire.KindService, wire.PriorityProduction, false, 0
		},
		"an array for some types": func(s *wire.Submission) { s.Types = []string{"box", "other"} },
	}
	var list []scenario
	for name, change := range jobs {
		list = append(list, scenario{
			name: name, zones: faultZones, times: lease26Times, seeds: []uint64{1, 2},
			configure: func(w *world) { w.capacity["a/on-demand"], w.capacity["a/spot"] = 0, 0 },
			body: func(t *testing.T, w *world) {
				go w.simulateGangs()
				j := w.newArray("run-000001", 4, 4, 20)
				change(&j.spec)
				go w.runUser(j, 0, 0)
				started := func() bool {
					w.mu.Lock()
					defer w.mu.Unlock()
					return j.starts >= j.spec.Tasks
				}
				w.waitUntil(t, "all tasks have started", 4*time.Minute, started)
			},
		})
	}
	runScenarios(t, list)
}
