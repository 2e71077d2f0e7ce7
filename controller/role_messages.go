package controller

import (
	"time"

	"ravenport/shard"
	"ravenport/wire"
	"ravenport/worker"
)

// Messages to the leader and to shard owners.
type (
	// authorityChanged says until when the actor may act; zero: not at all.
	authorityChanged struct{ until time.Time }
	// packingEnabled says that every controller reads packed records.
	packingEnabled struct{}
	// wake tells an actor to look at what is due. A deferred step is one that was put
	// off to keep it apart from the one before; else it is the regular tick.
	wake struct{ deferredStep bool }
	// stopRequest tells an actor to stop for good and to call stopped then.
	stopRequest struct{ stopped func() }
	// assignmentDone is the result of writing an assignment, for the leader.
	assignmentDone struct {
		jobID  string
		urgent bool
		result commitResult
	}
)

// Messages to shard owners alone.
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
	// scaleOutDone is the cloud's answer to a scale-out request; an error means that it
	// gave no machine.
	scaleOutDone struct {
		requestID string
		machines  []string
		err       error
	}
	// scaleInDone names machines that the cloud has taken back.
	scaleInDone    struct{ machines []string }
	machinesListed struct {
		machines []wire.CloudMachine
		err      error
	}
	// peerMisroutedHeartbeats are machines whose heartbeats reached another controller.
	peerMisroutedHeartbeats struct {
		machines          []shard.MisroutedHeartbeat
		allPeersInContact bool // every live controller made contact lately
	}
)
