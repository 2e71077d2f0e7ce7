package main

import (
	"fmt"
	"time"
)

func init() { cases["gang"] = gang }

// gang: the cloud has fewer machines to give, and a gang of one team waits for room.
func gang(folder string) {
	s := umoya()
	s.teams, s.reportS, s.gangWaitS, s.gangPeerS = 16, 8, 50, 5
	t := newTrial("gang", folder, s)
	t.cloud.limits = [2]int{10, 5}
	if t.trouble {
		t.cloud.limits = [2]int{6, 1} // count = 0.6, spot = 0.3
	}
	t.makeNodes()
	for _, n := range t.nodes {
		n.start()
	}
	if !waitFor(15*time.Second, func() bool { return len(t.healthyNodes()) == len(t.nodes) }) {
		t.fail("the controllers do not come up")
	}
	yard := t.site.zones[0]
	team := func(i int) string { return fmt.Sprintf("%s-%02d", t.site.team, i) }
	portals := []*jobSpec{}
	for i := range 19 {
		job := t.counterMixer(fmt.Sprintf("run-0001%02d", i))
		job.Lane, job.Crew, job.MemGB, job.Scatter, job.Yard = "menu-portal", team(i%6), 3.2, false, &yard
		portals = append(portals, job)
	}
	long := t.formulaSweep("run-000200")
	long.Lane, long.Crew, long.Pieces, long.MemGB, long.GuessS, long.runS, long.Yard = "diet-plan-batch", team(7), 4, 4.6, 300, 300, &yard
	// The array comes first, and takes the only cheap machine whole.
	if !t.submit(long) || !waitFor(25*time.Second, func() bool { return t.running(long.UID) == long.Pieces }) {
		t.fail("the first array does not run")
	}
	if t.trouble && t.cloud.up(yard, true) != 1 {
		t.fail("the first array is not on one cheap machine")
	}
	for _, job := range portals {
		if !t.submit(job) {
			t.fail("%s is not accepted", job.UID)
		}
	}
	ready := func() bool {
		n := 0
		for _, job := range portals {
			n += t.running(job.UID)
		}
		return n == 19*2
	}
	if !waitFor(40*time.Second, ready) {
		t.fail("the services do not run")
	}
	merge := t.formulaSweep("run-000300")
	merge.Lane, merge.Crew, merge.Shape, merge.Pieces, merge.CPUs, merge.MemGB, merge.Loaners = "supplier-merge", team(8), "ensemble", 12, 2, 3.2, false
	merge.OneZone, merge.Yard, merge.GuessS, merge.runS, merge.MarkEvery, merge.StowS = true, &yard, 50, 50, 20, 1
	if !t.submit(merge) {
		t.fail("the gang is not accepted")
	}
	time.Sleep(8 * time.Second)
	batch := t.formulaSweep("run-000400")
	batch.Lane, batch.Crew, batch.Pieces, batch.MemGB, batch.GuessS, batch.runS, batch.Yard = "diet-plan-batch", team(9), 3, 4.6, 5, 5, &yard
	if !t.submit(batch) {
		t.fail("the array is not accepted")
	}
	began := time.Now()
	for time.Since(began) < 70*time.Second && t.doneTasks(batch.UID) < batch.Pieces {
		time.Sleep(2 * time.Second)
		t.logf("array: %d tasks run, %d done; gang: %d tasks run; free CPUs on ordinary machines: %v", t.running(batch.UID), t.doneTasks(batch.UID), t.running(merge.UID), t.cloud.free(yard))
	}
	if t.doneTasks(batch.UID) == 0 && t.running(batch.UID) == 0 {
		t.verdict("an array within its team's guarantee waits on another team's gang beside free machines")
	}
	t.verdict("")
}

// up counts the machines of a kind in a zone that are up, if all of their CPUs are used.
func (c *cloud) up(zone string, spot bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, m := range c.machines {
		if m.zone != zone || m.spot != spot || m.worker == nil {
			continue
		}
		m.worker.mu.Lock()
		used := 0.0
		for _, task := range m.worker.tasks {
			if task.status != "exited" && task.job != nil {
				used += task.job.CPUs
			}
		}
		m.worker.mu.Unlock()
		if used >= c.kind.CPUs {
			n++
		}
	}
	return n
}

// free lists the free CPUs of the ordinary machines of a zone that are up.
func (c *cloud) free(zone string) []float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []float64
	for _, m := range c.machines {
		if m.zone != zone || m.spot || m.worker == nil {
			continue
		}
		m.worker.mu.Lock()
		free := c.kind.CPUs
		for _, task := range m.worker.tasks {
			if task.status != "exited" && task.job != nil {
				free -= task.job.CPUs
			}
		}
		m.worker.mu.Unlock()
		out = append(out, free)
	}
	return out
}
