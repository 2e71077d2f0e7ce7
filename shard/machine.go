package shard

import (
	"time"

	"ravenport/wire"
)

// machine is the owner's knowledge of one machine.
type machine struct {
	name, addr  string
	machineType *wire.MachineType // nil: the cloud's machine types do not include the machine's type
	typeName    string
	spot        bool
	capacity    resources

	// The durable inventory.
	pageNumber       int    // page of the inventory that lists the machine; noPage: none
	durableAddr      string // address of the machine in the durable inventory
	durable          bool   // the durable inventory lists the machine
	leavingInventory bool   // the machine's termination is confirmed; its entry has to be removed from the inventory

	// Heartbeats and the lease.
	epoch, seq     uint64     // epoch and sequence number of the last message from the machine
	minEpoch       uint64     // lowest epoch that the machine can still have; earlier epochs have ended
	reportedToken  uint64     // highest fencing token that the machine has reported
	tokenCount     uint64     // counter in the low bits of the owner's fencing tokens for the machine
	lastHeartbeat  time.Time  // time of the last heartbeat; before the first one, of the first reply to a direct command
	leaseExpiresAt time.Time  // time at which the lease of the last known epoch has expired for certain
	inherited      bool       // the machine was in the inventory when the term began
	up             bool       // the machine has sent a heartbeat or answered a direct command in this term
	inCloudList    bool       // a list of machines from the cloud has contained the machine
	missedLists    int        // number of consecutive lists from the cloud without the machine
	leaseExpired   bool       // the lease expired without a heartbeat; the machine may return
	attempts       []*attempt // sorted by attempt number

	// Placement and scale in.
	usage            machineUsage
	usageStale       bool // usage has to be computed again
	cachedImages     map[string]bool
	reclaimAt        time.Time // time at which the cloud reclaims the machine; zero: no spot notice
	requestedAt      time.Time // time at which the machine was requested, or from which its boot time is counted
	idleSince        time.Time
	scalingIn        bool
	terminationMark  terminationMark
	cordon           *cordon // not nil: the machine receives no new tasks
	selectedByDrain  bool    // a running drain selects the machine: a task placed here would have to move again
	consolidating    bool    // the tasks of the machine move to other machines; new tasks are placed here last
	redundantSince   time.Time
	avoidUntil       time.Time
	reservedForGangs bool // no array starts on the machine: its capacity is reserved for gangs
	reservedFor      *job // job for one of whose tasks the capacity of the machine is reserved
	reservedUntil    time.Time

	// Direct commands and confirmation that the machine receives them.
	commandInFlight       bool // a direct command was sent and has no reply yet
	nextCommandAt         time.Time
	commandSentAt         time.Time // time at which the last direct command was sent
	commandWanted         bool      // the machine's pending commands should be sent directly
	commandQueued         bool      // the machine is in the outbox's command queue
	misroutedAt           time.Time // time of the last heartbeat that the machine sent to another controller
	unansweredProbes      int       // direct commands without a reply while a heartbeat is missing, since the last message
	unconfirmedSince      time.Time // time since which the machine has to prove that replies reach it; zero: it is confirmed
	confirmationToken     uint64    // fencing token that the machine has to report as that proof
	needsHigherToken      bool      // the machine holds an unwanted attempt that a delayed command could still start
	invalidTaskLogged     bool      // an invalid task name in the machine's heartbeats was logged
	unansweredUnconfirmed int       // direct commands without a reply since the machine became unconfirmed
	repliesSinceToken     int       // replies since the machine last reported the token that they carry
	answeredSeq           uint64    // sequence number of the last answered heartbeat, or of the reply to a direct command right after it
	lastHeartbeatSeq      uint64    // sequence number of the last heartbeat that the machine sent to this owner
	lastHeartbeatEpoch    uint64    // epoch of that heartbeat
	skippedSeq            bool      // the last heartbeat shows that the machine sent heartbeats to other controllers
}

// hasSeenTerm reports whether the machine has reported a fencing token of the given term,
// which is the owner's. From then on no command of an earlier owner can be carried out, and a
// heartbeat of the machine lists every attempt that is on it.
func (m *machine) hasSeenTerm(term uint64) bool {
	return m.up && tokenTerm(m.reportedToken) == term
}

// isUnconfirmed reports whether it is unproven that replies and commands reach the machine.
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

// isNewer reports whether a status was made after every known message of the machine.
func (m *machine) isNewer(status *wire.Heartbeat) bool {
	if status.Epoch < m.minEpoch {
		return false
	}
	return status.Epoch > m.epoch || status.Epoch == m.epoch && status.Seq > m.seq
}
