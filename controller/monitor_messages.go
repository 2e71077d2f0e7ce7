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
	// peerHeartbeat is another controller's heartbeat. The answer is this controller's
	// heartbeat.
	peerHeartbeat struct {
		message detector.Message
		answer  chan<- peerHeartbeatAnswer // buffered
	}
	peerHeartbeatAnswer struct {
		message detector.Message
		err     error
	}
	// peerHeartbeatResult is another controller's reply to this controller's heartbeat.
	peerHeartbeatResult struct {
		controller string
		message    detector.Message
		err        error
	}
	// ownHeartbeatRequest requests this controller's heartbeat, to answer a probe.
	ownHeartbeatRequest struct {
		answer chan<- detector.Heartbeat // buffered
	}
	probeDone struct {
		probe     detector.Probe
		heartbeat *detector.Heartbeat // nil: the probe failed
	}
	// clusterView is the part of the control actor's state that the monitor needs.
	clusterView struct {
		incarnation  uint64            // of this process; 0: this process holds no lease
		incarnations map[string]uint64 // of the processes that hold the other controllers' leases, by controller
		unserved     map[string]bool   // by controller: whether too many of its workers return to this controller after a redirect
		actors       map[string]*actor.Ref
		feed         watchdog.Sample
	}
	// revocationEvent is a stored revocation as a membership event.
	revocationEvent history.Event
)
