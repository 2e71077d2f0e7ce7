package controller

import (
	"encoding/json"
	"time"

	"ravenport/apiserver"
	"ravenport/httpwire"
	"ravenport/wire"
)

// simJob is a job and what its user has seen of it.
type simJob struct {
	spec            wire.Submission
	accepted        bool
	reportedState   wire.JobState // last terminal state that the user saw
	cancelled       time.Time     // when the user saw that it was cancelled
	overran         bool          // a task of the job was on a machine after the limit for cancellations
	cancelRequested bool          // the user has requested its cancellation
	lastAnswerAt    time.Time
	doneTasks       map[int]bool
	runTimesS       []float64 // how long each task runs, in place of the estimate
	starts          int
	idleSince       time.Time // since when it has waited although a machine has enough free CPUs
	savedProgress   float64   // of a gang: progress at its last checkpoint, in seconds
}

// simAnswer is a request whose response is sent to a channel.
type simAnswer struct{ response chan *httpwire.Response }

func (a *simAnswer) Respond(r *httpwire.Response) { a.response <- r }

// request sends one request to a random controller and returns the response, or nil if the
// controller is not running or does not respond within 5 s.
func (w *world) request(msg func(apiserver.Request) any) *httpwire.Response {
	w.mu.Lock()
	index := w.rng.IntN(len(w.controllers))
	w.mu.Unlock()
	return w.requestAt(index, msg)
}

// requestAt sends one request to the controller with this index.
func (w *world) requestAt(index int, msg func(apiserver.Request) any) *httpwire.Response {
	w.mu.Lock()
	process := w.controllers[index].process
	w.mu.Unlock()
	time.Sleep(w.randomDuration(time.Millisecond, 5*time.Millisecond))
	if process == nil {
		return nil
	}
	a := &simAnswer{response: make(chan *httpwire.Response, 1)}
	request := msg(a)
	process.apiServer.Tell(request)
	select {
	case r := <-a.response:
		w.recordCancelAnswer(process.name, request, r)
		return r
	case <-time.After(5 * time.Second):
		return nil
	}
}

// runUser submits a job, polls it and, if cancelAfter is set, cancels it.
func (w *world) runUser(j *simJob, after, cancelAfter time.Duration) {
	time.Sleep(after)
	body, err := json.Marshal(submissionFields(j.spec))
	if err != nil {
		panic(err)
	}
	for {
		r := w.request(func(q apiserver.Request) any { return apiserver.Submit{Request: q, Body: body} })
		if r != nil && (r.Status == 201 || r.Status == 200) {
			w.mu.Lock()
			j.accepted = true
			w.record.add(simEvent{what: "job accepted", job: j.spec.ID, revision: w.revision})
			w.mu.Unlock()
			break
		}
		if r != nil && (r.Status == 400 || r.Status == 422) {
			w.mu.Lock()
			w.violate("forgotten", "%s refused with %d: %s", j.spec.ID, r.Status, r.Body)
			w.mu.Unlock()
			return
		}
		select {
		case <-w.done:
			return
		case <-time.After(time.Second):
		}
	}
	accepted := time.Now()
	for {
		select {
		case <-w.done:
			return
		case <-time.After(w.randomDuration(4*time.Second, 6*time.Second)):
		}
		if cancelAfter > 0 && time.Since(accepted) > cancelAfter && j.reportedState == "" {
			w.mu.Lock()
			j.cancelRequested = true
			w.record.add(simEvent{what: "cancellation requested", job: j.spec.ID})
			w.mu.Unlock()
			r := w.request(func(q apiserver.Request) any { return apiserver.Cancel{Request: q, JobID: j.spec.ID} })
			w.checkReply(j, r, true)
			continue
		}
		r := w.request(func(q apiserver.Request) any { return apiserver.Poll{Request: q, JobID: j.spec.ID} })
		if w.unansweredJob == j.spec.ID {
			r = nil
		}
		w.checkReply(j, r, false)
		w.checkAnswered(j)
		if w.chance(0.1) { // the submission is repeated late
			r = w.request(func(q apiserver.Request) any { return apiserver.Submit{Request: q, Body: body} })
			if r != nil && r.Status == 201 {
				w.mu.Lock()
				w.violate("forgotten", "%s accepted twice", j.spec.ID)
				w.mu.Unlock()
			}
			w.checkReply(j, r, false)
		}
	}
}

// checkAnswered checks that, after the last fault has ended, requests for a job get an answer
// at least every 75 s, independently of other jobs.
func (w *world) checkAnswered(j *simJob) {
	w.mu.Lock()
	defer w.mu.Unlock()
	since := w.faultFreeSince
	if j.lastAnswerAt.After(since) {
		since = j.lastAnswerAt
	}
	if !w.faultFreeSince.IsZero() && time.Since(since) > 75*time.Second {
		w.violate("forgotten", "%s: no answer for %s", j.spec.ID, time.Since(since))
		j.lastAnswerAt = time.Now()
	}
}

// checkReply checks an answer against the job states that the user saw before.
func (w *world) checkReply(j *simJob, r *httpwire.Response, cancel bool) {
	if r == nil || r.Status == 503 || r.Status == 429 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	j.lastAnswerAt = time.Now()
	if r.Status != 200 {
		w.violate("forgotten", "%s: status %d", j.spec.ID, r.Status)
		return
	}
	var s wire.JobStatus
	if err := json.Unmarshal(r.Body, &s); err != nil {
		panic(err)
	}
	if j.reportedState != "" && s.Status != j.reportedState {
		w.violate("went_back", "%s: %s, then %s", j.spec.ID, j.reportedState, s.Status)
	}
	switch s.Status {
	case wire.JobDone:
		if len(j.doneTasks) < j.spec.Tasks {
			w.violate("not_done", "%s: %d of %d", j.spec.ID, len(j.doneTasks), j.spec.Tasks)
		}
		j.reportedState = s.Status
	case wire.JobCancelled:
		if !j.cancelRequested {
			w.violate("went_back", "%s was never cancelled", j.spec.ID)
		}
		if j.cancelled.IsZero() {
			j.cancelled = time.Now()
			w.record.add(simEvent{what: "cancellation confirmed", job: j.spec.ID, revision: w.revision})
		}
		j.reportedState = s.Status
	}
}

// submissionFields returns the JSON fields of a submission, with every field present.
func submissionFields(s wire.Submission) map[string]any {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	m := map[string]any{"one_zone": false, "scatter": false, "loaners": false}
	if err := json.Unmarshal(b, &m); err != nil {
		panic(err)
	}
	return m
}

// sendInvalidHeartbeat sends a heartbeat with invalid or outdated fields to a controller.
func (w *world) sendInvalidHeartbeat(process *Controller) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &wire.Heartbeat{Machine: "m-999999", Addr: "nowhere:1", Type: "box", Zone: "a", Epoch: 1 + w.rng.Uint64N(5), Seq: w.rng.Uint64N(100)}
	for _, m := range w.machines { // an existing machine, with a state that its worker never sent
		if w.rng.IntN(3) > 0 {
			r.Machine, r.Addr, r.Zone, r.Spot = m.name, m.name, m.zone, m.spot
			// The sequence number is not a newer one: the protocol trusts the worker's own
			// sequence numbers and does not protect from a worker that sends false ones.
			r.Epoch, r.Seq = m.epoch, w.rng.Uint64N(m.lastAcceptedSeq+1)
		}
		break
	}
	for range w.rng.IntN(4) {
		s := wire.TaskStatus{Task: []string{"run-nobody/3", "nonsense", "run-000001/99999", "run-000002/0"}[w.rng.IntN(4)],
			Attempt: w.rng.Uint64N(1 << 30), State: []wire.TaskState{"running", "exited", "flying"}[w.rng.IntN(3)], Cause: "done"}
		if s.Task == "run-000002/0" {
			s.State = "flying" // "exited" would be accepted: whether an existing task is done, only its worker can know
		}
		r.Tasks = append(r.Tasks, s)
	}
	if r.Machine == "m-999999" {
		return // a machine that the cloud never started sends no heartbeats
	}
	process.control.Tell(workerHeartbeat{&simAnswer{response: make(chan *httpwire.Response, 1)}, r})
}
