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
	// peerStatusReceived is another controller's status that requests no lease extension.
	peerStatusReceived peer.Status
	// extensionRequest is another controller's status that requests one.
	extensionRequest struct {
		status peer.Status
		answer chan<- peer.StatusReply // buffered
	}
	// peerStatusReply is the answer to this controller's own status.
	peerStatusReply struct {
		controller         string
		sentAt             time.Time
		extensionRequested bool
		reply              peer.StatusReply
		err                error
	}
)

// Messages to the control actor with the results of its calls. Times are those when a
// call was begun.
type (
	// leaseGranted is the result of requesting a lease and registering under it.
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

// Messages to the control actor from the leader and the shard owners here.
type (
	shardStatus struct {
		shard     string
		aggregate leader.Aggregate
		// The following are sent less often; nil counts mean that they are not there.
		counts  records.CountsByJob
		summary shard.Summary
		drains  drain.ShardStatus
	}
	// shardForecasts is what the leader will assign soon, by shard; nil: nothing.
	shardForecasts map[string]leader.Forecast
	// newTermRequest says that an owner needs a new term.
	newTermRequest struct{ shard string }
	// shardUnreachable says that a shard's machines fell silent together.
	shardUnreachable struct {
		shard               string
		heartbeatsMisrouted bool // other controllers receive their heartbeats
	}
	// actorStopped says that an actor has stopped for a transfer of its term, so that the acquisition
	// may be written.
	actorStopped struct{ acquisition member.TermAcquisition }
)

// Messages to the control actor from the monitor.
type (
	// resignLease says that an actor is stalled, so that this process must end its lease.
	resignLease struct{}
	// membershipView is what failure detection sees, for the status.
	membershipView struct {
		members []MemberStatus
		dropped DroppedHeartbeats
		events  []string
	}
)
