package constants

import "time"

// Direct commands and probes of machines.
const (
	// RepeatCommand is when a direct command without effect is sent again.
	RepeatCommand = time.Second
	// TakeoverAsk is how long a new owner of many machines waits for their own
	// reports, which come within a second or two, before it asks them.
	TakeoverAsk = 1500 * time.Millisecond
	// AskTimeout bounds a question to a machine, which carries no command.
	AskTimeout = 1200 * time.Millisecond
	// UnreachableCalls bounds the calls under way to a shard that is out of reach as a
	// whole (calls): enough to notice its return.
	UnreachableCalls = 32
	// AsksAStep bounds the machines that are asked directly in one step: each
	// question costs a connection.
	AsksAStep = 32
	// ExitedRaise is how many exited attempts that must not be forgotten yet
	// a machine may hold before it is sent a higher token, under which they
	// can be: each makes its every report longer (attempts).
	ExitedRaise = 4
)
