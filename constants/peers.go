package constants

import "time"

// Controllers among themselves.
const (
	// PeerMaxMessage bounds a message (bytes); counts of many jobs may be long.
	PeerMaxMessage = 4 << 20
	// PeerBuffer is gRPC's buffer per connection and direction (bytes).
	PeerBuffer = 8 << 10
	// PeerTimeout bounds a call to another controller.
	PeerTimeout = 1500 * time.Millisecond
	// MinCancellationsKept is how many of the latest cancellations are remembered at
	// least, to be named to a controller whose feed is behind (jobs): those of
	// minutes at several a second, where a feed is behind by a lease's life.
	MinCancellationsKept = 512
	// StoreSilenceTimeout is when a controller that heard nothing from the state
	// service counts as cut off from it.
	StoreSilenceTimeout = 3 * time.Second
)
