package shard

import (
	"time"

	"ravenport/leader"
	"ravenport/records"
)

// job is a job of which some tasks are assigned to the shard.
type job struct {
	rec            *records.Job
	version        uint64
	tasks          map[int]*task
	writeInFlight  bool // a write of its record is in flight
	awaitsRecord   bool // a newer record is known to be stored, and the feed will bring it
	nextWriteAt    time.Time
	offloadedAt    time.Time       // when tasks of it were last offloaded to the leader
	closeCheckDue  bool            // it changed since its assignments were last checked
	closeAt        time.Time       // when finished assignments are closed though others here are not finished; zero: none is
	failedMachines map[string]bool // machines on which its tasks failed

	gang          *gang     // nil: the job is no gang
	gangArrivedAt time.Time // when the gang was assigned to the shard

	hasStarted   bool    // a task of it runs or is done, in this shard or another
	waitingStale bool    // waiting and hasStarted are to be computed again
	waiting      []*task // sorted: those within the guaranteed quota first, then by index

	rank leader.Rank // in the order of the last placement round
}

// task is one task of an open assignment.
type task struct {
	job                    *job
	index                  int
	attempt                *attempt
	done                   bool
	possiblyRunning        bool // may run on an inherited machine that has sent no heartbeat yet
	offloading             bool // it is being offloaded to the leader, and is not placed
	notBefore              time.Time
	waitingSince           time.Time
	failures               int
	keepWaiting            bool
	withinGuarantee        bool
	resourcesExpectedUntil time.Time // until then, preempted work is saving its checkpoint to free resources for it
}

// isWaiting reports whether the task has no attempt and needs one.
func (t *task) isWaiting() bool {
	return t.attempt == nil && !t.done && !t.possiblyRunning && !t.offloading
}

// recordPending reports whether a newer record will replace the one known here: no write
// may be based on this one.
func (j *job) recordPending() bool { return j.writeInFlight || j.awaitsRecord }
