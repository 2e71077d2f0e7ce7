package constants

import "time"

// Clients of the state service, the cloud and workers.
const (
	// DialTimeout bounds setting up a connection: a silent host must not
	// hold a call, and a lost first packet is sent again within a second.
	DialTimeout = 1500 * time.Millisecond
	// IdleConns are connections kept open to one server (connections).
	IdleConns = 8
	// ClientMaxBody bounds an answer (bytes): a page of keys has at most 512 KiB.
	ClientMaxBody = 4 << 20
	// StateTimeout bounds a call to the state service; usual answers take
	// 10 ms, slow ones a few hundred.
	StateTimeout = 2 * time.Second
	// StatePage is how many keys are read at once (keys).
	StatePage = 200
	// WatchWait is how long a watch stays open. Short enough that a hung
	// connection is noticed soon.
	WatchWait = 5 * time.Second
	// ReadShare is the part of the state service's requests that the watches of
	// all controllers may use, and the part that their reads of the revision
	// may; leases, writes and reads of keys have the rest (share).
	ReadShare = 0.33
	// ReadGapMin and ReadGapMax bound the time between two of them: enough for
	// a burst of changes to come in few answers, and too little to be noticed.
	ReadGapMin = 10 * time.Millisecond
	ReadGapMax = 200 * time.Millisecond
	// RetryMin and RetryMax bound the wait before a failed call is repeated.
	RetryMin = 100 * time.Millisecond
	RetryMax = 2 * time.Second
	// StateShare is the part of the state service's allowance that one
	// controller may use by itself (share); a refusal for rate is harmless.
	StateShare = 0.7
	// AllowanceWait is how long a write that a user waits for may queue for
	// the allowance before the user is told to come back, a second or more later:
	// a burst of submissions takes its turn within that.
	AllowanceWait = 600 * time.Millisecond
	// UrgentRetry is the least wait before a write that cannot wait is repeated
	// that was refused for rate alone, and as much is added at random.
	UrgentRetry = 40 * time.Millisecond
	// LaterShare is the part of the write allowance that one controller's
	// writes that can wait may use (share).
	LaterShare = 0.5
	// CloudShare is the part of the cloud's calls that one controller may use
	// (share). Not all controllers own a shard; a refusal for rate is harmless.
	CloudShare = 0.5
	// CloudTimeout bounds a call to the cloud.
	CloudTimeout = 5 * time.Second
	// CommandTimeout bounds a direct command: the next report carries the
	// same commands anyway.
	CommandTimeout = 2 * time.Second
	// CommandFanout bounds a shard's direct commands under way at once (calls):
	// each is a socket, and a silent machine holds one for CommandTimeout. Fewer
	// where all shards on one controller would need more than is reserved, and
	// CommandsLeast at least.
	CommandFanout = 200
	CommandsLeast = 16
	// IdleCommands bounds the connections to workers that are kept open for
	// the next command (connections).
	IdleCommands = 100
)
