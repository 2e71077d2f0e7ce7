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

	pageNumber       int    // of the inventory; pageless: on none
	durableAddr      string // address as in the durable inventory
	durable          bool   // is in the durable inventory
	leavingInventory bool   // its return is confirmed; it is to leave the inventory

	epoch, seq       uint64
	minEpoch         uint64     // earlier sessions have surely ended
	reportedToken    uint64     // highest token that it has reported
	tokenCount       uint64     // what the owner's tokens to it end in
	lastHeartbeat    time.Time  // its last own report; at first also an answer
	leaseExpiresAt   time.Time  // after it, the session last known has surely ended
	inherited        bool       // stood in the inventory when the term began
	up               bool       // has reported in this term
	inCloudList      bool       // the cloud's list has shown it
	missedLists      int        // lists in a row since then that did not
	leaseExpired     bool       // its lease ended while nobody heard it; it may come back
	attempts         []*attempt // by attempt
	usage            machineUsage
	usageStale       bool // sums are to be made anew
	cachedImages     map[string]bool
	reclaimAt        time.Time // when the cloud takes it; zero: no notice
	requestedAt      time.Time
	idleSince        time.Time
	scalingIn        bool
	closure          machineClosure
	cordon           *cordon // it takes no new task; nil: it may
	drainNext        bool    // a drain that runs takes it in: what comes here would move once more
	consolidating    bool    // its tasks move elsewhere; it takes new ones last
	spareSince       time.Time
	avoidUntil       time.Time
	reservedForGangs bool // no array begins here: its room is for gangs
	reservedFor      *job // its room is kept for a task of it
	reservedUntil    time.Time

	commandInFlight       bool // a direct command waits for its answer
	nextCommandAt         time.Time
	commandWanted         bool      // it should be sent what it should do
	commandQueued         bool      // it stands in the queue for that
	misroutedAt           time.Time // when it last reported to another controller
	unansweredCommands    int       // direct commands since it was last heard of
	unconfirmedSince      time.Time // since when it is asked to show that answers reach it; zero: it is confirmed
	confirmationToken     uint64    // the token that it must show
	needsHigherToken      bool      // holds an unwanted attempt that a late command could still bring
	invalidTaskLogged     bool      // impossible fields were logged
	unansweredUnconfirmed int       // direct commands without an answer since it is unconfirmed
	repliesSinceToken     int       // answers since it last showed the token they carry
	answeredSeq           uint64    // the number of its last report that was answered, with those of direct commands right after it
	lastHeartbeatSeq      uint64    // the number of its last own report
	lastHeartbeatEpoch    uint64    // the session of that
	skippedSeq            bool      // its last report shows that it made others elsewhere
}

// hasSeenTerm says that the machine has seen one of the owner's tokens, so
// nothing that earlier owners sent can be carried out any more and its report
// shows all that is there.
func (m *machine) hasSeenTerm(term uint64) bool {
	return m.up && m.reportedToken>>constants.TokenCounterBits == term
}

// doubted says that answers and commands may not reach the machine.
func (m *machine) isUnconfirmed() bool { return !m.unconfirmedSince.IsZero() }

// findAttempt returns the attempt with a key, or nil.
func (m *machine) findAttempt(k attemptKey) *attempt {
	for _, a := range m.attempts {
		if a.key.number == k.number && a.key.task == k.task {
			return a
		}
	}
	return nil
}

// isNew says whether a report was made after all that are known of the machine.
func (m *machine) isNew(r *wire.Heartbeat) bool {
	if r.Epoch < m.minEpoch {
		return false
	}
	return r.Epoch > m.epoch || r.Epoch == m.epoch && r.Seq > m.seq
}
