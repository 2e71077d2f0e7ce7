package main

import (
	"fmt"
	"time"
)

// manySmall: a class of arrays with small tasks arrives, with the disruption three times as
// often, so that more tasks fit on a machine than its report can list in 64 KiB.
func manySmall(rec *record, root string, trouble bool) int {
	zones := []string{"back-room", "loading-dock", "mill-annex"}
	f, err := newFleet(rec, root, deployment{
		zones: zones, teams: "[[facts.teams]]\nname = \"color-lab\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n",
		reportPeriod: 3 * time.Second, lease: 26 * time.Second, cancelS: 56, rps: 200, writeRPS: 20,
		types: []machineType{{"g8", 96, 768, zones}}, boot: 2 * time.Second, restartDelay: 5 * time.Second,
		capacity: map[string]int{"back-room": 2, "loading-dock": 2, "mill-annex": 2},
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
	arrays := 1
	if trouble {
		arrays = 3
	}
	var jobs []*job
	for i := range arrays {
		j := &job{id: fmt.Sprintf("run-%06d", 201+i), shape: "sweep", rank: "standard", team: "color-lab", pieces: 600, cpus: 0.05, mem: 0.3, zone: "back-room",
			image: "img-01", fetch: 500 * time.Millisecond, run: 20 * time.Second}
		jobs = append(jobs, j)
		if !f.submit(j) {
			return notRunOK
		}
	}
	// A job waits as long as none of its tasks was started.
	code := f.observeAll(jobs, func(j *job) func() bool {
		return func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.startedTasks[j.id] == 0
		}
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	rec.log("%d bodies or lines of the controllers were above 64 KiB", f.tooLarge)
	if code == broken && f.tooLarge == 0 {
		return notRunOK // the jobs waited for another reason
	}
	return code
}
