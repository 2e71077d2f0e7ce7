package loopback

import (
	"slices"
	"sync"
	"testing"
	"time"

	"ravenport/wire"
)

// workload submits jobs while controllers fail, and records the accepted jobs.
type workload struct {
	stop chan struct{}
	done sync.WaitGroup

	mu     sync.Mutex
	arrays []string // ids of job arrays
	jobs   []string // ids of all jobs
}

// startWorkload submits the services and then starts to submit job arrays in the background.
func (f *fleet) startWorkload(t *testing.T) *workload {
	t.Helper()
	w := &workload{stop: make(chan struct{})}
	time.Sleep(2 * time.Second) // until the first terms are acquired
	for range f.services {
		w.submit(f, f.nextService())
	}
	w.done.Add(1)
	go w.submitArrays(f)
	return w
}

// submitArrays submits job arrays until the workload is stopped. A job array that no
// controller has accepted yet does not delay the next job array.
func (w *workload) submitArrays(f *fleet) {
	defer w.done.Done()
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(f.arrayInterval):
		}
		w.done.Add(1)
		go func() {
			defer w.done.Done()
			w.submit(f, f.nextArray())
		}()
	}
}

// submit submits a job repeatedly until a controller accepts it, and then records the job.
func (w *workload) submit(f *fleet, s wire.Submission) {
	f.request("POST", wire.PathJobs, submissionBody(s))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs = append(w.jobs, s.ID)
	if s.Kind == wire.KindArray {
		w.arrays = append(w.arrays, s.ID)
	}
}

// acceptedArrays returns the number of accepted job arrays.
func (w *workload) acceptedArrays() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.arrays)
}

// The time limit for a backlog is its minimum time, multiplied by backlogFactor because
// the machines are never all full, plus backlogMargin for the rebuild of the shard whose
// owner failed last.
const (
	backlogFactor = 1.25
	backlogMargin = 30 * time.Second
)

// awaitArrays stops the workload and checks that every accepted job array is done within the
// time limit for the tasks that wait when the workload stops.
func (w *workload) awaitArrays(t *testing.T, fleet *fleet) {
	t.Helper()
	close(w.stop)
	w.done.Wait()
	w.mu.Lock()
	arrays, jobCount := slices.Clone(w.arrays), len(w.jobs)
	w.mu.Unlock()
	waiting := len(arrays)*fleet.tasksPerArray - fleet.observer.startedArrayTasks(fleet.isArrayTask)
	minTime := fleet.minBacklogTime(waiting)
	deadline := time.Now().Add(time.Duration(backlogFactor*float64(minTime)) + backlogMargin)
	t.Logf("%d tasks wait at the end of the workload; they take at least %s", waiting, minTime.Round(time.Second))
	var late []string
	for _, id := range arrays {
		for !fleet.isJobDone(t, id) {
			if time.Now().After(deadline) {
				late = append(late, id)
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	if len(late) > 0 {
		t.Errorf("%d accepted job arrays are not done %s after the end of the workload, the first is %s", len(late), time.Since(deadline.Add(-backlogMargin)).Round(time.Second), late[0])
	}
	t.Logf("%d jobs accepted, %d job arrays done, %d tasks started", jobCount, len(arrays)-len(late), fleet.observer.startedTasks())
}

// minBacklogTime returns the minimum time in which the whole fleet can run a number of tasks
// of job arrays.
func (f *fleet) minBacklogTime(tasks int) time.Duration {
	slots := (float64(f.machines)*machineType.CPUs - serviceTaskCPUs*float64(f.services*f.replicas)) / arrayTaskCPUs
	return time.Duration(float64(tasks) / slots * float64(f.taskDuration+imageFetchTime))
}

// awaitLargeServices waits until the services of a large fleet run.
func (f *fleet) awaitLargeServices(t *testing.T) {
	t.Helper()
	if f.machines <= largeFleet {
		return
	}
	startedAt := time.Now()
	for end := startedAt.Add(5 * time.Minute); f.observer.runningTasks() < f.services*f.replicas; time.Sleep(time.Second) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d replicas run on %d machines", f.observer.runningTasks(), f.services*f.replicas, f.cloud.machineCount())
		}
	}
	t.Logf("%d replicas run on %d machines after %s", f.observer.runningTasks(), f.cloud.machineCount(), time.Since(startedAt).Round(time.Second))
}
