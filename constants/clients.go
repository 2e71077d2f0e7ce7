package constants

import "time"

// Clients of the key-value store, the cloud and workers. A share is the part of a rate
// limit that one client may use.
const (
	// DialTimeout bounds setting up a connection: an unresponsive host must not block a
	// call, and a lost first packet is retransmitted within a second.
	DialTimeout = 1500 * time.Millisecond
	// MaxIdleConns bounds the idle connections that are kept to one server (connections).
	MaxIdleConns = 8
	// MaxResponseBody bounds a response's body (bytes): a page of keys has at most 512 KiB.
	MaxResponseBody = 4 << 20
	// RetryBackoffMin and RetryBackoffMax bound the wait before a failed call is retried.
	RetryBackoffMin = 100 * time.Millisecond
	RetryBackoffMax = 2 * time.Second
	// CloudRateShare is the share of the cloud's rate limit that one controller may use
	// (share). Not all controllers own a shard, and a call that the rate limit refuses does
	// no harm.
	CloudRateShare = 0.5
	// CloudTimeout bounds a call to the cloud.
	CloudTimeout = 5 * time.Second
	// CommandTimeout bounds a direct command. The next heartbeat's reply carries the same
	// commands.
	CommandTimeout = 2 * time.Second
	// MaxConcurrentCommands bounds the direct commands of a shard that are in flight
	// (calls): each uses a socket, and an unresponsive machine occupies one for
	// CommandTimeout. The bound is lower if all shards on one controller would need more
	// sockets than are reserved, but not below MinConcurrentCommands.
	MaxConcurrentCommands = 200
	MinConcurrentCommands = 16
	// MaxIdleWorkerConns bounds the idle connections to workers that are kept for later
	// commands (connections).
	MaxIdleWorkerConns = 100
)
