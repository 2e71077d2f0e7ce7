package constants

import "time"

// Failure detection among controllers.
const (
	// MinUnservedMachines is the least number of unserved machines of an owner that is
	// evidence against the owner: a single machine may have a fault of its own (machines).
	MinUnservedMachines = 2
	// MonitorPublishInterval is how often the monitor sends its view of the other
	// controllers and its proposals to the control actor.
	MonitorPublishInterval = 500 * time.Millisecond
	// StatusEventCount is how many of the latest membership events the status lists
	// (events).
	StatusEventCount = 20
	// PeerContactTimeout is the time after which a controller that has received nothing from
	// any other controller considers itself cut off, if some of the others are alive.
	PeerContactTimeout = 3 * time.Second
)
