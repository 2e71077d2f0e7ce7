package constants

import "time"

// Calls between controllers.
const (
	// PeerMaxMessageBytes bounds a message (bytes); the counts of many jobs may be long.
	PeerMaxMessageBytes = 4 << 20
	// PeerBufferBytes is the size of gRPC's buffer for each connection and direction (bytes).
	PeerBufferBytes = 8 << 10
	// PeerTimeout bounds a call to another controller.
	PeerTimeout = 1500 * time.Millisecond
	// MinCancellationsKept is how many of the latest cancellations are kept at least, to
	// be listed to a controller whose watch feed is behind (jobs): at several a second,
	// those of minutes, where a feed is behind by the life of a lease.
	MinCancellationsKept = 512
	// StoreContactTimeout is the time without a response of the store after which a
	// controller counts as cut off from it.
	StoreContactTimeout = 3 * time.Second
)
