package constants

import "time"

// Clients of the key-value store, the cloud and workers.
const (
	// DialTimeout bounds setting up a connection: a silent host must not
	// hold a call, and a lost first packet is sent again within a second.
	DialTimeout = 1500 * time.Millisecond
	// MaxIdleConns are connections kept open to one server (connections).
	MaxIdleConns = 8
	// MaxResponseBody bounds an answer (bytes): a page of keys has at most 512 KiB.
	MaxResponseBody = 4 << 20
	// RetryBackoffMin and RetryBackoffMax bound the wait before a failed call is repeated.
	RetryBackoffMin = 100 * time.Millisecond
	RetryBackoffMax = 2 * time.Second
	// CloudRateShare is the part of the cloud's calls that one controller may use
	// (share). Not all controllers own a shard; a refusal for rate is harmless.
	CloudRateShare = 0.5
	// CloudTimeout bounds a call to the cloud.
	CloudTimeout = 5 * time.Second
	// CommandTimeout bounds a direct command: the next report carries the
	// same commands anyway.
	CommandTimeout = 2 * time.Second
	// MaxConcurrentCommands bounds a shard's direct commands under way at once (calls):
	// each is a socket, and a silent machine holds one for CommandTimeout. Fewer
	// where all shards on one controller would need more than is reserved, and
	// MinConcurrentCommands at least.
	MaxConcurrentCommands = 200
	MinConcurrentCommands = 16
	// MaxIdleWorkerConns bounds the connections to workers that are kept open for
	// the next command (connections).
	MaxIdleWorkerConns = 100
)
