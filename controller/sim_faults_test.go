package controller

import (
	"fmt"
	"testing"
	"time"

	"ravenport/wire"
)

// runRandomWorkload simulates a deployment with random jobs of every kind and random faults of
// every kind, which may overlap. It returns the world after the faults have ended and the jobs
// have had time to finish.
func runRandomWorkload(t *testing.T, seed uint64, zones []string, configure func(*world)) *world {
	t.Helper()
	w := newWorld(seed, zones, 3)
	if configure != nil {
		configure(w)
	}
	if seed%2 == 0 {
		w.addOldRecords()
	}
	for _, n := range w.controllers {
		n.start()
	}
	go w.expireLeases()
	go w.simulateGangs()
	time.AfterFunc(w.randomDuration(0, 200*time.Second), func() { w.mu.Lock(); w.limitsLowered = true; w.mu.Unlock() })
	for i := range 24 {
		s := w.randomSubmission(i, zones)
		if w.changeSubmission != nil {
			w.changeSubmission(i, &s)
		}
		j := &simJob{spec: s, doneTasks: map[int]bool{}}
		w.jobs[s.ID] = j
		var cancel time.Duration
		if s.IsService() || w.rng.IntN(6) == 0 {
			cancel = time.Duration(20+w.rng.IntN(150)) * time.Second
		}
		go w.runUser(j, time.Duration(w.rng.IntN(120))*time.Second, cancel)
	}
	injectFaults(w, 200*time.Second)
	w.endFaults()
	time.Sleep(240 * time.Second)
	close(w.done)
	for _, n := range w.controllers {
		n.kill()
	}
	time.Sleep(2 * time.Minute) // lets delayed messages and retries run out
	return w
}

// randomSubmission returns the submission of the i-th job of a random run.
func (w *world) randomSubmission(i int, zones []string) wire.Submission {
	s := wire.Submission{
		ID: fmt.Sprintf("run-%06d", i), Class: "c", Team: "free", Kind: wire.KindArray, Priority: wire.PriorityNormal,
		Tasks: 1 + w.rng.IntN(6), CPUs: float64(1 + w.rng.IntN(4)), MemoryGB: 1, Image: fmt.Sprintf("i-%d", w.rng.IntN(3)), ImageGB: 1,
		Spot: w.rng.IntN(2) == 0, EstimateS: float64(2 + w.rng.IntN(20)),
	}
	if i%3 == 0 {
		s.Kind, s.Priority, s.Spot, s.CPUs, s.EstimateS = wire.KindService, wire.PriorityProduction, false, 2, 0
		s.Tasks = 1 + w.rng.IntN(2)
		s.Spread = true
	}
	if i%4 == 1 {
		s.Team, s.CPUs = "tight", 3
	}
	if i%8 == 5 {
		s.OneZone, s.Spread = true, false
	}
	if i%6 == 2 {
		s.Kind, s.Tasks, s.CPUs = wire.KindGang, 2+w.rng.IntN(3), float64(1+w.rng.IntN(2))
		s.CheckpointIntervalS, s.CheckpointSaveS, s.Priority = 4, 1, []wire.Priority{wire.PriorityNormal, wire.PriorityHigh}[w.rng.IntN(2)]
		s.OneZone, s.Spread = w.rng.IntN(2) == 0, false
		if i%12 == 8 {
			s.OneZone, s.Spread = false, true
		}
	}
	if i%8 == 7 {
		s.Zone, s.Spread = zones[w.rng.IntN(len(zones))], false
	}
	return s
}

// endFaults ends all faults, so that every accepted job must end.
func (w *world) endFaults() {
	w.setOutage(false)
	w.mu.Lock()
	for _, n := range w.controllers {
		n.cutFromStore, n.cutFromWorkers, n.cutFromPeers, n.heartbeatsLost = false, false, false, false
	}
	w.cloudUnavailable, w.partitionedZone = false, ""
	for _, m := range w.machines {
		m.disconnected, m.hung, m.receivesNothing = false, false, false
	}
	w.faultFreeSince = time.Now()
	w.mu.Unlock()
	for _, n := range w.controllers {
		n.startIfDown()
	}
}

// injectFaults injects random faults for the given duration. Several may be active at once.
func injectFaults(w *world, duration time.Duration) {
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		time.Sleep(w.randomDuration(2*time.Second, 12*time.Second))
		target := w.controllers[int(w.randomDuration(0, time.Duration(len(w.controllers)-1)))]
		length := w.randomDuration(time.Second, 35*time.Second)
		switch w.randomDuration(0, 17) {
		case 0, 1: // a controller crashes and restarts after 0.2 s to 6 s
			target.kill()
			time.AfterFunc(w.randomDuration(200*time.Millisecond, 6*time.Second), target.startIfDown)
		case 2: // all controllers crash
			for _, n := range w.controllers {
				n.kill()
			}
			time.Sleep(w.randomDuration(200*time.Millisecond, 6*time.Second))
			for _, n := range w.controllers {
				n.startIfDown()
			}
		case 3: // a controller loses only its connection to the key-value store
			w.injectTemporarily(length, func(on bool) { target.cutFromStore = on })
		case 4: // a controller loses its connection to the workers
			w.injectTemporarily(length, func(on bool) { target.cutFromWorkers = on })
		case 5:
			w.setOutage(true)
			time.AfterFunc(length, func() { w.setOutage(false) })
		case 6, 7, 8: // a machine hangs, is disconnected, receives nothing, is reclaimed or restarts
			w.injectMachineFault(length)
		case 9:
			w.injectTemporarily(length, func(on bool) { w.cloudUnavailable = on })
		case 10: // a controller reaches the workers, but neither the key-value store nor the other controllers
			w.injectTemporarily(length, func(on bool) { target.cutFromStore, target.cutFromPeers = on, on })
		case 11: // a controller restarts within 0.3 s, and again in the middle of the election
			for range 2 {
				target.kill()
				time.Sleep(w.randomDuration(10*time.Millisecond, 300*time.Millisecond))
				target.startIfDown()
				time.Sleep(w.randomDuration(10*time.Millisecond, 1500*time.Millisecond))
			}
		case 12: // a controller loses its connection to the other controllers
			w.injectTemporarily(length, func(on bool) { target.cutFromPeers = on })
		case 13:
			if process := target.running(); process != nil {
				for range 5 {
					w.sendInvalidHeartbeat(process)
				}
			}
		case 14: // heartbeats do not reach a controller, while its commands reach the workers
			w.injectTemporarily(length, func(on bool) { target.heartbeatsLost = on })
		case 15: // a controller is frozen for less than its lease, while its clocks run
			target.freeze(w.randomDuration(200*time.Millisecond, 3*time.Second))
		case 16: // a controller is frozen for up to 35 s, which may exceed its lease and the workers' leases
			target.freeze(length)
			if w.chance(0.3) { // it restarts as the freeze ends, in the middle of an election
				time.AfterFunc(length, target.killAndStart)
			}
		case 17: // a zone with its controllers is partitioned from everything else
			w.injectTemporarily(2*length, func(on bool) {
				w.partitionedZone = ""
				if on {
					w.partitionedZone = target.set.Zone
				}
			})
		}
	}
}

// injectTemporarily activates a fault and ends it after d. It calls set with the lock held.
func (w *world) injectTemporarily(d time.Duration, set func(on bool)) {
	w.locked(func() { set(true); w.recordFaults() })
	time.AfterFunc(d, func() { w.locked(func() { set(false); w.recordFaults() }) })
}

// startIfDown starts the controller if it is not running.
func (n *simController) startIfDown() {
	if n.running() == nil {
		n.start()
	}
}

// killAndStart kills the controller and starts it again after 0.3 s.
func (n *simController) killAndStart() {
	n.kill()
	time.Sleep(300 * time.Millisecond)
	n.startIfDown()
}

// injectMachineFault injects a random fault into one arbitrary machine.
func (w *world) injectMachineFault(length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	what := w.rng.IntN(5)
	for _, m := range w.machines {
		switch what {
		case 0:
			m.fail(&m.hung, length)
		case 1:
			m.fail(&m.disconnected, length)
		case 2:
			if m.spot {
				w.removeMachine(m.name)
			}
		case 3:
			m.fail(&m.receivesNothing, length)
		case 4:
			if !time.Now().Before(m.bootsAt) {
				m.restart()
			}
		}
		return
	}
}

// fail activates a fault of the machine and ends it after d. The caller holds the lock.
func (m *simWorker) fail(fault *bool, d time.Duration) {
	*fault = true
	m.recordState("machine fails")
	time.AfterFunc(d, func() {
		m.world.locked(func() {
			*fault = false
			m.recordState("machine recovers")
		})
	})
}
