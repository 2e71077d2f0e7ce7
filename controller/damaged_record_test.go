package controller

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ravenport/apiserver"
	"ravenport/records"
	"ravenport/wire"
)

// damagedJobValue is the stored value of a job whose run code has more letters than any shard
// needs. Before decoding refused such a value, every controller that read it ended.
var damagedJobValue = json.RawMessage(`[{"spec":{"uid":"","lane":"c","crew":"free","shape":"sweep","pieces":4}},"` + strings.Repeat("Z", 15) + `4",["a"]]`)

// putDamagedJob replaces the stored value of a key with damagedJobValue and returns its version.
func (w *world) putDamagedJob(key string) (version uint64) {
	w.locked(func() {
		if _, err := w.apply(wire.Txn{Changes: []wire.Change{{Put: key, Value: damagedJobValue}}}); err != nil {
			panic(err)
		}
		version = w.revision
	})
	return version
}

// expectUnavailable checks that each controller answers requests about a job with status 503,
// so that clients retry: it neither reports the job's state nor treats the job as unknown.
func (w *world) expectUnavailable(t *testing.T, j *simJob) {
	t.Helper()
	body, err := json.Marshal(submissionFields(j.spec))
	if err != nil {
		t.Fatal(err)
	}
	for what, message := range map[string]func(apiserver.Request) any{
		"poll":       func(q apiserver.Request) any { return apiserver.Poll{Request: q, JobID: j.spec.ID} },
		"submission": func(q apiserver.Request) any { return apiserver.Submit{Request: q, Body: body} },
		"abort":      func(q apiserver.Request) any { return apiserver.Cancel{Request: q, JobID: j.spec.ID} },
	} {
		for i, n := range w.controllers {
			r := w.requestAt(i, message)
			if r == nil || r.Status != 503 {
				t.Errorf("%s answers a %s with %+v", n.set.Controller, what, r)
			}
		}
	}
}

// A job's record that cannot be decoded, also one that could be decoded before, ends no
// controller and affects no other job. Controllers report nothing about the job, do not
// overwrite the record and do not treat the job as unknown, whether they read the record
// while they run or when they start.
func TestDamagedJobRecordIsIsolated(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newStartedWorld(3)
		defer w.shutdown()
		jobs := w.boundArrays(1, 60)
		w.waitAllRunning(t, jobs)
		damaged := w.newArray("run-000900", 4, 1, 5)
		key := records.KeyJob(damaged.spec.ID)
		version := w.putDamagedJob(key)
		time.Sleep(2 * time.Second)
		w.expectUnavailable(t, damaged)
		for _, n := range w.controllers {
			if n.running() == nil {
				t.Errorf("%s has ended", n.set.Controller)
			}
			n.restart(time.Second)
			time.Sleep(10 * time.Second)
		}
		w.expectUnavailable(t, damaged)
		later := w.newArray("run-000901", 3, 1, 5)
		go w.runUser(later, 0, 0)
		w.waitAllDone(t, 4*time.Minute, append(jobs, later))
		w.locked(func() {
			if e := w.kv[key]; e == nil || e.version != version {
				t.Errorf("the damaged record was changed: %+v", e)
			}
			delete(w.jobs, damaged.spec.ID)
		})
		if len(w.violations) > 0 {
			t.Errorf("rules broken: %s", strings.Join(w.violations, "; "))
		}
	})
}
