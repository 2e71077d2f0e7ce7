package controller

import (
	"time"

	"ravenport/shard"
	"ravenport/wire"
	"ravenport/worker"
)

// Messages to the leader and to shard owners.
type (
	// authorityChanged carries the time until which the actor has authority; zero: it has
	// none.
	authorityChanged struct{ until time.Time }
	// packingEnabled reports that every controller reads packed records.
	packingEnabled struct{}
	// wake makes an actor do the work that is due. It is either the regular tick or, if
	// deferredStep is set, the start of a step that was deferred to keep the minimum
	// interval between two steps.
	wake struct{ deferredStep bool }
	// stopRequest tells an actor to stop permanently and then to call stopped.
	stopRequest struct{ stopped func() }
	// assignmentDone tells the leader the result of writing an assignment.
	assignmentDone struct {
		jobID  string
		urgent bool
		result commitResult
	}
)

// Messages to shard owners only.
type (
	// shardCommitDone is the result of an owner's transaction.
	shardCommitDone struct {
		id     shard.CommitID
		result commitResult
	}
	// commandDone is the result of direct commands to a machine.
	commandDone struct {
		machine string
		result  worker.Result
	}
	// scaleOutDone is the cloud's answer to a scale-out request. If err is set, the cloud
	// provided no machine.
	scaleOutDone struct {
		requestID string
		machines  []string
		err       error
	}
	// scaleInDone lists machines that the cloud has terminated.
	scaleInDone    struct{ machines []string }
	machinesListed struct {
		machines []wire.CloudMachine
		err      error
	}
	// peerMisroutedHeartbeats lists machines whose heartbeats reached another controller
	// than their owner's.
	peerMisroutedHeartbeats struct {
		machines          []shard.MisroutedHeartbeat
		allPeersInContact bool // every other live controller made contact recently
	}
)
