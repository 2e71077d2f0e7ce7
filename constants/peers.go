package constants

import "time"

// Calls between controllers.
const (
	// PeerMaxMessageBytes bounds a message (bytes): the counts of many jobs may be long.
	PeerMaxMessageBytes = 4 << 20
	// PeerBufferBytes is the size of gRPC's buffer for each connection and direction (bytes).
	PeerBufferBytes = 8 << 10
	// PeerTimeout bounds a call to another controller.
	PeerTimeout = 1500 * time.Millisecond
	// MinCancellationsKept is the least number of latest cancellations that are kept, to be
	// listed to a controller whose watch feed is behind (jobs). At several cancellations a
	// second they cover minutes, and a feed is behind by one lease TTL at most.
	MinCancellationsKept = 512
	// StoreContactTimeout is the time without a response from the store after which a
	// controller is considered cut off from the store.
	StoreContactTimeout = 3 * time.Second
)
