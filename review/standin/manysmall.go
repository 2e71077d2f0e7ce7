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
	// The last job is accepted within a second or two. At the end, all have waited for 90 s.
	waitedSince := time.Now()
	for time.Since(waitedSince) < 95*time.Second {
		time.Sleep(5 * time.Second)
		allDone := true
		for _, j := range jobs {
			allDone = f.poll(j) == "done" && allDone
		}
		if allDone {
			rec.log("all jobs are done")
			return held
		}
	}
	f.mu.Lock()
	tooLarge := f.tooLarge
	f.mu.Unlock()
	for _, j := range jobs {
		f.mu.Lock()
		started := f.startedTasks[j.id]
		f.mu.Unlock()
		state := f.poll(j)
		rec.log("%s is %q, %d starts of its %d tasks", j.id, state, started, j.pieces)
		if started == 0 && tooLarge > 0 {
			f.breaks("%s was accepted, has waited for 90 s and no task of it was started; %d bodies or lines of the controllers were above 64 KiB", j.id, tooLarge)
		}
	}
	if len(f.broken) > 0 {
		return broken
	}
	return held
}
