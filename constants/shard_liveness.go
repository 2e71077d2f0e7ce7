package constants

import "time"

// Liveness of machines: overdue heartbeats, unconfirmed machines, partitions and failover.
const (
	// ProbePeriods: a machine unheard for that many report periods is asked
	// directly; reports come a quarter late at most. Two questions without an
	// answer, and it has failed (periods).
	ProbePeriods = 1.3
	// SilentPeriods: a machine unheard for that many report periods gets no
	// tasks, and has failed if it did not answer once (periods).
	SilentPeriods = 2.2
	// HearingPeriods is how far back an owner of many machines looks for reports
	// to know that it hears, and HearingShare the part of its machines of which
	// one must have come: a quarter of those that were due (periods, part).
	HearingPeriods = 0.5
	HearingShare   = 8
	// FewMachines: of fewer, the reports of so short a time say nothing
	// (machines).
	FewMachines = 16
	// FewTogether: of more machines than that, none falls silent by chance just
	// when all others do (machines).
	FewTogether = 2
	// ListsMissing is how many of the cloud's lists in a row a machine must be
	// absent from to count as taken: one may be older than the one before (lists).
	ListsMissing = 2
	// LateReport is how late a report may be (periods), and NextController when
	// a worker without an answer has turned to another controller: after 4 s
	// and one more.
	LateReport     = 1.25
	NextController = 5 * time.Second
	// MisroutedPeriods is how long a report to another controller counts for the
	// machine's owner (periods).
	MisroutedPeriods = 2.0
	// MutePeriods is when a machine that answers calls but makes no reports is
	// given up: its lease ends soon (periods).
	MutePeriods = 3.0
	// DeafAsks is how many direct commands in a row an unconfirmed machine leaves
	// unanswered before it is given up, however often it is heard (commands).
	DeafAsks = 3
	// TakeoverPatience is when a new owner to whom most machines have come back
	// gives up those that did not answer: reports of all that live come within
	// two seconds or so, and much of the shard's work waits for the last one.
	TakeoverPatience = 3500 * time.Millisecond
	// GoneMemory is how long a returned machine's late reports are refused.
	GoneMemory = 15 * time.Minute
	// SilentAtTakeover: the same for a new owner, which asks at once (periods).
	SilentAtTakeover = 2.0
	// CloudListEvery is how often an owner reads the cloud's list, for each page
	// of machines that it has: a longer list takes more of the allowance.
	CloudListEvery = 10 * time.Second
)
