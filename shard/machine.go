package shard

import (
	"time"

	"ravenport/wire"
)

// machine is what the owner knows of one machine.
type machine struct {
	name, addr  string
	machineType *wire.MachineType // nil: the cloud's types do not name it
	typeName    string
	spot        bool
	capacity    resources

	// The durable inventory.
	pageNumber       int    // page of the inventory; noPage: on none
	durableAddr      string // address as in the durable inventory
	durable          bool   // is in the durable inventory
	leavingInventory bool   // its termination is confirmed; it is to leave the inventory

	// Heartbeats and the lease.
	epoch, seq     uint64     // epoch and sequence number of the last message from it
	minEpoch       uint64     // earlier epochs have surely ended
	reportedToken  uint64     // highest fencing token that it has reported
	tokenCount     uint64     // what the owner's fencing tokens to it end in
	lastHeartbeat  time.Time  // its last own heartbeat; at first also a reply to a command
	leaseExpiresAt time.Time  // after it, the lease of the epoch last known has surely expired
	inherited      bool       // was in the inventory when the term began
	up             bool       // has sent a heartbeat or answered a command in this term
	inCloudList    bool       // the cloud's list has shown it
	missedLists    int        // lists in a row since then that did not
	leaseExpired   bool       // its lease expired without a heartbeat; it may come back
	attempts       []*attempt // sorted by attempt number

	// Placement and scale in.
	usage            machineUsage
	usageStale       bool // usage is to be computed again
	cachedImages     map[string]bool
	reclaimAt        time.Time // when the cloud reclaims it; zero: no spot notice
	requestedAt      time.Time // when it was requested, or its boot counts from
	idleSince        time.Time
	scalingIn        bool
	closure          machineClosure
	cordon           *cordon // it takes no new task; nil: it may
	selectedByDrain  bool    // a running drain selects it: a task placed here would move once more
	consolidating    bool    // its tasks move elsewhere; it takes new ones last
	redundantSince   time.Time
	avoidUntil       time.Time
	reservedForGangs bool // no array starts here: its capacity is reserved for gangs
	reservedFor      *job // its capacity is reserved for a task of this job
	reservedUntil    time.Time

	// Direct commands and confirmation that the machine receives them.
	commandInFlight       bool // a direct command waits for its answer
	nextCommandAt         time.Time
	commandSentAt         time.Time // when the last direct command was sent
	commandWanted         bool      // its pending commands should be sent
	commandQueued         bool      // it is in the outbox's queue for that
	misroutedAt           time.Time // when it last sent a heartbeat to another controller
	unansweredProbes      int       // direct commands without an answer while it was silent, since its last message
	unconfirmedSince      time.Time // since when it must show that replies reach it; zero: it is confirmed
	confirmationToken     uint64    // the fencing token that it must show
	needsHigherToken      bool      // holds an unwanted attempt that a late command could still start
	invalidTaskLogged     bool      // an invalid task name was logged
	unansweredUnconfirmed int       // direct commands without an answer since it is unconfirmed
	repliesSinceToken     int       // replies since it last showed the token that they carry
	answeredSeq           uint64    // sequence number of its last answered heartbeat, or of a reply to a direct command right after it
	lastHeartbeatSeq      uint64    // sequence number of its last own heartbeat
	lastHeartbeatEpoch    uint64    // the epoch of that
	skippedSeq            bool      // its last heartbeat shows that it sent others elsewhere
}

// hasSeenTerm reports whether the machine has seen one of the owner's fencing tokens. Then
// nothing that earlier owners sent can be carried out any more, and its heartbeat shows
// every attempt that is on it.
func (m *machine) hasSeenTerm(term uint64) bool {
	return m.up && tokenTerm(m.reportedToken) == term
}

// isUnconfirmed reports whether replies and commands may not reach the machine.
func (m *machine) isUnconfirmed() bool { return !m.unconfirmedSince.IsZero() }

// findAttempt returns the attempt with key k, or nil.
func (m *machine) findAttempt(k attemptKey) *attempt {
	for _, a := range m.attempts {
		if a.key.number == k.number && a.key.task == k.task {
			return a
		}
	}
	return nil
}

// isNewer reports whether r was made after every known message of the machine.
func (m *machine) isNewer(status *wire.Heartbeat) bool {
	if status.Epoch < m.minEpoch {
		return false
	}
	return status.Epoch > m.epoch || status.Epoch == m.epoch && status.Seq > m.seq
}
