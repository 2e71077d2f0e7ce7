package main

import (
	"time"
)

// oneZoneType: the cloud offers one machine type in one zone only. A task that needs this type
// runs there, and its machine stops. The other zones have room on machines of another type.
func oneZoneType(rec *record, root string, trouble bool) int {
	zones := []string{"back-room", "loading-dock", "mill-annex"}
	f, err := newFleet(rec, root, deployment{
		zones: zones, teams: "[[facts.teams]]\nname = \"color-lab\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n",
		reportPeriod: 3 * time.Second, lease: 26 * time.Second, cancelS: 56, rps: 200, writeRPS: 20,
		types: []machineType{{"pine-box", 16, 64, zones[:2]}, {"oak-box", 16, 64, zones[2:]}},
		boot:  2 * time.Second, restartDelay: 5 * time.Second,
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
	runs := func(task string) func() bool { return func() bool { return f.machineOf(task) != nil } }
	oak := []string{"oak-box"}
	// A short job brings up the first machine of the zone.
	first := &job{id: "run-000401", shape: "sweep", rank: "standard", team: "color-lab", pieces: 1, cpus: 4, mem: 4, zone: "mill-annex", builds: oak, image: "img-01", fetch: 300 * time.Millisecond, run: 1500 * time.Millisecond}
	if !f.submit(first) || !waitUntil(20*time.Second, runs("run-000401/0")) {
		return notRunOK
	}
	// The job of this case: one task, which may run in any zone on machines of that type.
	sweep := &job{id: "run-000402", shape: "sweep", rank: "standard", team: "color-lab", pieces: 1, cpus: 4, mem: 4, builds: oak, image: "img-01", fetch: 300 * time.Millisecond, run: 20 * time.Second}
	if !f.submit(sweep) || !waitUntil(20*time.Second, runs("run-000402/0")) {
		rec.log("the job did not start")
		return notRunOK
	}
	// Two services bring up machines of the other type, with room, in the other zones.
	services := []string{"run-000410", "run-000411"}
	for i, id := range services {
		if !f.submit(&job{id: id, shape: "standing", rank: "prod", team: "color-lab", pieces: 1, cpus: 7, mem: 8, zone: zones[i], image: "img-02", fetch: 300 * time.Millisecond}) {
			return notRunOK
		}
	}
	if !waitUntil(10*time.Second, func() bool { return f.isDone("run-000401/0") }) {
		return notRunOK
	}
	if w := f.machineOf("run-000402/0"); trouble && w != nil {
		w.stopForGood()
		if !waitUntil(20*time.Second, func() bool { return f.cloud.isGone(w.name) }) {
			rec.log("the machine that stopped was not returned")
			return notRunOK
		}
	}
	if !waitUntil(20*time.Second, runs(services[0]+"/0")) || !waitUntil(20*time.Second, runs(services[1]+"/0")) {
		return notRunOK
	}
	time.Sleep(2 * time.Second)
	// A service brings up another machine of that type, on which the job's task would fit.
	last := &job{id: "run-000403", shape: "standing", rank: "prod", team: "color-lab", pieces: 1, cpus: 4, mem: 4, zone: "mill-annex", builds: oak, image: "img-01", fetch: 300 * time.Millisecond}
	if !f.submit(last) || !waitUntil(20*time.Second, runs("run-000403/0")) {
		return notRunOK
	}
	return f.observeAll([]*job{sweep}, func(*job) func() bool { return f.waitsForTask("run-000402/0") })
}
