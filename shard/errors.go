package shard

import "errors"

// Reasons why an owner does not answer a heartbeat, or ignores the reply to a direct command.
var (
	// ErrUnknownShard means that the machine belongs to a shard that this Core does not own.
	ErrUnknownShard = errors.New("shard: machine of another shard")
	// ErrFenced means that the machine has seen the fencing token of a later term, so another
	// owner has replaced this one.
	ErrFenced = errors.New("shard: fenced by a later term")
	// ErrNoAuthority means that the owner's authority has ended, and that the time in which
	// the owner may still extend leases has ended as well.
	ErrNoAuthority = errors.New("shard: owner has no authority")
	// ErrMachineTerminated means that the cloud has confirmed the termination of the machine;
	// the heartbeat or reply was delayed in the network.
	ErrMachineTerminated = errors.New("shard: machine is terminated")
	// ErrStaleHeartbeat means that the heartbeat or reply is no newer than the latest known
	// status of the machine.
	ErrStaleHeartbeat = errors.New("shard: stale heartbeat")
)
