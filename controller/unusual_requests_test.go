package controller

import (
	"testing"
	"time"

	"ravenport/apiserver"
	"ravenport/httpwire"
	"ravenport/records"
	"ravenport/wire"
)

// Every controller refuses a job that lacks a field as malformed, and a job that can never run
// as unprocessable, each time, also while controllers end and while the state service responds
// slowly or is unavailable. A controller may answer 503, or not at all, instead. Repeated
// submissions of accepted jobs and cancellations of done jobs get the same response as before.
func TestUnusualRequests(t *testing.T) {
	required := []string{"uid", "lane", "crew", "shape", "rank", "pieces", "cpus", "cards", "mem_gb", "kit", "pull_gb", "one_zone", "scatter", "loaners", "guess_s", "mark_every_s", "stow_s"}
	unrunnable := map[string]func(map[string]any){
		"unknown team":           func(f map[string]any) { f["crew"] = "nobody" },
		"too many CPUs":          func(f map[string]any) { f["cpus"] = 9.0 },
		"too much memory":        func(f map[string]any) { f["mem_gb"] = 33.0 },
		"cards that no type has": func(f map[string]any) { f["cards"] = 1.0 },
		"unknown type":           func(f map[string]any) { f["builds"] = []string{"crate"} },
		"unknown zone":           func(f map[string]any) { f["yard"] = "z" },
		"more than the team's": func(f map[string]any) {
			f["crew"] = "tight"
			f["cpus"] = 8.0
			f["pieces"] = 2
			f["shape"] = wire.KindService
		},
		"a service bound to a zone and spread": func(f map[string]any) {
			f["yard"] = "a"
			f["scatter"] = true
			f["pieces"] = 2
			f["shape"] = wire.KindService
		},
	}
	runScenarios(t, []scenario{{name: "while controllers end", times: lease26Times, zones: []string{"a", "b", "c"}, seeds: []uint64{1, 2}, body: func(t *testing.T, w *world) {
		done := w.newArray("run-000000", 2, 1, 3)
		go w.runUser(done, 0, 0)
		w.waitUntil(t, "a job is done", 2*time.Minute, func() bool { return w.hasEnded(done) })
		sample := w.newArray("run-odd", 2, 1, 5).spec
		answered := 0
		submit := func(what string, f map[string]any, want int) {
			for index := range w.controllers {
				r := w.requestAt(index, func(q apiserver.Request) any { return apiserver.Submit{Request: q, Body: records.Encode(f)} })
				if r == nil || r.Status == 503 {
					continue
				}
				if answered++; r.Status != want {
					w.fail(t, "%s, at %d: status %d, wanted %d: %s", what, index, r.Status, want, r.Body)
				}
			}
		}
		for round := range 4 {
			switch round {
			case 1:
				w.locked(func() { w.storeLatency = 300 * time.Millisecond })
			case 2:
				w.expectNewTerm(t, records.KeyLeader, func() { w.controllers[w.termHolder(records.KeyLeader)].restart(3 * time.Second) })
			case 3:
				w.setOutage(true)
				time.AfterFunc(10*time.Second, func() { w.setOutage(false) })
			}
			for _, field := range required {
				f := submissionFields(sample)
				delete(f, field)
				submit("without "+field, f, 400)
				f = submissionFields(sample)
				f[field] = nil
				submit("null as "+field, f, 400)
			}
			for what, change := range unrunnable {
				f := submissionFields(sample)
				change(f)
				submit(what, f, 422)
			}
			for index := range w.controllers { // requests about a job that is done
				f := submissionFields(done.spec)
				delete(f, "cpus")
				for _, r := range []*httpwire.Response{
					w.requestAt(index, func(q apiserver.Request) any { return apiserver.Submit{Request: q, Body: records.Encode(f)} }),
					w.requestAt(index, func(q apiserver.Request) any { return apiserver.Cancel{Request: q, JobID: done.spec.ID} }),
				} {
					w.checkReply(done, r, true)
				}
				r := w.requestAt(index, func(q apiserver.Request) any { return apiserver.Poll{Request: q, JobID: "run-odd"} })
				if r != nil && r.Status != 404 && r.Status != 503 {
					w.fail(t, "poll of a job that was never accepted: status %d", r.Status)
				}
			}
		}
		if answered < 300 {
			w.fail(t, "only %d invalid requests were answered", answered)
		}
		w.endFaultsAndWait(t, time.Minute, []*simJob{done})
	}}})
}
