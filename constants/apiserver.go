package constants

import "time"

// API server.
const (
	// FeedCatchUpTimeout is how long a poll waits for the feed to reach the
	// revision read for it before the key itself is read.
	FeedCatchUpTimeout = 150 * time.Millisecond
	// UserRequestTimeout is when a request that could not be decided is refused;
	// polls allow 2 s, submissions 5 s.
	UserRequestTimeout = 1500 * time.Millisecond
	// StoreFailureBackoff is how long after a failed call to the state service requests
	// that need it are refused without another try.
	StoreFailureBackoff = 300 * time.Millisecond
	// MaxPendingRequests bounds requests that wait for the state service (requests).
	MaxPendingRequests = 512
	// PollGroups is into how many groups the jobs are divided, whose polls have their
	// turn under overload, and PollGroupTurn is how long: longer than the 5 s
	// between two polls, and all within the 75 s after which users take a job
	// for forgotten.
	PollGroups    = 8
	PollGroupTurn = 7 * time.Second
	// RetryAfterS is what a refused user is told to wait (s).
	RetryAfterS = 1
	// RetryAfterJitterS is over how much longer submissions are spread that came too
	// many at once for the state service's allowance (s).
	RetryAfterJitterS = 3
)
