package controller

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"ravenport/apiserver"
	"ravenport/peer"
	"ravenport/wire"
)

// A controller executes a relayed transaction only if the transaction creates one job and does
// nothing else.
func TestOnlySubmissionsAreRelayed(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newStartedWorld(3)
		process := w.controllers[0].running()
		job := wire.Change{Put: "rv/job/run-000001", Value: []byte(`{}`)}
		for name, txn := range map[string]wire.Txn{
			"nothing":        {},
			"no condition":   {Changes: []wire.Change{job}},
			"another key":    {Conditions: []wire.Condition{{Key: "rv/job/run-000002"}}, Changes: []wire.Change{job}},
			"a change":       {Conditions: []wire.Condition{{Key: job.Put, Version: 4}}, Changes: []wire.Change{job}},
			"a term":         {Conditions: []wire.Condition{{Key: "rv/part/a"}}, Changes: []wire.Change{{Put: "rv/part/a", Value: []byte(`{}`)}}},
			"two changes":    {Conditions: []wire.Condition{{Key: job.Put}}, Changes: []wire.Change{job, {Delete: "rv/part/a"}}},
			"under a lease":  {Conditions: []wire.Condition{{Key: job.Put}}, Changes: []wire.Change{{Put: job.Put, Value: job.Value, Lease: 1}}},
			"a deletion too": {Conditions: []wire.Condition{{Key: job.Put}}, Changes: []wire.Change{{Put: job.Put, Value: job.Value, Delete: "rv/part/a"}}},
		} {
			before := w.revision
			if r := process.HandlePeerCommit(t.Context(), txn); r.Outcome != peer.OutcomeInvalid {
				t.Errorf("%s: %s", name, r.Outcome)
			}
			if w.revision != before {
				t.Errorf("%s was written", name)
			}
		}
		w.checkAndShutdown(t)
	})
}

// A controller that alone cannot reach the key-value store still accepts submissions: other
// controllers write them. No submission is lost, and all jobs run.
func TestRefusedControllerStillAccepts(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newStartedWorld(4)
		w.lostAnswerShare, w.lateWriteShare, w.repeatedWriteShare = 0, 0, 0 // the random runs cover these faults
		w.locked(func() { w.controllers[1].cutFromStore = true })
		time.Sleep(500 * time.Millisecond)
		var jobs []*simJob
		for i := range 8 {
			j := w.newArray(fmt.Sprintf("run-%06d", 600+i), 1, 1, 2)
			body, err := json.Marshal(submissionFields(j.spec))
			if err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			r := w.requestAt(1, func(req apiserver.Request) any { return apiserver.Submit{Request: req, Body: body} })
			if r == nil || r.Status != 201 {
				t.Fatalf("submission %d: %+v", i, r)
			}
			if elapsed := time.Since(start); elapsed > time.Second {
				t.Errorf("submission %d was accepted after %s", i, elapsed)
			}
			w.locked(func() { j.accepted = true })
			jobs = append(jobs, j)
			time.Sleep(300 * time.Millisecond)
		}
		if n := w.observed["relayed written"]; n != len(jobs) {
			t.Errorf("%d of %d submissions were relayed: the test proves nothing", n, len(jobs))
		}
		for _, j := range jobs {
			go w.runUser(j, 0, 0) // submits again at any controller, and polls
		}
		w.waitAllDone(t, 2*time.Minute, jobs)
		w.locked(func() { w.controllers[1].cutFromStore = false })
		w.checkAndShutdown(t)
	})
}
