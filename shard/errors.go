package shard

import "errors"

// Reasons why an owner does not answer a heartbeat.
var (
	// ErrUnknownShard: the machine is in a shard that this core does not own.
	ErrUnknownShard = errors.New("shard: machine of another shard")
	// ErrFenced: the machine has seen the fencing token of a later term, so another owner
	// has replaced this one.
	ErrFenced = errors.New("shard: fenced by a later term")
	// ErrNoAuthority: the owner's authority has ended, and the time in which it may extend
	// leases as well.
	ErrNoAuthority = errors.New("shard: owner has no authority")
	// ErrMachineTerminated: the cloud has confirmed the machine's termination; the heartbeat
	// was delayed.
	ErrMachineTerminated = errors.New("shard: machine is terminated")
	// ErrStaleHeartbeat: the heartbeat is no newer than the latest status of the machine.
	ErrStaleHeartbeat = errors.New("shard: stale heartbeat")
)
