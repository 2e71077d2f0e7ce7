package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

func init() { cases["restart"] = restart }

// daysOfJobs is the number of jobs that lie in the state service: four days of 7.5 and 3 jobs a
// minute, the rates of the brief for the Magnolia cluster.
const daysOfJobs = 4 * 24 * 60 * 105 / 10

// restart: all controllers crash at the same time and are back together, after some days of work.
func restart(folder string) {
	t := newTrial("restart", folder, magnolia())
	t.makeNodes()
	data := t.runFirstJob()
	for _, n := range t.nodes {
		n.kill("preparation")
	}
	t.store.preload(t.finishedJobs(data, daysOfJobs))
	t.logf("%d jobs that are done are in the state service", daysOfJobs)
	for _, n := range t.nodes {
		n.startAndWait(20 * time.Second)
	}
	service := t.runService("run-900001")

	if t.trouble {
		for _, n := range t.nodes {
			n.kill("all controllers crash")
		}
		time.Sleep(time.Duration(t.site.restartDelay * float64(time.Second)))
		for _, n := range t.nodes {
			n.start()
		}
	}
	back := time.Now()
	accepted := make(chan bool, 1)
	go func() { accepted <- t.submit(t.counterMixer("run-900002")) }()
	answered := 0
	for time.Since(back) < 62*time.Second {
		time.Sleep(5 * time.Second)
		if status, _ := t.poll(service.UID); status == 200 {
			answered++
		}
		for _, n := range t.nodes {
			served, refused := t.store.counts(n.name)
			t.logf("%s: the state service has answered %d requests and refused %d as too many", n.name, served, refused)
		}
	}
	newJob := <-accepted
	t.logf("%.0f s after the restart: %d controllers healthy, %d polls answered, new job accepted: %t, replicas of the accepted service that run: %d of 2",
		time.Since(back).Seconds(), len(t.healthyNodes()), answered, newJob, t.running(service.UID))
	if t.running(service.UID) == 0 && !newJob && answered == 0 && len(t.healthyNodes()) == 0 {
		t.verdict("the accepted service does not run, and no user was answered for a minute after all controllers were back")
	}
	if t.running(service.UID) != 2 || !newJob || answered == 0 {
		t.fail("neither held nor broken as described")
	}
	t.verdict("")
}

// formulaSweep and counterMixer are jobs as the brief describes them.
func (t *trial) formulaSweep(uid string) *jobSpec {
	return &jobSpec{UID: uid, Lane: "formula-sweep", Crew: t.site.team, Shape: "sweep", Rank: "standard", Pieces: 12,
		CPUs: 4, MemGB: 12, Kit: "img-01", PullGB: 0.1, Loaners: true, GuessS: 20, runS: 1}
}

func (t *trial) counterMixer(uid string) *jobSpec {
	return &jobSpec{UID: uid, Lane: "counter-mixer", Crew: t.site.team, Shape: "standing", Rank: "prod", Pieces: 2,
		CPUs: 2, MemGB: 4.6, Kit: "img-02", PullGB: 0.1, Scatter: true}
}

// runFirstJob starts the controllers, runs one job to its end, and returns the record that the
// controllers keep of it. The record stands for those of earlier days.
func (t *trial) runFirstJob() json.RawMessage {
	for _, n := range t.nodes {
		n.start()
	}
	if !waitFor(15*time.Second, func() bool { return len(t.healthyNodes()) == len(t.nodes) }) {
		t.fail("the controllers do not come up")
	}
	sweep := t.formulaSweep("run-000000")
	if !t.submit(sweep) {
		t.fail("the first job is not accepted")
	}
	isDone := func() bool {
		time.Sleep(400 * time.Millisecond)
		_, state := t.poll(sweep.UID)
		return state == "done"
	}
	if !waitFor(20*time.Second, isDone) {
		t.fail("the first job is not done")
	}
	for _, key := range t.store.keysWith(sweep.UID) {
		data, _ := t.store.get(key)
		t.logf("record of a job that is done, %s, %d bytes: %s", key, len(data), data)
		t.firstKey = key
		return data
	}
	t.fail("no record of the first job")
	return nil
}

// finishedJobs returns records of n jobs that differ from the first one only in their ids.
func (t *trial) finishedJobs(data json.RawMessage, n int) map[string]json.RawMessage {
	items := make(map[string]json.RawMessage, n)
	for i := 1; i <= n; i++ {
		uid := fmt.Sprintf("run-%06d", i)
		rename := func(s string) string { return strings.ReplaceAll(s, "run-000000", uid) }
		items[rename(t.firstKey)] = json.RawMessage(rename(string(data)))
	}
	return items
}

// runService submits a service of two replicas and waits until they run.
func (t *trial) runService(uid string) *jobSpec {
	service := t.counterMixer(uid)
	if !t.submit(service) {
		t.fail("the service is not accepted")
	}
	if !waitFor(20*time.Second, func() bool { return t.running(uid) == service.Pieces }) {
		t.fail("the service does not run")
	}
	return service
}
