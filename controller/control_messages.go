package controller

import (
	"time"

	"ravenport/apiserver"
	"ravenport/drain"
	"ravenport/leader"
	"ravenport/member"
	"ravenport/peer"
	"ravenport/records"
	"ravenport/shard"
	"ravenport/wire"
)

// Messages to the control actor from the HTTP server and the clock.
type (
	controlTick     time.Time
	workerHeartbeat struct {
		req       apiserver.Request
		heartbeat *wire.Heartbeat
	}
	healthRequest struct{ req apiserver.Request }
	statusRequest struct{ req apiserver.Request }
)

// Messages to the control actor from other controllers.
type (
	// peerStatusReceived is another controller's status without a request for a lease
	// extension.
	peerStatusReceived peer.Status
	// extensionRequest is another controller's status that requests a lease extension.
	extensionRequest struct {
		status peer.Status
		answer chan<- peer.StatusReply // buffered
	}
	// peerStatusReply is another controller's reply to the status of this controller.
	peerStatusReply struct {
		controller         string
		sentAt             time.Time
		extensionRequested bool
		reply              peer.StatusReply
		err                error
	}
)

// Messages to the control actor with the results of its calls. The field sentAt is the
// time at which a call was started.
type (
	// leaseGranted is the result of requesting a lease and registering this controller
	// under that lease.
	leaseGranted struct {
		lease, incarnation uint64
		sentAt             time.Time
		err                error
	}
	leaseRenewed struct {
		lease  uint64
		sentAt time.Time
		err    error
	}
	revisionRead struct {
		revision uint64
		sentAt   time.Time
		err      error
	}
	acquisitionDone struct {
		acquisition member.TermAcquisition
		err         error
	}
	machineTypesRead struct {
		types []wire.MachineType
		err   error
	}
	revocationDone struct{ err error }
)

// Messages to the control actor from the leader and the shard owners of this controller.
type (
	shardStatus struct {
		shard     string
		aggregate leader.Aggregate
		// The fields below are sent less often than the aggregate. They are absent if
		// counts is nil.
		counts  records.CountsByJob
		summary shard.Summary
		drains  drain.ShardStatus
	}
	// shardForecasts is the work that the leader expects to assign soon, by shard; nil
	// if there is none.
	shardForecasts map[string]leader.Forecast
	// newTermRequest requests a new term for the owner of a shard.
	newTermRequest struct{ shard string }
	// shardUnreachable reports that a shard's machines became unreachable at the same
	// time.
	shardUnreachable struct {
		shard               string
		heartbeatsMisrouted bool // other controllers receive the machines' heartbeats
	}
	// actorStopped reports that an actor has stopped for a transfer of its term, so that
	// the acquisition may now be written.
	actorStopped struct{ acquisition member.TermAcquisition }
)

// Messages to the control actor from the monitor.
type (
	// resignLease reports that an actor is stalled, so that this process must stop
	// renewing its lease.
	resignLease struct{}
	// membershipView is the state of failure detection, to be shown in the status.
	membershipView struct {
		members []MemberStatus
		dropped DroppedHeartbeats
		events  []string
	}
)
