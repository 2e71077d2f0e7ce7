package shard

import (
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// machine is what the owner knows of one machine.
type machine struct {
	name, addr string
	typ        *wire.MachineType
	typeName   string
	spot       bool
	capacity   resources

	page          int    // of the inventory; pageless: on none
	inventoryAddr string // address as in the durable inventory
	durable       bool   // is in the durable inventory
	leaving       bool   // its return is confirmed; it is to leave the inventory

	session, seq uint64
	minSession   uint64    // earlier sessions have surely ended
	token        uint64    // highest token that it has reported
	epoch        uint64    // what the owner's tokens to it end in
	heard        time.Time // its last own report; at first also an answer
	leaseUntil   time.Time // after it, the session last known has surely ended
	inherited    bool      // stood in the inventory when the term began
	up           bool      // has reported in this term
	listed       bool      // the cloud's list has shown it
	missing      int       // lists in a row since then that did not
	lapsed       bool      // its lease ended while nobody heard it; it may come back
	holds        []*hold   // by attempt
	sums         sums
	stale        bool // sums are to be made anew
	images       map[string]bool
	notice       time.Time // when the cloud takes it; zero: no notice
	rentedAt     time.Time
	idleSince    time.Time
	returning    bool
	closing      closing
	cordon       *cordon // it takes no new task; nil: it may
	leavesNext   bool    // a drain that runs takes it in: what comes here would move once more
	draining     bool    // its tasks move elsewhere; it takes new ones last
	spareSince   time.Time
	avoidUntil   time.Time
	forGangs     bool // no array begins here: its room is for gangs
	keptFor      *job // its room is kept for a task of it
	keptUntil    time.Time

	inFlight         bool // a direct command waits for its answer
	nextDirect       time.Time
	wantCommand      bool      // it should be sent what it should do
	commandQueued    bool      // it stands in the queue for that
	misroutedAt      time.Time // when it last reported to another controller
	unanswered       int       // direct commands since it was last heard of
	unconfirmedSince time.Time // since when it is asked to show that answers reach it; zero: it is confirmed
	confirmingToken  uint64    // the token that it must show
	lost             bool      // holds an unwanted attempt that a late command could still bring
	warned           bool      // impossible fields were logged
	unheeded         int       // direct commands without an answer since it is unconfirmed
	answersSince     int       // answers since it last showed the token they carry
	answeredAt       uint64    // the number of its last report that was answered, with those of direct commands right after it
	lastSequence     uint64    // the number of its last own report
	lastSession      uint64    // the session of that
	missed           bool      // its last report shows that it made others elsewhere
}

// verified says that the machine has seen one of the owner's tokens, so
// nothing that earlier owners sent can be carried out any more and its report
// shows all that is there.
func (m *machine) verified(term uint64) bool { return m.up && m.token>>constants.EpochBits == term }

// doubted says that answers and commands may not reach the machine.
func (m *machine) unconfirmed() bool { return !m.unconfirmedSince.IsZero() }

// find returns the attempt with a key, or nil.
func (m *machine) find(k holdKey) *hold {
	for _, h := range m.holds {
		if h.key.attempt == k.attempt && h.key.task == k.task {
			return h
		}
	}
	return nil
}

// isNew says whether a report was made after all that are known of the machine.
func (m *machine) isNew(r *wire.Heartbeat) bool {
	if r.Epoch < m.minSession {
		return false
	}
	return r.Epoch > m.session || r.Epoch == m.session && r.Seq > m.seq
}
