package controller

import (
	"time"

	"ravenport/actor"
	"ravenport/detector"
	"ravenport/history"
	"ravenport/watchdog"
)

// Messages to the monitor.
type (
	monitorTick time.Time
	// peerHeartbeat is another controller's heartbeat, to be answered with this one's.
	peerHeartbeat struct {
		message detector.Message
		answer  chan<- peerHeartbeatAnswer // buffered
	}
	peerHeartbeatAnswer struct {
		message detector.Message
		err     error
	}
	// peerHeartbeatResult is another controller's answer to a heartbeat of this one.
	peerHeartbeatResult struct {
		controller string
		message    detector.Message
		err        error
	}
	// ownHeartbeatRequest asks for this controller's heartbeat, for a probe.
	ownHeartbeatRequest struct {
		answer chan<- detector.Heartbeat // buffered
	}
	probeDone struct {
		probe     detector.Probe
		heartbeat *detector.Heartbeat // nil: it failed
	}
	// clusterView is what the control actor knows and the monitor needs.
	clusterView struct {
		incarnation  uint64            // of this process; 0: it holds no lease
		incarnations map[string]uint64 // of the processes that hold the others' leases, by controller
		unserved     map[string]bool   // controllers whose workers come back to this one
		actors       map[string]*actor.Ref
		feed         watchdog.Sample
	}
	// revocationEvent is a stored revocation, as an event for the history.
	revocationEvent history.Event
)
