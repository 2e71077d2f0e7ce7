package main

import (
	"strings"
	"sync"
	"syscall"
	"time"
)

// staleReturn: the owner of a zone decides to return an idle machine. The cloud refuses the
// request for a moment, and the owner stands still for 14 s. Another controller takes the zone
// over and starts a service on the machine. The first owner goes on.
func staleReturn(rec *record, root string, trouble bool) int {
	zones := []string{"back-room", "loading-dock", "mill-annex"}
	f, err := newFleet(rec, root, deployment{
		zones: zones, teams: "[[facts.teams]]\nname = \"color-lab\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n",
		reportPeriod: 3 * time.Second, lease: 26 * time.Second, cancelS: 56, rps: 200, writeRPS: 20,
		typeName: "pine-box", cpus: 16, mem: 64, boot: 2 * time.Second, restartDelay: 5 * time.Second,
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
	var mu sync.Mutex
	var first *controller  // the owner that asked for the first return
	var outUntil time.Time // the cloud is out until then
	var idle string
	stale := ""
	f.cloud.mu.Lock()
	f.cloud.onReturn = func(controller int, hosts []string) bool {
		mu.Lock()
		defer mu.Unlock()
		c := f.controllers[controller]
		holder := string(f.store.read("rv/part/back-room"))
		if first != nil && c == first && !strings.Contains(holder, `"`+c.name+`"`) {
			for _, host := range hosts {
				if task := f.taskOn(host); task != "" {
					stale = c.name + " returns " + host + ", on which " + task + " runs; stored owner: " + holder
				}
			}
		}
		if first == nil && trouble {
			first, idle = c, hosts[0]
			outUntil = time.Now().Add(10 * time.Second)
			time.AfterFunc(1500*time.Millisecond, func() { f.signal(c, syscall.SIGSTOP) })
			time.AfterFunc(15500*time.Millisecond, func() { f.signal(c, syscall.SIGCONT) })
		}
		return time.Now().Before(outUntil)
	}
	f.cloud.mu.Unlock()
	filler := &job{id: "run-000301", shape: "sweep", rank: "standard", team: "color-lab", pieces: 1, cpus: 15, mem: 12, zone: "back-room", image: "img-01", fetch: 300 * time.Millisecond, run: 5 * time.Second}
	small := &job{id: "run-000302", shape: "standing", rank: "prod", team: "color-lab", pieces: 1, cpus: 4, mem: 4, zone: "back-room", image: "img-01", fetch: 300 * time.Millisecond}
	if !f.submit(small) || !f.submit(filler) {
		return notRunOK
	}
	if !waitUntil(60*time.Second, func() bool { mu.Lock(); defer mu.Unlock(); return first != nil || !trouble && f.isDone("run-000301/0") }) {
		rec.log("no machine was returned")
		return notRunOK
	}
	rec.log("idle machine: %s", idle)
	time.Sleep(5 * time.Second)
	portal := &job{id: "run-000303", shape: "standing", rank: "prod", team: "color-lab", pieces: 1, cpus: 14, mem: 8, zone: "back-room", image: "img-01", fetch: 300 * time.Millisecond}
	if !f.submitElsewhere(portal, first) {
		return notRunOK
	}
	if !waitUntil(25*time.Second, func() bool { return f.machineOf("run-000303/0") != nil }) {
		rec.log("the service did not start")
		if trouble {
			return notRunOK
		}
	}
	time.Sleep(20 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	if stale != "" {
		f.breaks("a controller that has been replaced returned a machine in use: %s", stale)
		return broken
	}
	return held
}
