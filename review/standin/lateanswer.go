package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// lateAnswer: in each zone, the network between one of three machines and the controllers is
// interrupted: what the machine sends is held back. The owner returns the machine, and the
// answer to its last direct command is delivered after that.
func lateAnswer(rec *record, root string, trouble bool) int {
	zones := []string{"back-room", "loading-dock", "mill-annex"}
	f, err := newFleet(rec, root, deployment{
		zones: zones, teams: "[[facts.teams]]\nname = \"color-lab\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n",
		reportPeriod: 3 * time.Second, lease: 26 * time.Second, cancelS: 56, rps: 200, writeRPS: 20,
		types: []machineType{{"pine-box", 16, 64, zones}}, boot: 2 * time.Second, restartDelay: 5 * time.Second,
		capacity: map[string]int{"back-room": 4, "loading-dock": 4, "mill-annex": 4},
	})
	if err != nil {
		rec.log("%v", err)
		return notRunOK
	}
	defer f.close()
	if err := f.startAll(); err != nil || !f.waitHealthy(20*time.Second) {
		rec.log("the controllers did not start: %v", err)
		return notRunOK
	}
	// The state service is fast, but for one write in each zone: the first of the zone's list of
	// machines after one of them was returned takes 300 ms.
	slow := map[string]bool{}
	for _, zone := range zones {
		slow[zone] = true
	}
	f.store.delay = func(_ int, keys []string) time.Duration {
		for _, key := range keys {
			parts := strings.Split(key, "/")
			if len(parts) > 2 && parts[1] == "roster" && f.cloud.hasReturned(parts[2]) {
				f.mu.Lock()
				first := slow[parts[2]]
				slow[parts[2]] = false
				f.mu.Unlock()
				if first {
					return 300 * time.Millisecond
				}
			}
		}
		return 0
	}
	// A service in each zone keeps a machine there, with room for a task once the jobs end.
	var jobs, services []*job
	for i, zone := range zones {
		services = append(services, &job{id: fmt.Sprintf("run-%06d", 111+i), shape: "standing", rank: "prod", team: "color-lab", pieces: 1, cpus: 2, mem: 4,
			zone: zone, image: "img-01", fetch: 500 * time.Millisecond})
		if !f.submit(services[i]) {
			return notRunOK
		}
	}
	for i, zone := range zones {
		j := &job{id: fmt.Sprintf("run-%06d", 101+i), shape: "sweep", rank: "standard", team: "color-lab", pieces: 3, cpus: 10, mem: 12,
			zone: zone, image: "img-01", fetch: 500 * time.Millisecond, run: 10 * time.Second}
		jobs = append(jobs, j)
		if !f.submit(j) {
			return notRunOK
		}
	}
	if !waitUntil(25*time.Second, func() bool {
		for _, j := range jobs {
			for k := range j.pieces {
				if f.machineOf(fmt.Sprintf("%s/%d", j.id, k)) == nil {
					return false
				}
			}
		}
		return true
	}) {
		rec.log("not all tasks run")
		return notRunOK
	}
	if !waitUntil(10*time.Second, func() bool {
		for _, j := range services {
			if f.machineOf(j.id+"/0") == nil {
				return false
			}
		}
		return true
	}) {
		rec.log("not all services run")
		return notRunOK
	}
	// The task of each job whose machine is interrupted: one that does not run beside the service.
	for i, j := range jobs {
		for k := range j.pieces {
			if task := fmt.Sprintf("%s/%d", j.id, k); f.machineOf(task) != f.machineOf(services[i].id+"/0") {
				j.task = task
				break
			}
		}
	}
	time.Sleep(time.Second)
	if trouble {
		f.interruptOneInEachZone(jobs)
	}
	if trouble && !waitUntil(20*time.Second, f.interruptionsOver) {
		rec.log("not all interruptions ended")
		return notRunOK
	}
	return f.observeAll(jobs, func(j *job) func() bool { return f.waitsForTask(j.task) })
}

// interruptionsOver reports whether the network holds back nothing more.
func (f *fleet) interruptionsOver() bool {
	f.cloud.mu.Lock()
	machines := append([]*cloudMachine(nil), f.cloud.machines...)
	f.cloud.mu.Unlock()
	for _, m := range machines {
		m.worker.mu.Lock()
		held := m.worker.held != nil
		m.worker.mu.Unlock()
		if held {
			return false
		}
	}
	return true
}

// interruptOneInEachZone makes the network hold back what one machine in each zone sends. The
// interruption ends 0.1 s after the cloud has confirmed that the machine is gone, or after 20 s.
func (f *fleet) interruptOneInEachZone(jobs []*job) {
	var mu sync.Mutex
	held := map[string]*worker{}
	for _, j := range jobs {
		if w := f.machineOf(j.task); w != nil {
			held[w.name] = w
		}
	}
	f.cloud.mu.Lock()
	f.cloud.afterGone = func(m *cloudMachine) {
		mu.Lock()
		defer mu.Unlock()
		if w := held[m.name]; w != nil {
			time.AfterFunc(100*time.Millisecond, w.release)
		}
	}
	f.cloud.mu.Unlock()
	for _, w := range held {
		w.hold()
		time.AfterFunc(20*time.Second, w.release)
	}
}

func waitUntil(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
