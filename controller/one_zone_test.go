package controller

import (
	"fmt"
	"testing"
	"time"

	"ravenport/wire"
)

// TestJobOfOneZoneLosesItsZone: the tasks of a job that must be in one zone lose their machine, and
// the cloud has no other one in that zone. The owner returned the tasks to the leader one by one.
// Each of them was assigned to the same zone again because of the others, for ever, although
// another zone had room for all of them.
func TestJobOfOneZoneLosesItsZone(t *testing.T) {
	jobs := map[string]func(*wire.Submission){
		"an array": func(*wire.Submission) {},
		"a service": func(s *wire.Submission) {
			s.Kind, s.Priority, s.EstimateS = wire.KindService, wire.PriorityProduction, 0
		},
		"a gang":     func(s *wire.Submission) { s.Kind, s.CheckpointIntervalS, s.CheckpointSaveS = wire.KindGang, 4, 1 },
		"many tasks": func(s *wire.Submission) { s.Tasks, s.CPUs = 13, 0.3 },
	}
	var list []scenario
	for name, change := range jobs {
		list = append(list, scenario{
			name: name, zones: faultZones, times: lease26Times, seeds: []uint64{1, 2},
			configure: func(w *world) {
				for _, zone := range faultZones {
					w.capacity[zone+"/on-demand"], w.capacity[zone+"/spot"] = 1, 0
				}
			},
			body: func(t *testing.T, w *world) {
				go w.simulateGangs()
				j := w.newArray("run-000001", 3, 1.3, 60) // fits beside a service on one machine
				j.spec.OneZone, j.spec.Spot = true, false
				change(&j.spec)
				go w.runUser(j, 0, 0)
				w.waitAllRunning(t, []*simJob{j})
				lost := w.machinesRunning(j.spec.ID)[0].zone
				services := w.fillOtherZones(lost)
				w.waitAllRunning(t, services)
				w.locked(func() {
					for name, m := range w.machines {
						if m.zone == lost {
							w.removeMachine(name)
						}
					}
					clear(w.capacity)
					w.faultFreeSince = time.Now()
				})
				starts := func() int { w.mu.Lock(); defer w.mu.Unlock(); return j.starts }
				before := starts()
				w.waitUntil(t, "all tasks have started again", 3*time.Minute, func() bool { return starts() >= before+j.spec.Tasks || w.hasEnded(j) })
			},
		})
	}
	runScenarios(t, list)
}

// fillOtherZones starts a service of one task in each zone but one, which takes half a machine.
func (w *world) fillOtherZones(except string) []*simJob {
	var services []*simJob
	for i, zone := range faultZones {
		if zone == except {
			continue
		}
		j := w.newArray(fmt.Sprintf("run-%06d", 10+i), 1, 4, 0)
		j.spec.Kind, j.spec.Priority, j.spec.Spot, j.spec.Zone = wire.KindService, wire.PriorityProduction, false, zone
		go w.runUser(j, 0, 0)
		services = append(services, j)
	}
	return services
}
