package constants

import "time"

// API server.
const (
	// FeedCatchUpTimeout is how long a poll waits for the watch feed to reach the
	// revision that was read for it, before the job's key itself is read.
	FeedCatchUpTimeout = 150 * time.Millisecond
	// UserRequestTimeout is when a request without a result from the store is refused.
	// Users allow 2 s for polls and 5 s for submissions.
	UserRequestTimeout = 1500 * time.Millisecond
	// StoreFailureBackoff is how long after a failed call to the store requests that
	// need it are refused without another call.
	StoreFailureBackoff = 300 * time.Millisecond
	// MaxPendingRequests bounds the requests that wait for the store (requests).
	MaxPendingRequests = 512
	// PollGroups is the number of groups into which jobs are divided under overload, and
	// PollGroupTurn is how long each group's polls are admitted in turn: longer than the
	// 5 s between two polls of a user, and all turns together within the 75 s after
	// which users take a job for lost (groups).
	PollGroups    = 8
	PollGroupTurn = 7 * time.Second
	// RetryAfterS is the Retry-After of a refused request (s).
	RetryAfterS = 1
	// RetryAfterJitterS is added to it at random, up to this much, for submissions that
	// are refused for the store's rate limit, so that their repeats spread out (s).
	RetryAfterJitterS = 3
)
