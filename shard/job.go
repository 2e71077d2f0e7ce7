package shard

import (
	"time"

	"ravenport/leader"
	"ravenport/records"
)

// job is a job of which the shard looks after some tasks.
type job struct {
	rec            *records.Job
	version        uint64
	tasks          map[int]*task
	writeInFlight  bool // a change of its record is under way
	awaitsRecord   bool // a newer record is known to be stored, and the feed will bring it
	nextWriteAt    time.Time
	sentBackAt     time.Time       // when tasks of it were last sent back
	closeCheckDue  bool            // since its assignments were last looked at
	closeAt        time.Time       // when assignments that are over are recorded though others here are not; zero: none is
	failedMachines map[string]bool // machines on which its tasks failed

	gang          *gang     // of a gang
	gangArrivedAt time.Time // since when the gang has been here

	begun        bool    // a task of it runs or is done, here or elsewhere
	waitingStale bool    // waiting and begun are to be made anew
	waiting      []*task // those within the guarantee first, then by index

	rank leader.Rank // in the order of the last look at all that wait
}

// task is one task of an open assignment.
type task struct {
	job               *job
	index             int
	attempt           *attempt
	done              bool
	uncertain         bool // may run on an inherited machine that has not reported yet
	sendingBack       bool // is being sent back to the leader
	notBefore         time.Time
	waitingSince      time.Time
	failures          int
	keepWaiting       bool
	withinGuarantee   bool
	roomExpectedUntil time.Time // until then, work that saves first is making room for it
}

func (t *task) isWaiting() bool { return t.attempt == nil && !t.done && !t.uncertain && !t.sendingBack }

// recordPending says that the record known here will be replaced by a newer one:
// nothing may be written on the ground of it.
func (j *job) recordPending() bool { return j.writeInFlight || j.awaitsRecord }
