package shard

import (
	"time"

	"ravenport/wire"
)

type rental struct {
	req wire.ScaleOutRequest
	at  time.Time
}

// coming is the room of a machine that is not up yet.
type coming struct {
	free resources
	typ  string
	spot bool
}
