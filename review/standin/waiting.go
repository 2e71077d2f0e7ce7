package main

import "time"

// bound is the bound of the users' rule: "Once the troubles are over, no job is left waiting for
// 90 s while a machine that fits has room and its team is under its limit."
const bound = 90 * time.Second

// hasRoom reports whether a machine of the job's zone and allowed types is up and has room for
// one of its tasks.
func (f *fleet) hasRoom(j *job) bool {
	f.cloud.mu.Lock()
	machines := append([]*cloudMachine(nil), f.cloud.machines...)
	f.cloud.mu.Unlock()
	for _, m := range machines {
		if m.worker.hasRoom(j) {
			return true
		}
	}
	return false
}

func (w *worker) hasRoom(j *job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.gone || w.hung != nil || w.held != nil || j.zone != "" && j.zone != w.zone {
		return false
	}
	allowed := j.builds == nil
	for _, name := range j.builds {
		allowed = allowed || name == w.machineType.name
	}
	cpus, mem := w.machineType.cpus, w.machineType.mem
	for _, t := range w.tasks {
		if t.Status != "exited" {
			cpus -= t.cpus
			mem -= t.mem
		}
	}
	return allowed && j.cpus <= cpus && j.mem <= mem
}

// outcome is what became of a job.
type outcome int

const (
	jobServed outcome = iota // the job is done, or did not wait for as long as the bound
	jobWaited                // the job has waited for as long as the bound
	jobUnknown
)

// observe looks at a job from now on, when the troubles are over, until it has waited for 90 s
// without a break while a machine that fits had room, or is done, or until the end. waits
// reports whether the job waits now. All jobs of the cases are of a team without a limit.
func (f *fleet) observe(j *job, end time.Time, waits func() bool) outcome {
	var since, polled time.Time
	for time.Now().Before(end) {
		now := time.Now()
		switch {
		case !waits() || !f.hasRoom(j):
			since = time.Time{}
		case since.IsZero():
			since = now
			f.rec.log("%s waits, and a machine that fits has room", j.id)
		case now.Sub(since) >= bound:
			f.rec.log("%s has waited for 90 s while a machine that fits had room", j.id)
			return jobWaited
		}
		if now.Sub(polled) > 5*time.Second {
			polled = now
			if f.poll(j) == "done" {
				f.rec.log("%s is done", j.id)
				return jobServed
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return jobUnknown
}

// waitsForTask returns a function that reports whether a task is on no machine and has not
// completed.
func (f *fleet) waitsForTask(task string) func() bool {
	return func() bool { return f.machineOf(task) == nil && !f.isDone(task) }
}

// observeAll observes several jobs at once and returns the exit code of the case.
func (f *fleet) observeAll(jobs []*job, waits func(*job) func() bool) int {
	end := f.rec.start.Add(116 * time.Second)
	results := make(chan outcome, len(jobs))
	for _, j := range jobs {
		go func() { results <- f.observe(j, end, waits(j)) }()
	}
	code := held
	for range jobs {
		switch <-results {
		case jobWaited:
			code = broken
		case jobUnknown:
			if code != broken {
				code = notRunOK // neither done nor waiting for as long as the bound
			}
		}
	}
	return code
}
