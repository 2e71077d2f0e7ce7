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

// damagedJob is the stored value of a job whose run code has more letters than any shard
// needs. Before it was refused in decoding, it ended every controller that read it.
var damagedJob = json.RawMessage(`[{"spec":{"uid":"","lane":"c","crew":"free","shape":"sweep","pieces":4}},"` + strings.Repeat("Z", 15) + `4",["a"]]`)

// putDamaged replaces the stored value of a key with one that cannot be read.
func (w *world) putDamaged(key string) (version uint64) {
	w.locked(func() {
		if _, err := w.apply(wire.Txn{Changes: []wire.Change{{Put: key, Value: damagedJob}}}); err != nil {
			panic(err)
		}
		version = w.revision
	})
	return version
}

// expectUnavailable checks that a controller neither tells anything of a job nor takes it
// for one that it does not know: whoever asks is told to ask again.
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

// A job's record that cannot be read, also one that could be before, ends no controller and
// no other job suffers; nothing is told of it, it is not written over and not taken for
// unknown, whether the controllers read it as they run or as they start.
func TestDamagedJobRecordHarmsNoOther(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newCalmWorld(3)
		defer w.shutdown()
		lot := w.boundArrays(1, 60)
		w.allRun(t, lot)
		stranger := w.newArray("run-000900", 4, 1, 5)
		key := records.KeyJob(stranger.spec.ID)
		version := w.putDamaged(key)
		time.Sleep(2 * time.Second)
		w.expectUnavailable(t, stranger)
		for _, n := range w.controllers {
			if n.running() == nil {
				t.Errorf("%s has ended", n.set.Controller)
			}
			n.restart(time.Second)
			time.Sleep(10 * time.Second)
		}
		w.expectUnavailable(t, stranger)
		late := w.newArray("run-000901", 3, 1, 5)
		go w.runUser(late, 0, 0)
		w.allDone(t, 4*time.Minute, append(lot, late))
		w.locked(func() {
			if e := w.kv[key]; e == nil || e.version != version {
				t.Errorf("the damaged record was changed: %+v", e)
			}
			delete(w.jobs, stranger.spec.ID)
		})
		if len(w.violations) > 0 {
			t.Errorf("rules broken: %s", strings.Join(w.violations, "; "))
		}
	})
}
