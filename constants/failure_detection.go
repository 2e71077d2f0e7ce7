package constants

import "time"

// Failure detection among controllers.
const (
	// MinUnservedMachines is how many machines of an owner at least must be known to be
	// unserved before that is evidence against it: one alone may have a fault of its own
	// (machines).
	MinUnservedMachines = 2
	// MonitorPublishInterval is how often the monitor sends its view of the other
	// controllers and its proposals to the control actor.
	MonitorPublishInterval = 500 * time.Millisecond
	// StatusEventCount is how many of the latest membership events the status shows
	// (events).
	StatusEventCount = 20
	// PeerContactTimeout is when a controller that received nothing from any other one,
	// though some are alive, considers itself cut off.
	PeerContactTimeout = 3 * time.Second
)
