package constants

import "time"

// API server.
const (
	// BarrierWait is how long a poll waits for the feed to reach the
	// revision read for it before the key itself is read.
	BarrierWait = 150 * time.Millisecond
	// AnswerLimit is when a request that could not be decided is refused;
	// polls allow 2 s, submissions 5 s.
	AnswerLimit = 1500 * time.Millisecond
	// DownFor is how long after a failed call to the state service requests
	// that need it are refused without another try.
	DownFor = 300 * time.Millisecond
	// MaxWaiting bounds requests that wait for the state service (requests).
	MaxWaiting = 512
	// Turns is into how many groups the jobs are divided, whose polls have their
	// turn under overload, and TurnLength is how long: longer than the 5 s
	// between two polls, and all within the 75 s after which users take a job
	// for forgotten.
	Turns      = 8
	TurnLength = 7 * time.Second
	// RetryAfterS is what a refused user is told to wait (s).
	RetryAfterS = 1
	// RetrySpreadS is over how much longer submissions are spread that came too
	// many at once for the state service's allowance (s).
	RetrySpreadS = 3
)
