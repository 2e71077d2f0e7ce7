package loopback

import (
	"slices"
	"sync"
	"testing"
	"time"

	"ravenport/wire"
)

// workload is the jobs that come while controllers fail.
type workload struct {
	stop chan struct{}
	done sync.WaitGroup

	mu     sync.Mutex
	arrays []string
	all    []string
}

// startWorkload submits services at once and arrays from then on.
func (f *fleet) startWorkload(t *testing.T) *workload {
	t.Helper()
	l := &workload{stop: make(chan struct{})}
	time.Sleep(2 * time.Second) // the first terms are claimed
	for range f.services {
		l.submit(f, true)
	}
	l.done.Add(1)
	go func() {
		defer l.done.Done()
		for {
			select {
			case <-l.stop:
				return
			case <-time.After(f.arrayInterval):
				l.done.Add(1)
				go func() {
					defer l.done.Done()
					l.submit(f, false)
				}()
			}
		}
	}()
	return l
}

// submit submits a job until it is accepted, and notes it then.
func (l *workload) submit(f *fleet, service bool) {
	s := f.nextJob(service)
	f.request("POST", wire.PathJobs, submissionBody(s))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, s.ID)
	if !service {
		l.arrays = append(l.arrays, s.ID)
	}
}

// acceptedArrays is how many arrays were accepted.
func (l *workload) acceptedArrays() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.arrays)
}

// What a backlog may take beyond its least time: a share of it, since machines are never
// all full, and the time in which the last failure's shard comes back.
const (
	backlogFactor = 1.25
	backlogMargin = 30 * time.Second
)

// awaitArrays ends the load and sees that every accepted array is done, within the least
// time in which the fleet can work off what waits then, and a margin.
func (l *workload) awaitArrays(t *testing.T, f *fleet) {
	t.Helper()
	close(l.stop)
	l.done.Wait()
	l.mu.Lock()
	arrays, all := slices.Clone(l.arrays), len(l.all)
	l.mu.Unlock()
	waiting := len(arrays)*f.tasksPerArray - f.observer.startedArrayTasks(f.isArrayTask)
	least := f.minBacklogTime(waiting)
	limit := time.Now().Add(time.Duration(backlogFactor*float64(least)) + backlogMargin)
	t.Logf("%d tasks wait at the end of the load: %s at least", waiting, least.Round(time.Second))
	var late []string
	for _, id := range arrays {
		for !f.isJobDone(t, id) {
			if time.Now().After(limit) {
				late = append(late, id)
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	if len(late) > 0 {
		t.Errorf("%d accepted arrays are not done %s after the load's end, the first is %s", len(late), time.Since(limit.Add(-backlogMargin)).Round(time.Second), late[0])
	}
	t.Logf("%d jobs accepted, %d arrays done, %d tasks started", all, len(arrays)-len(late), f.observer.startedTasks())
}

// minBacklogTime is how long the whole fleet takes for so many tasks of arrays at least.
func (f *fleet) minBacklogTime(tasks int) time.Duration {
	slots := (float64(f.machines)*machineType.CPUs - serviceTaskCPUs*float64(f.services*f.replicas)) / arrayTaskCPUs
	return time.Duration(float64(tasks) / slots * float64(f.taskDuration+imageFetchTime))
}

// awaitLargeServices waits until a large fleet's services run.
func (f *fleet) awaitLargeServices(t *testing.T) {
	t.Helper()
	if f.machines <= largeFleet {
		return
	}
	began := time.Now()
	for end := began.Add(5 * time.Minute); f.observer.runningTasks() < f.services*f.replicas; time.Sleep(time.Second) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d replicas run on %d machines", f.observer.runningTasks(), f.services*f.replicas, f.cloud.machineCount())
		}
	}
	t.Logf("%d replicas run on %d machines after %s", f.observer.runningTasks(), f.cloud.machineCount(), time.Since(began).Round(time.Second))
}
