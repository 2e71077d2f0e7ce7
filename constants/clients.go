package constants

import "time"

// Clients of the state service, the cloud and workers.
const (
	// DialTimeout bounds setting up a connection: a silent host must not
	// hold a call, and a lost first packet is sent again within a second.
	DialTimeout = 1500 * time.Millisecond
	// MaxIdleConns are connections kept open to one server (connections).
	MaxIdleConns = 8
	// MaxResponseBody bounds an answer (bytes): a page of keys has at most 512 KiB.
	MaxResponseBody = 4 << 20
	// StoreTimeout bounds a call to the state service; usual answers take
	// 10 ms, slow ones a few hundred.
	StoreTimeout = 2 * time.Second
	// StorePageSize is how many keys are read at once (keys).
	StorePageSize = 200
	// WatchTimeout is how long a watch stays open. Short enough that a hung
	// connection is noticed soon.
	WatchTimeout = 5 * time.Second
	// ReadRateShare is the part of the state service's requests that the watches of
	// all controllers may use, and the part that their reads of the revision
	// may; leases, writes and reads of keys have the rest (share).
	ReadRateShare = 0.33
	// ReadIntervalMin and ReadIntervalMax bound the time between two of them: enough for
	// a burst of changes to come in few answers, and too little to be noticed.
	ReadIntervalMin = 10 * time.Millisecond
	ReadIntervalMax = 200 * time.Millisecond
	// RetryBackoffMin and RetryBackoffMax bound the wait before a failed call is repeated.
	RetryBackoffMin = 100 * time.Millisecond
	RetryBackoffMax = 2 * time.Second
	// StoreRateShare is the part of the state service's allowance that one
	// controller may use by itself (share); a refusal for rate is harmless.
	StoreRateShare = 0.7
	// RateLimitWait is how long a write that a user waits for may queue for
	// the allowance before the user is told to come back, a second or more later:
	// a burst of submissions takes its turn within that.
	RateLimitWait = 600 * time.Millisecond
	// UrgentRetryInterval is the least wait before a write that cannot wait is repeated
	// that was refused for rate alone, and as much is added at random.
	UrgentRetryInterval = 40 * time.Millisecond
	// BackgroundWriteShare is the part of the write allowance that one controller's
	// writes that can wait may use (share).
	BackgroundWriteShare = 0.5
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
