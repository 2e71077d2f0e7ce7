package controller

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"ravenport/apiserver"
	"ravenport/httpwire"
	"ravenport/records"
	"ravenport/wire"
)

// busy is a deployment at work: arrays bound to each zone that run for long, one
// that is not bound, a service, and a team at its limit with more waiting.
type busy struct {
	long     []*simJob
	free     *simJob
	tight    []*simJob
	service  *simJob
	finishes []*simJob // what must be done in the end
}

func (w *world) startWork(t *testing.T, runS float64) *busy {
	t.Helper()
	b := &busy{long: w.boundArrays(1, runS), free: w.newArray("run-000001", 4, 1, runS)}
	go w.runUser(b.free, 0, 0)
	for i := range 4 { // of 5 CPUs each, where 10 are allowed
		j := w.newArray(fmt.Sprintf("run-0001%02d", i), 1, 5, runS)
		j.spec.Team = "tight"
		go w.runUser(j, 0, 0)
		b.tight = append(b.tight, j)
	}
	w.startService("run-000002", 2)
	w.locked(func() { b.service = w.jobs["run-000002"] })
	b.finishes = slices.Concat(b.long, []*simJob{b.free}, b.tight)
	w.waitAllRunning(t, b.long, []*simJob{b.free, b.service})
	w.waitUntil(t, "the team is at its limit", 60*time.Second, func() bool { return len(w.started(b.tight)) == 2 })
	return b
}

// started lists those of some jobs that have a task on a machine.
func (w *world) started(lot []*simJob) []*simJob {
	var out []*simJob
	for _, j := range lot {
		if w.tasksOn("", j.spec.ID) > 0 {
			out = append(out, j)
		}
	}
	return out
}

// settleAll ends all troubles and sees that everything comes to its end.
func (w *world) settleAll(t *testing.T, limit time.Duration, lot []*simJob) {
	t.Helper()
	w.setOutage(false)
	w.mu.Lock()
	for _, n := range w.controllers {
		n.cutFromStore, n.cutFromWorkers, n.cutFromPeers, n.heartbeatsLost = false, false, false, false
	}
	w.cloudUnavailable, w.partitionedZone, w.storeLatency = false, "", 0
	for _, m := range w.machines {
		m.disconnected, m.hung, m.receivesNothing, m.cutFromControllers = false, false, false, false
	}
	w.calmSince = time.Now()
	w.mu.Unlock()
	for _, n := range w.controllers {
		if n.running() == nil {
			n.start()
		}
	}
	w.waitUntil(t, "everything comes to its end", limit, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return !slices.ContainsFunc(lot, func(j *simJob) bool {
			return j.reportedState == "" && !j.cancelRequested || j.cancelRequested && j.reportedState == ""
		})
	})
}

// cancelAndWait cancels a job through whoever takes it, and waits for that.
func (w *world) cancelAndWait(t *testing.T, j *simJob, limit time.Duration) {
	t.Helper()
	index := 0
	w.waitUntil(t, j.spec.ID+" is confirmed as cancelled", limit, func() bool {
		index++
		return w.cancelAt(index%3, j)
	})
}

// restart ends a controller and starts it again.
func (n *simController) restart(after time.Duration) {
	n.kill()
	time.AfterFunc(after, func() {
		select {
		case <-n.world.done:
		default:
			if n.running() == nil {
				n.start()
			}
		}
	})
}

// machinesRunning lists the machines that hold a task of a job.
func (w *world) machinesRunning(job string) []*simWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*simWorker
	for _, name := range slices.Sorted(maps.Keys(w.machines)) {
		m := w.machines[name]
		for _, x := range m.tasks {
			if id, _, _ := wire.ParseTaskName(x.name); id == job && onMachine(x.state) {
				out = append(out, m)
				break
			}
		}
	}
	return out
}

// pollClosely asks all controllers about a job at once, and again, within milliseconds;
// some times it repeats the submission instead. None may answer older than any
// answered before the question was asked.
func (w *world) pollClosely(j *simJob) {
	for range 3 {
		for index := range w.controllers {
			go func() {
				w.mu.Lock()
				told, accepted := j.reportedState, j.accepted
				w.mu.Unlock()
				repeat := w.chance(0.3)
				r := w.requestAt(index, func(q apiserver.Request) any {
					if repeat {
						return apiserver.Submit{Request: q, Body: records.Encode(fields(j.spec))}
					}
					return apiserver.Poll{Request: q, JobID: j.spec.ID}
				})
				if r == nil || r.Status == 503 || r.Status == 429 {
					return
				}
				var s wire.JobStatus
				err := json.Unmarshal(r.Body, &s)
				w.mu.Lock()
				defer w.mu.Unlock()
				w.observed["close looks"]++
				switch {
				case accepted && r.Status != 200 || err != nil:
					w.violate("forgotten", "%s: status %d after it was accepted", j.spec.ID, r.Status)
				case told != "" && s.Status != told:
					w.violate("went_back", "%s: %s, then %s", j.spec.ID, told, s.Status)
				}
			}()
		}
		time.Sleep(w.randomDuration(time.Millisecond, 8*time.Millisecond))
	}
}

// submitMany submits one-task jobs for a while; a share of them is cancelled, some at
// once and some at the moment of their end, and users look closely at each change.
func (w *world) submitMany(first int, d time.Duration, everyS, runS, cancelled float64) []*simJob {
	var out []*simJob
	for end, i := time.Now().Add(d), first; time.Now().Before(end); i++ {
		j := w.newArray(fmt.Sprintf("run-%06d", i), 1, 1, runS)
		out = append(out, j)
		go w.runUser(j, 0, 0)
		if w.chance(cancelled) {
			at := time.Duration(0)
			if w.chance(0.5) {
				at = time.Duration(w.randomDuration(time.Second, time.Duration((runS+4)*float64(time.Second))))
			}
			go func() {
				w.waitAccepted(j)
				time.Sleep(at)
				for index := i; ; index++ {
					w.cancelAt(index%3, j)
					w.pollClosely(j)
					if w.hasEnded(j) {
						return
					}
					select {
					case <-w.done:
						return
					case <-time.After(time.Second):
					}
				}
			}()
		} else {
			go func() {
				w.waitAccepted(j)
				w.pollClosely(j)
				for !w.hasEnded(j) {
					select {
					case <-w.done:
						return
					case <-time.After(20 * time.Millisecond):
					}
				}
				w.pollClosely(j)
			}()
		}
		time.Sleep(time.Duration(everyS * float64(time.Second)))
	}
	return out
}

// boundArraysOf submits one-task jobs of so many CPUs all at once.
func (w *world) boundArraysOf(first int, cpus float64, n int, runS float64) []*simJob {
	var out []*simJob
	for i := range n {
		j := w.newArray(fmt.Sprintf("run-%06d", first+i), 1, cpus, runS)
		go w.runUser(j, 0, 0)
		out = append(out, j)
	}
	return out
}

// waitAccepted waits until a job was accepted.
func (w *world) waitAccepted(j *simJob) {
	for {
		w.mu.Lock()
		accepted := j.accepted
		w.mu.Unlock()
		if accepted {
			return
		}
		select {
		case <-w.done:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (w *world) hasEnded(j *simJob) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return j.reportedState != ""
}

// expectEvent checks that something was observed in a scenario.
func (w *world) expectEvent(t *testing.T, what string, least int) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.observed[what] < least {
		w.fail(t, "it hardly came about: %s: %d times, wanted %d", what, w.observed[what], least)
	}
}

// expectNewTerm waits until a term is another controller's or another process's.
func (w *world) expectNewTerm(t *testing.T, key string, do func()) {
	t.Helper()
	version := func() uint64 {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.kv[key].version
	}
	was := version()
	do()
	w.waitUntil(t, "a new term under "+key, 60*time.Second, func() bool { return version() != was })
}

// replayHeartbeats lets every heartbeat that was kept come once more, to every controller.
func (w *world) replayHeartbeats() {
	w.mu.Lock()
	old := w.keptHeartbeats
	w.keptHeartbeats = nil
	w.mu.Unlock()
	for _, n := range w.controllers {
		if process := n.running(); process != nil {
			for _, r := range old {
				w.deliverCopy(process, r)
			}
		}
	}
}

// setHung lets machines hang, or go on.
func (w *world) setHung(ms []*simWorker, hung bool) {
	w.locked(func() {
		for _, m := range ms {
			m.hung = hung
		}
	})
}

// openJobs is how many records a controller keeps.
func (w *world) openJobs(c *Controller) int {
	a := &simAnswer{got: make(chan *httpwire.Response, 1)}
	c.control.Tell(statusRequest{a})
	var s Status
	if err := json.Unmarshal((<-a.got).Body, &s); err != nil {
		panic(err)
	}
	return s.OpenJobs
}
