package shard

import (
	"time"

	"ravenport/leader"
	"ravenport/records"
)

// job is a job of which the shard looks after some tasks.
type job struct {
	rec     *records.Job
	version uint64
	tasks   map[int]*task
	writing bool // a change of its record is under way
	awaited bool // a newer record is known to be stored, and the feed will bring it
	retryAt time.Time
	backAt  time.Time       // when tasks of it were last sent back
	changed bool            // since its assignments were last looked at
	closeAt time.Time       // when assignments that are over are recorded though others here are not; zero: none is
	errors  map[string]bool // machines on which its tasks failed

	gang      *gang     // of a gang
	gangSince time.Time // since when the gang has been here

	begun   bool    // a task of it runs or is done, here or elsewhere
	stale   bool    // waiting and begun are to be made anew
	waiting []*task // those within the guarantee first, then by index

	place leader.Rank // in the order of the last look at all that wait
}

// task is one task of an open assignment.
type task struct {
	job       *job
	index     int
	hold      *hold
	done      bool
	uncertain bool // may run on an inherited machine that has not reported yet
	leaving   bool // is being sent back to the leader
	notBefore time.Time
	waitSince time.Time
	fails     int
	keep      bool
	guarantee bool
	roomAt    time.Time // until then, work that saves first is making room for it
}

func (t *task) waiting() bool { return t.hold == nil && !t.done && !t.uncertain && !t.leaving }

// recordChanges says that the record known here will be replaced by a newer one:
// nothing may be written on the ground of it.
func (j *job) recordChanges() bool { return j.writing || j.awaited }
