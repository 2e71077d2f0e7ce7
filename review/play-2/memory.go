package main

import (
	"encoding/json"
	"time"
)

func init() { cases["memory"] = memory }

// lean is the deployment of kit/lean/magnolia-tint-works-lean.toml: the grown deployment on
// smaller machines.
func lean() site {
	s := magnolia()
	s.cpu, s.memoryMB, s.reportS = 0.09, 147, 5
	return s
}

// twoDaysOfJobs is two days of 49 and 24 jobs a minute, the rates of the page on which the
// deployment grew.
const twoDaysOfJobs = 2 * 24 * 60 * (49 + 24)

// memory: one controller crashes after two days of work. The platform kills a process that holds
// more memory than its machine has.
func memory(folder string) {
	t := newTrial("memory", folder, lean())
	t.makeNodes()
	data := t.runFirstJob()
	// The jobs of two days pass by in half a minute: the controllers see the record of each.
	items := t.finishedJobs(data, twoDaysOfJobs)
	batch := map[string]json.RawMessage{}
	left := len(items)
	for key, value := range items {
		batch[key] = value
		if left--; len(batch) == 4000 || left == 0 {
			t.store.change(batch)
			clear(batch)
			time.Sleep(300 * time.Millisecond)
		}
	}
	t.logf("%d jobs that are done are in the state service", twoDaysOfJobs)
	service := t.runService("run-900001")
	for _, n := range t.nodes {
		t.logf("%s: memory %.0f MB at most so far, limit %.0f MB", n.name, n.peak(), t.site.memoryMB)
	}
	victim := t.nodes[0]
	if t.trouble {
		victim.kill("one controller crashes")
		time.Sleep(time.Duration(t.site.restartDelay * float64(time.Second)))
		victim.start()
	}
	back := time.Now()
	kills := 0
	probes := victim.health.probes()
	for time.Since(back) < 45*time.Second {
		time.Sleep(10 * time.Millisecond)
		for _, n := range t.nodes {
			if n.memoryMB() <= t.site.memoryMB {
				continue
			}
			kills++
			n.kill("it holds more memory than its machine has")
			t.logf("%s held %.0f MB, limit %.0f MB", n.name, n.peak(), t.site.memoryMB)
			time.AfterFunc(time.Duration(t.site.restartDelay*float64(time.Second)), n.start)
		}
	}
	healthy := victim.health.probes() - probes
	t.logf("in 45 s: %d ends for memory, %d health checks of %s answered with 200, replicas that run: %d of 2", kills, healthy, victim.name, t.running(service.UID))
	if kills > 1 && healthy == 0 {
		t.verdict("a controller that was started again ends for memory, again and again")
	}
	if kills > 0 || healthy == 0 {
		t.fail("neither held nor broken as described")
	}
	t.verdict("")
}
