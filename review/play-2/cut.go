package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["cut"] = cut }

// fleet is the deployment of kit/fleet/umoya-menus-fleet.toml.
func fleet() site {
	s := umoya()
	s.teamCPUs, s.teamMax, s.teams = 1500, 5000, 16
	s.reportS = 8
	s.store.RPS = 180
	s.cpu, s.memoryMB, s.sockets = 0.132, 322, 3130
	s.zoneMachines = 874
	return s
}

const (
	cutTime      = 56 * time.Second // of the site file
	fleetArrays  = 96               // diet-plan-batch at the start
	fleetService = 358              // menu-portal at the start
)

// cut: one controller loses the state service while the fleet starts, and has it again afterwards.
func cut(folder string) {
	t := newTrial("cut", folder, fleet())
	// "Usually 0.6 to 1.5 times ready_s. [...] At times machines are up within a second or two."
	t.cloud.bootSpread = [2]time.Duration{15 * time.Second, 37 * time.Second}
	t.cloud.earlyEvery = 4
	t.makeNodes()
	for _, n := range t.nodes {
		n.start()
	}
	if !waitFor(15*time.Second, func() bool { return len(t.healthyNodes()) == len(t.nodes) }) {
		t.fail("the controllers do not come up")
	}
	victim := t.nodes[0]
	go t.startFleet()
	time.Sleep(time.Second)
	if t.trouble {
		t.logf("%s loses the state service", victim.name)
		victim.gate.cut(true)
	}
	cutAt := time.Now()
	from := t.store.position()
	for time.Since(cutAt) < cutTime {
		time.Sleep(4 * time.Second)
		t.logf("changes since then: %s", t.store.changesSince(from))
	}
	if t.trouble {
		victim.gate.cut(false)
		t.logf("%s has the state service again", victim.name)
	}
	back := time.Now()
	probes := victim.health.probes()
	served, _ := t.store.counts(victim.name)
	for time.Since(back) < 40*time.Second {
		time.Sleep(5 * time.Second)
		now, _ := t.store.counts(victim.name)
		t.logf("%s: %d health checks answered with 200, %d requests answered by the state service", victim.name, victim.health.probes()-probes, now-served)
	}
	healthy := victim.health.probes() - probes
	if healthy == 0 {
		t.verdict("a controller stays out of service although the state service answers it again")
	}
	t.verdict("")
}

// startFleet submits the jobs that are there at the start, and then those that come.
func (t *trial) startFleet() {
	var jobs []*jobSpec
	const atStart = fleetArrays + fleetService
	for i := range atStart + 150 {
		job := t.counterMixer(fmt.Sprintf("run-%06d", i))
		job.Lane, job.MemGB, job.Pieces = "menu-portal", 3.2, []int{2, 2, 2, 2, 8, 8, 8, 16, 16}[rand.IntN(9)]
		job.Kit = fmt.Sprintf("img-%02d", rand.IntN(12))
		// At the start, arrays are spread evenly among the services; afterwards one job in eight is
		// a service: 17.5 services and 122.5 arrays a minute.
		isArray := (i+1)*fleetArrays/atStart > i*fleetArrays/atStart
		if i >= atStart {
			isArray = i%8 != 0
		}
		if isArray {
			job = t.formulaSweep(job.UID)
			job.Lane, job.MemGB, job.Pieces, job.GuessS, job.runS = "diet-plan-batch", 4.6, 10+rand.IntN(40), 60, 60
			job.Kit = fmt.Sprintf("img-%02d", 12+rand.IntN(16))
		}
		job.Crew = fmt.Sprintf("%s-%02d", t.site.team, i%t.site.teams)
		job.PullGB = 1
		jobs = append(jobs, job)
	}
	var wait sync.WaitGroup
	slots := make(chan bool, 40)
	for i, job := range jobs {
		if i >= atStart {
			time.Sleep(time.Minute / 140)
		}
		slots <- true
		wait.Add(1)
		go func() {
			defer wait.Done()
			t.submit(job)
			<-slots
		}()
	}
	wait.Wait()
	t.logf("all jobs of the start are accepted or given up")
}
