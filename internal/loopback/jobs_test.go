package loopback

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ravenport/wire"
)

// What a task takes, by the kind of its job.
const (
	arrayTaskCPUs   = 4.0
	serviceTaskCPUs = 2.0
)

// nextJob is the next job to be submitted.
func (f *fleet) nextJob(service bool) wire.Submission {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobSeq++
	s := wire.Submission{ID: fmt.Sprintf("run-%06d", f.jobSeq), Class: "arrays", Team: "team", Kind: wire.KindArray, Priority: wire.PriorityNormal,
		Tasks: f.tasksPerArray, CPUs: arrayTaskCPUs, MemoryGB: 12, Image: fmt.Sprintf("img-%d", f.jobSeq%12), ImageGB: 0.7, Spot: true, EstimateS: f.taskDuration.Seconds()}
	if service {
		s.Class, s.Kind, s.Priority, s.Spot, s.EstimateS = "services", wire.KindService, wire.PriorityProduction, false, 0
		s.Tasks, s.CPUs, s.MemoryGB, s.Spread = f.replicas, serviceTaskCPUs, 4.6, true
	} else {
		f.taskDurations[s.ID] = f.taskDuration
	}
	return s
}

// submissionBody is the body of a submission, in which no flag may be missing.
func submissionBody(s wire.Submission) []byte {
	body, err := json.Marshal(struct {
		wire.Submission
		OneZone bool `json:"one_zone"`
		Spread  bool `json:"scatter"`
		Spot    bool `json:"loaners"`
	}{s, s.OneZone, s.Spread, s.Spot})
	if err != nil {
		panic(err) // a type of wire
	}
	return body
}

// submit submits a job and polls it every five seconds from then on.
func (f *fleet) submit(service bool) {
	s := f.nextJob(service)
	body := submissionBody(s)
	go func() {
		f.request("POST", wire.PathJobs, body)
		for end := time.Now().Add(time.Minute); time.Now().Before(end); {
			time.Sleep(5 * time.Second)
			f.request("GET", wire.PathJobs+"/"+s.ID, nil)
		}
	}()
}

// isJobDone asks whether an array is done.
func (f *fleet) isJobDone(t *testing.T, id string) bool {
	t.Helper()
	var s wire.JobStatus
	if err := json.Unmarshal(f.request("GET", wire.PathJobs+"/"+id, nil), &s); err != nil {
		t.Fatal(err)
	}
	return s.Status == wire.JobDone
}

// isArrayTask says whether a task is an array's: only those end by themselves.
func (f *fleet) isArrayTask(task string) bool {
	job, _, _ := wire.ParseTaskName(task)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.taskDurations[job] > 0
}

// taskCPUs is what a task takes.
func (f *fleet) taskCPUs(task string) float64 {
	if f.isArrayTask(task) {
		return arrayTaskCPUs
	}
	return serviceTaskCPUs
}

func (f *fleet) randomTaskDuration(task string) time.Duration {
	job, _, _ := wire.ParseTaskName(task)
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(float64(f.taskDurations[job]) * (0.5 + rand.Float64()))
}
