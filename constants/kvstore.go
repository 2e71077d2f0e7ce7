package constants

import "time"

// Calls to the key-value store, and the shares of its rate limits.
const (
	// StoreTimeout bounds a call to the key-value store: usual responses take 10 ms, slow
	// ones a few hundred.
	StoreTimeout = 2 * time.Second
	// StorePageSize is how many keys one list request returns at most (keys).
	StorePageSize = 200
	// WatchTimeout is how long a watch stays open: short enough that a hung connection is
	// noticed soon.
	WatchTimeout = 5 * time.Second
	// ReadRateShare is the part of the store's request rate limit that the watches of all
	// controllers may use, and also the part that their reads of the revision may use
	// (share). Leases, writes and reads of keys use the rest.
	ReadRateShare = 0.33
	// ReadIntervalMin and ReadIntervalMax bound the time between two watches, and between
	// two reads of the revision: long enough that a burst of changes arrives in few
	// responses, and short enough that the delay is not noticeable.
	ReadIntervalMin = 10 * time.Millisecond
	ReadIntervalMax = 200 * time.Millisecond
	// StoreRateShare is the part of the store's rate limits that one controller may use
	// alone (share). A request that the rate limit refuses does no harm.
	StoreRateShare = 0.7
	// RateLimitWait is how long a write for a waiting user may queue for the write rate
	// limit before the user is asked to retry, a second or more later. A burst of
	// submissions is written within that time.
	RateLimitWait = 600 * time.Millisecond
	// UrgentRetryInterval is the least delay before an urgent write that was rate limited is
	// retried. A random jitter of up to the same length is added.
	UrgentRetryInterval = 40 * time.Millisecond
	// BackgroundWriteShare is the part of the write rate limit that the background
	// writes of one controller may use (share).
	BackgroundWriteShare = 0.5
)
