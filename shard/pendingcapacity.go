package shard

import (
	"time"

	"ravenport/wire"
)

type pendingScaleOut struct {
	request     wire.ScaleOutRequest
	requestedAt time.Time
}

// pendingMachine is the room of a machine that is not up yet.
type pendingMachine struct {
	free     resources
	typeName string
	spot     bool
}
