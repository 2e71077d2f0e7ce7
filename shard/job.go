package shard

import (
	"time"

	"ravenport/leader"
	"ravenport/records"
)

// job is a job with tasks that are assigned to the shard.
type job struct {
	record         *records.Job
	version        uint64
	tasks          map[int]*task
	writeInFlight  bool // a write of the record is in flight
	awaitsRecord   bool // a newer record is known to be stored, and the feed has not delivered it yet
	nextWriteAt    time.Time
	offloadedAt    time.Time       // when tasks of the job were last offloaded to the leader
	closeCheckDue  bool            // the job changed since its assignments were last checked
	closeAt        time.Time       // when finished assignments are closed even if others in this shard are not finished; zero: not planned
	failedMachines map[string]bool // machines on which tasks of the job failed
	// closesFinishedTasks: the job's finished tasks are closed one by one, because their
	// statuses take much of the room in a machine's heartbeats.
	closesFinishedTasks bool

	gang          *gang     // nil: the job is not a gang
	gangArrivedAt time.Time // when the gang was assigned to the shard

	hasStarted   bool    // a task of the job has started or is done, in this shard or another
	waitingStale bool    // waiting and hasStarted must be recomputed
	waiting      []*task // sorted: tasks within the guaranteed quota first, then by index

	rank leader.Rank // rank in the last placement round
}

// task is one task of an open assignment.
type task struct {
	job                    *job
	index                  int
	attempt                *attempt
	done                   bool
	possiblyRunning        bool // the task may run on an inherited machine that has sent no heartbeat yet
	offloading             bool // the task is being offloaded to the leader and is not placed
	notBefore              time.Time
	waitingSince           time.Time
	failures               int
	keepWaiting            bool
	withinGuarantee        bool
	resourcesExpectedUntil time.Time // until then, preempted work is saving checkpoints before it frees resources for the task
}

// isWaiting reports whether the task has no attempt and needs one.
func (t *task) isWaiting() bool {
	return t.attempt == nil && !t.done && !t.possiblyRunning && !t.offloading
}

// recordPending reports whether a newer record will replace the known one. No write may
// be based on the known record then.
func (j *job) recordPending() bool { return j.writeInFlight || j.awaitsRecord }
