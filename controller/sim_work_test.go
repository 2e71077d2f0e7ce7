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

// workload holds the jobs of a busy deployment: long-running arrays bound to each zone, one
// array bound to no zone, a service, and jobs of a team at its quota, of which some wait.
type workload struct {
	zoneArrays   []*simJob
	unboundArray *simJob
	quotaJobs    []*simJob
	service      *simJob
	mustFinish   []*simJob // the jobs that must be done in the end
}

// startWorkload submits the jobs of a workload and waits until they run and the team is at its
// quota.
func (w *world) startWorkload(t *testing.T, runS float64) *workload {
	t.Helper()
	b := &workload{zoneArrays: w.boundArrays(1, runS), unboundArray: w.newArray("run-000001", 4, 1, runS)}
	go w.runUser(b.unboundArray, 0, 0)
	for i := range 4 { // 5 CPUs each, with a quota of 10
		j := w.newArray(fmt.Sprintf("run-0001%02d", i), 1, 5, runS)
		j.spec.Team = "tight"
		go w.runUser(j, 0, 0)
		b.quotaJobs = append(b.quotaJobs, j)
	}
	w.startService("run-000002", 2)
	w.locked(func() { b.service = w.jobs["run-000002"] })
	b.mustFinish = slices.Concat(b.zoneArrays, []*simJob{b.unboundArray}, b.quotaJobs)
	w.waitAllRunning(t, b.zoneArrays, []*simJob{b.unboundArray, b.service})
	w.waitUntil(t, "the team is at its limit", 60*time.Second, func() bool { return len(w.started(b.quotaJobs)) == 2 })
	return b
}

// started returns those of the given jobs that have a task on a machine.
func (w *world) started(jobs []*simJob) []*simJob {
	var out []*simJob
	for _, j := range jobs {
		if w.tasksOn("", j.spec.ID) > 0 {
			out = append(out, j)
		}
	}
	return out
}

// endFaultsAndWait ends all faults and waits until the users have seen the end of all jobs.
func (w *world) endFaultsAndWait(t *testing.T, limit time.Duration, jobs []*simJob) {
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
	w.faultFreeSince = time.Now()
	w.mu.Unlock()
	for _, n := range w.controllers {
		if n.running() == nil {
			n.start()
		}
	}
	w.waitUntil(t, "all jobs have ended", limit, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return !slices.ContainsFunc(jobs, func(j *simJob) bool {
			return j.reportedState == "" && !j.cancelRequested || j.cancelRequested && j.reportedState == ""
		})
	})
}

// cancelAndWait requests the cancellation of a job at one controller after the other until one
// confirms it.
func (w *world) cancelAndWait(t *testing.T, j *simJob, limit time.Duration) {
	t.Helper()
	index := 0
	w.waitUntil(t, j.spec.ID+" is confirmed as cancelled", limit, func() bool {
		index++
		return w.cancelAt(index%3, j)
	})
}

// restart kills the controller and starts it again after a delay.
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

// machinesRunning returns the machines that hold a task of a job.
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

// pollConcurrently polls a job at all controllers at once, three times within milliseconds.
// Some of the requests repeat the submission instead. No controller may answer with an older
// state than any controller had answered before the request was sent.
func (w *world) pollConcurrently(j *simJob) {
	for range 3 {
		for index := range w.controllers {
			go func() {
				w.mu.Lock()
				knownState, accepted := j.reportedState, j.accepted
				w.mu.Unlock()
				repeat := w.chance(0.3)
				r := w.requestAt(index, func(q apiserver.Request) any {
					if repeat {
						return apiserver.Submit{Request: q, Body: records.Encode(submissionFields(j.spec))}
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
				case knownState != "" && s.Status != knownState:
					w.violate("went_back", "%s: %s, then %s", j.spec.ID, knownState, s.Status)
				}
			}()
		}
		time.Sleep(w.randomDuration(time.Millisecond, 8*time.Millisecond))
	}
}

// submitMany submits one-task jobs for the duration d. A share of them is cancelled: half of
// these as soon as they are accepted, the others at a random time between 1 s and runS + 4 s
// later, so that some cancellations coincide with the end of the job. Users poll all controllers
// concurrently at each change.
func (w *world) submitMany(first int, d time.Duration, everyS, runS, cancelled float64) []*simJob {
	var out []*simJob
	for end, i := time.Now().Add(d), first; time.Now().Before(end); i++ {
		j := w.newArray(fmt.Sprintf("run-%06d", i), 1, 1, runS)
		out = append(out, j)
		go w.runUser(j, 0, 0)
		if w.chance(cancelled) {
			cancelDelay := time.Duration(0)
			if w.chance(0.5) {
				cancelDelay = time.Duration(w.randomDuration(time.Second, time.Duration((runS+4)*float64(time.Second))))
			}
			go func() {
				w.waitAccepted(j)
				time.Sleep(cancelDelay)
				for index := i; ; index++ {
					w.cancelAt(index%3, j)
					w.pollConcurrently(j)
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
				w.pollConcurrently(j)
				for !w.hasEnded(j) {
					select {
					case <-w.done:
						return
					case <-time.After(20 * time.Millisecond):
					}
				}
				w.pollConcurrently(j)
			}()
		}
		time.Sleep(time.Duration(everyS * float64(time.Second)))
	}
	return out
}

// submitArrays submits n one-task jobs of the given CPUs at the same time.
func (w *world) submitArrays(first int, cpus float64, n int, runS float64) []*simJob {
	var out []*simJob
	for i := range n {
		j := w.newArray(fmt.Sprintf("run-%06d", first+i), 1, cpus, runS)
		go w.runUser(j, 0, 0)
		out = append(out, j)
	}
	return out
}

// waitAccepted waits until a job is accepted or the simulation ends.
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

// expectEvent checks that an event was observed at least minCount times in a scenario.
func (w *world) expectEvent(t *testing.T, what string, minCount int) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.observed[what] < minCount {
		w.fail(t, "event %q was observed %d times, want at least %d", what, w.observed[what], minCount)
	}
}

// expectNewTerm calls change and waits up to 60 s until the record of the term under the key has
// a new version, which means that another controller or process has acquired the term.
func (w *world) expectNewTerm(t *testing.T, key string, change func()) {
	t.Helper()
	version := func() uint64 {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.kv[key].version
	}
	previous := version()
	change()
	w.waitUntil(t, "a new term under "+key, 60*time.Second, func() bool { return version() != previous })
}

// replayHeartbeats delivers every kept heartbeat once more, to every controller.
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

// setHung makes machines hang, or lets them continue.
func (w *world) setHung(ms []*simWorker, hung bool) {
	w.locked(func() {
		for _, m := range ms {
			m.hung = hung
		}
	})
}

// openJobs returns how many open jobs a controller reports.
func (w *world) openJobs(c *Controller) int {
	a := &simAnswer{response: make(chan *httpwire.Response, 1)}
	c.control.Tell(statusRequest{a})
	var s Status
	if err := json.Unmarshal((<-a.response).Body, &s); err != nil {
		panic(err)
	}
	return s.OpenJobs
}
