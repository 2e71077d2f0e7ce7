package loopback

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ravenport/wire"
)

// CPUs of one task, by the kind of its job.
const (
	arrayTaskCPUs   = 4.0
	serviceTaskCPUs = 2.0
)

// imageCount is the number of different images. The jobs use the images in turn.
const imageCount = 12

// nextService returns the next service to be submitted.
func (f *fleet) nextService() wire.Submission {
	s := f.nextJob()
	s.Class = "services"
	s.Kind = wire.KindService
	s.Priority = wire.PriorityProduction
	s.Tasks = f.replicas
	s.CPUs = serviceTaskCPUs
	s.MemoryGB = 4.6
	s.Spread = true
	return s
}

// nextArray returns the next job array to be submitted.
func (f *fleet) nextArray() wire.Submission {
	s := f.nextJob()
	s.Class = "arrays"
	s.Kind = wire.KindArray
	s.Priority = wire.PriorityNormal
	s.Tasks = f.tasksPerArray
	s.CPUs = arrayTaskCPUs
	s.MemoryGB = 12
	s.Spot = true
	s.EstimateS = f.taskDuration.Seconds()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taskDurations[s.ID] = f.taskDuration
	return s
}

// nextJob returns a submission with a new job id and the fields that all jobs share.
func (f *fleet) nextJob() wire.Submission {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobSeq++
	return wire.Submission{
		ID:      fmt.Sprintf("run-%06d", f.jobSeq),
		Team:    "team",
		Image:   fmt.Sprintf("img-%d", f.jobSeq%imageCount),
		ImageGB: 0.7,
	}
}

// submissionBody encodes a submission. It adds the fields of type bool to the encoded
// submission, because the protocol requires them and package wire omits those that are
// false.
func submissionBody(s wire.Submission) []byte {
	body, err := json.Marshal(struct {
		wire.Submission
		OneZone bool `json:"one_zone"`
		Spread  bool `json:"scatter"`
		Spot    bool `json:"loaners"`
	}{s, s.OneZone, s.Spread, s.Spot})
	if err != nil {
		panic(err) // cannot occur: wire.Submission can be encoded
	}
	return body
}

// pollInterval is the time between two polls of a job. pollDuration is the time during which
// the job is polled.
const (
	pollInterval = 5 * time.Second
	pollDuration = time.Minute
)

// submitAndPoll submits a job in the background and then polls the job for pollDuration.
func (f *fleet) submitAndPoll(s wire.Submission) {
	body := submissionBody(s)
	go func() {
		f.request("POST", wire.PathJobs, body)
		for end := time.Now().Add(pollDuration); time.Now().Before(end); {
			time.Sleep(pollInterval)
			f.request("GET", wire.PathJobs+"/"+s.ID, nil)
		}
	}()
}

// isJobDone polls a job and reports whether the job is done.
func (f *fleet) isJobDone(t *testing.T, id string) bool {
	t.Helper()
	var s wire.JobStatus
	if err := json.Unmarshal(f.request("GET", wire.PathJobs+"/"+id, nil), &s); err != nil {
		t.Fatal(err)
	}
	return s.Status == wire.JobDone
}

// isArrayTask reports whether a task belongs to a job array. Only tasks of job arrays end
// by themselves.
func (f *fleet) isArrayTask(task string) bool {
	job, _, _ := wire.ParseTaskName(task)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.taskDurations[job] > 0
}

// taskCPUs returns the number of CPUs of a task.
func (f *fleet) taskCPUs(task string) float64 {
	if f.isArrayTask(task) {
		return arrayTaskCPUs
	}
	return serviceTaskCPUs
}

// randomTaskDuration returns the run time of a task: between half and one and a half times
// the duration of its job, or 0 for a task that runs until it is stopped.
func (f *fleet) randomTaskDuration(task string) time.Duration {
	job, _, _ := wire.ParseTaskName(task)
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(float64(f.taskDurations[job]) * (0.5 + rand.Float64()))
}
