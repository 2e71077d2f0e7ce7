package constants

import "time"

// API server.
const (
	// FeedCatchUpTimeout is how long a poll waits for the watch feed to reach the revision
	// that was read for it. After that the API server reads the job's key itself.
	FeedCatchUpTimeout = 150 * time.Millisecond
	// UserRequestTimeout is how long a request waits for a result from the store before it
	// is refused. Users allow 2 s for polls and 5 s for submissions.
	UserRequestTimeout = 1500 * time.Millisecond
	// StoreFailureBackoff is how long after a failed call to the store the API server
	// refuses requests that need the store without calling it again.
	StoreFailureBackoff = 300 * time.Millisecond
	// MaxPendingRequests bounds the requests that wait for the store (requests).
	MaxPendingRequests = 512
	// PollGroups is the number of groups into which jobs are divided under overload
	// (groups). PollGroupTurn is how long the polls of each group are admitted in turn. A
	// turn is longer than the 5 s between two polls of a user, and all turns together are
	// within the 75 s after which users consider a job lost.
	PollGroups    = 8
	PollGroupTurn = 7 * time.Second
	// RetryAfterS is the Retry-After value of a refused request (s).
	RetryAfterS = 1
	// RetryAfterJitterS bounds the random addition to RetryAfterS for submissions that are
	// refused because of the store's rate limit, so that their retries spread out (s).
	RetryAfterJitterS = 3
)
