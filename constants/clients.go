package constants

import "time"

// Clients of the key-value store, the cloud and workers. A share is the part of a rate
// limit that its user may take.
const (
	// DialTimeout bounds setting up a connection: an unresponsive host must not hold a
	// call, and a lost first packet is sent again within a second.
	DialTimeout = 1500 * time.Millisecond
	// MaxIdleConns is how many idle connections to one server are kept (connections).
	MaxIdleConns = 8
	// MaxResponseBody bounds a response (bytes): a page of keys has at most 512 KiB.
	MaxResponseBody = 4 << 20
	// RetryBackoffMin and RetryBackoffMax bound the wait before a failed call is retried.
	RetryBackoffMin = 100 * time.Millisecond
	RetryBackoffMax = 2 * time.Second
	// CloudRateShare is the share of the cloud's rate limit that one controller may use
	// (share). Not all controllers own a shard; a refusal for the rate limit is harmless.
	CloudRateShare = 0.5
	// CloudTimeout bounds a call to the cloud.
	CloudTimeout = 5 * time.Second
	// CommandTimeout bounds a direct command: the next heartbeat's reply carries the same
	// commands anyway.
	CommandTimeout = 2 * time.Second
	// MaxConcurrentCommands bounds a shard's direct commands under way at once (calls):
	// each takes a socket, and a silent machine holds one for CommandTimeout. The bound
	// is lower where all shards on one controller would need more sockets than are
	// reserved, but not below MinConcurrentCommands.
	MaxConcurrentCommands = 200
	MinConcurrentCommands = 16
	// MaxIdleWorkerConns bounds the idle connections to workers that are kept for the
	// next command (connections).
	MaxIdleWorkerConns = 100
)
