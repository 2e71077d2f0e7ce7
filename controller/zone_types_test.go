package controller

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"ravenport/records"
	"ravenport/wire"
)

// typeRuns lets a developer simulate more random runs with several machine types than CI does.
var typeRuns = flag.Uint64("types.days", 6, "number of random runs with several machine types, at most sim.days")

// submitForType submits one job of each kind that allows only one machine type. Its tasks run for
// runS seconds; services are cancelled after that.
func (w *world) submitForType(first int, machineType string, runS float64) (arrays, others []*simJob) {
	add := func(kind wire.JobKind, tasks int, change func(*wire.Submission)) *simJob {
		first++
		j := w.newArray(fmt.Sprintf("run-%06d", first), tasks, 2, runS)
		j.spec.Kind, j.spec.Types = kind, []string{machineType}
		change(&j.spec)
		cancelAfter := time.Duration(0)
		if kind == wire.KindService {
			j.spec.Priority, j.spec.Spot, j.spec.EstimateS = wire.PriorityProduction, false, 0
			cancelAfter = time.Duration(runS) * time.Second
		}
		go w.runUser(j, 0, cancelAfter)
		return j
	}
	arrays = append(arrays,
		add(wire.KindArray, 2, func(s *wire.Submission) {}),
		add(wire.KindArray, 3, func(s *wire.Submission) { s.OneZone = true }),
		add(wire.KindArray, 3, func(s *wire.Submission) { s.Spot = false }))
	others = append(others,
		add(wire.KindGang, 2, func(s *wire.Submission) { s.CheckpointIntervalS, s.CheckpointSaveS = 4, 1 }),
		add(wire.KindService, 2, func(s *wire.Submission) {}))
	return arrays, others
}

// TestTypeOfOneZone: a task that may run only on a machine type of one zone was assigned to other
// zones, again and again, and never ran. Here the machines of that zone stop with all their tasks,
// while the other zones have room and the leader or the zone's owner changes.
func TestTypeOfOneZone(t *testing.T) {
	run := func(change func(*testing.T, *world)) func(*testing.T, *world) {
		return func(t *testing.T, w *world) {
			go w.simulateGangs()
			w.startService("run-000002", 2)
			w.startService("run-000003", 2)
			arrays, others := w.submitForType(100, "tub", 60)
			w.waitAllRunning(t, arrays, others)
			w.locked(func() {
				for _, m := range w.machines {
					if m.zone == "c" {
						m.recordState("machine stops")
						m.hung, m.disconnected = true, true
					}
				}
			})
			change(t, w)
			time.Sleep(w.times.lease())
			w.locked(func() {
				for _, m := range w.machines {
					if m.zone == "c" && m.hung {
						w.removeMachine(m.name)
					}
				}
			})
			w.endFaultsAndWait(t, 8*time.Minute, append(arrays, others[0]))
		}
	}
	list := []scenario{
		{name: "machines stop", body: run(func(*testing.T, *world) {})},
		{name: "machines stop and the leader ends", body: run(func(t *testing.T, w *world) {
			w.expectNewTerm(t, records.KeyLeader, func() { w.leaderController().restart(2 * time.Second) })
		})},
		{name: "machines stop and the owner ends", body: run(func(t *testing.T, w *world) {
			w.expectNewTerm(t, records.KeyShard("c"), func() { w.ownerController("c").restart(2 * time.Second) })
		})},
		{name: "machines stop and all controllers end", body: run(func(t *testing.T, w *world) {
			for _, n := range w.controllers {
				n.restart(w.randomDuration(500*time.Millisecond, 3*time.Second))
			}
		})},
	}
	for i := range list {
		list[i].zones, list[i].times, list[i].seeds = faultZones, lease26Times, []uint64{1, 2}
		list[i].configure = func(w *world) { w.zoneTypes = map[string]string{"c": "tub"} }
	}
	runScenarios(t, list)
}

// Under random faults no rule of the protocol is broken, no job waits beside a machine that fits
// and every accepted job ends, where one zone offers another machine type than the others and
// half of the jobs allow one type only.
func TestRulesHoldWithSeveralTypes(t *testing.T) {
	discardLogs(t)
	for seed := *firstSeed; seed < *firstSeed+min(*randomRuns, *typeRuns); seed++ {
		zones := []string{"a", "b", "c"}[:2+seed%2]
		last := zones[len(zones)-1]
		synctest.Test(t, func(t *testing.T) {
			w := runRandomWorkload(t, seed, zones, func(w *world) {
				w.zoneTypes = map[string]string{last: "tub"}
				w.changeSubmission = func(i int, s *wire.Submission) {
					if i%2 == 0 || s.Zone != "" {
						return
					}
					s.Types, s.Spread = []string{w.typeIn(zones[i/2%len(zones)])}, false
				}
			})
			w.checkRandomWorkload(t, seed)
		})
	}
}
